"""Pacing of requests to a server that limits their rate.

A server in need names, in its answers, the requests per second that it takes
from all routers together, for as long as it says so. The coordinator of its
slot queue sees every request to it and grants slots at that rate. A router that
does not reach the coordinator uses an equal share of the rate.
"""

import dataclasses

from oleanderhoist.policy import tokenbucket

# Requests per second that a server gets whatever it names: only its answers
# tell when a limit ends.
PROBE_RATE = 0.25
BURST_SECONDS = 0.25  # Of the rate, saved up while no request waits.
# Without an answer that names it; at the probe rate there is one in time.
LAPSE_SECONDS = 6.0


@dataclasses.dataclass(kw_only=True)
class Pace:
    """Paces the requests to one server that limits their rate.

    Attributes:
        limit: Requests per second that it takes from all routers together.
        routers: Number of routers that share this limit equally.
        confirmed_at: When the server last named the limit, in seconds.
        bucket: One token for each request that may be sent now.
    """

    limit: float
    routers: int
    confirmed_at: float
    bucket: tokenbucket.TokenBucket = dataclasses.field(init=False)

    def __post_init__(self):
        self.bucket = tokenbucket.TokenBucket(
            rate=self.rate, most=self.most, updated_at=self.confirmed_at
        )

    @property
    def rate(self) -> float:
        """Requests per second that this router may send."""
        return self.total_rate / max(1, self.routers)

    @property
    def total_rate(self) -> float:
        """Requests per second that all routers together may send."""
        return max(self.limit, PROBE_RATE)

    @property
    def most(self) -> float:
        """Requests that this router may send at once."""
        return 1.0 + BURST_SECONDS * self.rate

    def confirm(self, limit: float, routers: int, now: float) -> None:
        """Applies the limit that the server names now."""
        self.limit = limit
        self.routers = routers
        self.confirmed_at = now
        self.bucket.change(self.rate, self.most, now)

    def has_lapsed(self, now: float) -> bool:
        """Returns whether the server has not named the limit for long."""
        return now - self.confirmed_at > LAPSE_SECONDS

    def allows(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        return self.bucket.allows(now)

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self.bucket.take(now)
