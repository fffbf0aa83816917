"""Sends one try of a call to a server and tells what is proved by it."""

import asyncio
import dataclasses

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.entry import call
from oleanderhoist.entry import claims
from oleanderhoist.entry import slotclient
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

REFUSED_HEADER = b"oleander-refused"
LOAD_HEADER = b"oleander-load"
AVOID_SECONDS = 1.0
FRESH_SECONDS = 0.5
CANCEL_SECONDS = 1.0


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


class Sender:
    """Performs the exchanges with servers.

    Args:
        clock: Time source.
        slot_client: Takes in the load that servers report.
    """

    def __init__(
        self, *, clock: clock.Clock, slot_client: slotclient.SlotClient
    ):
        self.clock = clock
        self.slot_client = slot_client
        self.clients = client.Clients()
        self.avoid: dict[str, float] = {}
        self.cancels: set[asyncio.Task] = set()

    def suspect(self, server: str) -> None:
        """Leaves a server out of the choice for a moment."""
        self.avoid[server] = self.clock.monotonic() + AVOID_SECONDS

    def is_suspected(self, server: str) -> bool:
        """Tells whether a server is left out of the choice."""
        return self.avoid.get(server, 0.0) > self.clock.monotonic()

    async def send(
        self, one: call.Call, target: Target
    ) -> outcomes.Outcome | Failed:
        """Performs the exchange with the server, once."""
        remaining = one.deadline - self.clock.monotonic()
        if remaining <= 0:
            return outcomes.NotRun(code=codes.TOO_LATE)
        peer = self.clients.get(target.server.address)
        try:
            response = await peer.request(
                one.request.method,
                one.request.target,
                timeout=remaining,
                headers=self.headers(one, target, remaining),
                body=one.stream() if one.rest is not None else one.body,
                stream=not one.claimed,
                idle_seconds=(
                    client.IDLE_SECONDS
                    if one.work.repeatable
                    else FRESH_SECONDS
                ),
            )
        except client.ExchangeError as error:
            if error.timed_out and error.maybe_sent:
                self.cancel(one, peer)
            return self.broken(one, target, error)
        return self.answered(target, response)

    def cancel(self, one: call.Call, peer: client.Client) -> None:
        """Asks a server to drop a request that nobody waits for any more.

        Its answer proves nothing, so the outcome stays unknown.
        """
        task = asyncio.create_task(self.ask_to_cancel(one.id, peer))
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def ask_to_cancel(self, id: str, peer: client.Client) -> None:
        """Sends one cancellation."""
        try:
            await peer.request(
                "DELETE", f"/oleander/requests/{id}", timeout=CANCEL_SECONDS
            )
        except client.ExchangeError:
            pass

    def headers(
        self, one: call.Call, target: Target, remaining: float
    ) -> messages.Headers:
        """Returns the headers that go to the server."""
        deadline = self.clock.wall() + remaining
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
            self.suspect(target.server.id)
        if not messages.find(response.headers, REFUSED_HEADER):
            return outcomes.Complete(response=response, server=target.server.id)
        if response.status == 504:
            return outcomes.NotRun(code=codes.TOO_LATE)
        self.suspect(target.server.id)
        return Failed(
            failure=retry.Failure.REFUSED,
            outcome=outcomes.NotRun(
                code=codes.SERVER_REFUSED,
                detail=f"server {target.server.id}: {response.status}",
                retry_after=outcomes.RETRY_AFTER_SECONDS,
            ),
        )

    def note_load(self, server: str, response: messages.Response) -> None:
        """Takes in the load a server reports of itself, if it does."""
        reported = messages.find(response.headers, LOAD_HEADER) or ""
        if reported.isdigit():
            load = self.slot_client.loads[server]
            load.depth = int(reported)
            load.heard_at = self.clock.monotonic()

    def broken(
        self, one: call.Call, target: Target, error: client.ExchangeError
    ) -> outcomes.Outcome | Failed:
        """Interprets an exchange that gave no whole answer."""
        where = f"server {target.server.id}: {error}"
        self.suspect(target.server.id)
        if one.fault is not None:
            return outcomes.Unknown(code=codes.BODY_CUT, detail=str(one.fault))
        if not error.maybe_sent:
            return Failed(
                failure=retry.Failure.NOT_SENT,
                outcome=outcomes.NotRun(
                    code=codes.NO_SERVER,
                    detail=where,
                    retry_after=outcomes.RETRY_AFTER_SECONDS,
                ),
            )
        code = codes.LOST
        if error.timed_out:
            code = codes.TIMED_OUT
        elif error.response_started:
            code = codes.BAD_ANSWER
        return Failed(
            failure=retry.Failure.OUTCOME_UNKNOWN,
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
        code=codes.CLAIM_UNAVAILABLE, retry_after=outcomes.RETRY_AFTER_SECONDS
    )
