"""Snapshots that were read from the store, and the deltas that follow."""

import asyncio
import dataclasses
import unittest

from oleanderhoist.node import snapshots
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from tests import ownership_world
from tests import test_node
from tests import virtual

ROUTERS = 6
LATE_ROUTERS = 3
ROSTER_SECONDS = 5.0
RESTART_SECONDS = 0.5
# Between the start of the first routers and the change of the directory.
CHANGE_DELAYS_SECONDS = [tenths / 10 for tenths in range(8)]
SETTLE_SECONDS = 4.0
CHANGED = "s0"


class HerdKillTest(unittest.TestCase):
    """All routers restart while the directory changes."""

    def outdated_after(self, delay: float, seed: int) -> list[str]:
        """Returns which routers miss that a server is leaving.

        Args:
            delay: Time from the start of the first routers to the change, in
                seconds.
            seed: Seed of the delays of messages.
        """
        world = ownership_world.World(seed=seed, routers=ROUTERS)
        late, early = world.addresses[:LATE_ROUTERS], world.addresses

        async def scenario() -> list[str]:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(ROSTER_SECONDS)
            for address in world.addresses:
                world.kill(address)
            await asyncio.sleep(RESTART_SECONDS)
            for address in early[LATE_ROUTERS:]:
                world.start(address)
            await asyncio.sleep(delay)
            world.listed_servers[CHANGED] = dataclasses.replace(
                world.listed_servers[CHANGED], leaving=True
            )
            for address in late:
                world.start(address)
            await asyncio.sleep(SETTLE_SECONDS)
            return [
                address
                for address, one in world.followers.items()
                if not one.state.snapshot.servers[CHANGED].leaving
            ]

        return virtual.run(scenario(), world.loop)

    # Guards against a drained server that stays in use after a herd kill.
    def test_no_router_misses_a_change_between_two_reads_of_the_store(self):
        for seed in range(4):
            for delay in CHANGE_DELAYS_SECONDS:
                with self.subTest(seed=seed, delay=delay):
                    self.assertEqual([], self.outdated_after(delay, seed))


class ContentVersionTest(unittest.TestCase):
    """Versions of snapshots that were read from the store."""

    def setUp(self):
        server = cluster.Server(
            id="s", pool="p", address="x:1", data_center="a", slots=2
        )
        self.snapshot = dataclasses.replace(
            test_node.snapshot(2), servers={"s": server}
        )

    def test_each_difference_makes_another_version(self):
        server = self.snapshot.servers["s"]
        key_map = self.snapshot.maps["pool"]
        changes = [
            {"members": test_node.snapshot(3).members},
            {"servers": {}},
            {"servers": {"s": dataclasses.replace(server, leaving=True)}},
            {"servers": {"s": dataclasses.replace(server, started_ms=1)}},
            {"maps": {}},
            {"maps": {"pool": key_map.assign(5, 5, "b")}},
        ]
        versions = [snapshots.content_version(self.snapshot)]
        for change in changes:
            changed = dataclasses.replace(self.snapshot, **change)
            versions.append(snapshots.content_version(changed))
        self.assertEqual(len(versions), len(set(versions)))
        for version in versions:
            self.assertLess(-(1 << 63), version)
            self.assertLess(version, -1)

    def test_the_same_content_has_the_same_version(self):
        start = self.snapshot.maps["pool"].starts[1]
        divided = keys.KeyMap(
            ranges=[
                keys.Range(start=0, end=9, owner="a"),
                keys.Range(start=10, end=start - 1, owner="a"),
                self.snapshot.maps["pool"].ranges[1],
            ]
        )
        same = dataclasses.replace(
            self.snapshot,
            epoch=7,
            members=dict(reversed(self.snapshot.members.items())),
            maps={"pool": divided},
        )
        self.assertEqual(
            snapshots.content_version(self.snapshot),
            snapshots.content_version(same),
        )


if __name__ == "__main__":
    unittest.main()
