"""Handles callers' requests: admission, limits and responses."""

import asyncio
import dataclasses
import re
import uuid

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist.entry import calls
from oleanderhoist.entry import claims
from oleanderhoist.entry import contracts
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import ratelimiter
from oleanderhoist.entry import sending
from oleanderhoist.http import messages

MAX_IN_FLIGHT_REQUESTS = 2_000

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
    """Customer, kind of work and key of an admitted request."""

    customer: str
    work: contract.Work
    key: str


class Frontend:
    """Handles callers' requests.

    Args:
        contracts: Active contracts.
        rate_limiter: Enforces the contracts' rates.
        forwarder: Forwards admitted calls.
        claims: Checks earlier claims on Idempotency-Keys.
        clock: Time source.

    Attributes:
        answers_due: When every request gets its answer; set by a stop.
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
        self.answers_due = deadline.SharedDeadline(catch_up=True)
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request."""
        id = str(uuid.uuid4())
        received_at = self.clock.monotonic()
        self.in_flight += 1
        self.idle.clear()
        try:
            rank, response = await self.respond(id, request, received_at)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()
        response.headers.append((b"oleander-request-id", id.encode()))
        response.close = response.close or self.stopping
        self.record_outcome(id, rank, response, received_at)
        return response

    def record_outcome(
        self,
        id: str,
        rank: str,
        response: messages.Response,
        received_at: float,
    ) -> None:
        """Logs an outcome and updates the metrics."""
        elapsed_seconds = self.clock.monotonic() - received_at
        outcome = messages.find(response.headers, b"oleander-outcome")
        code = messages.find(response.headers, b"oleander-code")
        LATENCY.labels(rank, outcome).observe(elapsed_seconds)
        OUTCOMES.labels(rank, code).inc()
        log.write(
            events.REQUEST_ENDED,
            request=id,
            outcome=outcome,
            code=code,
            status=response.status,
            took_ms=round(elapsed_seconds * 1000, 3),
        )

    async def respond(
        self, id: str, request: messages.Request, received_at: float
    ) -> tuple[str, messages.Response]:
        """Returns the rank and the response of a request."""
        admitted = self.admit(request)
        if isinstance(admitted, outcomes.NotRun):
            return "none", to_response(admitted, close=has_unread_body(request))
        call = calls.Call(
            id=id,
            customer=admitted.customer,
            work=admitted.work,
            key=admitted.key,
            request=request,
            deadline=received_at + admitted.work.deadline_ms / 1000,
            idempotency_key=request.header(b"idempotency-key") or "",
        )
        outcome = await self.process(call)
        close = has_unread_body(request) and call.remaining_body is not None
        rank = str(call.work.rank)
        refused = isinstance(outcome, outcomes.NotRun)
        return rank, to_response(
            outcome, close=close or (refused and has_unread_body(request))
        )

    def admit(self, request: messages.Request) -> Admitted | outcomes.NotRun:
        """Returns customer, kind of work and key of a request, or a refusal."""
        if self.stopping:
            return outcomes.NotRun(code=codes.STOPPING)
        if not self.contracts.is_confirmed():
            return outcomes.NotRun(code=codes.NOT_READY)
        authorization = request.header(b"authorization") or ""
        scheme, _, credential = authorization.partition(" ")
        customer_contract = None
        if scheme.lower() == "bearer":
            customer_contract = self.contracts.find(credential.strip())
        if customer_contract is None:
            return outcomes.NotRun(code=codes.NO_CREDENTIAL)
        work_and_key = customer_contract.find(request.method, request.path)
        if work_and_key is None:
            return outcomes.NotRun(code=codes.OUTSIDE_CONTRACT)
        work, key = work_and_key
        return Admitted(customer=customer_contract.customer, work=work, key=key)

    async def process(self, call: calls.Call) -> outcomes.Outcome:
        """Checks limits, buffers the body and forwards an admitted call."""
        idempotency_key = call.request.header(b"idempotency-key")
        if idempotency_key is not None and not _IDEMPOTENCY_KEY.fullmatch(
            idempotency_key
        ):
            return outcomes.NotRun(code=codes.BAD_IDEMPOTENCY_KEY)
        refusal = self.check_limits(call)
        if refusal is not None and not call.needs_claim:
            return refusal
        try:
            async with self.forwarder.slots_due.limit():
                await call.buffer_body()
        except deadline.PassedError:
            return stopped_body_outcome(call)
        except calls.BodyTooLargeError:
            return outcomes.NotRun(code=codes.BODY_TOO_LARGE)
        except messages.BodyError as error:
            return outcomes.NotRun(
                code=codes.BODY_NOT_RECEIVED, detail=str(error)
            )
        if call.needs_claim and call.remaining_body is not None:
            return outcomes.NotRun(
                code=codes.BODY_TOO_LARGE,
                detail=f"under a key, at most {calls.MAX_BUFFERED_BYTES} bytes",
            )
        outcome = refusal or await self.forward(call)
        if isinstance(outcome, outcomes.NotRun) and call.needs_claim:
            return await self.verify_in_time(call, outcome)
        return outcome

    async def forward(self, call: calls.Call) -> outcomes.Outcome:
        """Forwards a call; a stop ends the wait for its server."""
        try:
            async with self.answers_due.limit():
                return await self.forwarder.forward(call)
        except deadline.PassedError:
            return self.forwarder.stopped_outcome(call)

    async def verify_in_time(
        self, call: calls.Call, outcome: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Verifies `not run`, which is unknown if a stop leaves no time."""
        try:
            async with self.answers_due.limit():
                return await self.verify_not_run(call, outcome)
        except deadline.PassedError:
            return unchecked_outcome(outcome.code)

    def check_limits(self, call: calls.Call) -> outcomes.NotRun | None:
        """Returns the refusal of a call over a limit, or None."""
        if self.in_flight > MAX_IN_FLIGHT_REQUESTS:
            return outcomes.NotRun(
                code=codes.OVERLOADED,
                detail="this entry is full",
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            )
        if not self.rate_limiter.allow(call.customer, call.work):
            return outcomes.NotRun(
                code=codes.OVER_LIMIT,
                detail=(
                    f"{call.work.name}: {call.work.rate_per_second:g} requests "
                    "a second for all entries together"
                ),
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            )
        return None

    async def verify_not_run(
        self, call: calls.Call, outcome: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Confirms `not run` only if no earlier submission may have run.

        The call has an Idempotency-Key, so the caller may have submitted it
        before, through another entry.
        """
        if outcome.code is codes.KEY_REUSED:
            return outcome
        earlier_claim = await self.claims.check(
            call.customer, call.idempotency_key, call.fingerprint()
        )
        if earlier_claim is None:
            return outcome
        if isinstance(earlier_claim, claims.Unavailable):
            return unchecked_outcome(outcome.code)
        return sending.outcome_of_claim(earlier_claim)


def stopped_body_outcome(
    call: calls.Call,
) -> outcomes.NotRun | outcomes.Unknown:
    """Returns the outcome of a call whose body a stop leaves no time for.

    Without its whole body, an earlier claim on its key can't be compared.
    """
    if call.needs_claim:
        return unchecked_outcome(codes.STOPPING)
    return outcomes.NotRun(
        code=codes.STOPPING, retry_after=outcomes.RETRY_AFTER_SECONDS
    )


def unchecked_outcome(refusal: codes.Code) -> outcomes.Unknown:
    """Returns the outcome of a refused call whose key was not checked."""
    return outcomes.Unknown(code=codes.REFUSED_UNCHECKED, detail=refusal.title)


def has_unread_body(request: messages.Request) -> bool:
    """Returns whether a request has a body that may be unread."""
    return request.length != 0


def to_response(
    outcome: outcomes.Outcome, *, close: bool = False
) -> messages.Response:
    """Returns the response that reports an outcome to the caller."""
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
