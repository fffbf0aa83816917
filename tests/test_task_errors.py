"""Errors of single tasks end neither a leadership nor a process."""

import asyncio
import dataclasses
import unittest

from tests import ownership_world
from tests import virtual


class LeaderTasksTest(unittest.TestCase):
    """An error of one of the leader's tasks ends no leadership."""

    def test_a_server_that_cannot_be_encoded_ends_every_leader(self):
        world = ownership_world.World(seed=1, routers=4)
        odd = dataclasses.replace(world.server_entry("s0"), started_ms=2**70)

        def epochs() -> set[int]:
            return {
                one.state.snapshot.epoch for one in world.followers.values()
            }

        async def scenario() -> tuple[set[int], set[int], set[int]]:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(5)
            before = epochs()
            world.listed_servers["odd"] = odd
            await asyncio.sleep(3)
            del world.listed_servers["odd"]
            del world.listed_servers["s3"]
            await asyncio.sleep(3)
            counts = {
                len(one.state.snapshot.servers)
                for one in world.followers.values()
            }
            return before, epochs(), counts

        before, after, counts = virtual.run(scenario(), world.loop)
        self.assertEqual(before, after)
        self.assertEqual({3}, counts)


if __name__ == "__main__":
    unittest.main()
