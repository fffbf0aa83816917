"""Smoothed request rates by key."""

import collections

DECAY = 0.55  # Per call of advance().
MIN_RATE = 0.2  # Requests per second; lower rates are dropped.


class KeyRates:
    """Requests per second of each key, as an exponential moving average."""

    def __init__(self):
        self.rates: dict[int, float] = {}
        self.counts: collections.Counter[int] = collections.Counter()
        self.counted_at: float | None = None

    def add(self, requested: list[int]) -> None:
        """Counts requests, given the key of each."""
        self.counts.update(requested)

    def advance(self, now: float) -> None:
        """Updates the rates with the requests since the last call."""
        before = self.counted_at
        self.counted_at = now
        if before is None or now <= before:
            return
        decayed = {
            key: rate * DECAY
            for key, rate in self.rates.items()
            if rate * DECAY > MIN_RATE
        }
        scale = (1 - DECAY) / (now - before)
        for key, count in self.counts.items():
            decayed[key] = decayed.get(key, 0.0) + count * scale
        self.counts.clear()
        self.rates = decayed
