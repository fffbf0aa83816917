"""Which servers a request may be sent to, as the snapshot has it."""

from oleanderhoist.node import jobs
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import pauses


def is_keyed(router_state: state.State, job: jobs.Job) -> bool:
    """Returns whether only the owner of a key can run the request."""
    contracts = router_state.contracts
    pool = contracts.pools.get(job.pool) if contracts else None
    return pool is not None and pool.keyed


def key_of(job: jobs.Job) -> int:
    """Returns the key of a request.

    One without a valid key may run on any server, so its id determines it.
    """
    key = job.head.key
    if key is None or not 0 <= key < keys.KEY_COUNT:
        return hash(job.head.id) % keys.KEY_COUNT
    return key


def find(
    router_state: state.State, job: jobs.Job
) -> tuple[cluster.Server, ...]:
    """Returns the usable servers that can run a request.

    These are the owner of its key, or all of a pool without keys.
    """
    snapshot = router_state.snapshot
    if not is_keyed(router_state, job):
        return snapshot.usable.get(job.pool, ())
    owner = snapshot.usable_owner(job.pool, key_of(job))
    return () if owner is None else (owner,)


def wait_end(router_state: state.State, job: jobs.Job, now: float) -> float:
    """Returns until when a request may wait for a server.

    That is the end of the servers' pauses, or the time of a planned move of its
    key; not after `now` if it does not gain by waiting.
    """
    found = find(router_state, job)
    if not found:
        is_planned = is_keyed(router_state, job) and may_get_owner(
            router_state.snapshot, job.pool
        )
        return (
            min(jobs.owner_wait_end(job), job.deadline) if is_planned else now
        )
    end = now + router_state.pauses.least_remaining(found, now)
    due = min(job.objective, job.deadline)
    gains = pauses.may_wait(end, arrived=job.arrived, objective=due)
    return end if gains else now


def may_get_owner(snapshot: cluster.Snapshot, pool: str) -> bool:
    """Returns whether keys may soon have an owner that can be used."""
    return not snapshot.evacuated or bool(snapshot.usable.get(pool))


def excluded(
    router_state: state.State, job: jobs.Job, now: float
) -> frozenset[str]:
    """Returns the ids of servers that the request should not be sent to.

    Its coordinator may not know that some of them leave, and doesn't know
    which of them want no requests from this router. A coordinator that does
    not know yet of an evacuation would grant slots there again, hence the
    exclusion after the first. A server that it was sent to before gets it
    again if there is no other.
    """
    usable = router_state.snapshot.usable.get(job.pool, ())
    unwanted = router_state.snapshot.departed_from(job.pool).union(
        router_state.pauses.paused(usable, now)
    )
    if job.returned_slots:
        unwanted |= router_state.snapshot.evacuated_from(job.pool)
    if not job.tried_servers:
        return unwanted
    with_tried = unwanted.union(job.tried_servers)
    if all(server.id in with_tried for server in usable):
        return unwanted
    return with_tried
