"""Token bucket: a rate, and a burst that is saved up while none is used."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class TokenBucket:
    """Token bucket that starts empty.

    Attributes:
        rate: Tokens per second.
        most: Tokens that are saved up at most.
        updated_at: When the tokens were last counted, in seconds.
        tokens: Tokens that may be taken now; may be a fraction.
    """

    rate: float
    most: float
    updated_at: float
    tokens: float = 0.0

    def change(self, rate: float, most: float, now: float) -> None:
        """Applies another rate and burst from now on."""
        self.refill(now)
        self.rate = rate
        self.most = most

    def allows(self, now: float) -> bool:
        """Returns whether a token may be taken now."""
        self.refill(now)
        return self.tokens >= 1.0

    def take(self, now: float) -> None:
        """Takes a token."""
        self.refill(now)
        self.tokens -= 1.0

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.most, self.tokens + elapsed * self.rate)
        self.updated_at = now
