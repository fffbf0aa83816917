"""Rate limits of each customer's kinds of work on this entry."""

import collections

from oleanderhoist import clock
from oleanderhoist import contract
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import wire
from oleanderhoist.policy import ratelimits

DEMAND_INTERVAL_SECONDS = 1.0


class RateLimiter:
    """Token buckets whose rates are this entry's rate allocations.

    Args:
        snapshot_store: Knows how many entries share a limit.
        clock: Time source.
    """

    def __init__(
        self, *, snapshot_store: snapshots.SnapshotStore, clock: clock.Clock
    ):
        self.snapshot_store = snapshot_store
        self.clock = clock
        self.buckets: dict[str, ratelimits.TokenBucket] = {}
        self.allocations: dict[int, dict[str, float]] = {}
        self.request_counts: collections.Counter[str] = collections.Counter()
        self.demands: dict[str, float] = {}
        self.counted_at = clock.monotonic()

    def receive(self, message: wire.RateAllocation) -> None:
        """Stores the rate allocations of one window."""
        self.allocations[message.window] = message.rates
        current_window = ratelimits.window_index(self.clock.wall())
        for window in [w for w in self.allocations if w < current_window]:
            del self.allocations[window]

    def allocated_rate(self, name: str, limit: float) -> float:
        """Returns this entry's current rate, in requests per second.

        Args:
            name: Customer and kind of work, as "customer/work".
            limit: Rate for all entries together, in requests per second.
        """
        window = ratelimits.window_index(self.clock.wall())
        rates = self.allocations.get(window, {})
        entries = len(self.snapshot_store.snapshot.entries)
        return rates.get(name, ratelimits.guaranteed_rate(limit, entries))

    def allow(self, customer: str, work: contract.Work) -> bool:
        """Returns whether a request is within the rate, and counts it."""
        name = f"{customer}/{work.name}"
        self.request_counts[name] += 1
        now = self.clock.monotonic()
        rate = self.allocated_rate(name, work.rate_per_second)
        burst = work.burst * self.burst_share(name, rate, work.rate_per_second)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = ratelimits.TokenBucket(tokens=burst, updated_at=now)
            self.buckets[name] = bucket
        return bucket.take(rate, burst, now)

    def burst_share(self, name: str, rate: float, limit: float) -> float:
        """Returns this entry's share of a contract's burst, from 0 to 1.

        Without an allocation for the current window the burst is divided
        evenly, and in full: the shares of all entries add up to the burst. Only
        the rate is lowered to its guaranteed fraction, since a burst is spent
        once.
        """
        window = ratelimits.window_index(self.clock.wall())
        if name in self.allocations.get(window, {}):
            return rate / limit
        return 1.0 / max(1, len(self.snapshot_store.snapshot.entries))

    def measure_demands(self) -> dict[str, float]:
        """Returns the demand of the last full interval.

        Returns:
            Requests per second by customer and kind of work.
        """
        now = self.clock.monotonic()
        elapsed_seconds = now - self.counted_at
        if elapsed_seconds >= DEMAND_INTERVAL_SECONDS:
            self.demands = {
                n: c / elapsed_seconds for n, c in self.request_counts.items()
            }
            self.request_counts.clear()
            self.counted_at = now
        return self.demands
