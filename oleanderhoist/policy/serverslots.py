"""Slots, speed and failures of one server, and arrival rates, as measured."""

import dataclasses

SERVICE_SMOOTHING = 0.08
FAILURE_SMOOTHING = 0.15
RATE_WINDOW_SECONDS = 0.5
MIN_SLOT_SECONDS = 0.002  # No attempt completes sooner.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A request that holds a slot.

    Attributes:
        granted_at: When the slot was granted.
        reclaim_at: When the slot is freed if it has not been released.
    """

    granted_at: float
    reclaim_at: float


@dataclasses.dataclass(kw_only=True)
class ServerSlots:
    """A slot queue's state of one server.

    Attributes:
        id: Id of the server.
        data_center: Data centre of the server.
        slots: Requests that it runs concurrently.
        service_seconds: Smoothed service time, in seconds.
        occupied_seconds: Smoothed time that an attempt holds a slot, in
            seconds; short when the server rejects requests immediately.
            None until an attempt has ended.
        failure_rate: Smoothed fraction of attempts that failed.
        running: Requests that hold a slot, by requester and id.
        blocked_until: Until when it gets no requests.
        last_used_at: When it was last granted to a request.
    """

    id: str
    data_center: str
    slots: int
    service_seconds: float
    occupied_seconds: float | None = None
    failure_rate: float = 0.0
    running: dict[tuple[str, int], Running] = dataclasses.field(
        default_factory=dict
    )
    blocked_until: float = 0.0
    last_used_at: float = 0.0

    def available(self, now: float) -> bool:
        """Returns whether it can take another request."""
        return len(self.running) < self.slots and now >= self.blocked_until

    def service_rate(self) -> float:
        """Returns the requests per second that it can complete.

        Requests that the server rejects immediately take hardly any slot
        time, so a server that rejects half of them completes almost as many
        as before.
        """
        seconds = max(MIN_SLOT_SECONDS, self.slot_seconds())
        return self.slots * (1.0 - self.failure_rate) / seconds

    def slot_seconds(self) -> float:
        """Returns the time that an attempt holds a slot, in seconds."""
        return (
            self.service_seconds
            if self.occupied_seconds is None
            else self.occupied_seconds
        )

    def record_attempt(
        self, occupied: float, seconds: float | None, failed: bool
    ) -> None:
        """Updates the statistics with an attempt that has ended.

        One that neither completed nor failed, as its caller left, says nothing
        about failures.

        Args:
            occupied: Time that it held a slot, in seconds.
            seconds: Service time in seconds; None when it says nothing about
                the server's speed.
            failed: Whether the attempt failed.
        """
        before = self.slot_seconds()
        self.occupied_seconds = before + (occupied - before) * SERVICE_SMOOTHING
        if seconds is not None:
            self.service_seconds += (
                seconds - self.service_seconds
            ) * SERVICE_SMOOTHING
        if failed or seconds is not None:
            self.failure_rate += (
                float(failed) - self.failure_rate
            ) * FAILURE_SMOOTHING


@dataclasses.dataclass(kw_only=True)
class Arrivals:
    """Arrival rate of one rank, decaying over a time window.

    Attributes:
        recent: Arrivals in the window that ends at `last`.
        last: Time of the last arrival.
    """

    recent: float = 0.0
    last: float = 0.0

    def rate(self, now: float) -> float:
        """Returns the arrivals per second."""
        remaining = max(0.0, 1.0 - (now - self.last) / RATE_WINDOW_SECONDS)
        return self.recent * remaining / RATE_WINDOW_SECONDS

    def count(self, now: float) -> None:
        """Counts an arrival."""
        self.recent = self.rate(now) * RATE_WINDOW_SECONDS + 1.0
        self.last = now
