"""Who owns which range of keys, and where ranges are cut and joined."""

import bisect
import dataclasses

KEY_COUNT = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Range:
    """Keys from `start` to `end`, both inclusive.

    Attributes:
        start: First key.
        end: Last key.
        owner: Id of the owning server; empty while nobody owns the range.
        lease_expires_at_ms: When the last owner's lease has definitely
            expired, in the store's milliseconds; only for ranges without an
            owner.
    """

    start: int
    end: int
    owner: str = ""
    lease_expires_at_ms: int = 0

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.end - self.start + 1


class KeyMap:
    """The owners of all keys of one pool; never changed once made.

    Args:
        ranges: All keys, in order and without gaps.
    """

    def __init__(self, *, ranges: list[Range]):
        self.ranges = ranges
        self.starts = [one.start for one in ranges]

    def find(self, key: int) -> Range:
        """Returns the range that holds a key."""
        return self.ranges[bisect.bisect_right(self.starts, key) - 1]

    def owners(self) -> list[tuple[int, str]]:
        """Returns the first key and the owner of each range."""
        return [(one.start, one.owner) for one in self.ranges]

    def owned_by(self, owner: str) -> list[Range]:
        """Returns the ranges of one server."""
        return [one for one in self.ranges if one.owner == owner]

    def assign(
        self, start: int, end: int, owner: str, *, lease_expires_at_ms: int = 0
    ) -> "KeyMap":
        """Returns a map in which keys have another owner.

        Ranges are cut where needed, and neighbours with one owner joined.
        """
        changed: list[Range] = []
        for one in self.ranges:
            if one.end < start or one.start > end:
                changed.append(one)
                continue
            if one.start < start:
                changed.append(dataclasses.replace(one, end=start - 1))
            if one.start <= start <= one.end:
                changed.append(
                    Range(
                        start=start,
                        end=end,
                        owner=owner,
                        lease_expires_at_ms=lease_expires_at_ms,
                    )
                )
            if one.end > end:
                changed.append(dataclasses.replace(one, start=end + 1))
        return KeyMap(ranges=join(changed))


def join(ranges: list[Range]) -> list[Range]:
    """Joins neighbouring ranges that have the same owner."""
    joined: list[Range] = []
    for one in ranges:
        last = joined[-1] if joined else None
        same = (
            last
            and last.owner == one.owner
            and last.lease_expires_at_ms == one.lease_expires_at_ms
        )
        if last and same:
            joined[-1] = dataclasses.replace(last, end=one.end)
        else:
            joined.append(one)
    return joined


def unowned_map() -> KeyMap:
    """Returns a map in which nobody owns any key."""
    return KeyMap(ranges=[Range(start=0, end=KEY_COUNT - 1)])


def divide_by_weight(servers: list[tuple[str, float]]) -> KeyMap:
    """Divides all keys among servers that hold none yet.

    Args:
        servers: Id and weight of each.
    """
    total = sum(weight for _, weight in servers)
    ranges = []
    start = 0
    reached = 0.0
    for index, (owner, weight) in enumerate(servers):
        reached += weight
        end = int(KEY_COUNT * reached / total) - 1
        if index == len(servers) - 1:
            end = KEY_COUNT - 1
        if end >= start:
            ranges.append(Range(start=start, end=end, owner=owner))
            start = end + 1
    return KeyMap(ranges=ranges)
