"""Callers that send many requests ahead and read no answers end no process."""

import asyncio
import contextlib
import pathlib
import socket
import unittest

from standins import platform_system
from tests import test_endless_process

MEMORY_MB = 96
RESERVE = 0.2  # Of the memory, which is never used.
CONNECTIONS = 60
MAX_OTHER_DESCRIPTORS = 40  # Beside those of the connections.
REQUESTS_AHEAD = 12_000  # On each connection; more than it is read of.
REQUEST = (
    b"GET /look/1 HTTP/1.1\r\n"
    b"Host: a.example\r\n"
    b"Request-Id: %d-%d\r\n"
    b"Shard-Key: %d\r\n"
    b"Deadline-Ms: 2000\r\n\r\n"
)
SEND_SECONDS = 6.0
WATCHED_SECONDS = 3.0  # After the last byte was sent.
ROUTER = 2


class UnreadAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A router stays within its memory and goes on serving."""

    async def asyncSetUp(self) -> None:
        self.system = platform_system.System(
            routers=(ROUTER,), limits={"memory_mb": MEMORY_MB}
        )
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()
        self.process = self.system.processes[f"r{ROUTER}"]
        self.router = test_endless_process.RouterProcess(pid=self.process.pid)

    async def send_ahead(self, number: int) -> None:
        """Sends requests on one connection until it takes no more."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        address = (f"{self.system.subnet}.{ROUTER}", platform_system.FRONT_PORT)
        await loop.sock_connect(caller, address)
        ahead = b"".join(
            REQUEST % (number, request, request % 65_536)
            for request in range(REQUESTS_AHEAD)
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                await loop.sock_sendall(caller, ahead)

    async def test_requests_ahead_of_unread_answers_fill_no_memory(self):
        watch = asyncio.create_task(self.router.watch())
        await asyncio.gather(
            *(self.send_ahead(number) for number in range(CONNECTIONS))
        )
        await asyncio.sleep(WATCHED_SECONDS)
        watch.cancel()
        self.assertIsNone(self.process.returncode)
        folder = pathlib.Path("/proc") / str(self.process.pid) / "fd"
        self.assertLess(
            len(list(folder.iterdir())), CONNECTIONS + MAX_OTHER_DESCRIPTORS
        )
        self.assertLess(
            self.router.peak_bytes, MEMORY_MB * (1.0 - RESERVE) * 1_000_000
        )
        status = await self.system.send(
            "after", router=ROUTER, method="GET", path="/look/1", key=1
        )
        self.assertEqual(200, status)


if __name__ == "__main__":
    unittest.main()
