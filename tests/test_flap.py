"""A server of keys that goes down and up by turns."""

import asyncio
import unittest
from unittest import mock

from oleanderhoist.node import rebalancer
from oleanderhoist.policy import balance
from tests import ownership_world
from tests import virtual

FLAPPING = "s1"
TURNS = 8
DOWN_SECONDS = 0.9
UP_SECONDS = 0.7
STEADY_SECONDS = 6.0


class FlapTest(unittest.TestCase):
    """Keys stay away from a server until it has been up for a while."""

    def setUp(self):
        self.world = ownership_world.World(seed=5)
        self.received: list[float] = []
        start = rebalancer.Rebalancer.start_move

        def note(
            made: rebalancer.Rebalancer, move: balance.Move, reason: str
        ) -> None:
            if move.target == FLAPPING:
                self.received.append(self.world.loop.now)
            start(made, move, reason)

        patched = mock.patch.object(rebalancer.Rebalancer, "start_move", note)
        patched.start()
        self.addCleanup(patched.stop)

    async def flap(self) -> float:
        """Lets the server flap; returns when it stays up."""
        for name in self.world.names:
            self.world.start(name)
        await asyncio.sleep(5)
        self.received.clear()
        server = self.world.backends[FLAPPING]
        for _ in range(TURNS):
            server.up = False
            await asyncio.sleep(DOWN_SECONDS)
            server.reborn()
            server.up = True
            await asyncio.sleep(UP_SECONDS)
        stays = self.world.loop.now
        await asyncio.sleep(STEADY_SECONDS)
        return stays

    def test_it_gets_no_keys_before_it_stays_up(self):
        stays = virtual.run(self.flap(), self.world.loop)
        early = [at for at in self.received if at < stays]
        self.assertLessEqual(len(early), 1)
        self.assertGreater(len(self.received), len(early))


if __name__ == "__main__":
    unittest.main()
