"""Revisions of a store that may come back from an older copy of itself.

What was written after the copy was made is then gone, and its revisions are
given out again for other writes. The store counts these returns; each begins an
era. A revision therefore means something only together with its era.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Revision:
    """A revision of the store, ordered also across its eras.

    Attributes:
        era: Era of the store; 0 if it names none.
        number: Number of the transaction within that era; 0 is before the
            first one.
    """

    era: int = 0
    number: int = 0


class StoreEras:
    """The eras of the store that one process has seen.

    Attributes:
        first: The era of the first answer; None before it.
        newest: The newest era of an answer.
        changed_at: When the store was first seen to have come back from a copy,
            for the last time, in seconds.
    """

    def __init__(self):
        self.first: int | None = None
        self.newest = 0
        self.changed_at = -math.inf

    def observe(self, era: int, now: float) -> bool:
        """Records the era that an answer names.

        Args:
            era: The era.
            now: Current time, in seconds.

        Returns:
            False for an answer of an earlier era, which is not to be believed.
        """
        if self.first is None:
            self.first = self.newest = era
        if era > self.newest:
            self.newest = era
            self.changed_at = now
        return era == self.newest
