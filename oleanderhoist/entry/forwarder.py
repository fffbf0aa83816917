"""Chooses a server for a call, sends it, and tells what is proved."""

import random

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist.entry import call
from oleanderhoist.entry import claims
from oleanderhoist.entry import sending
from oleanderhoist.entry import slotclient
from oleanderhoist.entry import snapshots
from oleanderhoist.policy import choice
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

OWNER_WAIT_SECONDS = 0.1

RETRIES = prometheus_client.Counter(
    "oleander_retries", "Requests sent a second time", ["rank"]
)
FIRST_TRIES = prometheus_client.Counter(
    "oleander_first_tries", "Requests sent for the first time", ["rank"]
)


class Forwarder:
    """Sends admitted calls.

    Args:
        snapshot_store: The adopted snapshots.
        slot_client: Slots of the servers' coordinators.
        claims: Claims on Idempotency-Keys.
        clock: Time source.
        policy: Registered name of the choice policy.
        rng: Source of chance.
    """

    def __init__(
        self,
        *,
        snapshot_store: snapshots.SnapshotStore,
        slot_client: slotclient.SlotClient,
        claims: claims.Claims,
        clock: clock.Clock,
        policy: str,
        rng: random.Random,
    ):
        self.snapshot_store = snapshot_store
        self.slot_client = slot_client
        self.claims = claims
        self.clock = clock
        self.policy = choice.CHOICES.get(policy)()
        self.rng = rng
        self.budget = retry.Budget()
        self.sender = sending.Sender(clock=clock, slot_client=slot_client)

    async def serve(self, one: call.Call) -> outcomes.Outcome:
        """Sends a call until it has an outcome."""
        tries = 0
        lost: outcomes.Unknown | None = None
        self.budget.earn()
        FIRST_TRIES.labels(str(one.work.rank)).inc()
        while True:
            target = await self.target(one)
            if target is None:
                return truthful(self.nowhere(one), lost)
            tries += 1
            result = await self.attempt(one, target)
            if not isinstance(result, sending.Failed):
                return truthful(result, lost)
            if isinstance(result.outcome, outcomes.Unknown):
                lost = result.outcome
            if not self.again(one, result, tries):
                return truthful(result.outcome, lost)
            log.write(
                events.REQUEST_RETRIED,
                request=one.id,
                server=target.server.id,
                failure=result.failure.value,
                tries=tries,
            )
            if target.partition:
                await self.snapshot_store.wait_for_change(OWNER_WAIT_SECONDS)

    def again(self, one: call.Call, result: sending.Failed, tries: int) -> bool:
        """Decides about another try, and pays for it when a byte had left."""
        remaining = one.deadline - self.clock.monotonic()
        if one.streamed or not retry.allowed(
            failure=result.failure,
            repeatable=one.work.repeatable,
            tries=tries,
            remaining=remaining - one.work.service_ms / 1000,
        ):
            return False
        if result.failure is retry.Failure.NOT_SENT:
            return True
        if not self.budget.spend():
            return False
        RETRIES.labels(str(one.work.rank)).inc()
        return True

    def nowhere(self, one: call.Call) -> outcomes.NotRun:
        """Returns the outcome when no server could be found in time."""
        keyed = one.work.pool in self.snapshot_store.snapshot.partition_maps
        return outcomes.NotRun(
            code=codes.NO_OWNER if keyed else codes.NO_SERVER,
            detail=f"pool {one.work.pool!r}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )

    async def target(self, one: call.Call) -> sending.Target | None:
        """Returns where a call goes, waiting for an owner when needed."""
        while True:
            snapshot = self.snapshot_store.snapshot
            partition_map = snapshot.partition_maps.get(one.work.pool)
            if partition_map is not None:
                found = self.owner(one, snapshot, partition_map)
            else:
                found = self.member(one, snapshot)
            if found is not None:
                self.explain(one, found)
                return found
            remaining = one.deadline - self.clock.monotonic()
            if remaining <= one.work.service_ms / 1000:
                return None
            await self.snapshot_store.wait_for_change(
                min(remaining, OWNER_WAIT_SECONDS)
            )

    def explain(self, one: call.Call, target: sending.Target) -> None:
        """Logs a routing decision."""
        log.write(
            events.REQUEST_ROUTED,
            request=one.id,
            customer=one.customer,
            work=one.work.name,
            rank=one.work.rank,
            server=target.server.id,
            partition=target.partition,
            fence=target.fence,
            reason=target.reason,
            candidates=target.candidates,
        )

    def owner(
        self,
        one: call.Call,
        snapshot: snapshots.Snapshot,
        partition_map: topology.PartitionMap,
    ) -> sending.Target | None:
        """Returns the owner of a key."""
        name, ownership = partition_map.locate(one.key)
        server = snapshot.servers.get(ownership.owner)
        if server is None:
            return None
        return sending.Target(
            server=server,
            partition=name,
            fence=ownership.fence,
            reason="owner",
        )

    def member(
        self, one: call.Call, snapshot: snapshots.Snapshot
    ) -> sending.Target | None:
        """Chooses a server of a pool without keys."""
        now = self.clock.monotonic()
        usable = [
            server
            for server in snapshot.pools.get(one.work.pool, [])
            if server.state is topology.ServerState.UP
            and not self.sender.is_suspected(server.id)
        ]
        if not usable:
            return None
        loads = {s.id: self.slot_client.load(s.id, s.slots) for s in usable}
        chosen = self.policy.choose(loads, now, self.rng)
        return sending.Target(
            server=snapshot.servers[chosen],
            reason="choice",
            candidates=len(usable),
        )

    async def attempt(
        self, one: call.Call, target: sending.Target
    ) -> outcomes.Outcome | sending.Failed:
        """Makes one try at one server."""
        server = target.server
        load = self.slot_client.load(server.id, server.slots)
        load.outstanding += 1
        began = self.clock.monotonic()
        grant = None
        took = None
        try:
            slot_request = slotclient.SlotRequest(
                server=server.id,
                rank=one.work.rank,
                worth=one.work.worth,
                expected=one.work.service_ms / 1000,
            )
            grant = await self.slot_client.acquire(slot_request, one.deadline)
            if isinstance(grant, slotclient.Turned):
                return self.turned(one, target, grant)
            began = self.clock.monotonic()
            result = await self.claim_and_send(one, target)
            if isinstance(result, outcomes.Complete):
                took = self.clock.monotonic() - began
            return result
        finally:
            load.outstanding -= 1
            if isinstance(grant, slotclient.SlotGrant):
                self.slot_client.release(grant, took)

    def turned(
        self, one: call.Call, target: sending.Target, turned: slotclient.Turned
    ) -> outcomes.NotRun | sending.Failed:
        """Handles a coordinator's refusal."""
        outcome = outcomes.NotRun(
            code=turned.code,
            detail=f"server {target.server.id}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )
        if turned.code is codes.NO_SERVER:
            self.sender.suspect(target.server.id)
            return sending.Failed(
                failure=retry.Failure.NOT_SENT, outcome=outcome
            )
        return outcome

    async def claim_and_send(
        self, one: call.Call, target: sending.Target
    ) -> outcomes.Outcome | sending.Failed:
        """Sends a call, under its claim when it must not run twice."""
        if not one.claimed:
            return await self.sender.send(one, target)
        claim = await self.claims.claim(
            one.customer, one.idempotency_key, one.fingerprint()
        )
        if not isinstance(claim, claims.Fresh):
            return sending.from_claim(claim)
        result = await self.sender.send(one, target)
        if isinstance(result, outcomes.Complete):
            await self.claims.finish(claim, result.response)
        elif sending.is_not_run(result):
            await self.claims.abandon(claim)
        return result


def truthful(
    outcome: outcomes.Outcome, lost: outcomes.Unknown | None
) -> outcomes.Outcome:
    """Returns what may be told of a call over all of its tries.

    Args:
        outcome: How the last try ended.
        lost: How an earlier try ended that may have run; None without one.
    """
    if lost is not None and isinstance(outcome, outcomes.NotRun):
        return lost
    return outcome
