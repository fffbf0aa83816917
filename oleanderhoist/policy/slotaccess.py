"""When a request may start before its server's coordinator grants a slot."""

from typing import Protocol

from oleanderhoist.policy import registry

BUSY_SECONDS = 1.0
BUSY_FRACTION = 0.5
URGENT_RANK = 1


class Policy(Protocol):
    """Decides how a slot is got."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Tells whether to start at once and let the coordinator know.

        Args:
            rank: Rank of the request; 1 is the most urgent.
            busy_until: Until when the coordinator's last word was "busy".
            now: Monotonic seconds.
        """

    def uses_coordinator(self) -> bool:
        """Tells whether coordinators are involved at all."""


SLOT_ACCESS: registry.Registry[type[Policy]] = registry.Registry(
    kind="permit policy"
)


@SLOT_ACCESS.register("early-urgent")
class EarlyUrgent:
    """The most urgent rank starts at once unless the coordinator was busy."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Tells whether to start at once and let the coordinator know."""
        return rank == URGENT_RANK and now >= busy_until

    def uses_coordinator(self) -> bool:
        """Tells whether coordinators are involved at all."""
        return True


@SLOT_ACCESS.register("always-ask")
class AlwaysAsk:
    """Baseline: every request waits for its coordinator's word."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Tells whether to start at once and let the coordinator know."""
        return False

    def uses_coordinator(self) -> bool:
        """Tells whether coordinators are involved at all."""
        return True


@SLOT_ACCESS.register("none")
class NoPermits:
    """Baseline: coordinators are never asked; each entry acts on its own."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Tells whether to start at once and let the coordinator know."""
        return False

    def uses_coordinator(self) -> bool:
        """Tells whether coordinators are involved at all."""
        return False
