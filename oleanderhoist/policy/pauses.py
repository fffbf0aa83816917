"""Servers that have asked this router for no requests for a while.

A server that turns a request away may name how long it wants none from the
router that sent it. This binds that router alone: others may send, so neither
the coordinator nor the leader is told.
"""

from collections.abc import Sequence

from oleanderhoist.policy import cluster

MAX_PAUSES = 500
# Of the time from a request's arrival to its objective; the rest is for work.
WAIT_FRACTION = 0.5


class Pauses:
    """Until when servers want no requests from this router.

    Attributes:
        ends: When the pause of a server's process ends, in seconds.
    """

    def __init__(self):
        self.ends: dict[cluster.Incarnation, float] = {}

    def add(
        self, incarnation: cluster.Incarnation, seconds: float, now: float
    ) -> None:
        """Begins or extends a pause; a shorter one changes nothing.

        Args:
            incarnation: The server's process.
            seconds: How long it wants no requests, in seconds.
            now: Current time, in seconds.
        """
        self.drop_ended(now)
        end = max(self.ends.pop(incarnation, 0.0), now + seconds)
        if len(self.ends) >= MAX_PAUSES:
            del self.ends[min(self.ends, key=self.ends.__getitem__)]
        self.ends[incarnation] = end

    def drop_ended(self, now: float) -> None:
        """Forgets pauses that have ended."""
        self.ends = {one: end for one, end in self.ends.items() if end > now}

    def remaining(self, server: cluster.Server, now: float) -> float:
        """Returns how long a server still wants no requests, in seconds."""
        if not self.ends:
            return 0.0
        return max(0.0, self.ends.get(server.incarnation, now) - now)

    def least_remaining(
        self, servers: Sequence[cluster.Server], now: float
    ) -> float:
        """Returns when the first of some servers takes requests, in seconds.

        It is 0 if one does now, or if there are none.
        """
        if not self.ends:
            return 0.0
        return min((self.remaining(one, now) for one in servers), default=0.0)

    def paused(
        self, servers: Sequence[cluster.Server], now: float
    ) -> frozenset[str]:
        """Returns the ids of the servers that want no requests now."""
        if not self.ends:
            return frozenset()
        return frozenset(s.id for s in servers if self.remaining(s, now))


def may_wait(end: float, *, arrived: float, objective: float) -> bool:
    """Returns whether a request gains by waiting for the end of a pause.

    Args:
        end: When the pause ends, in seconds.
        arrived: When the request arrived, on the same clock.
        objective: Latest time for an answer of full value, on the same clock.
    """
    return end <= arrived + WAIT_FRACTION * (objective - arrived)
