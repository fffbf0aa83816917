"""Graceful stops of the HTTP server."""

import asyncio
import unittest

from oleanderhoist.http import messages
from oleanderhoist.http import server

WORK_SECONDS = 0.2
LATE_SECONDS = 0.02
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class LateServer(server.Server):
    """A server whose accepted connections get their tasks late."""

    async def accept(self, reader, writer) -> None:
        """Serves one connection, a little later."""
        await asyncio.sleep(LATE_SECONDS)
        await super().accept(reader, writer)


async def work(request: messages.Request) -> messages.Response:
    """Takes some time."""
    await asyncio.sleep(WORK_SECONDS)
    return messages.Response(body=b"done")


class StopTest(unittest.IsolatedAsyncioTestCase):
    """What a stop leaves unanswered."""

    async def start(self, kind: type[server.Server]) -> server.Server:
        """Starts a server."""
        made = kind(handler=work, host="127.0.0.1", port=0)
        await made.start()
        return made

    async def send(self, made: server.Server) -> asyncio.StreamReader:
        """Sends a request on a connection of its own."""
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        return reader

    async def test_a_connection_without_a_task_yet_is_answered(self):
        made = await self.start(LateServer)
        reader = await self.send(made)
        await asyncio.sleep(LATE_SECONDS / 2)
        await made.stop(2.0)
        async with asyncio.timeout(WORK_SECONDS / 4):  # The process ends.
            self.assertTrue((await reader.read()).endswith(b"done"))

    async def test_a_running_exchange_is_answered(self):
        made = await self.start(server.Server)
        reader = await self.send(made)
        await asyncio.sleep(WORK_SECONDS / 2)
        await made.stop(2.0)
        self.assertTrue((await reader.read()).endswith(b"done"))

    async def test_an_idle_connection_does_not_delay_a_stop(self):
        made = await self.start(server.Server)
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        self.addCleanup(writer.close)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(1.0):
            await made.stop(5.0)
        self.assertEqual(b"", await reader.read())

    async def test_grace_bounds_a_stop(self):
        made = await self.start(server.Server)
        await self.send(made)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(WORK_SECONDS):
            await made.stop(0.06)


if __name__ == "__main__":
    unittest.main()
