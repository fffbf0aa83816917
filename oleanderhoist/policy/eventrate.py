"""Rates of events, with the uncertainty that few events leave.

At ten requests a second, a second of an unchanged load has seven events or
thirteen by chance alone. Decisions therefore ask whether one rate is surely
above another one, not whether it was measured to be.
"""

from collections.abc import Sequence
import dataclasses
import functools
import math

# Of a normal distribution: a bound is wrong in one of ten cases.
BOUND_DEVIATIONS = 1.28


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rate:
    """Events that were counted in a time, taken as a Poisson process.

    The bounds are Byar's approximation of those of a Poisson mean.

    Attributes:
        events: Number of events; a fraction if older ones count less.
        seconds: Time in which they were counted, in seconds.
    """

    events: float
    seconds: float

    @property
    def value(self) -> float:
        """Events per second, as measured."""
        return self.events / self.seconds if self.seconds else 0.0

    @functools.cached_property
    def low(self) -> float:
        """Lower bound of the events per second."""
        if not self.events or not self.seconds:
            return 0.0
        root = 1 - 1 / (9 * self.events)
        root -= BOUND_DEVIATIONS / (3 * math.sqrt(self.events))
        return self.events * max(0.0, root) ** 3 / self.seconds

    @functools.cached_property
    def high(self) -> float:
        """Upper bound of the events per second."""
        if not self.seconds:
            return math.inf
        more = self.events + 1
        root = 1 - 1 / (9 * more) + BOUND_DEVIATIONS / (3 * math.sqrt(more))
        return more * root**3 / self.seconds

    def differs_from(self, other: "Rate") -> bool:
        """Returns whether one of two rates is surely above the other."""
        return self.low > other.high or other.low > self.high


def steady_count(
    counts: Sequence[float], lengths: Sequence[float], min_seconds: float
) -> int:
    """Returns how many of the newest windows of time have one rate.

    The windows are joined, from the newest to the oldest, until one has surely
    another rate than those before it, so that the estimate rests on as many
    events as the load allows.

    Args:
        counts: Events in each window, the newest first.
        lengths: Length of each window, in seconds.
        min_seconds: Length that is joined in any case, in seconds.
    """
    joined = Rate(events=0.0, seconds=0.0)
    for number, (events, seconds) in enumerate(
        zip(counts, lengths, strict=True)
    ):
        window = Rate(events=events, seconds=seconds)
        if joined.seconds >= min_seconds and window.differs_from(joined):
            return number
        joined = Rate(
            events=joined.events + events, seconds=joined.seconds + seconds
        )
    return len(counts)


@dataclasses.dataclass(kw_only=True)
class DecayingRate:
    """Rate of events of which older ones count less.

    Attributes:
        window: Time over which the weight of an event falls to 1/e, in
            seconds.
        weight: Sum of the weights of all events, at `updated_at`.
        updated_at: When the weight was last updated, in seconds.
    """

    window: float
    weight: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float) -> None:
        """Counts an event."""
        self.weight = self.weight_at(now) + 1.0
        self.updated_at = now

    def set_window(self, window: float) -> None:
        """Changes the window; the rate stays what it is."""
        self.weight *= window / self.window
        self.window = window

    def weight_at(self, now: float) -> float:
        """Returns the sum of the weights at a time."""
        elapsed = max(0.0, now - self.updated_at)
        return self.weight * math.exp(-elapsed / self.window)

    def rate(self, now: float) -> Rate:
        """Returns the rate.

        The variance of the sum of weights is that of counting twice as many
        events in twice the window.
        """
        return Rate(events=2 * self.weight_at(now), seconds=2 * self.window)
