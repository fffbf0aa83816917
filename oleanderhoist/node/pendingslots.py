"""Slot requests of this router that have no verdict yet."""

import asyncio
import dataclasses
import enum

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.policy import slotrequests

MIN_LOGGED_WAIT_SECONDS = 0.05  # A refusal at once takes less.


class WaitResult(enum.StrEnum):
    """How a wait for a slot ended without one."""

    REFUSED = "refused"
    DEADLINE = "deadline"
    SILENT = "silent"
    MOVED = "moved"
    STOPPED = "stopped"
    GONE = "gone"


@dataclasses.dataclass(kw_only=True)
class PendingSlotRequest:
    """A slot request without a verdict.

    Attributes:
        request: The slot request.
        queue: Slot queue of the slot.
        coordinator: Address of the router that was asked; others' replies to
            the request are late ones.
        started_at: When the wait began, in seconds on the monotonic clock.
        future: Receives the verdict; None if the coordinator has changed.
        expected_wait: Expected wait in seconds; None until the coordinator
            reports that it has queued the slot request.
        replied_at: When the coordinator last replied, in seconds on the
            monotonic clock; None before a reply.
    """

    request: slotrequests.SlotRequest
    queue: str
    coordinator: str
    started_at: float
    future: asyncio.Future[slotrequests.Verdict | None]
    expected_wait: float | None = None
    replied_at: float | None = None

    def log_end(self, result: WaitResult, now: float) -> None:
        """Logs that the wait ended without a slot, unless it was short."""
        elapsed = now - self.started_at
        if elapsed < MIN_LOGGED_WAIT_SECONDS:
            return
        log.write_limited(
            events.SLOT_WAIT_ENDED,
            request=self.request.request_id,
            lane=self.queue,
            home=self.coordinator,
            took_ms=round(elapsed * 1000, 1),
            result=result.value,
        )
