"""When a request may start before the server's coordinator grants a slot."""

from typing import Protocol

from oleanderhoist.policy import registry

BUSY_SECONDS = 1.0
BUSY_FRACTION = 0.5  # Of the slots.
URGENT_RANK = 1


class Policy(Protocol):
    """Decides whether a request waits for a slot grant."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Returns whether to start immediately and notify the coordinator.

        Args:
            rank: Rank of the request; 1 is the most urgent.
            busy_until: Until when the server counts as busy after its
                coordinator reported it, in monotonic seconds.
            now: Current time, in monotonic seconds.
        """

    def uses_coordinator(self) -> bool:
        """Returns whether slots are requested from coordinators."""


SLOT_ACCESS: registry.Registry[type[Policy]] = registry.Registry(
    kind="slot access policy"
)


@SLOT_ACCESS.register("early-urgent")
class EarlyUrgent:
    """The most urgent rank starts immediately unless the server is busy."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Returns whether to start immediately and notify the coordinator."""
        return rank == URGENT_RANK and now >= busy_until

    def uses_coordinator(self) -> bool:
        """Returns whether slots are requested from coordinators."""
        return True


@SLOT_ACCESS.register("always-ask")
class AlwaysAsk:
    """Baseline: every request waits for a slot grant."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Returns whether to start immediately and notify the coordinator."""
        return False

    def uses_coordinator(self) -> bool:
        """Returns whether slots are requested from coordinators."""
        return True


@SLOT_ACCESS.register("none")
class Uncoordinated:
    """Baseline: each entry sends requests without slot grants."""

    def starts_before_grant(
        self, rank: int, busy_until: float, now: float
    ) -> bool:
        """Returns whether to start immediately and notify the coordinator."""
        return False

    def uses_coordinator(self) -> bool:
        """Returns whether slots are requested from coordinators."""
        return False
