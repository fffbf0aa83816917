"""Memory that is held for callers is bounded, and given back."""

import asyncio
import socket
import unittest
from unittest import mock

from oleanderhoist.http import client
from oleanderhoist.http import heldmemory
from oleanderhoist.http import messages
from oleanderhoist.http import responsewriter
from oleanderhoist.http import server as http_server

LIMIT_BYTES = 300_000
ANSWER_BYTES = 60_000
CALLERS = 20  # Their answers take four times the limit.
WAIT_SECONDS = 10.0
POLL_SECONDS = 0.05
LARGE_BYTES = 400_000
PIECE_BYTES = 4096
PIECE_SECONDS = 0.03
PATIENCE_SECONDS = 0.4  # A part of the answer takes longer.
HEAD_SECONDS = 60.0  # So that no head ends a connection by its age.
UNFINISHED_HEAD = b"GET / HTTP/1.1\r\nHost: x\r\nPadding: " + b"x" * 15_000
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer(request: messages.Request) -> messages.Response:
    """Returns an answer that no caller of the crowd reads.

    The body is read, so that the connection is kept.
    """
    async for _ in request.body:
        pass
    return messages.Response(body=b"x" * ANSWER_BYTES)


class HeldMemoryTest(unittest.IsolatedAsyncioTestCase):
    """A server whose callers together hold more than they may."""

    async def asyncSetUp(self) -> None:
        before = heldmemory.CALLERS.limit_bytes
        heldmemory.CALLERS.limit_bytes = LIMIT_BYTES
        self.addCleanup(setattr, heldmemory.CALLERS, "limit_bytes", before)
        self.server = http_server.Server(
            handler=answer,
            host="127.0.0.1",
            port=0,
            head_seconds=HEAD_SECONDS,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0.0)
        self.callers: list[socket.socket] = []

    async def send_only(self, data: bytes) -> None:
        """Sends bytes on a new connection that is never read."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ("127.0.0.1", self.server.port))
        await loop.sock_sendall(caller, data)
        self.callers.append(caller)

    async def wait_until(self, is_true) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not is_true():
                await asyncio.sleep(POLL_SECONDS)

    async def check(self) -> None:
        """Checks the bound, an ordinary caller, and that all is given back."""
        await self.wait_until(lambda: len(self.server.connections) < CALLERS)
        self.assertLessEqual(heldmemory.CALLERS.used_bytes, LIMIT_BYTES)
        ordinary = client.Client(
            address=client.Address(host="127.0.0.1", port=self.server.port)
        )
        self.addCleanup(ordinary.drop_idle)
        response = await ordinary.request("GET", "/", timeout=WAIT_SECONDS)
        self.assertEqual(ANSWER_BYTES, len(response.body))
        for caller in self.callers:
            caller.close()
        await self.wait_until(lambda: not heldmemory.CALLERS.used_bytes)

    async def test_callers_that_read_at_once_are_cut_off(self):
        """Guards against answers that count after they were taken."""
        callers = [
            client.Client(
                address=client.Address(host="127.0.0.1", port=self.server.port)
            )
            for _ in range(CALLERS)
        ]
        for caller in callers:
            self.addCleanup(caller.drop_idle)
            for _ in range(2):
                response = await caller.request(
                    "GET", "/", timeout=WAIT_SECONDS
                )
                self.assertEqual(ANSWER_BYTES, len(response.body))
        self.assertEqual([1] * CALLERS, [one.opened for one in callers])
        self.assertEqual(CALLERS, len(self.server.connections))

    async def test_answers_that_wait_in_sockets_are_counted_nowhere(self):
        for _ in range(CALLERS):
            await self.send_only(REQUEST)
        await self.check()

    async def test_answers_behind_others_in_a_socket_are_counted_nowhere(self):
        for _ in range(CALLERS):
            await self.send_only(4 * REQUEST)
        await self.check()

    async def test_unfinished_heads_are_counted_nowhere(self):
        for _ in range(2 * CALLERS):
            await self.send_only(UNFINISHED_HEAD)
        await self.wait_until(
            lambda: len(self.server.connections) < 2 * CALLERS
        )
        await self.check()


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A caller that reads slowly, and one that stops to read."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(
            responsewriter, "WRITE_TIMEOUT_SECONDS", PATIENCE_SECONDS
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.server = http_server.Server(
            handler=self.answer, host="127.0.0.1", port=0
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0.0)
        self.caller = socket.socket()
        self.addCleanup(self.caller.close)
        self.caller.setblocking(False)
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.caller, ("127.0.0.1", self.server.port))
        await loop.sock_sendall(self.caller, REQUEST)

    async def answer(self, request: messages.Request) -> messages.Response:
        """Returns a large answer."""
        return messages.Response(body=b"x" * LARGE_BYTES)

    async def test_a_caller_that_reads_slowly_is_cut_off(self):
        received = 0
        loop = asyncio.get_running_loop()
        while received < LARGE_BYTES:
            data = await loop.sock_recv(self.caller, PIECE_BYTES)
            self.assertTrue(data, received)
            received += len(data)
            await asyncio.sleep(PIECE_SECONDS)

    async def test_a_caller_that_stops_to_read_is_waited_for(self):
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.server.connections:
                await asyncio.sleep(POLL_SECONDS)
            while self.server.connections:
                await asyncio.sleep(POLL_SECONDS)


if __name__ == "__main__":
    unittest.main()
