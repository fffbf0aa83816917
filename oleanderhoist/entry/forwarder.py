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


class Router:
    """Sends admitted calls.

    Args:
        views: The adopted views.
        permits: Slots of the servers' homes.
        claims: Claims on Idempotency-Keys.
        clock: Time source.
        policy: Registered name of the choice policy.
        rng: Source of chance.
    """

    def __init__(
        self,
        *,
        views: snapshots.Views,
        permits: slotclient.Permits,
        claims: claims.Claims,
        clock: clock.Clock,
        policy: str,
        rng: random.Random,
    ):
        self.views = views
        self.permits = permits
        self.claims = claims
        self.clock = clock
        self.policy = choice.CHOICES.get(policy)()
        self.rng = rng
        self.budget = retry.Budget()
        self.sender = sending.Sender(clock=clock, permits=permits)

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
                await self.views.wait_for_change(OWNER_WAIT_SECONDS)

    def again(self, one: call.Call, result: sending.Failed, tries: int) -> bool:
        """Decides about another try, and pays for it when a byte had left."""
        left = one.deadline - self.clock.monotonic()
        if one.streamed or not retry.allowed(
            failure=result.failure,
            repeatable=one.work.repeatable,
            tries=tries,
            left=left - one.work.service_ms / 1000,
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
        keyed = one.work.pool in self.views.picture.spaces
        return outcomes.NotRun(
            code=codes.NO_OWNER if keyed else codes.NO_SERVER,
            detail=f"pool {one.work.pool!r}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )

    async def target(self, one: call.Call) -> sending.Target | None:
        """Returns where a call goes, waiting for an owner when needed."""
        while True:
            picture = self.views.picture
            space = picture.spaces.get(one.work.pool)
            if space is not None:
                found = self.owner(one, picture, space)
            else:
                found = self.member(one, picture)
            if found is not None:
                self.explain(one, found)
                return found
            left = one.deadline - self.clock.monotonic()
            if left <= one.work.service_ms / 1000:
                return None
            await self.views.wait_for_change(min(left, OWNER_WAIT_SECONDS))

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
        picture: snapshots.Picture,
        space: topology.SpaceMap,
    ) -> sending.Target | None:
        """Returns the owner of a key."""
        name, holding = space.locate(one.key)
        server = picture.servers.get(holding.owner)
        if server is None:
            return None
        return sending.Target(
            server=server,
            partition=name,
            fence=holding.fence,
            reason="owner",
        )

    def member(
        self, one: call.Call, picture: snapshots.Picture
    ) -> sending.Target | None:
        """Chooses a server of a pool without keys."""
        now = self.clock.monotonic()
        usable = [
            server
            for server in picture.pools.get(one.work.pool, [])
            if server.state is topology.ServerState.UP
            and not self.sender.is_shunned(server.id)
        ]
        if not usable:
            return None
        loads = {s.id: self.permits.load(s.id, s.slots) for s in usable}
        chosen = self.policy.choose(loads, now, self.rng)
        return sending.Target(
            server=picture.servers[chosen],
            reason="choice",
            candidates=len(usable),
        )

    async def attempt(
        self, one: call.Call, target: sending.Target
    ) -> outcomes.Outcome | sending.Failed:
        """Makes one try at one server."""
        server = target.server
        load = self.permits.load(server.id, server.slots)
        load.outstanding += 1
        began = self.clock.monotonic()
        slot = None
        took = None
        try:
            want = slotclient.Want(
                server=server.id,
                rank=one.work.rank,
                worth=one.work.worth,
                expected=one.work.service_ms / 1000,
            )
            slot = await self.permits.acquire(want, one.deadline)
            if isinstance(slot, slotclient.Turned):
                return self.turned(one, target, slot)
            began = self.clock.monotonic()
            result = await self.claim_and_send(one, target)
            if isinstance(result, outcomes.Complete):
                took = self.clock.monotonic() - began
            return result
        finally:
            load.outstanding -= 1
            if isinstance(slot, slotclient.Slot):
                self.permits.release(slot, took)

    def turned(
        self, one: call.Call, target: sending.Target, turned: slotclient.Turned
    ) -> outcomes.NotRun | sending.Failed:
        """Handles a home's refusal."""
        outcome = outcomes.NotRun(
            code=turned.code,
            detail=f"server {target.server.id}",
            retry_after=outcomes.RETRY_AFTER_SECONDS,
        )
        if turned.code is codes.NO_SERVER:
            self.sender.shun(target.server.id)
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
