"""Routers that get little or nothing of what their leader says, or late."""

import asyncio
from collections.abc import Callable
import dataclasses
import unittest

from oleanderhoist import ports
from oleanderhoist.node import wire
from tests import ownership_world
from tests import virtual

ROUTERS = 12
SETTLE_SECONDS = 6.0
LATE_SECONDS = 3.0  # Above the time within which changes must be applied.
HINDERED_SECONDS = 5.0  # Until late heartbeats arrive regularly again.
REMOVED_SERVER = "s0"


class LateNewsTest(unittest.TestCase):
    """Changes reach a router whose leader doesn't look silent."""

    def setUp(self):
        self.world = ownership_world.World(seed=1, routers=ROUTERS)

    def follower_address(self) -> str:
        """Returns the address of a router that does not lead."""
        return next(
            address
            for address, one in self.world.followers.items()
            if one.leadership is None
        )

    def state_after(
        self, hinder: Callable[[str], None], change: Callable[[], None]
    ):
        """Returns the state of a hindered follower once the bound is over.

        Args:
            hinder: Hinders the follower of an address.
            change: Changes what routers must learn of.
        """

        async def scenario():
            for address in self.world.addresses:
                self.world.start(address)
            await asyncio.sleep(SETTLE_SECONDS)
            address = self.follower_address()
            hinder(address)
            await asyncio.sleep(HINDERED_SECONDS)
            change()
            await asyncio.sleep(ownership_world.PROPAGATION_SECONDS)
            return self.world.followers[address].state

        return virtual.run(scenario(), self.world.loop)

    def delay_datagrams(self, address: str) -> None:
        """Lets a router handle its datagrams late."""
        self.world.late_datagrams[address] = LATE_SECONDS

    def lose_snapshots(self, address: str) -> None:
        """Lets a router lose snapshots, but no heartbeats."""
        handlers = self.world.followers[address].datagrams.handlers
        for kind in (wire.Delta, wire.SnapshotFragment):
            handlers.pop(kind)

    def change_contracts(self) -> None:
        """Changes the contracts."""
        before = self.world.contracts_document
        self.world.contracts_document = ports.VersionedContracts(
            contracts=dataclasses.replace(
                before.contracts, version=before.contracts.version + 3
            ),
            revision=before.revision + 1,
        )

    def remove_server(self) -> None:
        """Removes a server from the directory."""
        del self.world.listed_servers[REMOVED_SERVER]

    def test_late_heartbeats_vouch_for_old_contracts(self):
        state = self.state_after(self.delay_datagrams, self.change_contracts)
        self.assertEqual(
            self.world.contracts_document.contracts.version,
            state.contracts_version,
        )

    def test_late_heartbeats_vouch_for_an_old_snapshot(self):
        state = self.state_after(self.delay_datagrams, self.remove_server)
        self.assertNotIn(REMOVED_SERVER, state.snapshot.servers)

    def test_a_router_without_snapshots_waits_for_its_leader(self):
        state = self.state_after(self.lose_snapshots, self.remove_server)
        self.assertNotIn(REMOVED_SERVER, state.snapshot.servers)


if __name__ == "__main__":
    unittest.main()
