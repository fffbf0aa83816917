"""Pacing of requests to a cold server.

A server that has just started, or whose data centre was away, stands only few
requests per second from all routers together, and crashes well above that rate.
The load is the flood that follows: its slots are all free, so it would get the
requests of its whole pool, or of all its keys.

The coordinator of its slot queue grants slots at the pool's rate. For a moment
after a change of the coordinator two routers grant, so two such rates are kept
below the bound. A router that does not reach the coordinator uses an equal
share of what they leave; with many routers that is nothing.
"""

import dataclasses

from oleanderhoist.policy import tokenbucket

COORDINATORS = 2  # Of a slot queue, for a moment after a change.
# Within which a granted request is sent: the bound is for the time at which
# requests reach the server.
SEND_SECONDS = 0.25
BURST_SECONDS = 0.25  # Of the rate, saved up while no request waits.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bound:
    """What a pool's cold servers stand.

    Attributes:
        rate: Requests per second.
        most: Requests that one may get in any second, from all routers.
    """

    rate: float
    most: float

    @property
    def coordinator_rate(self) -> float:
        """Requests per second that a coordinator grants."""
        room = self.most / COORDINATORS - 1.0
        return max(0.0, min(self.rate, room / (1.0 + SEND_SECONDS)))

    @property
    def coordinator_burst(self) -> float:
        """Requests that a coordinator grants at once, at most."""
        paced = self.coordinator_rate * (1.0 + SEND_SECONDS)
        usual = 1.0 + BURST_SECONDS * self.coordinator_rate
        return min(usual, self.most / COORDINATORS - paced)

    def share(self, routers: int) -> float:
        """Returns the requests that a router may send in any second.

        Args:
            routers: Number of routers; 0 if it is unknown.
        """
        paced = self.coordinator_rate * (1.0 + SEND_SECONDS)
        left = self.most - COORDINATORS * (paced + self.coordinator_burst)
        return left / routers if routers else 0.0


class ColdPace:
    """Paces the requests of one router to a cold server.

    Args:
        bound: What the server stands.
        routers: Number of routers.
        now: Current time, in seconds.

    Attributes:
        granted: Requests that are granted as the server's coordinator.
        bypassing: Requests that are sent without its coordinator.
        is_bypass: Whether the present request does not reach the coordinator.
    """

    def __init__(self, *, bound: Bound, routers: int, now: float):
        self.granted = tokenbucket.TokenBucket(
            rate=0.0, most=0.0, updated_at=now
        )
        self.bypassing = tokenbucket.TokenBucket(
            rate=0.0, most=0.0, updated_at=now
        )
        self.is_bypass = False
        self.change(bound, routers, now)

    def change(self, bound: Bound, routers: int, now: float) -> None:
        """Applies another bound or number of routers from now on."""
        self.granted.change(
            bound.coordinator_rate, bound.coordinator_burst, now
        )
        share = bound.share(routers)
        # A whole request, or none: all routers may send theirs at once.
        rate = max(0.0, share - 1.0) / (1.0 + SEND_SECONDS)
        self.bypassing.change(rate, min(share, 1.0), now)

    @property
    def bucket(self) -> tokenbucket.TokenBucket:
        """The bucket that the present request takes from."""
        return self.bypassing if self.is_bypass else self.granted

    @property
    def rate(self) -> float:
        """Requests per second that this router may send."""
        return self.bucket.rate

    def allows(self, now: float) -> bool:
        """Returns whether a request may be sent now."""
        return self.bucket.allows(now)

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self.bucket.take(now)
