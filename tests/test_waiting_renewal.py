"""A renewal that waits while keys move does not grant them too early."""

import asyncio
import unittest

from oleanderhoist.policy import assignment
from tests import ownership_world
from tests import virtual

SETTLE_SECONDS = 8.0
MOVE_SECONDS = 1.0
START, END = 0, 8191  # Some of their keys are checked.


class WaitingRenewalTest(unittest.TestCase):
    """Moved keys get a fencing token above that of their last owner."""

    def setUp(self):
        self.world = ownership_world.World(seed=1)

    async def move_while_a_renewal_waits(self) -> None:
        """Moves keys to a server whose renewal waits for another call."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(SETTLE_SECONDS)
        leader = next(
            one.leadership
            for one in self.world.followers.values()
            if one.leadership is not None
        )
        rebalancer = leader.rebalancers[ownership_world.POOL]
        source = rebalancer.recorded_map().find(START).owner
        target = next(id for id in rebalancer.servers if id != source)
        manager = rebalancer.lease_manager(target)
        async with manager.lock:
            renewal = asyncio.create_task(manager.renew())
            await asyncio.sleep(0)
            rebalancer.start_move(
                assignment.Move(
                    start=START, end=END, source=source, target=target
                ),
                "test",
            )
            await asyncio.sleep(MOVE_SECONDS)
        await renewal
        await asyncio.sleep(MOVE_SECONDS)

    def test_a_waiting_renewal_grants_moved_keys_with_an_earlier_token(self):
        virtual.run(self.move_while_a_renewal_waits(), self.world.loop)
        self.assertEqual([], self.world.violations)


if __name__ == "__main__":
    unittest.main()
