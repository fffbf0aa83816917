"""Selects a server for a call, sends the call and returns its outcome."""

import random

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist.entry import calls
from oleanderhoist.entry import claims
from oleanderhoist.entry import sending
from oleanderhoist.entry import slotclient
from oleanderhoist.entry import snapshots
from oleanderhoist.policy import choice
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

SNAPSHOT_WAIT_SECONDS = 0.1

RETRIES = prometheus_client.Counter(
    "oleander_retries", "Requests sent a second time", ["rank"]
)
FIRST_ATTEMPTS = prometheus_client.Counter(
    "oleander_first_tries", "Requests sent for the first time", ["rank"]
)


class Forwarder:
    """Forwards admitted calls to servers.

    Args:
        snapshot_store: Holds the current snapshot.
        slot_client: Acquires slots from the servers' coordinators.
        claims: Claims Idempotency-Keys.
        clock: Time source.
        policy: Registered name of the choice policy.
        rng: Random number generator.

    Attributes:
        slots_due: Until when calls may wait for a server and its slot; set by
            a stop.
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
        self.retry_budget = retry.Budget()
        self.slots_due = deadline.SharedDeadline()
        self.sender = sending.Sender(clock=clock, slot_client=slot_client)

    async def forward(self, call: calls.Call) -> outcomes.Outcome:
        """Sends a call, with retries, and returns its outcome.

        A stop ends the waits for a server and a slot.
        """
        try:
            return await self.forward_in_time(call)
        except deadline.PassedError:
            return self.stopped_outcome(call)

    def stopped_outcome(self, call: calls.Call) -> outcomes.Outcome:
        """Returns the outcome of a call that a stop leaves no time for."""
        if call.completed is not None:
            return call.completed
        if call.maybe_run:
            return outcomes.Unknown(code=codes.STOPPED)
        return outcomes.NotRun(
            code=codes.STOPPING, retry_after=outcomes.RETRY_AFTER_SECONDS
        )

    async def forward_in_time(self, call: calls.Call) -> outcomes.Outcome:
        """Sends a call, with retries, and returns its outcome.

        Raises:
            PassedError: A stop left no time to wait for a server or a slot.
        """
        attempts = 0
        earlier_unknown: outcomes.Unknown | None = None
        self.retry_budget.earn()
        FIRST_ATTEMPTS.labels(str(call.work.rank)).inc()
        while True:
            async with self.slots_due.limit():
                target = await self.select_target(call)
            if target is None:
                return combine_outcomes(
                    self.no_server_outcome(call), earlier_unknown
                )
            attempts += 1
            result = await self.attempt(call, target)
            if not isinstance(result, sending.FailedAttempt):
                return combine_outcomes(result, earlier_unknown)
            if isinstance(result.outcome, outcomes.Unknown):
                earlier_unknown = result.outcome
            if not self.should_retry(call, result, attempts):
                return combine_outcomes(result.outcome, earlier_unknown)
            log.write(
                events.REQUEST_RETRIED,
                request=call.id,
                server=target.server.id,
                failure=result.failure.value,
                tries=attempts,
            )
            if target.partition:
                await self.snapshot_store.wait_for_change(SNAPSHOT_WAIT_SECONDS)

    def should_retry(
        self, call: calls.Call, result: sending.FailedAttempt, attempts: int
    ) -> bool:
        """Returns whether to retry a call after a failed attempt.

        Charges the retry budget unless nothing of the request was sent.
        """
        remaining = call.deadline - self.clock.monotonic()
        if call.streaming or not retry.allowed(
            failure=result.failure,
            repeatable=call.work.repeatable,
            attempts=attempts,
            remaining=remaining - call.work.service_ms / 1000,
        ):
            return False
        if result.failure is retry.Failure.NOT_SENT:
            return True
        if not self.retry_budget.spend():
            return False
        RETRIES.labels(str(call.work.rank)).inc()
        return True

    def no_server_outcome(self, call: calls.Call) -> outcomes.NotRun:
        """Returns the outcome of a call that found no server in time."""
        keyed = call.work.pool in self.snapshot_store.snapshot.partition_maps
        return outcomes.NotRun(
            code=codes.NO_OWNER if keyed else codes.NO_SERVER,
            detail=f"pool {call.work.pool!r}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )

    async def select_target(self, call: calls.Call) -> sending.Target | None:
        """Selects the server for a call; waits while none is available.

        Returns:
            The target, or None when none became available in time.
        """
        while True:
            snapshot = self.snapshot_store.snapshot
            partition_map = snapshot.partition_maps.get(call.work.pool)
            if partition_map is not None:
                target = self.find_owner(call, snapshot, partition_map)
            else:
                target = self.choose_server(call, snapshot)
            if target is not None:
                self.log_routing(call, target)
                return target
            remaining = call.deadline - self.clock.monotonic()
            if remaining <= call.work.service_ms / 1000:
                return None
            await self.snapshot_store.wait_for_change(
                min(remaining, SNAPSHOT_WAIT_SECONDS)
            )

    def log_routing(self, call: calls.Call, target: sending.Target) -> None:
        """Logs a routing decision."""
        log.write(
            events.REQUEST_ROUTED,
            request=call.id,
            customer=call.customer,
            work=call.work.name,
            rank=call.work.rank,
            server=target.server.id,
            partition=target.partition,
            fence=target.fence,
            reason=target.reason,
            candidates=target.candidates,
        )

    def find_owner(
        self,
        call: calls.Call,
        snapshot: snapshots.Snapshot,
        partition_map: topology.PartitionMap,
    ) -> sending.Target | None:
        """Returns the owner of the call's key, or None while it has none."""
        name, ownership = partition_map.locate(call.key)
        server = snapshot.servers.get(ownership.owner)
        if server is None:
            return None
        return sending.Target(
            server=server,
            partition=name,
            fence=ownership.fence,
            reason="owner",
        )

    def choose_server(
        self, call: calls.Call, snapshot: snapshots.Snapshot
    ) -> sending.Target | None:
        """Chooses a server of a pool without keys; None if none is usable."""
        now = self.clock.monotonic()
        usable = [
            server
            for server in snapshot.pools.get(call.work.pool, [])
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
        self, call: calls.Call, target: sending.Target
    ) -> outcomes.Outcome | sending.FailedAttempt:
        """Makes one attempt at one server."""
        server = target.server
        load = self.slot_client.load(server.id, server.slots)
        load.outstanding += 1
        started_at = self.clock.monotonic()
        grant = None
        service_seconds = None
        try:
            slot_request = slotclient.SlotRequest(
                server=server.id,
                rank=call.work.rank,
                worth=call.work.worth,
                expected_seconds=call.work.service_ms / 1000,
            )
            async with self.slots_due.limit():
                grant = await self.slot_client.acquire(
                    slot_request, call.deadline
                )
            if isinstance(grant, slotclient.SlotRefusal):
                return self.handle_refusal(call, target, grant)
            started_at = self.clock.monotonic()
            result = await self.claim_and_send(call, target)
            if isinstance(result, outcomes.Complete):
                service_seconds = self.clock.monotonic() - started_at
            return result
        finally:
            load.outstanding -= 1
            if isinstance(grant, slotclient.SlotGrant):
                self.slot_client.release(grant, service_seconds)

    def handle_refusal(
        self,
        call: calls.Call,
        target: sending.Target,
        refusal: slotclient.SlotRefusal,
    ) -> outcomes.NotRun | sending.FailedAttempt:
        """Returns the result of an attempt that the coordinator refused."""
        outcome = outcomes.NotRun(
            code=refusal.code,
            detail=f"server {target.server.id}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )
        if refusal.code is codes.NO_SERVER:
            self.sender.suspect(target.server.id)
            return sending.FailedAttempt(
                failure=retry.Failure.NOT_SENT, outcome=outcome
            )
        return outcome

    async def claim_and_send(
        self, call: calls.Call, target: sending.Target
    ) -> outcomes.Outcome | sending.FailedAttempt:
        """Sends a call, after claiming its key when it must not run twice.

        Raises:
            PassedError: A stop left no time to send it after the claim.
        """
        if not call.needs_claim:
            return await self.sender.send(call, target)
        claim = await self.claims.claim(
            call.customer, call.idempotency_key, call.fingerprint()
        )
        if not isinstance(claim, claims.Acquired):
            return sending.outcome_of_claim(claim)
        if self.slots_due.passed:
            await self.claims.abandon(claim)
            raise deadline.PassedError
        result = await self.sender.send(call, target)
        if isinstance(result, outcomes.Complete):
            call.completed = result
            await self.claims.complete(claim, result.response)
        elif sending.is_not_run(result):
            await self.claims.abandon(claim)
        return result


def combine_outcomes(
    outcome: outcomes.Outcome, earlier_unknown: outcomes.Unknown | None
) -> outcomes.Outcome:
    """Returns the outcome of a call over all of its attempts.

    A call that an earlier attempt may have run is not reported as not run.

    Args:
        outcome: Outcome of the last attempt.
        earlier_unknown: Outcome of an earlier attempt that may have run; None
            if there was none.
    """
    if earlier_unknown is not None and isinstance(outcome, outcomes.NotRun):
        return earlier_unknown
    return outcome
