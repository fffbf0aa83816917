"""HTTP frontend for callers: admits requests and answers them."""

import asyncio

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.node import forwarder
from oleanderhoist.node import jobs
from oleanderhoist.node import state
from oleanderhoist.policy import contractset
from oleanderhoist.policy import objectives

RETRY_AFTER_SECONDS = 0.5
BODY_MEMORY_FRACTION = 0.25

REQUESTS = prometheus_client.Counter(
    "oleander_requests", "Requests by result code", ["code"]
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "oleander_request_seconds", "Time from head to answer"
)


class Frontend:
    """Serves callers.

    Args:
        address: Address to listen on.
        platform: Parses callers' requests and builds the responses.
        forwarder: Forwards requests to servers.
        state: Current snapshot and contracts.
        clock: Time source.
        memory_bytes: Memory of the VM, in bytes.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        platform: ports.Platform,
        forwarder: forwarder.Forwarder,
        state: state.State,
        clock: clock.Clock,
        memory_bytes: int,
    ):
        self.platform = platform
        self.forwarder = forwarder
        self.state = state
        self.clock = clock
        self.max_buffered_bytes = int(memory_bytes * BODY_MEMORY_FRACTION)
        self.buffered_bytes = 0
        self.objectives = objectives.ObjectiveTracker()
        self.server = server.Server(
            handler=self.handle,
            host=address.host,
            port=address.port,
            cancel_on_disconnect=True,
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        arrived = self.clock.monotonic()
        head = self.platform.parse_request(request)
        try:
            outcome = await self.serve(request, head, arrived)
        except asyncio.CancelledError:
            self.record_outcome(head, "gone", arrived)
            raise
        code = outcome.code
        self.record_outcome(head, str(code.number), arrived, outcome)
        return self.platform.to_response(outcome)

    def record_outcome(
        self,
        head: ports.RequestHead,
        result: str,
        arrived: float,
        outcome: outcomes.Outcome | None = None,
    ) -> None:
        """Counts and logs how a request ended."""
        elapsed = self.clock.monotonic() - arrived
        now = self.clock.boottime()
        REQUESTS.labels(result).inc()
        REQUEST_SECONDS.observe(elapsed)
        log.write_limited(
            events.CALL_ENDED,
            request=head.id,
            path=head.path,
            key=head.key,
            code=result,
            detail=getattr(outcome, "detail", ""),
            server=getattr(outcome, "server", ""),
            retry_after=getattr(outcome, "retry_after", None),
            terms=self.state.contracts.version
            if self.state.contracts
            else None,
            terms_age_ms=self.state.contracts_confirmation.age_ms(now),
            view_age_ms=self.state.snapshot_confirmation.age_ms(now),
            took_ms=round(elapsed * 1000, 1),
        )

    async def serve(
        self, request: messages.Request, head: ports.RequestHead, arrived: float
    ) -> outcomes.Outcome:
        """Checks a request against the contracts, then serves it."""
        contracts = self.state.contracts
        if contracts is None:
            return outcomes.NotRun(
                code=codes.NOT_READY, retry_after=RETRY_AFTER_SECONDS
            )
        self.apply_limits(contracts.limits)
        work = contracts.find(head.host, head.path)
        if work is None:
            return outcomes.NotRun(code=codes.OUTSIDE_CONTRACT)
        if (request.length or 0) > contracts.limits.body_bytes:
            return outcomes.NotRun(code=codes.BODY_TOO_LARGE)
        if (
            self.buffered_bytes + (request.length or 0)
            > self.max_buffered_bytes
        ):
            return outcomes.NotRun(
                code=codes.OVERLOADED,
                detail="no memory for the body",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return await self.read_and_forward(request, head, work, arrived)

    async def read_and_forward(
        self,
        request: messages.Request,
        head: ports.RequestHead,
        work: contractset.Work,
        arrived: float,
    ) -> outcomes.Outcome:
        """Reads the body and forwards the request."""
        body = bytearray()
        try:
            async with self.forwarder.slots_due.limit():
                async for chunk in request.body:
                    body += chunk
                    self.buffered_bytes += len(chunk)
                    if self.buffered_bytes > self.max_buffered_bytes:
                        return outcomes.NotRun(
                            code=codes.OVERLOADED,
                            detail="no memory for the body",
                        )
            return await self.forwarder.serve(
                self.make_job(request, head, work, arrived, body)
            )
        except deadline.PassedError:
            return outcomes.NotRun(
                code=codes.STOPPING, retry_after=RETRY_AFTER_SECONDS
            )
        except messages.BodyError as error:
            return outcomes.NotRun(
                code=codes.BODY_NOT_RECEIVED, detail=str(error)
            )
        finally:
            self.buffered_bytes -= len(body)

    def make_job(
        self,
        request: messages.Request,
        head: ports.RequestHead,
        work: contractset.Work,
        arrived: float,
        body: messages.Buffer,
    ) -> jobs.Job:
        """Returns the job that forwards a request."""
        remaining = work.timeout
        if head.remaining is not None:
            remaining = min(remaining, head.remaining)
        objective = self.objectives.remaining(work, head.remaining)
        return jobs.Job(
            request=request,
            head=head,
            body=body,
            work=work,
            pool=jobs.draw_pool(work),
            arrived=arrived,
            deadline=arrived + remaining,
            objective=arrived + objective,
            age=self.objectives.age(work, head.remaining),
        )

    def apply_limits(self, limits: contractset.MessageLimits) -> None:
        """Applies the contracts' limits to the HTTP server."""
        self.server.settings.head_seconds = limits.head_seconds
        self.server.settings.head_bytes = limits.head_bytes
        self.server.settings.idle_seconds = limits.idle_seconds
