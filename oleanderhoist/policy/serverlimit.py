"""Pacing of requests to a server that limits their rate.

A server in need names, in its answers, the requests per second that it takes
from all routers together, for as long as it says so. The coordinator of its
slot queue sees every request to it and grants slots at that rate. A router that
does not reach the coordinator uses an equal share of the rate.
"""

import dataclasses

# Requests per second that a server gets whatever it names: only its answers
# tell when a limit ends.
PROBE_RATE = 0.25
BURST_SECONDS = 0.25  # Of the rate, saved up while no request waits.
# Without an answer that names it; at the probe rate there is one in time.
LAPSE_SECONDS = 6.0


@dataclasses.dataclass(kw_only=True)
class Pace:
    """Token bucket that paces the requests to one limited server.

    Attributes:
        limit: Requests per second that it takes from all routers together.
        routers: Number of routers that share this limit equally.
        confirmed_at: When the server last named the limit, in seconds.
        tokens: Requests that may be sent now; may be a fraction.
        updated_at: When the tokens were last counted, in seconds.
    """

    limit: float
    routers: int
    confirmed_at: float
    tokens: float = 0.0
    updated_at: float = dataclasses.field(init=False)

    def __post_init__(self):
        self.updated_at = self.confirmed_at

    @property
    def rate(self) -> float:
        """Requests per second that this router may send."""
        return self.total_rate / max(1, self.routers)

    @property
    def total_rate(self) -> float:
        """Requests per second that all routers together may send."""
        return max(self.limit, PROBE_RATE)

    def confirm(self, limit: float, routers: int, now: float) -> None:
        """Applies the limit that the server names now."""
        self.refill(now)
        self.limit = limit
        self.routers = routers
        self.confirmed_at = now

    def has_lapsed(self, now: float) -> bool:
        """Returns whether the server has not named the limit for long."""
        return now - self.confirmed_at > LAPSE_SECONDS

    def allows(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        self.refill(now)
        return self.tokens >= 1.0

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self.refill(now)
        self.tokens -= 1.0

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        elapsed = max(0.0, now - self.updated_at)
        most = 1.0 + BURST_SECONDS * self.rate
        self.tokens = min(most, self.tokens + elapsed * self.rate)
        self.updated_at = now
