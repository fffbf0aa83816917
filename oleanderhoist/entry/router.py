"""Chooses a server for a call, sends it, and tells what is proved."""

import dataclasses
import random

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist.entry import call
from oleanderhoist.entry import claims
from oleanderhoist.entry import permits
from oleanderhoist.entry import view
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.policy import choice
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

REFUSED_HEADER = b"oleander-refused"
LOAD_HEADER = b"oleander-load"
OWNER_WAIT_SECONDS = 0.1
AVOID_SECONDS = 1.0
FRESH_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1.0

RETRIES = prometheus_client.Counter(
    "oleander_retries", "Requests sent a second time", ["rank"]
)
FIRST_TRIES = prometheus_client.Counter(
    "oleander_first_tries", "Requests sent for the first time", ["rank"]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Where a call goes.

    Attributes:
        server: The chosen server.
        partition: Partition of the key; empty without one.
        fence: Fence of the partition.
        reason: Why this server.
        candidates: How many could have been chosen.
    """

    server: topology.Server
    partition: str = ""
    fence: int = 0
    reason: str = ""
    candidates: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """A try that may be repeated, and what it means when it is not."""

    failure: retry.Failure
    outcome: outcomes.Outcome


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
        views: view.Views,
        permits: permits.Permits,
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
        self.clients: dict[str, client.Client] = {}
        self.avoid: dict[str, float] = {}

    async def serve(self, one: call.Call) -> outcomes.Outcome:
        """Sends a call until it has an outcome."""
        tries = 0
        self.budget.earn()
        FIRST_TRIES.labels(str(one.work.rank)).inc()
        while True:
            target = await self.target(one)
            if target is None:
                return self.nowhere(one)
            tries += 1
            result = await self.attempt(one, target)
            if not isinstance(result, Failed):
                return result
            if not self.again(one, result, tries):
                return result.outcome
            log.write(
                events.REQUEST_RETRIED,
                request=one.id,
                server=target.server.id,
                failure=result.failure.value,
                tries=tries,
            )
            if target.partition:
                await self.views.wait_for_change(OWNER_WAIT_SECONDS)

    def again(self, one: call.Call, result: Failed, tries: int) -> bool:
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
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def target(self, one: call.Call) -> Target | None:
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

    def explain(self, one: call.Call, target: Target) -> None:
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
        self, one: call.Call, picture: view.Picture, space: topology.SpaceMap
    ) -> Target | None:
        """Returns the owner of a key."""
        name, holding = space.locate(one.key)
        server = picture.servers.get(holding.owner)
        if server is None:
            return None
        return Target(
            server=server,
            partition=name,
            fence=holding.fence,
            reason="owner",
        )

    def member(self, one: call.Call, picture: view.Picture) -> Target | None:
        """Chooses a server of a pool without keys."""
        now = self.clock.monotonic()
        usable = [
            server
            for server in picture.pools.get(one.work.pool, [])
            if server.state is topology.ServerState.UP
            and self.avoid.get(server.id, 0.0) <= now
        ]
        if not usable:
            return None
        loads = {s.id: self.permits.load(s.id, s.slots) for s in usable}
        chosen = self.policy.choose(loads, now, self.rng)
        return Target(
            server=picture.servers[chosen],
            reason="choice",
            candidates=len(usable),
        )

    async def attempt(
        self, one: call.Call, target: Target
    ) -> outcomes.Outcome | Failed:
        """Makes one try at one server."""
        server = target.server
        load = self.permits.load(server.id, server.slots)
        load.outstanding += 1
        began = self.clock.monotonic()
        slot = None
        took = None
        try:
            want = permits.Want(
                server=server.id,
                rank=one.work.rank,
                worth=one.work.worth,
                expected=one.work.service_ms / 1000,
            )
            slot = await self.permits.acquire(want, one.deadline)
            if isinstance(slot, permits.Turned):
                return self.turned(one, target, slot)
            began = self.clock.monotonic()
            result = await self.claim_and_send(one, target)
            if isinstance(result, outcomes.Complete):
                took = self.clock.monotonic() - began
            return result
        finally:
            load.outstanding -= 1
            if isinstance(slot, permits.Slot):
                self.permits.release(slot, took)

    def turned(
        self, one: call.Call, target: Target, turned: permits.Turned
    ) -> outcomes.NotRun | Failed:
        """Handles a home's refusal."""
        outcome = outcomes.NotRun(
            code=turned.code,
            detail=f"server {target.server.id}",
            retry_after=RETRY_AFTER_SECONDS,
        )
        if turned.code is codes.NO_SERVER:
            self.shun(target.server.id)
            return Failed(failure=retry.Failure.NOT_SENT, outcome=outcome)
        return outcome

    def shun(self, server: str) -> None:
        """Leaves a server out of the choice for a moment."""
        self.avoid[server] = self.clock.monotonic() + AVOID_SECONDS

    async def claim_and_send(
        self, one: call.Call, target: Target
    ) -> outcomes.Outcome | Failed:
        """Sends a call, under its claim when it must not run twice."""
        if not one.claimed:
            return await self.send(one, target)
        claim = await self.claims.claim(
            one.customer, one.idempotency_key, one.fingerprint()
        )
        if not isinstance(claim, claims.Fresh):
            return from_claim(claim)
        result = await self.send(one, target)
        if isinstance(result, outcomes.Complete):
            await self.claims.finish(claim, result.response)
        elif is_not_run(result):
            await self.claims.free(claim.key, claim.version)
        return result

    async def send(
        self, one: call.Call, target: Target
    ) -> outcomes.Outcome | Failed:
        """Performs the exchange with the server, once."""
        left = one.deadline - self.clock.monotonic()
        if left <= 0:
            return outcomes.NotRun(code=codes.TOO_LATE)
        peer = self.peer(target.server.address)
        try:
            response = await peer.request(
                one.request.method,
                one.request.target,
                timeout=left,
                headers=self.headers(one, target, left),
                body=one.stream() if one.rest is not None else one.body,
                stream=not one.claimed,
                idle_seconds=(
                    client.IDLE_SECONDS
                    if one.work.repeatable
                    else FRESH_SECONDS
                ),
            )
        except client.ExchangeError as error:
            return self.broken(one, target, error)
        return self.answered(target, response)

    def peer(self, address: str) -> client.Client:
        """Returns the client of a server."""
        if address not in self.clients:
            self.clients[address] = client.Client(
                address=client.Address.parse(address)
            )
        return self.clients[address]

    def headers(
        self, one: call.Call, target: Target, left: float
    ) -> messages.Headers:
        """Returns the headers that go to the server."""
        deadline = self.clock.wall() + left
        added = [
            (b"oleander-request-id", one.id.encode()),
            (b"oleander-customer", one.customer.encode()),
            (b"oleander-deadline", b"%.3f" % deadline),
        ]
        if target.partition:
            name = target.partition.encode()
            added.append((b"oleander-partition", name))
            added.append((b"oleander-fence", b"%d" % target.fence))
        if one.rest is not None and one.request.length is not None:
            added.append((b"content-length", b"%d" % one.request.length))
        elif one.rest is not None:
            added.append((b"transfer-encoding", b"chunked"))
        return one.headers() + added

    def answered(
        self, target: Target, response: messages.Response
    ) -> outcomes.Outcome | Failed:
        """Interprets a whole answer."""
        self.note_load(target.server.id, response)
        if messages.find(response.headers, b"oleander-draining"):
            self.shun(target.server.id)
        if not messages.find(response.headers, REFUSED_HEADER):
            return outcomes.Complete(response=response, server=target.server.id)
        if response.status == 504:
            return outcomes.NotRun(code=codes.TOO_LATE)
        self.shun(target.server.id)
        return Failed(
            failure=retry.Failure.REFUSED,
            outcome=outcomes.NotRun(
                code=codes.SERVER_REFUSED,
                detail=f"server {target.server.id}: {response.status}",
                retry_after=RETRY_AFTER_SECONDS,
            ),
        )

    def note_load(self, server: str, response: messages.Response) -> None:
        """Takes in the load a server reports of itself, if it does."""
        reported = messages.find(response.headers, LOAD_HEADER) or ""
        if reported.isdigit():
            load = self.permits.loads[server]
            load.depth = int(reported)
            load.heard_at = self.clock.monotonic()

    def broken(
        self, one: call.Call, target: Target, error: client.ExchangeError
    ) -> outcomes.Outcome | Failed:
        """Interprets an exchange that gave no whole answer."""
        where = f"server {target.server.id}: {error}"
        self.shun(target.server.id)
        if one.fault is not None:
            return outcomes.Unknown(code=codes.BODY_CUT, detail=str(one.fault))
        if not error.sent:
            return Failed(
                failure=retry.Failure.NOT_SENT,
                outcome=outcomes.NotRun(
                    code=codes.NO_SERVER,
                    detail=where,
                    retry_after=RETRY_AFTER_SECONDS,
                ),
            )
        code = codes.LOST
        if error.late:
            code = codes.TIMED_OUT
        elif error.answered:
            code = codes.BAD_ANSWER
        return Failed(
            failure=retry.Failure.LOST,
            outcome=outcomes.Unknown(code=code, detail=where),
        )


def is_not_run(result: outcomes.Outcome | Failed) -> bool:
    """Tells whether a try surely did not run."""
    outcome = result.outcome if isinstance(result, Failed) else result
    return isinstance(outcome, outcomes.NotRun)


def from_claim(claim: claims.Claim) -> outcomes.Outcome:
    """Returns the outcome of a request that may not be sent now."""
    match claim:
        case claims.Replay(response=None):
            return outcomes.Complete(
                response=messages.problem(codes.ALREADY_RUN),
                server="",
                code=codes.ALREADY_RUN,
            )
        case claims.Replay(response=response):
            return outcomes.Complete(
                response=response, server="", code=codes.REPLAYED
            )
        case claims.Mismatch():
            return outcomes.NotRun(code=codes.KEY_REUSED)
        case claims.Running():
            return outcomes.Unknown(code=codes.IN_PROGRESS)
    return outcomes.NotRun(
        code=codes.CLAIM_UNAVAILABLE, retry_after=RETRY_AFTER_SECONDS
    )
