"""In which order a router handles the datagrams that it has read.

What other routers ask of a coordinator comes in proportion to the traffic, and
can be more than its processor time allows. Everything else is little and must
not wait behind it: what the leader and the members say, and replies to this
router's own requests.
"""

import collections
from collections.abc import Iterator

MAX_WAITING = 2_000  # Later datagrams are dropped, as by a full socket.
MAX_HANDLED_PER_TURN = 50  # Then connections get their turn.


class Backlog:
    """Datagrams of coordination that wait to be handled, in their order.

    Attributes:
        waiting: The datagrams.
        dropped: How many were dropped.
    """

    def __init__(self):
        self.waiting: collections.deque = collections.deque()
        self.dropped = 0

    def add(self, datagram: object) -> bool:
        """Adds a datagram; returns whether there was room for it."""
        if len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
            return False
        self.waiting.append(datagram)
        return True

    def take_turn(self) -> Iterator[object]:
        """Removes and returns the datagrams to handle in this turn."""
        for _ in range(min(MAX_HANDLED_PER_TURN, len(self.waiting))):
            yield self.waiting.popleft()
