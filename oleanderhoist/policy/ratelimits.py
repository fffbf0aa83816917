"""Rate limits of a customer across all entries.

Time is divided into windows. For each window the leader allocates a limit to
the entries by their demand. An entry without an allocation for the current
window uses its even share of a guaranteed fraction of the limit. The
allocations of a window include these shares and add up to the limit.
"""

import dataclasses
import math

WINDOW_SECONDS = 1.0
GUARANTEED_FRACTION = 0.2


@dataclasses.dataclass(kw_only=True)
class TokenBucket:
    """A token bucket whose rate may change.

    Attributes:
        tokens: Available tokens as of `updated_at`.
        updated_at: Time of the last update, in seconds.
    """

    tokens: float
    updated_at: float

    def take(self, rate: float, burst: float, now: float) -> bool:
        """Takes one token; returns whether one was available."""
        refilled = self.tokens + (now - self.updated_at) * rate
        self.tokens = min(max(burst, 1.0), refilled)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def window_index(wall: float) -> int:
    """Returns the index of the window that contains a wall-clock time."""
    return math.floor(wall / WINDOW_SECONDS)


def guaranteed_rate(limit: float, entries: int) -> float:
    """Returns the rate that an entry has without an allocation."""
    return limit * GUARANTEED_FRACTION / max(1, entries)


def allocate(limit: float, demands: dict[str, float]) -> dict[str, float]:
    """Divides a limit among entries by demand.

    If the demand is within the limit, it is met and the rest is divided evenly;
    otherwise the limit is divided max-min fairly, so that entries with a small
    demand are not starved.

    Args:
        limit: Requests per second for all entries together.
        demands: Requests per second that each entry received.

    Returns:
        Requests per second by entry, including the guaranteed rate; the sum is
        the limit.
    """
    if not demands:
        return {}
    guaranteed = guaranteed_rate(limit, len(demands))
    rates = {entry: guaranteed for entry in demands}
    remaining = limit - guaranteed * len(demands)
    unmet = {e: max(0.0, d - guaranteed) for e, d in demands.items()}
    ordered = sorted(unmet, key=lambda entry: unmet[entry])
    for index, entry in enumerate(ordered):
        share = min(unmet[entry], remaining / (len(ordered) - index))
        rates[entry] += share
        remaining -= share
    for entry in rates:
        rates[entry] += remaining / len(rates)
    return rates
