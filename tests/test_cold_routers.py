"""Routers whose servers turn cold."""

import asyncio
import json
import unittest

from standins import platform_system
from tests import test_capped
from tests import test_server_limit

COLD_PER_SECOND = 5.0
MOST = 1.5 * COLD_PER_SECOND + 6.0
BOUNDS = ("cold_overage=1.5", "cold_slack=6")
LEARN_SECONDS = 1.5
COLD_MS = 30_000
OFFERED_PER_SECOND = 60


def cold_config() -> dict:
    """Returns a configuration whose cold servers stand few requests."""
    config = json.loads(json.dumps(platform_system.CONFIG))
    for pool in config["clusters"]:
        pool.update(cold_per_s=COLD_PER_SECOND, cold_start_s=COLD_MS / 1000)
    return config


class ColdTest(unittest.IsolatedAsyncioTestCase):
    """All routers together keep to the rate that cold servers stand."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(
            routers=test_capped.ROUTERS, config=cold_config(), bounds=BOUNDS
        )
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.statuses: list[int] = []

    async def play(self, seconds: float) -> None:
        """Sends requests to both pools through all routers."""
        sent = []
        for number in range(int(seconds * OFFERED_PER_SECOND)):
            sent.append(asyncio.create_task(self.send_one(number)))
            await asyncio.sleep(1 / OFFERED_PER_SECOND)
        await asyncio.gather(*sent)

    async def send_one(self, number: int) -> None:
        """Sends one request, in turn to the pools."""
        is_order = bool(number % 2)
        status = await self.system.send(
            f"request-{number}",
            router=test_capped.ROUTERS[number % len(test_capped.ROUTERS)],
            method="POST" if is_order else "GET",
            path="/order/1" if is_order else "/look/1",
            key=number * test_capped.KEY_STEP % 65_536,
        )
        self.statuses.append(status)

    async def arrivals(self, id: str) -> list[float]:
        """Returns when requests came to a server."""
        listed = json.loads(
            await self.system.call(self.system.real[id], "GET", "/arrivals")
        )
        return [at for at, _ in listed]

    async def test_cold_servers_get_as_much_as_warm_ones(self):
        for id in ("t1", "d1"):
            pool = platform_system.pool_of(id)
            await self.system.register_server(id, pool, cold_ms=COLD_MS)
        await asyncio.sleep(LEARN_SECONDS)
        before = {id: len(await self.arrivals(id)) for id in ("t1", "d1")}
        await self.play(5.0)
        for id in ("t1", "d1"):
            times = (await self.arrivals(id))[before[id] :]
            busiest = test_server_limit.busiest(times, 1.0)
            self.assertLessEqual(busiest, MOST, id)
            if id == "t1":  # The pool of the other has a warm one that is free.
                self.assertGreater(len(times), 0.5 * COLD_PER_SECOND * 5.0)
        self.assertLessEqual(set(self.statuses), {200, 503})
        await self.check_warm_again()

    async def check_warm_again(self) -> None:
        """Checks that servers are used in full once they are warm."""
        for id in ("t1", "d1"):
            pool = platform_system.pool_of(id)
            await self.system.register_server(id, pool)
        await asyncio.sleep(LEARN_SECONDS)
        self.statuses.clear()
        await self.play(2.0)
        self.assertGreater(self.statuses.count(200), 0.9 * len(self.statuses))


if __name__ == "__main__":
    unittest.main()
