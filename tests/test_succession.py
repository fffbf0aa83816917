"""What routers conclude from a leadership record that may be of a copy."""

import dataclasses
import unittest

from oleanderhoist.node import leaderstore
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import succession

ERA = 7
RECORD = succession.Record(epoch=5, address="a:1", era=ERA, owners_known=True)
KNOWN = succession.Knowledge(epoch=5, first_era=ERA, era=ERA)
CLAIM = succession.Claim(epoch=5, address="a:1", era=ERA, may_restore=True)


def record(**changes: object) -> succession.Record:
    """Returns a record with changes."""
    return dataclasses.replace(RECORD, **changes)


def known(**changes: object) -> succession.Knowledge:
    """Returns what a router knows, with changes."""
    return dataclasses.replace(KNOWN, **changes)


class CurrentTest(unittest.TestCase):
    """Whether a successor believes the stored owners."""

    def check(
        self, expected: bool, one: succession.Record, **changes: object
    ) -> None:
        """Checks whether a record counts as that of the latest leader."""
        self.assertEqual(expected, succession.is_current(one, known(**changes)))

    def test_the_owners_of_a_copy_are_believed(self):
        self.check(True, RECORD)
        self.check(False, RECORD, era=ERA + 1)
        self.check(False, RECORD, era=ERA + 1, first_era=ERA + 1)

    def test_owners_are_believed_though_a_later_leader_is_known(self):
        self.check(False, RECORD, epoch=6)

    def test_owners_of_a_leader_that_waits_are_believed(self):
        self.check(False, record(owners_known=False))

    def test_a_record_of_the_earlier_build_counts_unless_the_store_returned(
        self,
    ):
        earlier = record(era=None)
        self.check(True, earlier)
        self.check(True, earlier, epoch=0)
        self.check(False, earlier, era=ERA + 1)


class EpochTest(unittest.TestCase):
    """No epoch is given out twice, and none that is lower."""

    def test_an_epoch_that_was_lost_with_the_store_is_given_out_again(self):
        lost = range(RECORD.epoch, RECORD.epoch + 50)
        elected = succession.next_epoch(RECORD, known(era=ERA + 1))
        self.assertGreater(elected, max(lost))
        again = succession.next_epoch(RECORD, known(era=ERA + 2))
        self.assertGreater(again, elected + 50)

    def test_a_router_that_knows_a_later_epoch_falls_below_it(self):
        self.assertEqual(10, succession.next_epoch(RECORD, known(epoch=9)))

    def test_nothing_is_skipped_without_a_return_of_the_store(self):
        self.assertEqual(6, succession.next_epoch(RECORD, KNOWN))
        self.assertEqual(6, succession.next_epoch(record(era=None), KNOWN))

    def test_epochs_of_the_earlier_build_are_given_out_again(self):
        elected = succession.next_epoch(record(era=None), known(era=ERA + 1))
        self.assertGreater(elected, RECORD.epoch + 50)

    def test_many_eras_use_up_the_fencing_tokens(self):
        elected = succession.next_epoch(record(era=0), known(era=1_800_000_000))
        self.assertLess(elected << 20, 1 << 53)


class VerdictTest(unittest.TestCase):
    """What a leader does after it has read the record."""

    def check(
        self,
        expected: succession.Verdict,
        one: succession.Record,
        era: int = ERA + 1,
        **changes: object,
    ) -> None:
        """Checks what a leader does."""
        claim = dataclasses.replace(CLAIM, **changes)
        self.assertIs(expected, succession.judge(one, era, claim))

    def test_two_leaders_of_one_epoch_go_on(self):
        """Guards against a comparison of epochs without addresses."""
        rival = record(address="b:1")
        self.check(succession.Verdict.STEP_DOWN, rival)
        self.check(succession.Verdict.STEP_DOWN, rival, ERA)
        self.check(succession.Verdict.KEEP, RECORD, ERA)
        self.check(succession.Verdict.KEEP, record(address=""), ERA)

    def test_the_latest_leader_gives_way_to_the_record_of_a_copy(self):
        self.check(succession.Verdict.RESTORE, RECORD)
        self.check(succession.Verdict.RESTORE, record(address=""))
        self.check(succession.Verdict.RESTORE, record(epoch=4, address="b:1"))
        self.check(
            succession.Verdict.RESTORE,
            record(epoch=4, address="b:1", era=ERA + 1),
        )

    def test_a_leader_does_not_give_way_to_a_later_one(self):
        self.check(
            succession.Verdict.STEP_DOWN,
            record(epoch=6, address="b:1", era=ERA + 1),
        )

    def test_a_leader_restores_what_it_cannot_know(self):
        self.check(succession.Verdict.STEP_DOWN, RECORD, may_restore=False)


class LeaseTest(unittest.TestCase):
    """For how long a leader's knowledge of the owners holds."""

    def test_a_leader_restores_after_a_successor_may_have_moved_keys(self):
        lease = leaderlease.LeaderLease(
            epoch=1, confirmed_at=10.0, began_at=0.0, max_lease_seconds=10.0
        )
        self.assertTrue(lease.may_restore(10.0 + 10.9))
        # A successor that was elected at once moves keys from 11.46 s on.
        self.assertFalse(lease.may_restore(10.0 + 11.0))

    def test_keys_move_before_a_later_leader_may_be_heard_of(self):
        lease = leaderlease.LeaderLease(
            epoch=1, confirmed_at=10.0, began_at=0.0, max_lease_seconds=10.0
        )
        self.assertTrue(lease.may_move_keys(10.1))
        lease.record_restore(10.0)
        self.assertFalse(lease.may_move_keys(10.1))
        lease.confirmed_at = 12.0
        self.assertTrue(lease.may_move_keys(12.1))


class RecordTest(unittest.TestCase):
    """The record in the store, as builds read it."""

    def test_the_record_of_an_earlier_build_names_no_era(self):
        earlier = leaderstore.LeadershipRecord(epoch=1, address="a:1")
        facts = earlier.facts()
        self.assertIsNone(facts.era)
        self.assertTrue(facts.owners_known)

    def test_the_record_loses_who_waits(self):
        later = leaderstore.LeadershipRecord(
            epoch=1, address="a:1", era=3, owners_known=False
        )
        self.assertIn(b'"era":3', leaderstore.encode_leadership(later))
        self.assertFalse(later.facts().owners_known)


if __name__ == "__main__":
    unittest.main()
