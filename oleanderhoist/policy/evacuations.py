"""Data centres that are evacuated: their servers must get no more requests.

Answers the load of a data centre that the operator empties while callers go on
as before. All routers must stop within a bound, and keys should leave their
owners there by handover before requests have to stop.

Each read of the store names all evacuated data centres, and the one at the
higher revision wins. A store that came back from an older copy may lack some
until the operator has written them again, so none ends at once then.

A keyed owner may be used a while longer, since no other server can run the
request until its keys have moved. That time ends at half of the bound after
this router learned of the evacuation, and earlier if the operator may have
written it long before.
"""

from collections.abc import Iterable
import dataclasses
import math

from oleanderhoist.policy import cluster
from oleanderhoist.policy import storeeras

DEFAULT_SECONDS = 5.0
OWNER_FRACTION = 0.5  # Of the bound, in which keyed owners may be used.
MOVE_FRACTION = 0.3  # Of the bound, in which the moves of all keys begin.
SENDING_SECONDS = 0.5  # For what was sent last to arrive.
ENDED_SECONDS = 60.0  # For which the end of an evacuation is kept.
# For the operator's rows to be written again after a return of the store.
REWRITE_SECONDS = 2.4


NEVER_READ = storeeras.Revision()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """What a later read of the store changed.

    Attributes:
        begun: Data centres that are evacuated from now on.
        ended: Data centres that are in use again.
    """

    begun: frozenset[str]
    ended: frozenset[str]


class Evacuations:
    """The evacuated data centres, as one router knows them.

    Args:
        seconds: Time within which an evacuation must be applied, in seconds.

    Attributes:
        revision: Revision of the store at which they were read.
        restored_at: When the store was first seen to have come back from a
            copy, for the last time, on the monotonic clock.
        known_since: The evacuated data centres, and since when each is known
            here, in seconds on the monotonic clock.
        owners_until: Until when keyed owners there may be used.
        vacating: Those whose keyed owners may still be used.
        ended_at: When evacuations of the last minute were taken back, by data
            centre, as known here, on the same clock.
    """

    def __init__(self, *, seconds: float = DEFAULT_SECONDS):
        self.seconds = seconds
        self.revision = NEVER_READ
        self.restored_at = -math.inf
        self.known_since: dict[str, float] = {}
        self.owners_until: dict[str, float] = {}
        self.vacating: frozenset[str] = frozenset()
        self.ended_at: dict[str, float] = {}

    def adopt(
        self,
        data_centers: Iterable[str],
        revision: storeeras.Revision,
        *,
        now: float,
        unseen_seconds: float,
    ) -> Change | None:
        """Adopts what was read, unless a later read is known.

        Args:
            data_centers: All evacuated data centres.
            revision: Revision of the store at which they were read.
            now: Current time, in seconds.
            unseen_seconds: How long ago it was last certain here that there
                was no later read to know of, in seconds.

        Returns:
            The change; None if nothing changed.
        """
        if revision <= self.revision:
            return None
        if self.revision != NEVER_READ and revision.era > self.revision.era:
            self.restored_at = now
        self.revision = revision
        read = frozenset(data_centers)
        if now - self.restored_at < REWRITE_SECONDS:
            read = read.union(self.known_since)
        change = Change(
            begun=read.difference(self.known_since),
            ended=frozenset(self.known_since).difference(read),
        )
        if not change.begun and not change.ended:
            return None
        usable_seconds = min(
            self.seconds * OWNER_FRACTION,
            self.seconds - SENDING_SECONDS - unseen_seconds,
        )
        for name in change.begun:
            self.known_since[name] = now
            self.owners_until[name] = now + usable_seconds
        for name in change.ended:
            del self.known_since[name]
            del self.owners_until[name]
            self.ended_at[name] = now
        self.advance(now)
        return change

    def advance(self, now: float) -> bool:
        """Moves on in time; returns whether fewer owners may be used.

        Args:
            now: Current time, in seconds.
        """
        before = self.vacating
        self.vacating = frozenset(
            name for name, until in self.owners_until.items() if now < until
        )
        self.ended_at = {
            name: ended_at
            for name, ended_at in self.ended_at.items()
            if now - ended_at < ENDED_SECONDS
        }
        return self.vacating != before

    def overlay(self, snapshot: cluster.Snapshot) -> cluster.Snapshot:
        """Returns a snapshot that does not use the evacuated data centres.

        What was published, and the version that names it, stay as they are.
        """
        evacuated = frozenset(self.known_since)
        if (snapshot.evacuated, snapshot.vacating) == (
            evacuated,
            self.vacating,
        ):
            return snapshot
        return dataclasses.replace(
            snapshot, evacuated=evacuated, vacating=self.vacating
        )

    def batch_size(
        self, data_center: str, ranges: int, *, now: float, interval: float
    ) -> int:
        """Returns how many ranges of keys should begin to move now.

        A range has no owner while it moves, so not all move at once.

        Args:
            data_center: The data centre that they leave.
            ranges: Ranges that have not begun to move.
            now: Current time, in seconds.
            interval: Time until the next call, in seconds.
        """
        begun_at = self.known_since.get(data_center, -math.inf)
        remaining = begun_at + self.seconds * MOVE_FRACTION - now
        calls = max(1.0, remaining / interval)
        return math.ceil(ranges / calls)
