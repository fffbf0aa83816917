"""Watches for the silence of a server that a request was sent to."""

import asyncio
import math

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import jobs
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.policy import silence

SILENT = prometheus_client.Counter(
    "oleander_silent_requests",
    "Requests that a server did not answer as it usually does",
)


class SilenceWatch:
    """Watches one attempt, from its start to `end`.

    Once the server is silent, its coordinator is told, and the request is
    hedged at once if that is of use.

    Args:
        job: The request.
        grant: The slot that it was sent with.
        slot_client: Reports the silence.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        job: jobs.Job,
        grant: slotgrants.SlotGrant,
        slot_client: slotclient.SlotClient,
        clock: clock.Clock,
    ):
        self.job = job
        self.grant = grant
        self.slot_client = slot_client
        self.clock = clock
        self.timer: asyncio.TimerHandle | None = None
        if not math.isinf(grant.silent_after):
            self.timer = asyncio.get_running_loop().call_later(
                grant.silent_after, self.on_silence
            )

    def end(self) -> bool:
        """Ends the watch; returns whether the server was silent."""
        if self.timer is None:
            return False
        self.timer.cancel()
        return asyncio.get_running_loop().time() >= self.timer.when()

    def on_silence(self) -> None:
        """Reports the silence; hedges the request if that is of use."""
        SILENT.inc()
        log.write_limited(
            events.REQUEST_SILENT,
            request=self.job.head.id,
            server=self.grant.server,
            service_ms=round(self.grant.service_seconds * 1000),
            silent_ms=round(self.grant.silent_after * 1000),
        )
        self.slot_client.report_silence(self.grant)
        now = self.clock.monotonic()
        useful = silence.is_repeat_useful(
            mean=self.grant.service_seconds,
            objective=self.job.objective - now,
            remaining=self.job.deadline - now,
        )
        if self.job.hedge_timeout is not None and useful:
            self.job.hedge_timeout.reschedule(asyncio.get_running_loop().time())
