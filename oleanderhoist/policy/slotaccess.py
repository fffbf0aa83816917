"""When a request may start before its server's home has granted a slot."""

from typing import Protocol

from oleanderhoist.policy import registry

BUSY_SECONDS = 1.0
BUSY_FRACTION = 0.5
URGENT_RANK = 1


class Policy(Protocol):
    """Decides how a slot is got."""

    def early(self, rank: int, busy_until: float, now: float) -> bool:
        """Tells whether to start at once and let the home know.

        Args:
            rank: Rank of the request; 1 is the most urgent.
            busy_until: Until when the home's last word was "busy".
            now: Monotonic seconds.
        """

    def asks(self) -> bool:
        """Tells whether homes are involved at all."""


PERMITS: registry.Registry[type[Policy]] = registry.Registry(
    kind="permit policy"
)


@PERMITS.register("early-urgent")
class EarlyUrgent:
    """The most urgent rank starts at once unless the home was busy."""

    def early(self, rank: int, busy_until: float, now: float) -> bool:
        """Tells whether to start at once and let the home know."""
        return rank == URGENT_RANK and now >= busy_until

    def asks(self) -> bool:
        """Tells whether homes are involved at all."""
        return True


@PERMITS.register("always-ask")
class AlwaysAsk:
    """Baseline: every request waits for its home's word."""

    def early(self, rank: int, busy_until: float, now: float) -> bool:
        """Tells whether to start at once and let the home know."""
        return False

    def asks(self) -> bool:
        """Tells whether homes are involved at all."""
        return True


@PERMITS.register("none")
class NoPermits:
    """Baseline: homes are never asked; each entry acts on its own."""

    def early(self, rank: int, busy_until: float, now: float) -> bool:
        """Tells whether to start at once and let the home know."""
        return False

    def asks(self) -> bool:
        """Tells whether homes are involved at all."""
        return False
