"""When a request may be sent a second time."""

import dataclasses
import enum

BUDGET_FRACTION = 0.1
BUDGET_CREDIT = 10.0
MAX_TRIES = 3


class Failure(enum.StrEnum):
    """How a try ended without an answer."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "lost"


@dataclasses.dataclass(kw_only=True)
class Budget:
    """Bounds retries to a fraction of first tries.

    Attributes:
        credit: Retries that may be made now.
        fraction: Retries earned by one first try.
        ceiling: Most retries that can be saved up.
    """

    credit: float = BUDGET_CREDIT
    fraction: float = BUDGET_FRACTION
    ceiling: float = BUDGET_CREDIT

    def earn(self) -> None:
        """Counts a first try."""
        self.credit = min(self.ceiling, self.credit + self.fraction)

    def spend(self) -> bool:
        """Takes one retry when the budget allows it."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def allowed(
    *, failure: Failure, repeatable: bool, tries: int, remaining: float
) -> bool:
    """Tells whether another try is right, before the budget is asked.

    Args:
        failure: How the last try ended.
        repeatable: Whether the contract lets this work run twice.
        tries: Tries made so far.
        remaining: Time until the deadline, in seconds.
    """
    if remaining <= 0:
        return False
    if failure is Failure.NOT_SENT:
        return True
    if failure is Failure.OUTCOME_UNKNOWN and not repeatable:
        return False
    return tries < MAX_TRIES
