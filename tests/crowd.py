"""Callers that do not behave, at a process with little memory."""

import asyncio
import contextlib
import os
import pathlib
import socket
import unittest

from oleanderhoist.http import client
from standins import platform_system
from tests import test_endless_process

MAX_OTHER_DESCRIPTORS = 60  # Beside those of the crowd's connections.
RECEIVE_BUFFER_BYTES = 4096
SEND_SECONDS = 5.0
WATCHED_SECONDS = 2.0  # After the last byte was sent.
ATTEMPTS = 20  # Of one ordinary caller, after the crowd.
RETURN_SECONDS = 0.5
ROUTER = 2


class Process(test_endless_process.RouterProcess):
    """Watches a process, with what waits in its sockets in both directions."""

    def memory_bytes(self) -> int:
        """Returns the memory of the process and of its sockets' queues."""
        folder = pathlib.Path("/proc") / str(self.pid)
        pages = int((folder / "statm").read_text().split()[1])
        sockets = set()
        for descriptor in (folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                sockets.add(os.readlink(descriptor))
        waiting = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in sockets:
                unsent, _, unread = fields[4].partition(":")
                waiting += int(unsent, 16) + int(unread, 16)
        return pages * os.sysconf("SC_PAGE_SIZE") + waiting

    def most_bytes(self) -> int:
        """Returns the largest memory seen, between two looks as well."""
        path = pathlib.Path("/proc") / str(self.pid) / "status"
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return max(self.peak_bytes, int(line.split()[1]) * 1024)
        return self.peak_bytes

    def descriptors(self) -> int:
        """Returns how many descriptors the process has open."""
        folder = pathlib.Path("/proc") / str(self.pid) / "fd"
        return len(list(folder.iterdir()))


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """A crowd of callers at one router.

    Attributes:
        memory_mb: Memory of the router's VM, in megabytes.
        max_fds: Descriptors of the router's VM, 200 of them for files.
        config: Configuration of the system.
    """

    memory_mb = 70
    max_fds = 4096
    config = platform_system.CONFIG

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(
            routers=(ROUTER,),
            limits={"memory_mb": self.memory_mb, "max_fds": self.max_fds},
            config=self.config,
        )
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.process = self.system.processes[f"r{ROUTER}"]
        self.router = Process(pid=self.process.pid)
        self.connections: list[socket.socket] = []

    def front_address(self) -> client.Address:
        """Returns the router's address for callers."""
        return client.Address(
            host=f"{self.system.subnet}.{ROUTER}",
            port=platform_system.FRONT_PORT,
        )

    async def send_only(self, data: bytes) -> None:
        """Sends bytes on a new connection that is never read."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        self.connections.append(caller)
        caller.setblocking(False)
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        loop = asyncio.get_running_loop()
        front = self.front_address()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                await loop.sock_connect(caller, (front.host, front.port))
                await loop.sock_sendall(caller, data)

    async def play(self, crowd: list[bytes]) -> None:
        """Lets each caller of a crowd send bytes, then checks the router."""
        watch = asyncio.create_task(self.router.watch())
        await asyncio.gather(*(self.send_only(data) for data in crowd))
        await asyncio.sleep(WATCHED_SECONDS)
        watch.cancel()
        await self.check()

    async def check(self) -> None:
        """Checks that the router lives, within its limits, and serves."""
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.router.most_bytes(), self.memory_mb * 1_000_000)
        self.assertLess(
            self.router.descriptors(),
            len(self.connections) + MAX_OTHER_DESCRIPTORS,
        )
        self.assertLess(self.router.descriptors(), self.max_fds)
        self.assertTrue(await self.is_served())

    async def is_served(self) -> bool:
        """Returns whether an ordinary caller gets an answer.

        It comes back after a refusal, as callers do.
        """
        for attempt in range(ATTEMPTS):
            status = await self.system.send(
                f"after-{attempt}", router=ROUTER, path="/look/1", key=1
            )
            if status == 200:
                return True
            await asyncio.sleep(RETURN_SECONDS)
        return False
