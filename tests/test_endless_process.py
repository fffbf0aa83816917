"""A router process of the smallest VM beside servers that send without end."""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import time
import unittest

from oleanderhoist.http import exchanges
from standins import endless
from standins import platform_system

MEMORY_MB = 152  # Of the smallest VM.
RESERVE = 0.2
CPU_SHARE = 0.3
CPU_PERIOD_SECONDS = 0.05
PLAY_SECONDS = 8.0
PAUSE_SECONDS = 0.1
ROUTER = 2
KEY_STEP = 40_503  # Spreads successive keys over all servers.
CALLERS = 60
COPIES = 2  # Servers of each shape.
FIRST_NUMBER = 100  # Of the servers that send without end.
TIMEOUT_SECONDS = 2.0  # Of all routes.
MIN_SERVED = 0.95
WATCHED_INTERVAL_SECONDS = 0.1


class RelayedSystem(platform_system.System):
    """A system whose store can be replaced by one that sends without end.

    Attributes:
        is_endless: Whether calls to the store get bytes without end.
        calls: Number of such calls.
    """

    def __init__(self, **options: object):
        super().__init__(**options)
        self.is_endless = False
        self.calls = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.answers = [endless.stalled_body(), *endless.shapes().values()]

    async def reachable_address(self, name: str, address: str) -> str:
        """Returns an address of this relay for the store."""
        if not name.startswith("store"):
            return address
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection of the router."""
        self.writers.add(writer)
        if self.is_endless:
            start, piece = self.answers[self.calls % len(self.answers)]
            self.calls += 1
            server = endless.EndlessServer(
                start=start, piece=piece, grants=False
            )
            await server.serve(reader, writer)
            return
        host, _, port = self.store.partition(":")
        with contextlib.suppress(OSError):
            upstream = await asyncio.open_connection(host, int(port))
            self.writers.add(upstream[1])
            await asyncio.gather(
                copy(reader, upstream[1]), copy(upstream[0], writer)
            )
        writer.close()

    def replace_store(self, is_endless: bool) -> None:
        """Ends all connections and answers new ones in one way."""
        self.is_endless = is_endless
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Passes on bytes until one end closes."""
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """How a request ended.

    Attributes:
        status: Status of the answer; 0 without one.
        seconds: How long it took.
    """

    status: int
    seconds: float


class RouterProcess:
    """Watches and slows down the process of a router.

    Attributes:
        peak_bytes: Largest memory seen, with what waits unread in sockets.
    """

    def __init__(self, *, pid: int):
        self.pid = pid
        self.peak_bytes = 0

    def memory_bytes(self) -> int:
        """Returns the memory of the process and of its unread bytes."""
        folder = pathlib.Path("/proc") / str(self.pid)
        pages = int((folder / "statm").read_text().split()[1])
        sockets = set()
        for descriptor in (folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                sockets.add(os.readlink(descriptor))
        unread = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in sockets:
                unread += int(fields[4].partition(":")[2], 16)
        return pages * os.sysconf("SC_PAGE_SIZE") + unread

    async def watch(self) -> None:
        """Records the largest memory until cancelled."""
        while True:
            self.peak_bytes = max(self.peak_bytes, self.memory_bytes())
            await asyncio.sleep(WATCHED_INTERVAL_SECONDS)

    async def throttle(self) -> None:
        """Lets the process run for CPU_SHARE of the time, until cancelled."""
        try:
            while True:
                os.kill(self.pid, signal.SIGSTOP)
                await asyncio.sleep(CPU_PERIOD_SECONDS * (1.0 - CPU_SHARE))
                os.kill(self.pid, signal.SIGCONT)
                await asyncio.sleep(CPU_PERIOD_SECONDS * CPU_SHARE)
        finally:
            os.kill(self.pid, signal.SIGCONT)


class EndlessProcessTest(unittest.IsolatedAsyncioTestCase):
    """Bytes without end take no memory and no other callers' answers."""

    async def asyncSetUp(self) -> None:
        self.system = RelayedSystem(
            routers=(ROUTER,), limits={"memory_mb": MEMORY_MB}
        )
        self.addAsyncCleanup(self.system.stop)
        self.addCleanup(self.system.replace_store, False)
        await self.system.start()
        self.process = self.system.processes[f"r{ROUTER}"]
        self.router = RouterProcess(pid=self.process.pid)
        self.number = 0
        self.others: list[Answer] = []
        self.victims: list[Answer] = []

    async def send(self, method: str, path: str) -> Answer:
        """Sends one request."""
        self.number += 1
        started_at = time.monotonic()
        try:
            status = await self.system.send(
                f"request-{self.number}",
                router=ROUTER,
                method=method,
                path=path,
                key=self.number * KEY_STEP % 65_536,
            )
        except exchanges.ExchangeError:
            status = 0
        return Answer(status=status, seconds=time.monotonic() - started_at)

    async def call_on(
        self, answers: list[Answer], method: str, path: str, pause: float
    ) -> None:
        """Sends one request after the other until cancelled."""
        while True:
            answers.append(await self.send(method, path))
            await asyncio.sleep(pause)

    async def add_servers(self, prefix: str, pool: str, *options: str) -> None:
        """Starts and lists servers that send without end.

        Args:
            prefix: First letter of their ids.
            pool: Pool of the servers.
            *options: Options of the stand-in.
        """
        line = await self.system.spawn("endless", "standins.endless", *options)
        addresses = list(json.loads(line).values()) * COPIES
        for number, address in enumerate(addresses, FIRST_NUMBER):
            id = f"{prefix}{number}"
            self.system.servers[id] = address
            self.system.born[id] = number
            await self.system.register_server(id, pool)

    async def play(self, *callers: Coroutine) -> None:
        """Lets callers send requests beside those that are judged."""
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.router.watch(),
                self.router.throttle(),
                *callers,
            )
        ]
        await asyncio.sleep(PLAY_SECONDS)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            self.assertIsInstance(result, asyncio.CancelledError)

    async def play_orders(self) -> None:
        """Lets many callers order where answers have no end; checks."""
        await self.play(
            self.call_on(self.others, "GET", "/look/1", PAUSE_SECONDS),
            self.call_on(self.others, "GET", "/look/1", PAUSE_SECONDS),
            *(
                self.call_on(self.victims, "POST", "/order/1", 0.0)
                for _ in range(CALLERS)
            ),
        )
        self.check()

    def check(self) -> None:
        """Checks memory, the judged requests and the process."""
        self.assertIsNone(self.process.returncode)
        peak_mb = self.router.peak_bytes / 1_000_000
        self.assertLess(peak_mb, MEMORY_MB * (1.0 - RESERVE))
        served = [
            one
            for one in self.others
            if one.status == 200 and one.seconds < TIMEOUT_SECONDS
        ]
        share = len(served) / len(self.others)
        self.assertGreaterEqual(share, MIN_SERVED, self.others)
        self.assertGreater(len(self.others), PLAY_SECONDS / TIMEOUT_SECONDS)

    # Guards against a process that runs out of memory by a server's garbage.
    async def test_answers_without_end_at_work(self):
        await self.add_servers("d", "desk")
        await self.play_orders()
        self.assertIn(502, {one.status for one in self.victims})

    # Guards against many unfinished bodies that together fill the memory.
    async def test_bodies_that_stall_at_work(self):
        await self.add_servers("d", "desk", "--stalled")
        for number in range(FIRST_NUMBER + COPIES, FIRST_NUMBER + CALLERS // 2):
            id = f"d{number}"
            self.system.servers[id] = self.system.servers[f"d{FIRST_NUMBER}"]
            self.system.born[id] = number
            await self.system.register_server(id, "desk")
        await self.play_orders()

    async def test_answers_without_end_to_grants(self):
        await self.add_servers("t", "tables", "--grants")
        await self.play(
            self.call_on(self.others, "POST", "/order/1", PAUSE_SECONDS),
            self.call_on(self.others, "POST", "/order/1", PAUSE_SECONDS),
            *(
                self.call_on(self.victims, "GET", "/look/1", PAUSE_SECONDS)
                for _ in range(CALLERS // 10)
            ),
        )
        self.check()

    async def test_answers_without_end_of_the_store(self):
        self.system.replace_store(True)
        try:
            await self.play(
                self.call_on(self.others, "POST", "/order/1", PAUSE_SECONDS),
                self.call_on(self.others, "POST", "/order/1", PAUSE_SECONDS),
            )
        finally:
            self.system.replace_store(False)
        self.check()
        self.assertGreater(self.system.calls, len(self.system.answers))


if __name__ == "__main__":
    unittest.main()
