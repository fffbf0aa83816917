"""Servers that name the rate of requests that they take."""

import asyncio
import json
import unittest

from oleanderhoist.http import exchanges
from standins import platform_system

LIMIT = 4.0  # Requests per second.
OFFERED_PER_SECOND = 40
PLAY_SECONDS = 8.0
NOTICE_SECONDS = 0.5  # From the first answer that names a rate.
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
MIN_USED = 0.6  # Of what the servers take.
KEY_STEP = 40_503  # Spreads successive keys over all servers.
ROUTERS = (2, 3, 4)


class CappedTest(unittest.IsolatedAsyncioTestCase):
    """All routers together keep to the rate that a server names."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(routers=ROUTERS)
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.statuses: list[int] = []

    async def send_one(self, number: int) -> None:
        """Sends one request."""
        try:
            status = await self.system.send(
                f"request-{number}",
                router=ROUTERS[number % len(ROUTERS)],
                key=number * KEY_STEP % 65_536,
            )
        except exchanges.ExchangeError:
            status = 0
        self.statuses.append(status)

    async def arrivals(self, id: str) -> list[float]:
        """Returns when requests came that the rate applies to."""
        listed = json.loads(
            await self.system.call(self.system.real[id], "GET", "/arrivals")
        )
        named = [at for at, limited in listed if limited]
        return [at for at in named if at >= named[0] + NOTICE_SECONDS]

    async def test_a_server_gets_more_than_the_rate_that_it_names(self):
        for id in ("t1", "t2"):
            await self.system.call(self.system.real[id], "PUT", "/limit", LIMIT)
        sent = []
        for number in range(int(PLAY_SECONDS * OFFERED_PER_SECOND)):
            sent.append(asyncio.create_task(self.send_one(number)))
            await asyncio.sleep(1 / OFFERED_PER_SECOND)
        await asyncio.gather(*sent)
        used = 0
        for id in ("t1", "t2"):
            times = await self.arrivals(id)
            used += len(times)
            for start in times:
                within = [t for t in times if 0 <= t - start < WINDOW_SECONDS]
                self.assertLessEqual(len(within), MAX_IN_WINDOW, id)
        self.assertGreater(used, MIN_USED * 2 * LIMIT * PLAY_SECONDS)
        self.assertLessEqual(set(self.statuses), {200, 503})


if __name__ == "__main__":
    unittest.main()
