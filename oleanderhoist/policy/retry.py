"""When a request may be retried."""

import dataclasses
import enum

BUDGET_FRACTION = 0.1
BUDGET_CREDIT = 10.0
# Also where a contract allows more. A request that was not sent may still be
# retried; hedged requests have no such limit.
MAX_ATTEMPTS = 3


class Failure(enum.StrEnum):
    """How an attempt ended without a response."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "lost"


@dataclasses.dataclass(kw_only=True)
class Budget:
    """Limits retries to a fraction of first attempts.

    Attributes:
        credit: Retries that are currently allowed.
        fraction: Retries earned by one first attempt.
        ceiling: Maximum credit.
    """

    credit: float = BUDGET_CREDIT
    fraction: float = BUDGET_FRACTION
    ceiling: float = BUDGET_CREDIT

    def earn(self) -> None:
        """Counts a first attempt."""
        self.credit = min(self.ceiling, self.credit + self.fraction)

    def spend(self) -> bool:
        """Uses one retry; returns whether the budget allows it."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def allowed(
    *, failure: Failure, repeatable: bool, attempts: int, remaining: float
) -> bool:
    """Returns whether a request may be retried, regardless of the budget.

    Args:
        failure: How the last attempt ended.
        repeatable: Whether the contract lets this work run more than once.
        attempts: Attempts made so far.
        remaining: Time until the deadline, in seconds.
    """
    if remaining <= 0:
        return False
    if failure is Failure.NOT_SENT:
        return True
    if failure is Failure.OUTCOME_UNKNOWN and not repeatable:
        return False
    return attempts < MAX_ATTEMPTS
