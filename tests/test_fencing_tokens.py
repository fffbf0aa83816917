"""Fencing tokens of one epoch stay below those of the next one."""

import asyncio
import unittest

from oleanderhoist.node import leasemanager
from tests import ownership_world
from tests import virtual

ROUTERS = 4
START_SECONDS = 5.0
NEXT_LEADER_SECONDS = 2.0
BITS = leasemanager.TOKEN_COUNT_BITS


class FencingTokensTest(unittest.TestCase):
    """A leader makes room before its tokens run out."""

    # Guards against tokens of one epoch that are those of the next one, too.
    def test_a_leader_whose_tokens_are_used_up_makes_room(self):
        world = ownership_world.World(seed=3, routers=ROUTERS)

        def leaders() -> list[str]:
            """Returns the routers that lead and have not resigned."""
            return [
                address
                for address, one in world.followers.items()
                if one.leadership is not None
                and not one.leadership.leader_lease.resigned
            ]

        async def use_up() -> None:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(START_SECONDS)
            (leader,) = leaders()
            fences = world.followers[leader].leadership.fences
            fences.count = (1 << BITS) - leasemanager.RESERVED_TOKENS
            await asyncio.sleep(NEXT_LEADER_SECONDS)
            (successor,) = leaders()
            self.assertNotEqual(leader, successor)
            self.assertLess(fences.next() >> BITS, fences.epoch + 1)

        virtual.run(use_up(), world.loop)
        self.assertEqual([], world.violations)


if __name__ == "__main__":
    unittest.main()
