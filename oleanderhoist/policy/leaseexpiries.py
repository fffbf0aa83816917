"""Until when each key of one server may be leased.

A lease covers the keys of its grant only. What is known of the leases on other
keys stays as it was.
"""

import bisect

from oleanderhoist.policy import keys


class LeaseExpiries:
    """When the leases on a server's keys have expired, for each key.

    Args:
        initial: When leases on any key that were granted before have expired,
            in seconds.

    Attributes:
        starts: First keys of adjacent ranges, which together are all keys.
        expires_at: Expiry of each range, in seconds.
    """

    def __init__(self, *, initial: float):
        self.starts = [0]
        self.expires_at = [initial]

    def extend(self, key_range: keys.Range, expires_at: float) -> None:
        """Records a lease that may have been granted, or not."""
        first, last = self.split(key_range)
        self.expires_at[first:last] = [
            max(known, expires_at) for known in self.expires_at[first:last]
        ]

    def replace(self, key_range: keys.Range, expires_at: float) -> None:
        """Records a lease that the server took in place of earlier ones."""
        first, last = self.split(key_range)
        self.starts[first:last] = [key_range.start]
        self.expires_at[first:last] = [expires_at]

    def latest(self, key_range: keys.Range) -> float:
        """Returns when all leases on keys of a range have expired."""
        first = bisect.bisect_right(self.starts, key_range.start) - 1
        last = bisect.bisect_right(self.starts, key_range.end)
        return max(self.expires_at[first:last])

    def forget_ended(self, now: float) -> None:
        """Joins ranges whose leases have all expired, or end together."""
        starts, expiries = [], []
        for start, expires_at in zip(self.starts, self.expires_at, strict=True):
            left = expires_at if expires_at > now else 0.0
            if not expiries or expiries[-1] != left:
                starts.append(start)
                expiries.append(left)
        self.starts, self.expires_at = starts, expiries

    def split(self, key_range: keys.Range) -> tuple[int, int]:
        """Makes ranges begin at a range's start and behind its end.

        Returns:
            The position of its first part, and that behind its last part.
        """
        first = self.split_at(key_range.start)
        return first, self.split_at(key_range.end + 1)

    def split_at(self, key: int) -> int:
        """Makes a range begin at a key; returns the position of that range."""
        position = bisect.bisect_left(self.starts, key)
        is_start = position < len(self.starts) and self.starts[position] == key
        if not is_start and key < keys.KEY_COUNT:
            self.starts.insert(position, key)
            self.expires_at.insert(position, self.expires_at[position - 1])
        return position
