"""Servers that turn a request away and name how long they want none."""

import asyncio
import json
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import messages
from standins import platform_system

ROUTER = 2
PAUSE_SECONDS = 2.0
NOTICE_SECONDS = 0.5  # From the answer that names the pause.
MAX_REQUESTS = 2  # Within the rest of the pause.
OFFERED_PER_SECOND = 40
PLAY_SECONDS = 4.0
KEY_STEP = 40_503  # Spreads successive keys over all servers.


class PausedServerTest(unittest.IsolatedAsyncioTestCase):
    """A router leaves a server alone for as long as the server names."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.answers: list[messages.Response] = []

    async def send_one(self, number: int, path: str) -> None:
        """Sends one request."""
        address = client.Address(
            host=f"{self.system.subnet}.{ROUTER}",
            port=platform_system.FRONT_PORT,
        )
        headers = [
            (b"request-id", f"request-{number}".encode()),
            (b"deadline-ms", b"%d" % platform_system.REQUEST_DEADLINE_MS),
            (b"shard-key", b"%d" % (number * KEY_STEP % 65_536)),
        ]
        response = await client.Client(address=address).request(
            "GET",
            path,
            timeout=platform_system.SEND_TIMEOUT_SECONDS,
            headers=headers,
            host=b"a.example",
        )
        self.answers.append(response)

    async def play(self, server: str, path: str) -> list[float]:
        """Plays requests, of which a server turns the first one away.

        Returns:
            When requests arrived at the server, in seconds since that one.
        """
        address = self.system.real[server]
        before = len(await self.arrivals(server))
        pause = [["retry-after", str(PAUSE_SECONDS)]]
        await self.system.call(address, "PUT", "/headers", pause)
        await self.system.call(address, "PUT", "/faults", {"shed": 1})
        sent = []
        for number in range(int(PLAY_SECONDS * OFFERED_PER_SECOND)):
            sent.append(asyncio.create_task(self.send_one(number, path)))
            await asyncio.sleep(1 / OFFERED_PER_SECOND)
        await asyncio.gather(*sent)
        times = (await self.arrivals(server))[before:]
        return [at - times[0] for at in times]

    async def arrivals(self, server: str) -> list[float]:
        """Returns when requests arrived at a server."""
        listed = json.loads(
            await self.system.call(self.system.real[server], "GET", "/arrivals")
        )
        return [at for at, _ in listed]

    def check(self, times: list[float]) -> None:
        """Checks that the server was left alone, and used again afterwards."""
        paused = [at for at in times if NOTICE_SECONDS < at < PAUSE_SECONDS]
        self.assertLessEqual(len(paused), MAX_REQUESTS)
        self.assertGreater(max(times), PAUSE_SECONDS)

    async def test_a_server_that_named_a_pause_gets_requests_in_it(self):
        self.check(await self.play("d1", "/order/1"))
        statuses = [answer.status for answer in self.answers]
        self.assertEqual({200}, set(statuses))

    async def test_an_owner_that_named_a_pause_gets_requests_in_it(self):
        self.check(await self.play("t1", "/look/1"))
        refused = [a for a in self.answers if a.status == 503]
        self.assertTrue(refused)
        waits = [
            float(messages.find(answer.headers, b"retry-after"))
            for answer in refused
        ]
        self.assertLessEqual(max(waits), PAUSE_SECONDS)
        self.assertGreater(max(waits), PAUSE_SECONDS - NOTICE_SECONDS)


if __name__ == "__main__":
    unittest.main()
