"""What an entry believes after its VM was suspended."""

import unittest

from oleanderhoist import clock
from oleanderhoist.entry import contracts
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import wire

SUSPENDED_SECONDS = 30.0


class SuspendedClock(clock.Clock):
    """A steady clock that does not count the time of a suspension.

    Attributes:
        suspended: Time that the VM was suspended, in seconds.
    """

    suspended = 0.0

    def monotonic(self) -> float:
        """Returns a time that stands still."""
        return 100.0

    def boottime(self) -> float:
        """Returns the time with that of the suspension."""
        return 100.0 + self.suspended

    def wall(self) -> float:
        """Returns the time of day, which goes on as well."""
        return 1_000.0 + self.suspended


class SuspensionTest(unittest.TestCase):
    """What was confirmed before a suspension isn't confirmed after it."""

    def setUp(self):
        self.clock = SuspendedClock()
        self.store = snapshots.SnapshotStore(own_id="e", clock=self.clock)
        self.delegation = wire.Delegation(
            epoch=0,
            sequence=1,
            revision=0,
            contracts_revision=0,
            sent_at=self.clock.wall(),
            expires_at=self.clock.wall() + 1.0,
        )

    def test_contracts_of_before_a_suspension_admit_requests(self):
        active = contracts.Contracts(
            table=None, snapshot_store=self.store, clock=self.clock
        )
        active.by_credential = {"c": None}
        active.confirm(self.delegation)
        self.assertTrue(active.is_confirmed())
        self.clock.suspended = SUSPENDED_SECONDS
        self.assertFalse(active.is_confirmed())
        active.confirm(self.delegation)
        self.assertFalse(active.is_confirmed())

    def test_a_snapshot_of_before_a_suspension_looks_fresh(self):
        self.store.accept_delegation("p", self.delegation)
        self.assertFalse(self.store.is_stale())
        self.clock.suspended = SUSPENDED_SECONDS
        self.assertTrue(self.store.is_stale())


if __name__ == "__main__":
    unittest.main()
