"""Router processes beside a store that comes back from an older copy."""

import asyncio
import base64
import copy
import json
import signal
import time
import unittest

from oleanderhoist.http import exchanges
from soak import invariants
from standins import platform_system

ROUTERS = (2, 3, 4)
AWAY_SECONDS = 0.5
RUN_SECONDS = 3.0  # From the copy to the drill.
# Of a changed configuration: 3 s until routers count as in touch again, and
# 2 s within which they apply it.
APPLY_SECONDS = 5.0
POLL_SECONDS = 0.1
MOVE_SECONDS = 15.0  # For the keys of a silent server to move.
SETTLE_SECONDS = 1.5  # From the store's return to the restart of the leader.
JUDGED_SECONDS = 5.0


def config_with_routes(version: int, *prefixes: str) -> dict:
    """Returns a version of the configuration with some more routes."""
    config = copy.deepcopy(platform_system.CONFIG)
    config["version"] = f"{version:08x}"
    rules = config["listeners"][0]["rules"]
    last = rules[-1]
    for prefix in prefixes:
        rules.append({**last, "name": prefix, "match": {"prefix": prefix}})
    return config


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """What routers believe after the store has come back from a copy."""

    async def asyncSetUp(self) -> None:
        self.checker = invariants.Checker()
        self.system = platform_system.System(
            routers=ROUTERS, journal=self.checker.read_journal
        )
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()

    async def call_store(self, path: str, **body: object) -> None:
        """Makes the stand-in of the store do something."""
        await self.system.call(self.system.store, "PUT", path, body)

    async def restore(self) -> None:
        """Takes the store away for a moment; it comes back from the copy."""
        await self.call_store("/faults", down=True)
        await asyncio.sleep(AWAY_SECONDS)
        await self.call_store("/restore")
        await self.call_store("/faults", down=False)

    async def is_known(self, router: int, path: str) -> bool:
        """Returns whether a router has a route for a path."""
        try:
            status = await self.system.send("p", router=router, path=path)
        except exchanges.ExchangeError:
            return True
        return status != 404

    async def routers_without(self, path: str, seconds: float) -> list[int]:
        """Returns the routers that have no route for a path in time."""
        lacking = list(ROUTERS)
        end = time.monotonic() + seconds
        while lacking and time.monotonic() < end:
            await asyncio.sleep(POLL_SECONDS)
            lacking = [r for r in lacking if not await self.is_known(r, path)]
        return lacking

    async def test_followers_never_learn_of_a_version_with_an_old_revision(
        self,
    ):
        """Guards against 404 on a route of a version that came after a drill.

        Its revision is lower than that of the version before the drill.
        """
        await self.call_store("/copy")
        await asyncio.sleep(RUN_SECONDS)
        first = config_with_routes(0x9, "/added-1/")
        await self.system.write_row("op", "config", first)
        self.assertEqual(
            [], await self.routers_without("/added-1/", APPLY_SECONDS)
        )
        await self.restore()
        second = config_with_routes(0xD, "/added-1/", "/added-2/")
        await self.system.write_row("op", "config", second)
        self.assertEqual(
            [], await self.routers_without("/added-2/", APPLY_SECONDS)
        )

    async def wait_for_owner(self, server: str) -> None:
        """Waits until a server holds the last of the checked keys."""
        async with asyncio.timeout(MOVE_SECONDS):
            while not self.is_held_by(server):
                await asyncio.sleep(POLL_SECONDS)

    def is_held_by(self, server: str) -> bool:
        """Returns whether a server holds the last of the checked keys."""
        now = time.monotonic()
        leases = self.checker.leases[max(self.checker.leases)]
        return any(
            lease.server == server and lease.begin <= now < lease.until
            for lease in leases
        )

    async def leader(self) -> str:
        """Returns the name of the router that the store records as leader."""
        body = await self.system.call(
            self.system.store, "GET", "/rows-get?table=oleander"
        )
        (row,) = [r for r in json.loads(body)["rows"] if r["key"] == "leader"]
        address = json.loads(base64.b64decode(row["value"]))["address"]
        return f"r{address.split(':')[0].rsplit('.', 1)[1]}"

    async def test_the_next_leader_believes_the_owners_of_the_copy(self):
        """Guards against two owners of keys that moved after the copy."""
        self.system.signal("t2", signal.SIGSTOP)
        await self.wait_for_owner("t1")
        await self.call_store("/copy")
        self.system.signal("t2", signal.SIGCONT)
        await self.wait_for_owner("t2")
        await asyncio.sleep(RUN_SECONDS)
        await self.restore()
        await asyncio.sleep(SETTLE_SECONDS)
        self.system.signal(await self.leader(), signal.SIGTERM)
        await asyncio.sleep(JUDGED_SECONDS)
        self.assertEqual([], self.checker.violations)


if __name__ == "__main__":
    unittest.main()
