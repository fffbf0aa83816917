"""Retry budgets that all processes share by dividing them."""

from oleanderhoist.node import state
from oleanderhoist.policy import retry


class Budgets:
    """Retry budgets of this process, one for each pool.

    All processes together must stay within a ratio of the requests and a
    fixed extra in each window; each may use an even part of the extra.

    Args:
        ratio: Retries for each request.
        extra: Further retries of all processes in a window.
        state: Tells how many processes there are.
    """

    SAFETY = 0.8

    def __init__(self, *, ratio: float, extra: float, state: state.State):
        self.ratio = ratio
        self.extra = extra
        self.state = state
        self.by_pool: dict[str, retry.Budget] = {}

    def get(self, pool: str) -> retry.Budget:
        """Returns the budget of a pool.

        It begins almost empty: a process that was started again must not
        spend anew what it has spent before.
        """
        budget = self.by_pool.get(pool)
        if budget is None:
            budget = retry.Budget(credit=1.0)
            self.by_pool[pool] = budget
        budget.fraction = self.SAFETY * self.ratio
        budget.ceiling = self.part()
        return budget

    def part(self) -> float:
        """Returns this process's part of the extra retries."""
        members = len(self.state.snapshot.members)
        if members < 2:
            return 1.0
        return max(1.0, self.SAFETY * self.extra / members)

    def earn(self, pool: str) -> None:
        """Counts a first try."""
        self.get(pool).earn()

    def spend(self, pool: str) -> bool:
        """Takes one retry when the budget allows it."""
        return self.get(pool).spend()
