"""Rate limits of a customer across all entries.

Time is cut into windows. For each window the leader divides a limit among the
entries by their demand; an entry without a share for the present window uses
its even part of a floor. Floor and shares of one window add up to the limit.
"""

import dataclasses
import math

WINDOW_SECONDS = 1.0
FLOOR_FRACTION = 0.2


@dataclasses.dataclass(kw_only=True)
class TokenBucket:
    """A token bucket whose rate may change."""

    tokens: float
    updated_at: float

    def take(self, rate: float, burst: float, now: float) -> bool:
        """Takes one token when there is one."""
        grown = self.tokens + (now - self.updated_at) * rate
        self.tokens = min(max(burst, 1.0), grown)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def window_index(wall: float) -> int:
    """Returns the window that a wall-clock time falls into."""
    return math.floor(wall / WINDOW_SECONDS)


def guaranteed_rate(limit: float, entries: int) -> float:
    """Returns the part of a limit that an entry has without a share."""
    return limit * FLOOR_FRACTION / max(1, entries)


def allocate(limit: float, demands: dict[str, float]) -> dict[str, float]:
    """Divides a limit among entries by demand.

    Demand within the limit is met with the rest spread evenly; demand beyond
    it is met max-min fairly, so a small requester is never crowded out.

    Args:
        limit: Requests per second for all entries together.
        demands: Requests per second each entry was asked for.

    Returns:
        Requests per second by entry, floors included; the sum is the limit.
    """
    if not demands:
        return {}
    floor = guaranteed_rate(limit, len(demands))
    shares = {entry: floor for entry in demands}
    rest = limit - floor * len(demands)
    wants = {e: max(0.0, d - floor) for e, d in demands.items()}
    ordered = sorted(wants, key=lambda entry: wants[entry])
    for index, entry in enumerate(ordered):
        given = min(wants[entry], rest / (len(ordered) - index))
        shares[entry] += given
        rest -= given
    for entry in shares:
        shares[entry] += rest / len(shares)
    return shares
