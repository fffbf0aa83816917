"""What a leader knows of the time until which keys are leased."""

import random
import unittest

from oleanderhoist import ports
from oleanderhoist.node import leasemanager
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import leaseexpiries
from tests import virtual

MOVED = keys.Range(start=0, end=99)
KEPT = keys.Range(start=100, end=199)
OUTAGE_SECONDS = 2.0
LAST_KEY = keys.KEY_COUNT - 1


class LeaseExpiriesTest(unittest.TestCase):
    """Leases on some keys say nothing about other keys."""

    def test_each_key_has_the_expiry_that_was_recorded_for_it(self):
        rng = random.Random(35)
        for _ in range(20):
            tested = leaseexpiries.LeaseExpiries(initial=1.0)
            expected = [1.0] * keys.KEY_COUNT
            for now in range(60):
                start, end = sorted(
                    rng.choice([0, 1, 7, 8, 9, 4096, LAST_KEY - 1, LAST_KEY])
                    for _ in range(2)
                )
                key_range = keys.Range(start=start, end=end)
                expires_at = now + rng.choice([0.5, 3.0, 9.0])
                window = slice(start, end + 1)
                if rng.random() < 0.5:
                    tested.extend(key_range, expires_at)
                    expected[window] = [
                        max(known, expires_at) for known in expected[window]
                    ]
                else:
                    tested.replace(key_range, expires_at)
                    expected[window] = [expires_at] * (end + 1 - start)
                self.assertEqual(
                    max(expected[window]), tested.latest(key_range)
                )
            self.assertEqual(max(expected), tested.latest(keys.all_keys()))
            for key in (0, 1, 5, 7, 8, 9, 10, 4096, 5000, LAST_KEY):
                one = keys.Range(start=key, end=key)
                self.assertEqual(expected[key], tested.latest(one))

    def test_what_has_ended_takes_no_memory(self):
        tested = leaseexpiries.LeaseExpiries(initial=0.0)
        for key in range(0, 1000, 2):
            tested.replace(keys.Range(start=key, end=key), key / 100)
        tested.forget_ended(9.0)
        self.assertEqual(0.0, tested.latest(keys.Range(start=0, end=900)))
        self.assertEqual(9.98, tested.latest(keys.all_keys()))
        self.assertLess(len(tested.starts), 110)


class AcceptingPlatform:
    """A platform whose servers accept every grant."""

    async def connect(self, *, allow_new: bool) -> int:
        """Connects."""
        return 1

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Accepts a grant."""
        return True

    def lease_channel(self, server: cluster.Server) -> "AcceptingPlatform":
        """Returns itself."""
        return self


class OutageTest(unittest.TestCase):
    """Keys begin to move just after the store was unavailable."""

    # Guards against two owners of keys that a renewal of others left out.
    def test_a_renewal_of_other_keys_does_not_end_a_longer_lease(self):
        loop = virtual.Loop()
        leader_lease = leaderlease.LeaderLease(
            epoch=1,
            confirmed_at=loop.now - OUTAGE_SECONDS,
            began_at=0.0,
            max_lease_seconds=10.0,
        )
        ranges = [MOVED, KEPT]
        manager = leasemanager.LeaseManager(
            server=cluster.Server(
                id="a", pool="p", address="x:1", data_center="a", slots=1
            ),
            platform=AcceptingPlatform(),
            fences=leasemanager.FencingTokens(epoch=1),
            leader_lease=leader_lease,
            clock=virtual.Clock(loop=loop),
            ranges=lambda: ranges,
            expiries=leaseexpiries.LeaseExpiries(initial=0.0),
        )
        long_until = loop.now + leaderlease.OUTAGE_LEASE_SECONDS

        async def play() -> None:
            self.assertTrue(await manager.renew())
            ranges.remove(MOVED)
            leader_lease.confirmed_at = loop.now
            self.assertTrue(await manager.renew())

        virtual.run(play(), loop)
        self.assertGreaterEqual(manager.expiries.latest(MOVED), long_until)
        self.assertLess(manager.expiries.latest(KEPT), long_until)


if __name__ == "__main__":
    unittest.main()
