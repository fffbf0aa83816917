"""Servers that say that they leave while their entries still say ready."""

import asyncio
import base64
import dataclasses
import json
import signal
import time
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from standins import platform_system

ROUTERS = (2, 3, 4)
LEAVING = ("t1", "d1")
SERVERS = ("t1", "d1", "t2", "d2")
LEAVING_HEADER = (b"server-leaving", b"1")
DRAIN_SECONDS = 2.0
OFFERED_PER_SECOND = 40
PLAY_SECONDS = 7.0
FAULT_SECONDS = 0.5  # From the begin of the play.
HEARTBEAT_SECONDS = 0.5
KEY_STEP = 40_503  # Spreads successive keys over all servers.
MIN_SERVED = 0.9  # Of all requests, without a fault.


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request of a caller.

    Attributes:
        router: Number of the router that it was sent to.
        sent_at: When it was sent, in seconds.
        answered_at: When the answer came, in seconds; 0 without one.
        status: Status of the answer.
        named: Whether the answer said that its server leaves.
    """

    router: int
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    named: bool = False


class LeavingServerTest(unittest.IsolatedAsyncioTestCase):
    """A router stops at once to send requests to a server that leaves."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(routers=ROUTERS)
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.calls: dict[str, Call] = {}
        for id in LEAVING:
            await self.system.call(
                self.system.real[id],
                "PUT",
                "/headers",
                [[text.decode() for text in LEAVING_HEADER]],
            )

    async def send_one(self, number: int) -> None:
        """Sends one request, in turns to each router and pool."""
        call = Call(
            router=ROUTERS[number % len(ROUTERS)], sent_at=time.monotonic()
        )
        id = f"request-{number}"
        self.calls[id] = call
        try:
            response = await self.request(id, call.router, number)
        except exchanges.ExchangeError:
            return
        call.answered_at = time.monotonic()
        call.status = response.status
        call.named = LEAVING_HEADER in response.headers

    async def request(
        self, id: str, router: int, number: int
    ) -> messages.Response:
        """Sends a request as a caller."""
        address = client.Address(
            host=f"{self.system.subnet}.{router}",
            port=platform_system.FRONT_PORT,
        )
        headers = [
            (b"request-id", id.encode()),
            (b"deadline-ms", b"%d" % platform_system.REQUEST_DEADLINE_MS),
            (b"shard-key", b"%d" % (number * KEY_STEP % 65_536)),
        ]
        return await client.Client(address=address).request(
            "GET",
            ("/look/1", "/order/1")[number // len(ROUTERS) % 2],
            timeout=platform_system.SEND_TIMEOUT_SECONDS,
            headers=headers,
            host=b"a.example",
        )

    async def play(self) -> None:
        """Sends requests at a constant rate."""
        sent = []
        for number in range(int(PLAY_SECONDS * OFFERED_PER_SECOND)):
            sent.append(asyncio.create_task(self.send_one(number)))
            await asyncio.sleep(1 / OFFERED_PER_SECOND)
        await asyncio.gather(*sent)

    async def repeat_entries(self) -> None:
        """Writes the entries of all servers as ready, until cancelled."""
        while True:
            for id in SERVERS:
                pool = platform_system.pool_of(id)
                await self.system.register_server(id, pool)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def late(self) -> list[str]:
        """Returns the requests that reached a leaving server too late."""
        found = []
        for server in LEAVING:
            ran = [
                id for id in await self.system.ran(server) if id in self.calls
            ]
            for router in ROUTERS:
                calls = {
                    id: self.calls[id]
                    for id in ran
                    if self.calls[id].router == router
                }
                passed_on = [c.answered_at for c in calls.values() if c.named]
                if passed_on:
                    bound = min(passed_on) + DRAIN_SECONDS
                    found += [i for i, c in calls.items() if c.sent_at > bound]
        return found

    async def check(self) -> None:
        """Checks that routers heard of it, and no request came late."""
        named = {call.router for call in self.calls.values() if call.named}
        self.assertTrue(named)
        late = await self.late()
        self.assertEqual(0, len(late), late[:5])

    async def leader(self) -> str:
        """Returns the name of the leading router's process."""
        body = await self.system.call(
            self.system.store, "GET", "/rows-get?table=oleander"
        )
        rows = {row["key"]: row["value"] for row in json.loads(body)["rows"]}
        record = json.loads(base64.b64decode(rows["leader"]))
        return "r" + record["address"].split(":")[0].rsplit(".", 1)[1]

    async def test_a_server_that_says_that_it_leaves_gets_requests(self):
        heartbeats = asyncio.create_task(self.repeat_entries())
        await self.play()
        heartbeats.cancel()
        await self.check()
        served = sum(call.status == 200 for call in self.calls.values())
        self.assertGreater(served, MIN_SERVED * len(self.calls))

    async def test_it_gets_requests_while_the_store_is_away(self):
        self.system.signal("store", signal.SIGSTOP)
        await self.play()
        self.system.signal("store", signal.SIGCONT)
        await self.check()

    async def test_it_gets_requests_again_after_a_change_of_the_leader(self):
        name = await self.leader()
        heartbeats = asyncio.create_task(self.repeat_entries())
        playing = asyncio.create_task(self.play())
        await asyncio.sleep(FAULT_SECONDS)
        self.system.signal(name, signal.SIGKILL)
        await playing
        heartbeats.cancel()
        await self.check()


if __name__ == "__main__":
    unittest.main()
