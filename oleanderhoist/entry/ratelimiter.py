"""Limits of each customer's kinds of work on this entry."""

import collections

from oleanderhoist import clock
from oleanderhoist import contract
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import wire
from oleanderhoist.policy import ratelimits

DEMAND_SECONDS = 1.0


class RateLimiter:
    """Token buckets whose rates are this entry's shares of the limits.

    Args:
        snapshot_store: Tells how many entries divide a limit.
        clock: Time source.
    """

    def __init__(
        self, *, snapshot_store: snapshots.SnapshotStore, clock: clock.Clock
    ):
        self.snapshot_store = snapshot_store
        self.clock = clock
        self.buckets: dict[str, ratelimits.TokenBucket] = {}
        self.allocations: dict[int, dict[str, float]] = {}
        self.asked: collections.Counter[str] = collections.Counter()
        self.demands: dict[str, float] = {}
        self.counted_at = clock.monotonic()

    def receive(self, message: wire.RateAllocation) -> None:
        """Takes in the shares of one window."""
        self.allocations[message.window] = message.rates
        present = ratelimits.window_index(self.clock.wall())
        for window in [w for w in self.allocations if w < present]:
            del self.allocations[window]

    def allocated_rate(self, name: str, limit: float) -> float:
        """Returns this entry's rate now, in requests per second."""
        window = ratelimits.window_index(self.clock.wall())
        rates = self.allocations.get(window, {})
        entries = len(self.snapshot_store.snapshot.entries)
        return rates.get(name, ratelimits.guaranteed_rate(limit, entries))

    def allow(self, customer: str, work: contract.Work) -> bool:
        """Tells whether a request is within the contract's rate."""
        name = f"{customer}/{work.name}"
        self.asked[name] += 1
        now = self.clock.monotonic()
        rate = self.allocated_rate(name, work.rate_per_second)
        burst = work.burst * self.burst_part(name, rate, work.rate_per_second)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = ratelimits.TokenBucket(tokens=burst, updated_at=now)
            self.buckets[name] = bucket
        return bucket.take(rate, burst, now)

    def burst_part(self, name: str, rate: float, limit: float) -> float:
        """Returns this entry's part of a contract's burst.

        Without a share of the present window the burst is divided evenly:
        unlike the rate, it is spent once, so the parts still add up.
        """
        window = ratelimits.window_index(self.clock.wall())
        if name in self.allocations.get(window, {}):
            return rate / limit
        return 1.0 / max(1, len(self.snapshot_store.snapshot.entries))

    def count(self) -> dict[str, float]:
        """Returns the demand of the last full interval, per second."""
        now = self.clock.monotonic()
        spent = now - self.counted_at
        if spent >= DEMAND_SECONDS:
            self.demands = {n: c / spent for n, c in self.asked.items()}
            self.asked.clear()
            self.counted_at = now
        return self.demands
