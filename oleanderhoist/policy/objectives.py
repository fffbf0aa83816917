"""How much of a request's objective is left when it arrives.

Load pattern: refused callers come back, so a request's first try lies in the
past. Its objective counts from then, and a server's time is better spent on a
request that can still be answered in time.
"""

from oleanderhoist.policy import contractset

TRANSIT_SECONDS = 0.02


class ObjectiveTracker:
    """Remembers how long callers of each kind of work wait in all."""

    def __init__(self):
        self.longest: dict[tuple[str, str], float] = {}

    def remaining(
        self, work: contractset.Work, caller_remaining: float | None
    ) -> float:
        """Returns the time until the objective, in seconds.

        Args:
            work: Kind of work.
            caller_remaining: How much longer the caller waits; None when not
                said.
        """
        objective = work.objective - TRANSIT_SECONDS
        if caller_remaining is None:
            return objective
        key = (work.host, work.prefix)
        longest = max(self.longest.get(key, 0.0), caller_remaining)
        self.longest[key] = longest
        return objective - (longest - caller_remaining)
