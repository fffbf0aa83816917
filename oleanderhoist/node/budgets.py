"""Retry budgets, divided among all routers."""

from oleanderhoist.node import state
from oleanderhoist.policy import retry


class Budgets:
    """Retry budgets of this router, one for each pool.

    In any window, all routers together should retry at most a ratio of their
    requests, plus a fixed number of extra retries. Each first attempt earns a
    part of a retry; what a router may save up is its share of the extra ones.

    Args:
        ratio: Retries allowed for each request.
        extra: Extra retries of all routers in a window.
        state: Gives the number of routers.
    """

    SAFETY_FACTOR = 0.8
    INITIAL_CREDIT = 1.0
    MIN_EXTRA_RETRIES = 1.0

    def __init__(self, *, ratio: float, extra: float, state: state.State):
        self.ratio = ratio
        self.extra = extra
        self.state = state
        self.by_pool: dict[str, retry.Budget] = {}

    def get(self, pool: str) -> retry.Budget:
        """Returns the budget of a pool.

        It begins almost empty, so that a restarted router does not spend its
        budget a second time.
        """
        budget = self.by_pool.get(pool)
        if budget is None:
            budget = retry.Budget(credit=self.INITIAL_CREDIT)
            self.by_pool[pool] = budget
        budget.fraction = self.SAFETY_FACTOR * self.ratio
        budget.ceiling = self.extra_share()
        return budget

    def extra_share(self) -> float:
        """Returns this router's share of the extra retries.

        It is the minimum while this router knows of no other.
        """
        members = len(self.state.snapshot.members)
        if members < 2:
            return self.MIN_EXTRA_RETRIES
        return max(
            self.MIN_EXTRA_RETRIES, self.SAFETY_FACTOR * self.extra / members
        )

    def earn(self, pool: str) -> None:
        """Adds the credit for a first attempt."""
        self.get(pool).earn()

    def spend(self, pool: str) -> bool:
        """Charges one retry; returns whether the budget allowed it."""
        return self.get(pool).spend()
