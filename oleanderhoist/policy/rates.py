"""Smoothed request rates by key."""

import collections

FADE = 0.55
FORGOTTEN = 0.2


class KeyRates:
    """Requests per second of each key, recent ones counting most."""

    def __init__(self):
        self.rates: dict[int, float] = {}
        self.counts: collections.Counter[int] = collections.Counter()
        self.counted_at: float | None = None

    def add(self, requested: list[int]) -> None:
        """Counts requests."""
        self.counts.update(requested)

    def advance(self, now: float) -> None:
        """Takes the counts since the last call into the rates."""
        before = self.counted_at
        self.counted_at = now
        if before is None or now <= before:
            return
        faded = {
            key: rate * FADE
            for key, rate in self.rates.items()
            if rate * FADE > FORGOTTEN
        }
        scale = (1 - FADE) / (now - before)
        for key, count in self.counts.items():
            faded[key] = faded.get(key, 0.0) + count * scale
        self.counts.clear()
        self.rates = faded
