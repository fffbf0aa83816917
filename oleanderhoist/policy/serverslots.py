"""Slots, speed and failures of one server, as measured."""

import dataclasses
import math

from oleanderhoist.policy import coldpace
from oleanderhoist.policy import coldstarts
from oleanderhoist.policy import serverlimit
from oleanderhoist.policy import silence

SERVICE_SMOOTHING = 0.08
FAILURE_SMOOTHING = 0.15
MIN_SLOT_SECONDS = 0.002  # No attempt completes sooner.
QUEUED_AT_SERVER = 1  # Requests that may wait at a busy server.
MIN_COLD_RATE = 0.1  # Requests per second; bounds what a slot seems to take.
MIN_ANSWERS = 4  # That a service time rests on before others rely on it.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A request that holds a slot.

    Attributes:
        granted_at: When the slot was granted.
        reclaim_at: When the slot is freed if it has not been released.
        position: Number of requests at the server, including this one, when it
            was granted.
        share: Part of its time that it is expected to be at the server.
    """

    granted_at: float
    reclaim_at: float
    position: float = 1.0
    share: float = 1.0


@dataclasses.dataclass(kw_only=True)
class ServerSlots:
    """A slot queue's state of one server.

    Attributes:
        id: Id of the server.
        data_center: Data centre of the server.
        slots: Requests that it runs concurrently.
        service_seconds: Smoothed service time, in seconds; an assumption
            before the first answer.
        occupied_seconds: Smoothed time that an attempt holds a slot, in
            seconds; short when the server rejects requests immediately.
            None until an attempt has ended.
        failure_rate: Smoothed fraction of attempts that failed.
        running: Requests that hold a slot, by requester and id.
        blocked_until: Until when it gets no requests.
        last_used_at: When it was last granted to a request.
        started_ms: Start time of its process, in milliseconds since the epoch.
        pace: Paces its requests while it limits their rate; else None.
        cold: Paces its requests while it counts as cold; else None.
        absence: What attempts show of whether it is away.
        answers: Number of answers that the service time rests on.
        attempts: Number of attempts that have ended.
        deviation_seconds: Smoothed deviation of the service time, in seconds.
        silent: Which of its requests it has not answered as it usually does.
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
    started_ms: int = 0
    pace: serverlimit.Pace | None = None
    cold: coldpace.ColdPace | None = None
    absence: coldstarts.Absence = dataclasses.field(
        default_factory=coldstarts.Absence
    )
    answers: int = 0
    attempts: int = 0
    deviation_seconds: float = 0.0
    silent: silence.Silence = dataclasses.field(default_factory=silence.Silence)

    def available(self, now: float) -> bool:
        """Returns whether it can run another request at once."""
        return self.used(now) <= self.slots - 1 and self.is_usable(now)

    def used(self, now: float) -> float:
        """Returns how many requests are expected to be at the server."""
        return sum(
            running.share
            for running in self.running.values()
            if now <= running.reclaim_at
        )

    def may_queue(self, now: float) -> bool:
        """Returns whether it may get a request that waits there for a slot.

        Until a released slot has been granted again, over the network, it
        would be idle.
        """
        return (
            self.used(now) <= self.slots - 1 + QUEUED_AT_SERVER
            and self.answers >= MIN_ANSWERS
            and not self.silent.requests
            and not self.is_paced
            and self.is_usable(now)
        )

    @property
    def is_paced(self) -> bool:
        """Whether the rate of its requests is limited."""
        return self.pace is not None or self.cold is not None

    def is_usable(self, now: float) -> bool:
        """Returns whether it takes requests, slots aside."""
        return (
            now >= self.blocked_until
            and self.silent.allows(now)
            and (self.pace is None or self.pace.allows(now))
            and (self.cold is None or self.cold.allows(now))
        )

    def grant(
        self,
        request: tuple[str, int],
        now: float,
        reclaim_at: float,
        *,
        share: float = 1.0,
    ) -> None:
        """Gives a request one of the slots.

        Args:
            request: Requester and id of the slot request.
            now: Current time, in seconds.
            reclaim_at: When the slot is freed if it has not been released.
            share: Part of that time that it is expected to be at the server.
        """
        self.running[request] = Running(
            granted_at=now,
            reclaim_at=reclaim_at,
            position=self.used(now) + share,
            share=share,
        )
        self.last_used_at = now
        self.silent.grant(now, self.service_seconds)
        if self.pace is not None:
            self.pace.take(now)
        if self.cold is not None:
            self.cold.take(now)

    def limit(
        self, limit: float | None, now: float, *, routers: int = 1
    ) -> None:
        """Paces the requests to the limit that the server names.

        Args:
            limit: Requests per second from all routers; None ends the limit.
            now: Current time, in seconds.
            routers: Number of routers that share the limit equally.
        """
        if limit is None:
            self.pace = None
        elif self.pace is None:
            self.pace = serverlimit.Pace(
                limit=limit, routers=routers, confirmed_at=now
            )
        else:
            self.pace.confirm(limit, routers, now)

    def set_cold(self, pace: coldpace.ColdPace | None) -> None:
        """Begins or ends the pace of a cold server.

        Its work takes another time from then on, which is soon measured.
        """
        self.cold = pace
        self.answers = min(self.answers, MIN_ANSWERS)

    def end_lapsed_limit(self, now: float) -> None:
        """Ends a limit that the server has not named for long."""
        if self.pace is not None and self.pace.has_lapsed(now):
            self.pace = None

    def seconds_per_slot(self) -> float:
        """Returns the time for which a request keeps a slot from others.

        It is the service time, or longer while the rate of all routers
        together is limited.
        """
        seconds = self.service_seconds
        if self.pace is not None:
            seconds = max(seconds, self.slots / self.pace.total_rate)
        if self.cold is not None:
            rate = max(MIN_COLD_RATE, self.cold.granted.rate)
            seconds = max(seconds, self.slots / rate)
        return seconds

    def service_rate(self) -> float:
        """Returns the requests per second that it can complete.

        Requests that the server rejects immediately take hardly any slot
        time, so a server that rejects half of them completes almost as many
        as before.
        """
        seconds = max(MIN_SLOT_SECONDS, self.slot_seconds())
        rate = self.slots * (1.0 - self.failure_rate) / seconds
        if self.pace is not None:
            rate = min(rate, self.pace.rate)
        if self.cold is not None:
            rate = min(rate, self.cold.rate)
        return rate

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
        self.attempts += 1
        before = self.slot_seconds()
        self.occupied_seconds = before + (occupied - before) * weight(
            self.attempts, SERVICE_SMOOTHING
        )
        if seconds is not None:
            self.record_service(seconds)
        if failed or seconds is not None:
            self.failure_rate += (
                float(failed) - self.failure_rate
            ) * FAILURE_SMOOTHING

    def record_service(self, seconds: float) -> None:
        """Updates the service time with that of an answered request."""
        self.answers += 1
        step = weight(self.answers, SERVICE_SMOOTHING)
        deviation = abs(seconds - self.service_seconds)
        if self.answers == 1:
            deviation = seconds / 2
        self.deviation_seconds += (deviation - self.deviation_seconds) * step
        self.service_seconds += (seconds - self.service_seconds) * step
        self.silent.end()

    def silent_after(self) -> float:
        """Returns how long a request usually takes at most, in seconds.

        It is not known before there are some answers.
        """
        if self.answers < MIN_ANSWERS:
            return math.inf
        return silence.response_timeout(
            self.service_seconds, self.deviation_seconds
        )


def weight(count: int, smoothing: float) -> float:
    """Returns the weight of the newest of some measurements in their average.

    The first ones count equally, so that an assumed value is soon forgotten.

    Args:
        count: Number of measurements, including the newest.
        smoothing: Weight once there are many.
    """
    return max(1 / count, smoothing)
