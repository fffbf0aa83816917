"""In which order a router handles the datagrams that it has read.

What other routers ask of a coordinator comes in proportion to the traffic, and
can be more than its processor time allows. Everything else is little and must
not wait behind it: what the leader and the members say, and replies to this
router's own requests.
"""

import collections
from collections.abc import Iterator
import dataclasses

# Later datagrams are dropped, as by a full socket.
MAX_WAITING = 2_000
MAX_WAITING_BYTES = 1_000_000
MAX_HANDLED_PER_TURN = 50  # Then connections get their turn.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Datagram:
    """A datagram that waits.

    Attributes:
        peer: ``host:port`` of its sender.
        message: What it says.
        size_bytes: Its size, in bytes.
    """

    peer: str
    message: object
    size_bytes: int


class Backlog:
    """Datagrams of coordination that wait to be handled, in their order.

    Attributes:
        waiting: The datagrams.
        waiting_bytes: Their size, in bytes.
        dropped: How many were dropped.
    """

    def __init__(self):
        self.waiting: collections.deque[Datagram] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0

    def add(self, datagram: Datagram) -> bool:
        """Adds a datagram; returns whether there was room for it."""
        size_bytes = self.waiting_bytes + datagram.size_bytes
        if len(self.waiting) >= MAX_WAITING or size_bytes > MAX_WAITING_BYTES:
            self.dropped += 1
            return False
        self.waiting.append(datagram)
        self.waiting_bytes = size_bytes
        return True

    def take_turn(self) -> Iterator[Datagram]:
        """Removes and returns the datagrams to handle in this turn."""
        for _ in range(min(MAX_HANDLED_PER_TURN, len(self.waiting))):
            datagram = self.waiting.popleft()
            self.waiting_bytes -= datagram.size_bytes
            yield datagram
