"""Requests counted by key, and the load of ranges of keys."""

import bisect
import collections
import dataclasses
import itertools

from oleanderhoist.policy import eventrate
from oleanderhoist.policy import keys

# Older batches are joined in pairs, so that few batches reach far back.
BATCHES_PER_LENGTH = 4
LENGTHS = 3  # From the shortest to the longest, each twice the one before.
MIN_SECONDS = 0.7  # Of any estimate; routers report twice a second.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """Requests by key that were reported in one time.

    Attributes:
        counts: Requests by key.
        seconds: Length of the time, in seconds.
    """

    counts: collections.Counter[int]
    seconds: float

    def joined(self, other: "Batch") -> "Batch":
        """Returns the requests of two adjacent times."""
        return Batch(
            counts=self.counts + other.counts,
            seconds=self.seconds + other.seconds,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Requests for some keys over the last batches.

    Attributes:
        counts: Requests in each batch, the newest first.
        lengths: Length of each batch, in seconds.
    """

    counts: tuple[int, ...]
    lengths: tuple[float, ...]

    def estimate(self) -> "Estimate":
        """Returns the rate that holds now."""
        batches = eventrate.steady_count(self.counts, self.lengths, MIN_SECONDS)
        rate = eventrate.Rate(
            events=sum(self.counts[:batches]),
            seconds=sum(self.lengths[:batches]),
        )
        return Estimate(rate=rate, batches=batches)

    def plus(self, other: "Load", sign: int = 1) -> "Load":
        """Returns the load of both, or with sign -1 without the other."""
        counts = tuple(
            own + sign * others
            for own, others in zip(self.counts, other.counts, strict=True)
        )
        return Load(counts=counts, lengths=self.lengths)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """The rate of requests for some keys that holds now.

    Attributes:
        rate: The rate.
        batches: Number of the newest batches that it rests on; the load has
            been steady over these.
    """

    rate: eventrate.Rate
    batches: int


class KeyCounts:
    """Requests by key in some batches; immutable.

    Args:
        batches: The batches, the newest first.

    Attributes:
        keys: The keys with requests, in order.
    """

    def __init__(self, *, batches: list[Batch]):
        self.batches = batches
        self.lengths = tuple(batch.seconds for batch in batches)
        self.keys = sorted(set().union(*(b.counts for b in batches)))
        self.sums = [cumulate(batch.counts, self.keys) for batch in batches]
        self.weights_by_batches: dict[int, collections.Counter[int]] = {}

    def load_of(self, key_ranges: list[keys.Range]) -> Load:
        """Returns the load of some ranges of keys together."""
        totals = [0] * len(self.batches)
        for key_range in key_ranges:
            first, end = self.indices(key_range)
            if first == end:
                continue
            for number, sums in enumerate(self.sums):
                totals[number] += sums[end] - sums[first]
        return Load(counts=tuple(totals), lengths=self.lengths)

    def indices(self, key_range: keys.Range) -> tuple[int, int]:
        """Returns first and end index of the requested keys of a range."""
        first = bisect.bisect_left(self.keys, key_range.start)
        return first, bisect.bisect_right(self.keys, key_range.end)

    def weights(self, batches: int) -> collections.Counter[int]:
        """Returns the requests by key in some of the newest batches."""
        weights = self.weights_by_batches.get(batches)
        if weights is None:
            weights = collections.Counter()
            for batch in self.batches[:batches]:
                weights.update(batch.counts)
            self.weights_by_batches[batches] = weights
        return weights

    def seconds(self, batches: int) -> float:
        """Returns the length of some of the newest batches, in seconds."""
        return sum(self.lengths[:batches])


def cumulate(counts: collections.Counter[int], order: list[int]) -> list[int]:
    """Returns the sums of the counts of the first keys in an order."""
    return [0, *itertools.accumulate(counts[key] for key in order)]


class KeyCounter:
    """Counts requests by key over the last seconds.

    Attributes:
        batches: Batches by length, the newest first; the shortest come first.
    """

    def __init__(self):
        self.open_counts: collections.Counter[int] = collections.Counter()
        self.batches: list[collections.deque[Batch]] = [
            collections.deque() for _ in range(LENGTHS)
        ]
        self.closed_at: float | None = None

    def add(self, requested: list[int]) -> None:
        """Counts requests, given the key of each."""
        self.open_counts.update(requested)

    def advance(self, now: float) -> KeyCounts:
        """Closes a batch, joins or drops old ones; returns the rest."""
        if self.closed_at is not None and now > self.closed_at:
            self.batches[0].appendleft(
                Batch(counts=self.open_counts, seconds=now - self.closed_at)
            )
        self.open_counts = collections.Counter()
        self.closed_at = now
        for number, batches in enumerate(self.batches):
            if len(batches) <= BATCHES_PER_LENGTH:
                break
            oldest, older = batches.pop(), batches.pop()
            if number + 1 < LENGTHS:
                self.batches[number + 1].appendleft(older.joined(oldest))
        return self.counts()

    def counts(self) -> KeyCounts:
        """Returns the requests of the closed batches."""
        return KeyCounts(
            batches=[batch for batches in self.batches for batch in batches]
        )
