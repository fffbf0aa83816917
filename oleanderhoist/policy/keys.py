"""Ownership of ranges of keys."""

import bisect
import dataclasses

KEY_COUNT = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Range:
    """A range of keys from `start` to `end`, both inclusive.

    Attributes:
        start: First key.
        end: Last key.
        owner: Id of the owning server; empty while no server owns the range.
        lease_expires_at_ms: When the last owner's lease has definitely
            expired, on the store's clock in milliseconds; only for ranges
            without an owner.
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
    """The owners of all keys of one pool; immutable.

    Args:
        ranges: All keys, in order and without gaps.
    """

    def __init__(self, *, ranges: list[Range]):
        self.ranges = ranges
        self.starts = [key_range.start for key_range in ranges]

    def find(self, key: int) -> Range:
        """Returns the range that contains a key."""
        return self.ranges[bisect.bisect_right(self.starts, key) - 1]

    def owners(self) -> list[tuple[int, str]]:
        """Returns the first key and the owner of each range."""
        return [(key_range.start, key_range.owner) for key_range in self.ranges]

    def owned_by(self, owner: str) -> list[Range]:
        """Returns the ranges of one server."""
        return [
            key_range for key_range in self.ranges if key_range.owner == owner
        ]

    def assign(
        self, start: int, end: int, owner: str, *, lease_expires_at_ms: int = 0
    ) -> "KeyMap":
        """Returns a map in which a range of keys has a new owner.

        Ranges are split where needed; adjacent ranges with the same owner are
        merged.
        """
        first = bisect.bisect_right(self.starts, start) - 1
        last = bisect.bisect_right(self.starts, end) - 1
        # Ranges next to the changed ones may merge with them.
        unchanged_before = max(0, first - 1)
        unchanged_after = last + 2
        changed = self.ranges[unchanged_before:first]
        if self.ranges[first].start < start:
            changed.append(
                dataclasses.replace(self.ranges[first], end=start - 1)
            )
        changed.append(
            Range(
                start=start,
                end=end,
                owner=owner,
                lease_expires_at_ms=lease_expires_at_ms,
            )
        )
        if self.ranges[last].end > end:
            changed.append(
                dataclasses.replace(self.ranges[last], start=end + 1)
            )
        changed.extend(self.ranges[last + 1 : unchanged_after])
        return KeyMap(
            ranges=[
                *self.ranges[:unchanged_before],
                *merge_adjacent(changed),
                *self.ranges[unchanged_after:],
            ]
        )


def merge_adjacent(ranges: list[Range]) -> list[Range]:
    """Merges adjacent ranges that have the same owner."""
    merged: list[Range] = []
    for key_range in ranges:
        last = merged[-1] if merged else None
        same = (
            last
            and last.owner == key_range.owner
            and last.lease_expires_at_ms == key_range.lease_expires_at_ms
        )
        if last and same:
            merged[-1] = dataclasses.replace(last, end=key_range.end)
        else:
            merged.append(key_range)
    return merged


def all_keys() -> Range:
    """Returns the range of all keys."""
    return Range(start=0, end=KEY_COUNT - 1)


def unowned_map() -> KeyMap:
    """Returns a map in which no key has an owner."""
    return KeyMap(ranges=[all_keys()])


def divide_by_weight(servers: list[tuple[str, float]]) -> KeyMap:
    """Divides all keys among servers in proportion to their weights.

    Args:
        servers: Id and weight of each server.
    """
    total = sum(weight for _, weight in servers)
    ranges = []
    start = 0
    cumulative = 0.0
    for index, (owner, weight) in enumerate(servers):
        cumulative += weight
        end = int(KEY_COUNT * cumulative / total) - 1
        if index == len(servers) - 1:
            end = KEY_COUNT - 1
        if end >= start:
            ranges.append(Range(start=start, end=end, owner=owner))
            start = end + 1
    return KeyMap(ranges=ranges)
