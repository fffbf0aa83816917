"""Callers' interface: admits requests and answers them."""

import asyncio

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.node import forwarder
from oleanderhoist.node import state
from oleanderhoist.policy import contractset
from oleanderhoist.policy import objectives

NOT_READY_RETRY_SECONDS = 0.5
BODY_MEMORY_FRACTION = 0.25

ENDED = prometheus_client.Counter(
    "oleander_requests", "Requests by result code", ["code"]
)
SECONDS = prometheus_client.Histogram(
    "oleander_request_seconds", "Time from head to answer"
)


class Frontend:
    """Serves callers.

    Args:
        address: Where to listen.
        platform: Translates to and from callers.
        forwarder: Takes requests to servers.
        state: What is known.
        clock: Time source.
        memory_bytes: Memory of the VM.
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
        self.body_room = int(memory_bytes * BODY_MEMORY_FRACTION)
        self.body_held = 0
        self.objectives = objectives.ObjectiveTracker()
        self.server = server.Server(
            handler=self.handle,
            host=address.host,
            port=address.port,
            cancel_when_gone=True,
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        arrived = self.clock.monotonic()
        call = self.platform.parse_request(request)
        try:
            outcome = await self.outcome(request, call, arrived)
        except asyncio.CancelledError:
            self.note(call, "gone", arrived)
            raise
        code = outcome.code
        self.note(call, str(code.number), arrived, outcome)
        return self.platform.to_response(outcome)

    def note(
        self,
        call: ports.RequestHead,
        result: str,
        arrived: float,
        outcome: outcomes.Outcome | None = None,
    ) -> None:
        """Counts and logs how a request ended."""
        took = self.clock.monotonic() - arrived
        ENDED.labels(result).inc()
        SECONDS.observe(took)
        log.write_limited(
            events.CALL_ENDED,
            request=call.id,
            path=call.path,
            key=call.key,
            code=result,
            detail=getattr(outcome, "detail", ""),
            server=getattr(outcome, "server", ""),
            retry_after=getattr(outcome, "retry_after", None),
            terms=self.state.contracts.version
            if self.state.contracts
            else None,
            view_age_ms=self.view_age_ms(),
            took_ms=round(took * 1000, 1),
        )

    def view_age_ms(self) -> int | None:
        """Returns the age of what is known of servers; None before any."""
        confirmed = self.state.confirmed_at
        if confirmed is None:
            return None
        return round((self.clock.monotonic() - confirmed) * 1000)

    async def outcome(
        self, request: messages.Request, call: ports.RequestHead, arrived: float
    ) -> outcomes.Outcome:
        """Returns how a request ended."""
        present = self.state.contracts
        if present is None:
            return outcomes.NotRun(
                code=codes.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS
            )
        self.apply(present.limits)
        work = present.find(call.host, call.path)
        if work is None:
            return outcomes.NotRun(code=codes.OUTSIDE_CONTRACT)
        if (request.length or 0) > present.limits.body_bytes:
            return outcomes.NotRun(code=codes.BODY_TOO_LARGE)
        if self.body_held + (request.length or 0) > self.body_room:
            return outcomes.NotRun(
                code=codes.OVERLOADED,
                detail="no memory for the body",
                retry_after=NOT_READY_RETRY_SECONDS,
            )
        return await self.admitted(request, call, work, arrived)

    async def admitted(
        self,
        request: messages.Request,
        call: ports.RequestHead,
        work: contractset.Work,
        arrived: float,
    ) -> outcomes.Outcome:
        """Reads the body and takes the request to a server."""
        held = 0
        chunks = []
        try:
            async for chunk in request.body:
                held += len(chunk)
                self.body_held += len(chunk)
                chunks.append(chunk)
                if self.body_held > self.body_room:
                    return outcomes.NotRun(
                        code=codes.OVERLOADED, detail="no memory for the body"
                    )
            body = b"".join(chunks)
            del chunks
            job = self.job(request, call, work, arrived, body)
            return await self.forwarder.serve(job)
        except server.BodyError as error:
            return outcomes.NotRun(
                code=codes.BODY_NOT_RECEIVED, detail=str(error)
            )
        finally:
            self.body_held -= held

    def job(
        self,
        request: messages.Request,
        call: ports.RequestHead,
        work: contractset.Work,
        arrived: float,
        body: bytes,
    ) -> forwarder.Job:
        """Returns a request as the router takes it."""
        remaining = work.timeout
        if call.remaining is not None:
            remaining = min(remaining, call.remaining)
        objective = self.objectives.remaining(work, call.remaining)
        return forwarder.Job(
            request=request,
            call=call,
            body=body,
            work=work,
            pool=forwarder.draw(work),
            arrived=arrived,
            deadline=arrived + remaining,
            objective=arrived + objective,
        )

    def apply(self, limits: contractset.MessageLimits) -> None:
        """Puts the contracts' limits on callers in force."""
        self.server.head_seconds = limits.head_seconds
        self.server.head_bytes = limits.head_bytes
        self.server.idle_seconds = limits.idle_seconds
