"""Ids that no earlier process of the same name or address has used.

Peers know a process by its address or by its name, both of which its successor
has as well. What they still say to the earlier process must not be taken for an
answer to the later one.
"""

import itertools
import secrets

PROCESS_BITS = 31
COUNT_BITS = 31  # Both parts together fit a signed integer of 64 bits.


class ProcessIds:
    """Ids of one process, in increasing order.

    Attributes:
        process: Random number of the process, part of each of its ids.
    """

    def __init__(self):
        self.process = secrets.randbits(PROCESS_BITS)
        self.counter = itertools.count(1)

    def next(self) -> int:
        """Returns an id that was not returned before."""
        return (self.process << COUNT_BITS) + next(self.counter)

    def owns(self, id: int) -> bool:
        """Returns whether an id belongs to this process."""
        return process_of(id) == self.process


def process_of(id: int) -> int:
    """Returns the number of the process that an id belongs to.

    It is 0 for ids of earlier versions, which do not tell.
    """
    return id >> COUNT_BITS
