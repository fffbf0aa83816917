"""What a backend server believes it owns, and for how long."""

import dataclasses
import time

BELIEF_HISTORY = 20_000


@dataclasses.dataclass(kw_only=True)
class Belief:
    """A time during which the server held a partition, wall-clock seconds."""

    partition: str
    fence: int
    since: float
    until: float


class Ownership:
    """Assignment and lease of one server.

    Args:
        checks_sender: Whether orders of an earlier epoch or version are
            refused. Otherwise every order is followed until its deadline.
    """

    def __init__(self, *, checks_sender: bool):
        self.checks_sender = checks_sender
        self.epoch = 0
        self.version = 0
        self.fences: dict[str, int] = {}
        self.excluded: frozenset[str] = frozenset()
        self.until = 0.0
        self.open: dict[str, Belief] = {}
        self.beliefs: list[Belief] = []

    def assign(self, order: dict) -> bool:
        """Follows an assignment.

        Returns:
            False when it is refused as outdated.
        """
        stamp = (order["epoch"], order["version"])
        if self.checks_sender and stamp < (self.epoch, self.version):
            return False
        if order["deadline"] <= time.time():
            return True
        same = order["version"] == self.version
        self.epoch, self.version = stamp
        self.excluded = frozenset(order["excluded"])
        fences = order["fences"]
        for name in [n for n in self.open if fences.get(n) != self.fences[n]]:
            self.close(name, time.time())
        self.fences = dict(fences)
        self.until = (
            max(self.until, order["deadline"]) if same else (order["deadline"])
        )
        self.extend()
        return True

    def renew(self, order: dict) -> bool:
        """Follows a renewal.

        Returns:
            False when it states another version than the server's.
        """
        if self.checks_sender and order["epoch"] < self.epoch:
            return False
        if order["version"] != self.version:
            return False
        self.epoch = max(self.epoch, order["epoch"])
        self.until = max(self.until, order["deadline"])
        self.extend()
        return True

    def extend(self) -> None:
        """Extends the open beliefs to the lease's deadline."""
        now = time.time()
        if self.until <= now:
            return
        for name, fence in self.fences.items():
            belief = self.open.get(name)
            if belief is None or belief.until < now:
                belief = Belief(
                    partition=name, fence=fence, since=now, until=self.until
                )
                self.open[name] = belief
                self.beliefs.append(belief)
                del self.beliefs[:-BELIEF_HISTORY]
            belief.until = self.until

    def close(self, name: str, now: float) -> None:
        """Ends a belief."""
        belief = self.open.pop(name)
        belief.until = min(belief.until, now)

    def owns(self, partition: str, fence: int, key: str) -> bool:
        """Tells whether the server owns a partition at this moment."""
        if time.time() >= self.until:
            return False
        if not partition.startswith("key:") and key in self.excluded:
            return False
        return self.fences.get(partition) == fence
