"""A server that owns keys and flaps."""

import asyncio
import unittest
from unittest import mock

from oleanderhoist.node import rebalancer
from oleanderhoist.policy import assignment
from tests import ownership_world
from tests import virtual

FLAPPING = "s1"
CYCLES = 8
DOWN_SECONDS = 0.9
UP_SECONDS = 0.7
STABLE_SECONDS = 6.0


class FlapTest(unittest.TestCase):
    """A server gets no keys until it has been up for a while."""

    def setUp(self):
        self.world = ownership_world.World(seed=5)
        self.move_times: list[float] = []
        start_move = rebalancer.Rebalancer.start_move

        def record_move(
            pool_rebalancer: rebalancer.Rebalancer,
            move: assignment.Move,
            reason: str,
        ) -> None:
            if move.target == FLAPPING:
                self.move_times.append(self.world.loop.now)
            start_move(pool_rebalancer, move, reason)

        patched = mock.patch.object(
            rebalancer.Rebalancer, "start_move", record_move
        )
        patched.start()
        self.addCleanup(patched.stop)

    async def flap(self) -> float:
        """Lets the server flap; returns the time from which it stays up."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        self.move_times.clear()
        server = self.world.backends[FLAPPING]
        for _ in range(CYCLES):
            server.up = False
            await asyncio.sleep(DOWN_SECONDS)
            server.restart()
            server.up = True
            await asyncio.sleep(UP_SECONDS)
        stable_at = self.world.loop.now
        await asyncio.sleep(STABLE_SECONDS)
        return stable_at

    def test_it_gets_no_keys_before_it_stays_up(self):
        stable_at = virtual.run(self.flap(), self.world.loop)
        early = [at for at in self.move_times if at < stable_at]
        self.assertLessEqual(len(early), 1)
        self.assertGreater(len(self.move_times), len(early))


if __name__ == "__main__":
    unittest.main()
