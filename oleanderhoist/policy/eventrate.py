"""Rates of events, with the uncertainty that few events leave.

At ten requests a second, a second of an unchanged load has seven events or
thirteen by chance alone. Decisions therefore ask whether one rate is surely
above another one, not whether it was measured to be.
"""

from collections.abc import Sequence
import dataclasses
import functools
import math

# Of a normal distribution. The bounds of two rates that are the same, with as
# many events, pass each other in one of ten cases.
BOUND_DEVIATIONS = 0.9
MIN_COVERED_FRACTION = 0.2  # Of a window that has just begun.


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


class ChangingRate:
    """Rate of events that may change.

    It is counted over a long time, and over a short one in case it changes.

    Args:
        window: The short time, in seconds.
        factor: The long time, in short ones.
    """

    def __init__(self, *, window: float, factor: float):
        self.factor = factor
        self.short = DecayingRate(window=window)
        self.long = DecayingRate(window=window * factor)

    def count(self, now: float) -> None:
        """Counts an event."""
        self.short.count(now)
        self.long.count(now)

    def set_window(self, window: float) -> None:
        """Changes the short time, in seconds; the rates stay what they are."""
        self.short.set_window(window)
        self.long.set_window(window * self.factor)

    def rate(self, now: float) -> Rate:
        """Returns the rate over the long time unless it has surely changed."""
        recent = self.short.rate(now)
        usual = self.long.rate(now)
        return recent if recent.differs_from(usual) else usual


@dataclasses.dataclass(kw_only=True)
class DecayingRate:
    """Rate of events of which older ones count less.

    Attributes:
        window: Time over which the weight of an event falls to 1/e, in
            seconds.
        weight: Sum of the weights of all events, at `updated_at`.
        updated_at: When the weight was last updated, in seconds.
        began_at: When the first event was counted, in seconds.
    """

    window: float
    weight: float = 0.0
    updated_at: float = 0.0
    began_at: float = math.inf

    def count(self, now: float) -> None:
        """Counts an event."""
        self.began_at = min(self.began_at, now)
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
        events in twice the window. Soon after the first event, the weights
        cover less than the window.
        """
        age = max(0.0, now - self.began_at) if self.weight else math.inf
        covered = -self.window * math.expm1(-age / self.window)
        covered = max(covered, MIN_COVERED_FRACTION * self.window)
        return Rate(events=2 * self.weight_at(now), seconds=2 * covered)
