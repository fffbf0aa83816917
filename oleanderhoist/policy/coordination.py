"""Which member coordinates a slot queue.

The queue of a pool brings several datagrams for each of the pool's requests to
one member. One with little processor time would handle them late, and with
them whatever else it is told. There are few such queues, so members that have
much less than others need none. The queues of keyed servers are many and
small, and spread over all members.
"""

from oleanderhoist.policy import hashing

KEYED_PREFIX = "server/"
POOL_PREFIX = "pool/"
MIN_CORES_FRACTION = 0.5  # Of the largest member's, for the queues of pools.


def coordinator_of(queue: str, cores: dict[str, float]) -> str:
    """Returns the address of the member that coordinates a slot queue.

    Args:
        queue: Name of the slot queue.
        cores: CPU cores of each member, by address; at least one.
    """
    if queue.startswith(POOL_PREFIX):
        cores = ablest(cores)
    return hashing.weighted_rendezvous(queue, cores)


def ablest(cores: dict[str, float]) -> dict[str, float]:
    """Returns the members that may coordinate the queues of pools.

    Args:
        cores: CPU cores of each member, by address; at least one.
    """
    required = MIN_CORES_FRACTION * max(cores.values())
    return {address: own for address, own in cores.items() if own >= required}
