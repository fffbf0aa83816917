"""When a server counts as cold.

The directory says for how long a server stays cold, as of the time at which it
wrote its entry. A server whose data centre was dark or evacuated comes back
cold while its former entry, which does not say so, is still listed. It would at
once get all the requests that its free slots allow, and crash. It is therefore
presumed to be cold until an entry that it wrote after its return must have been
read. An entry that had gone and is back was written after that.
"""

from collections.abc import Mapping
import dataclasses
import enum
import math

MIN_FAILURES = 2  # In a row; a single packet may get lost.
# That a server leaves several requests unanswered; shorter, it may be busy.
MIN_SILENT_SECONDS = 1.0
# For an entry to be read and its news to reach all routers, in seconds.
LEARN_SECONDS = 0.8


class Cause(enum.StrEnum):
    """Why a server counts as cold."""

    PUBLISHED = "published"
    SILENT = "silent"
    RETURNED = "returned"
    EVACUATED = "evacuated"


@dataclasses.dataclass(kw_only=True)
class Absence:
    """What attempts show of whether a server is away.

    Attributes:
        failures: Attempts that nothing answered, since the last answer.
        silent_requests: Silent requests, since the last answer.
        silent_since: When the first of these was silent, in seconds.
        returned_at: When it first answered after it was away, in seconds.
    """

    failures: int = 0
    silent_requests: int = 0
    silent_since: float = math.inf
    returned_at: float = -math.inf

    def record_failure(self) -> None:
        """Counts an attempt that nothing at the address answered."""
        self.failures += 1

    def record_silence(self, now: float) -> None:
        """Counts a request that is silent."""
        self.silent_requests += 1
        self.silent_since = min(self.silent_since, now)

    def record_answer(self, now: float) -> None:
        """Records that the server answered."""
        if self.is_away(now):
            self.returned_at = now
        self.failures = 0
        self.silent_requests = 0
        self.silent_since = math.inf

    def is_away(self, now: float) -> bool:
        """Returns whether the server counts as away."""
        if self.failures >= MIN_FAILURES:
            return True
        return (
            self.silent_requests >= MIN_FAILURES
            and now - self.silent_since >= MIN_SILENT_SECONDS
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Belief:
    """What a router knows of the directory.

    Attributes:
        directory_seconds: Interval at which servers write their entries, in
            seconds.
        confirmed_at: When the listing was last known to be current, in
            seconds.
        ended_evacuations: When the evacuation of each data centre was taken
            back, in seconds.
    """

    directory_seconds: float
    confirmed_at: float
    ended_evacuations: Mapping[str, float]

    def is_presumed(
        self, returned_at: float, now: float, cold_seconds: float
    ) -> bool:
        """Returns whether a server counts as cold since its return.

        Args:
            returned_at: When it returned, in seconds.
            now: Current time, in seconds.
            cold_seconds: For how long a server stays cold, in seconds.
        """
        written_at = returned_at + self.directory_seconds
        if now <= written_at + LEARN_SECONDS:
            return True
        if self.confirmed_at >= written_at:
            return False
        return now <= returned_at + cold_seconds

    def holds(self, now: float, cold_seconds: float) -> bool:
        """Returns whether a published cold start may still last.

        Args:
            now: Current time, in seconds.
            cold_seconds: For how long a server stays cold, in seconds.
        """
        if math.isinf(self.confirmed_at):
            return True
        lasting = self.directory_seconds + LEARN_SECONDS
        return now <= self.confirmed_at + max(cold_seconds, lasting)


def find_cause(
    *,
    published: bool,
    absence: Absence,
    data_center: str,
    cold_seconds: float,
    belief: Belief,
    now: float,
) -> Cause | None:
    """Returns why a server counts as cold; None if it does not.

    Args:
        published: Whether the listing says that it is cold.
        absence: What attempts show.
        data_center: Data centre of the server.
        cold_seconds: For how long a server stays cold after its start, in
            seconds.
        belief: What this router knows of the directory.
        now: Current time, in seconds.
    """
    if published and belief.holds(now, cold_seconds):
        return Cause.PUBLISHED
    if absence.is_away(now):
        return Cause.SILENT
    ended_at = belief.ended_evacuations.get(data_center, -math.inf)
    for cause, returned_at in (
        (Cause.RETURNED, absence.returned_at),
        (Cause.EVACUATED, ended_at),
    ):
        if belief.is_presumed(returned_at, now, cold_seconds):
            return cause
    return None
