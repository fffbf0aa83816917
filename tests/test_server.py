"""Graceful stop of the HTTP server."""

import asyncio
import unittest

from oleanderhoist.http import messages
from oleanderhoist.http import server

RESPONSE_SECONDS = 0.2
ACCEPT_DELAY_SECONDS = 0.02
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class DelayedServer(server.Server):
    """A server that delays the task of each accepted connection."""

    async def accept(self, reader, writer) -> None:
        """Serves one connection after a delay."""
        await asyncio.sleep(ACCEPT_DELAY_SECONDS)
        await super().accept(reader, writer)


async def respond_slowly(request: messages.Request) -> messages.Response:
    """Responds after some time."""
    await asyncio.sleep(RESPONSE_SECONDS)
    return messages.Response(body=b"done")


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Which requests and connections a stop waits for."""

    async def start(self, server_class: type[server.Server]) -> server.Server:
        """Starts a server."""
        running = server_class(handler=respond_slowly, host="127.0.0.1", port=0)
        await running.start()
        return running

    async def send(self, running: server.Server) -> asyncio.StreamReader:
        """Sends a request on a new connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        return reader

    async def test_a_connection_without_a_task_yet_is_answered(self):
        running = await self.start(DelayedServer)
        reader = await self.send(running)
        await asyncio.sleep(ACCEPT_DELAY_SECONDS / 2)
        await running.stop(2.0)
        # The process exits soon after the stop.
        async with asyncio.timeout(RESPONSE_SECONDS / 4):
            self.assertTrue((await reader.read()).endswith(b"done"))

    async def test_a_running_exchange_is_answered(self):
        running = await self.start(server.Server)
        reader = await self.send(running)
        await asyncio.sleep(RESPONSE_SECONDS / 2)
        await running.stop(2.0)
        self.assertTrue((await reader.read()).endswith(b"done"))

    async def test_an_idle_connection_does_not_delay_a_stop(self):
        running = await self.start(server.Server)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        self.addCleanup(writer.close)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(1.0):
            await running.stop(5.0)
        self.assertEqual(b"", await reader.read())

    async def test_grace_bounds_a_stop(self):
        running = await self.start(server.Server)
        await self.send(running)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(RESPONSE_SECONDS):
            await running.stop(0.06)


if __name__ == "__main__":
    unittest.main()
