"""A leader that stops does not lead again."""

import asyncio
import unittest

from oleanderhoist.node import core
from tests import ownership_world
from tests import virtual

ROUTERS = 4
SUCCESSION_SECONDS = 0.6


class ResignTest(unittest.TestCase):
    """Succession after a graceful stop, while the old leader still runs."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=ROUTERS)

    def leaders(self) -> list[str]:
        """Returns the routers that lead and have not resigned."""
        return [
            address
            for address, follower in self.world.followers.items()
            if follower.leadership is not None
            and not follower.leadership.leader_lease.resigned
        ]

    async def stop_leader(self, loss_seconds: float) -> list[str]:
        """Stops the leader while datagrams are lost for a while."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        (leader,) = self.leaders()
        self.world.fault_rates = {"datagram_lost": 1.0}
        await self.world.followers[leader].stop()
        await asyncio.sleep(loss_seconds)
        self.world.fault_rates = {}
        await asyncio.sleep(SUCCESSION_SECONDS)
        return self.leaders()

    def test_a_lost_notice_is_given_again(self):
        leaders = virtual.run(self.stop_leader(0.05), self.world.loop)
        self.assertEqual(1, len(leaders))

    def test_the_record_stays_vacant(self):
        async def stop() -> int:
            await self.stop_leader(0.0)
            return len(self.leaders())

        self.assertEqual(1, virtual.run(stop(), self.world.loop))

    async def stop_candidate(self) -> tuple[str, list[str]]:
        """Stops the first router that stands for election, while it does.

        Returns:
            The stopped router, and the leaders some seconds later.
        """
        stopped = []

        def stop_while_elected(address: str) -> None:
            follower = self.world.followers[address]
            acquire = follower.acquire_leadership

            async def stop_first(*args: object) -> None:
                if not stopped:
                    stopped.append(address)
                    await follower.stop()
                await acquire(*args)

            follower.acquire_leadership = stop_first

        for address in self.world.addresses:
            self.world.start(address)
            stop_while_elected(address)
        await asyncio.sleep(5)
        return stopped[0], self.leaders()

    def test_a_router_that_stops_while_elected_does_not_lead(self):
        stopped, leaders = virtual.run(self.stop_candidate(), self.world.loop)
        self.assertEqual(1, len(leaders))
        self.assertNotIn(stopped, leaders)


class AwaitTest(unittest.TestCase):
    """How long a stopping router awaits answers."""

    def test_answers_are_awaited_into_the_last_sixth_before_the_kill(self):
        for stop_seconds in (3.0, 6.0, 10.0):
            with self.subTest(stop_seconds=stop_seconds):
                awaited = core.drain_seconds(stop_seconds)
                self.assertGreater(awaited, stop_seconds * 5 / 6)
                self.assertGreater(stop_seconds - awaited, 0.4)  # To exit.


if __name__ == "__main__":
    unittest.main()
