"""The callers' side: credentials, contracts, limits and answers."""

import asyncio
import dataclasses
import re
import uuid

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist.entry import call
from oleanderhoist.entry import claims
from oleanderhoist.entry import contracts
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import ratelimiter
from oleanderhoist.entry import sending
from oleanderhoist.http import messages
from oleanderhoist.http import server

MAX_IN_FLIGHT = 2_000

_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")

LATENCY = prometheus_client.Histogram(
    "oleander_request_seconds",
    "Time from a request's head to the end of its outcome",
    ["rank", "outcome"],
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5, 30),
)
OUTCOMES = prometheus_client.Counter(
    "oleander_outcomes", "Requests by result", ["rank", "code"]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """A request's customer, kind of work and key."""

    customer: str
    work: contract.Work
    key: str


class Frontend:
    """Answers callers.

    Args:
        contracts: Contracts in force.
        rate_limiter: Limits.
        forwarder: Sends admitted calls.
        claims: Claims on Idempotency-Keys.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        contracts: contracts.Contracts,
        rate_limiter: ratelimiter.RateLimiter,
        forwarder: forwarder.Forwarder,
        claims: claims.Claims,
        clock: clock.Clock,
    ):
        self.contracts = contracts
        self.rate_limiter = rate_limiter
        self.forwarder = forwarder
        self.claims = claims
        self.clock = clock
        self.in_flight = 0
        self.stopping = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        id = str(uuid.uuid4())
        began = self.clock.monotonic()
        self.in_flight += 1
        self.idle.clear()
        try:
            rank, response = await self.answer(id, request, began)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()
        response.headers.append((b"oleander-request-id", id.encode()))
        response.close = response.close or self.stopping
        self.count(id, rank, response, began)
        return response

    def count(
        self, id: str, rank: str, response: messages.Response, began: float
    ) -> None:
        """Logs and measures an outcome."""
        took = self.clock.monotonic() - began
        outcome = messages.find(response.headers, b"oleander-outcome")
        code = messages.find(response.headers, b"oleander-code")
        LATENCY.labels(rank, outcome).observe(took)
        OUTCOMES.labels(rank, code).inc()
        log.write(
            events.REQUEST_ENDED,
            request=id,
            outcome=outcome,
            code=code,
            status=response.status,
            took_ms=round(took * 1000, 3),
        )

    async def answer(
        self, id: str, request: messages.Request, began: float
    ) -> tuple[str, messages.Response]:
        """Returns the request's rank and answer."""
        admitted = self.admit(request)
        if isinstance(admitted, outcomes.NotRun):
            return "none", render(admitted, close=unread(request))
        one = call.Call(
            id=id,
            customer=admitted.customer,
            work=admitted.work,
            key=admitted.key,
            request=request,
            deadline=began + admitted.work.deadline_ms / 1000,
            idempotency_key=request.header(b"idempotency-key") or "",
        )
        outcome = await self.run(one)
        close = unread(request) and one.rest is not None
        rank = str(one.work.rank)
        refused = isinstance(outcome, outcomes.NotRun)
        return rank, render(
            outcome, close=close or (refused and unread(request))
        )

    def admit(self, request: messages.Request) -> Admitted | outcomes.NotRun:
        """Finds the contract and kind of work of a request."""
        if self.stopping:
            return outcomes.NotRun(code=codes.STOPPING)
        if not self.contracts.is_confirmed():
            return outcomes.NotRun(code=codes.NOT_READY)
        given = request.header(b"authorization") or ""
        scheme, _, credential = given.partition(" ")
        known = None
        if scheme.lower() == "bearer":
            known = self.contracts.find(credential.strip())
        if known is None:
            return outcomes.NotRun(code=codes.NO_CREDENTIAL)
        found = known.find(request.method, request.path)
        if found is None:
            return outcomes.NotRun(code=codes.OUTSIDE_CONTRACT)
        work, key = found
        return Admitted(customer=known.customer, work=work, key=key)

    async def run(self, one: call.Call) -> outcomes.Outcome:
        """Limits, reads and sends an admitted call."""
        key = one.request.header(b"idempotency-key")
        if key is not None and not _IDEMPOTENCY_KEY.fullmatch(key):
            return outcomes.NotRun(code=codes.BAD_IDEMPOTENCY_KEY)
        limited = self.limit(one)
        if limited is not None and not one.claimed:
            return limited
        try:
            await one.buffer()
        except call.BodyTooLargeError:
            return outcomes.NotRun(code=codes.BODY_TOO_LARGE)
        except server.BodyError as error:
            return outcomes.NotRun(
                code=codes.BODY_NOT_RECEIVED, detail=str(error)
            )
        if one.claimed and one.rest is not None:
            return outcomes.NotRun(
                code=codes.BODY_TOO_LARGE,
                detail=f"under a key, at most {call.BUFFER_BYTES} bytes",
            )
        outcome = limited or await self.forwarder.serve(one)
        if isinstance(outcome, outcomes.NotRun) and one.claimed:
            return await self.verify(one, outcome)
        return outcome

    def limit(self, one: call.Call) -> outcomes.NotRun | None:
        """Refuses a request over a limit."""
        if self.in_flight > MAX_IN_FLIGHT:
            return outcomes.NotRun(
                code=codes.OVERLOADED,
                detail="this entry is full",
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            )
        if not self.rate_limiter.allow(one.customer, one.work):
            return outcomes.NotRun(
                code=codes.OVER_LIMIT,
                detail=(
                    f"{one.work.name}: {one.work.rate_per_second:g} requests "
                    "a second for all entries together"
                ),
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            )
        return None

    async def verify(
        self, one: call.Call, outcome: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Says `not run` under a key only if no earlier try may have run."""
        if outcome.code is codes.KEY_REUSED:
            return outcome
        earlier = await self.claims.check(
            one.customer, one.idempotency_key, one.fingerprint()
        )
        if earlier is None:
            return outcome
        if isinstance(earlier, claims.Unavailable):
            return outcomes.Unknown(
                code=codes.REFUSED_UNCHECKED, detail=outcome.code.title
            )
        return sending.from_claim(earlier)


def unread(request: messages.Request) -> bool:
    """Tells whether a request has a body that may not have been read."""
    return request.length != 0


def render(
    outcome: outcomes.Outcome, *, close: bool = False
) -> messages.Response:
    """Returns an outcome as the caller sees it."""
    match outcome:
        case outcomes.Complete(response=response, code=code):
            headers = messages.end_to_end(response.headers)
            headers = [
                (name, value)
                for name, value in headers
                if not name.startswith(b"oleander-")
            ]
            headers.append((b"oleander-outcome", b"complete"))
            headers.append((b"oleander-code", str(code.number).encode()))
            return dataclasses.replace(response, headers=headers, close=close)
        case outcomes.NotRun(code=code, detail=detail, retry_after=after):
            return messages.problem(
                code, detail=detail, retry_after=after, close=close
            )
        case outcomes.Unknown(code=code, detail=detail):
            return messages.problem(code, detail=detail, close=close)
