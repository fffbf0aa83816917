"""Sends one attempt of a call to a server and interprets the result."""

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import dataclasses

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.entry import calls
from oleanderhoist.entry import claims
from oleanderhoist.entry import slotclient
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import framing
from oleanderhoist.http import messages
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

REQUEST_ID_HEADER = b"oleander-request-id"
REFUSED_HEADER = b"oleander-refused"
LOAD_HEADER = b"oleander-load"
SUSPECT_SERVER_SECONDS = 1.0
# A server may close a connection that idled longer just as a request is sent,
# which leaves it unknown whether the request ran.
UNREPEATABLE_MAX_IDLE_SECONDS = 0.5
CANCEL_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """The server that a call is sent to.

    Attributes:
        server: The chosen server.
        partition: Partition of the key; empty in a pool without keys.
        fence: Fence of the partition. It grows with each new owner; servers
            refuse lower ones.
        reason: Why this server was selected.
        candidates: Number of servers that could have been selected.
    """

    server: topology.Server
    partition: str = ""
    fence: int = 0
    reason: str = ""
    candidates: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """A failed attempt that may be retried.

    Attributes:
        failure: Kind of failure.
        outcome: Outcome of the call if it is not retried.
    """

    failure: retry.Failure
    outcome: outcomes.Outcome


class Sender:
    """Performs the HTTP exchanges with servers.

    Args:
        clock: Time source.
        slot_client: Records the load that servers report.
    """

    def __init__(
        self, *, clock: clock.Clock, slot_client: slotclient.SlotClient
    ):
        self.clock = clock
        self.slot_client = slot_client
        self.clients = client.Clients()
        self.suspected_until: dict[str, float] = {}
        self.cancel_tasks: set[asyncio.Task] = set()

    def suspect(self, server: str) -> None:
        """Excludes a server from the choice for SUSPECT_SERVER_SECONDS."""
        self.suspected_until[server] = (
            self.clock.monotonic() + SUSPECT_SERVER_SECONDS
        )

    def is_suspected(self, server: str) -> bool:
        """Returns whether a server is excluded from the choice."""
        return self.suspected_until.get(server, 0.0) > self.clock.monotonic()

    async def send(
        self, call: calls.Call, target: Target
    ) -> outcomes.Outcome | FailedAttempt:
        """Sends a call to a server, once, and counts what may have run it."""
        call.possible_runs += 1
        result = await self.exchange(call, target)
        if is_not_run(result):
            call.possible_runs -= 1
        return result

    async def exchange(
        self, call: calls.Call, target: Target
    ) -> outcomes.Outcome | FailedAttempt:
        """Performs one exchange and interprets its result."""
        remaining = call.deadline - self.clock.monotonic()
        if remaining <= 0:
            return outcomes.NotRun(code=codes.TOO_LATE)
        server_client = self.clients.get(
            target.server.address, target.server.id
        )
        # On a kept connection, a late copy of the first refusal has this id.
        fresh = not call.work.repeatable and target.server.id in call.tried
        call.tried.add(target.server.id)
        try:
            response = await server_client.request(
                call.request.method,
                call.request.target,
                timeout=remaining,
                headers=self.headers(call, target, remaining),
                body=(
                    call.stream_body()
                    if call.remaining_body is not None
                    else call.body
                ),
                stream_limit=exchanges.never_stream
                if call.needs_claim
                else exchanges.stream_large,
                idle_seconds=(
                    framing.IDLE_SECONDS
                    if call.work.repeatable
                    else UNREPEATABLE_MAX_IDLE_SECONDS
                ),
                accept=lambda headers: match_request(call.id, headers),
                fresh=fresh,
            )
        except exchanges.ExchangeError as error:
            if error.timed_out and error.maybe_sent:
                self.cancel(call, server_client)
            return self.interpret_failure(call, target, error)
        return self.interpret_response(target, response)

    def cancel(self, call: calls.Call, server_client: client.Client) -> None:
        """Asks a server to cancel a request whose deadline has passed.

        The answer does not prove whether the request ran, so the outcome
        stays unknown.
        """
        task = asyncio.create_task(self.send_cancel(call.id, server_client))
        self.cancel_tasks.add(task)
        task.add_done_callback(self.cancel_tasks.discard)

    async def send_cancel(self, id: str, server_client: client.Client) -> None:
        """Sends a cancellation; errors are ignored."""
        try:
            await server_client.request(
                "DELETE",
                f"/oleander/requests/{id}",
                timeout=CANCEL_TIMEOUT_SECONDS,
            )
        except exchanges.ExchangeError:
            pass

    def headers(
        self, call: calls.Call, target: Target, remaining: float
    ) -> messages.Headers:
        """Returns the headers to send to the server."""
        deadline = self.clock.wall() + remaining
        added = [
            (REQUEST_ID_HEADER, call.id.encode()),
            (b"oleander-customer", call.customer.encode()),
            (b"oleander-deadline", b"%.3f" % deadline),
        ]
        if target.partition:
            name = target.partition.encode()
            added.append((b"oleander-partition", name))
            added.append((b"oleander-fence", b"%d" % target.fence))
        if call.remaining_body is not None and call.request.length is not None:
            added.append((b"content-length", b"%d" % call.request.length))
        elif call.remaining_body is not None:
            added.append((b"transfer-encoding", b"chunked"))
        return call.headers() + added

    def interpret_response(
        self, target: Target, response: messages.Response
    ) -> outcomes.Outcome | FailedAttempt:
        """Interprets a response; its body may still be streaming."""
        self.record_load(target.server.id, response)
        if messages.find(response.headers, b"oleander-draining"):
            self.suspect(target.server.id)
        if not messages.find(response.headers, REFUSED_HEADER):
            if response.stream is not None:
                response.stream = self.judge_stream(
                    target.server.id, response.stream
                )
            return outcomes.Complete(response=response, server=target.server.id)
        if response.status == 504:
            return outcomes.NotRun(code=codes.TOO_LATE)
        self.suspect(target.server.id)
        return FailedAttempt(
            failure=retry.Failure.REFUSED,
            outcome=outcomes.NotRun(
                code=codes.SERVER_REFUSED,
                detail=f"server {target.server.id}: {response.status}",
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            ),
        )

    async def judge_stream(
        self, server: str, stream: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        """Yields a stream; excludes its server if that breaks off."""
        async with contextlib.aclosing(stream):
            try:
                async for chunk in stream:
                    yield chunk
            except ConnectionAbortedError:
                self.suspect(server)
                raise

    def record_load(self, server: str, response: messages.Response) -> None:
        """Records the load that a server reports in its response, if any."""
        reported = messages.find(response.headers, LOAD_HEADER) or ""
        if reported.isdigit():
            load = self.slot_client.loads[server]
            load.depth = int(reported)
            load.heard_at = self.clock.monotonic()

    def interpret_failure(
        self, call: calls.Call, target: Target, error: exchanges.ExchangeError
    ) -> outcomes.Outcome | FailedAttempt:
        """Interprets an exchange without a complete response."""
        detail = f"server {target.server.id}: {error}"
        self.suspect(target.server.id)
        if call.body_error is not None:
            return outcomes.Unknown(
                code=codes.BODY_CUT, detail=str(call.body_error)
            )
        if not error.maybe_sent:
            return FailedAttempt(
                failure=retry.Failure.NOT_SENT,
                outcome=outcomes.NotRun(
                    code=codes.NO_SERVER,
                    detail=detail,
                    retry_after=outcomes.RETRY_AFTER_SECONDS,
                ),
            )
        code = codes.LOST
        if error.timed_out:
            code = codes.TIMED_OUT
        elif error.response_started:
            code = codes.BAD_ANSWER
        return FailedAttempt(
            failure=retry.Failure.OUTCOME_UNKNOWN,
            outcome=outcomes.Unknown(code=code, detail=detail),
        )


def match_request(id: str, headers: messages.Headers) -> messages.Match:
    """Returns which request a server's response names.

    A response other than a refusal may leave out the id.
    """
    match = messages.match_request(headers, REQUEST_ID_HEADER, id)
    refused = messages.find(headers, REFUSED_HEADER)
    if match is messages.Match.UNNAMED and not refused:
        return messages.Match.OURS
    return match


def is_not_run(result: outcomes.Outcome | FailedAttempt) -> bool:
    """Returns whether an attempt certainly did not run the request."""
    outcome = result.outcome if isinstance(result, FailedAttempt) else result
    return isinstance(outcome, outcomes.NotRun)


def outcome_of_claim(claim: claims.ClaimResult) -> outcomes.Outcome:
    """Returns the outcome of a request that must not be sent."""
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
        case claims.InProgress():
            return outcomes.Unknown(code=codes.IN_PROGRESS)
    return outcomes.NotRun(
        code=codes.CLAIM_UNAVAILABLE, retry_after=outcomes.RETRY_AFTER_SECONDS
    )
