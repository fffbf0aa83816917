"""How much of a request's objective remains when it arrives.

Refused callers retry, so the first attempt of a request may be in the past. Its
objective counts from that first attempt, so that server time goes to requests
that can still be answered in time.
"""

from oleanderhoist.policy import contractset

TRANSIT_SECONDS = 0.02


class ObjectiveTracker:
    """Tracks the longest time that callers of each kind of work wait."""

    def __init__(self):
        self.longest_waits: dict[tuple[str, str], float] = {}

    def remaining(
        self, work: contractset.Work, caller_remaining: float | None
    ) -> float:
        """Returns the time until the objective, in seconds.

        The longest remaining time that any caller has given for this kind of
        work is taken as the timeout with which first attempts begin.

        Args:
            work: Kind of work.
            caller_remaining: Time until the caller times out, in seconds;
                None if not given.
        """
        objective = work.objective - TRANSIT_SECONDS
        return objective - self.age(work, caller_remaining)

    def age(
        self, work: contractset.Work, caller_remaining: float | None
    ) -> float:
        """Returns the time since the caller's first attempt, in seconds.

        Args:
            work: Kind of work.
            caller_remaining: Time until the caller times out, in seconds;
                None if not given.
        """
        if caller_remaining is None:
            return 0.0
        key = (work.host, work.prefix)
        longest = max(self.longest_waits.get(key, 0.0), caller_remaining)
        self.longest_waits[key] = longest
        return longest - caller_remaining
