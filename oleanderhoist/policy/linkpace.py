"""Pacing of large answers on a narrow link.

The load is one of large answers behind a link of a few Mbit/s: one of them
fills the link's queue for a good part of a second, in which small answers,
requests to servers and datagrams between routers wait behind it or are lost.
Large answers are therefore written in pieces, at less than the rate of the
link, so that the queue stays short. Pieces of several answers take turns, in
the order in which their writers ask.
"""

import dataclasses

PIECE_BYTES = 16_384  # Written at once.
LARGE_FRACTION = 0.7  # Of the link, which large answers may use.
# 40 Mbit/s; a wider link passes a piece so soon that nothing waits.
MAX_PACED_BYTES_PER_SECOND = 5_000_000.0


@dataclasses.dataclass(kw_only=True)
class LinkPace:
    """When the next piece of a large answer may be written.

    Attributes:
        bytes_per_second: Rate of the link.
        free_at: When the pieces that were written have passed at the paced
            rate, in seconds.
    """

    bytes_per_second: float
    free_at: float = 0.0

    @property
    def is_needed(self) -> bool:
        """Whether the link is so narrow that others wait for a piece."""
        return self.bytes_per_second <= MAX_PACED_BYTES_PER_SECOND

    def delay(self, size_bytes: int, now: float) -> float:
        """Takes the turn of a piece; returns the time until it, in seconds.

        Args:
            size_bytes: Size of the piece.
            now: Current time, in seconds.
        """
        turn = max(now, self.free_at)
        rate = self.bytes_per_second * LARGE_FRACTION
        self.free_at = turn + size_bytes / rate
        return turn - now
