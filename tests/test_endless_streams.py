"""Streams without end, between a server and a caller of an entry."""

import asyncio
from collections.abc import AsyncIterator
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from tests import test_garbage

END_SECONDS = 1.5
DEADLINE_SECONDS = 0.5
PART = b"x" * (exchanges.MAX_BUFFERED_BODY_BYTES + 1)
HEAD = test_garbage.OK + b"\r\n"


async def drain(stream: AsyncIterator[bytes]) -> None:
    """Reads a stream to its end."""
    async for _ in stream:
        pass


class EndlessStreamTest(unittest.IsolatedAsyncioTestCase):
    """A stream ends with its caller, and at its deadline."""

    async def stream(
        self, peer: test_garbage.Garbage, timeout: float
    ) -> messages.Response:
        """Returns the streamed answer of a server."""
        listener = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.client = client.Client(
            address=client.Address(host="127.0.0.1", port=port)
        )
        return await self.client.request(
            "GET", "/", timeout=timeout, stream_limit=exchanges.stream_large
        )

    async def forward(self, peer: test_garbage.Garbage) -> asyncio.StreamReader:
        """Passes a stream on to a caller; returns the caller's reader."""

        async def handle(request: messages.Request) -> messages.Response:
            return await self.stream(peer, test_garbage.TIMEOUT_SECONDS)

        entry = http_server.Server(handler=handle, host="127.0.0.1", port=0)
        await entry.start()
        self.addCleanup(entry.listener.close)
        reader, self.caller = await asyncio.open_connection(
            "127.0.0.1", entry.port
        )
        self.caller.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readexactly(len(PART))
        return reader

    async def test_a_stream_goes_on_after_its_caller_has_closed(self):
        peer = test_garbage.Garbage(HEAD + PART, test_garbage.LINE, 0.001)
        await self.forward(peer)
        self.caller.transport.abort()
        await asyncio.wait_for(peer.closed.wait(), END_SECONDS)

    async def test_an_abandoned_stream_keeps_its_connection(self):
        for read_some in (False, True):
            with self.subTest(read_some=read_some):
                peer = test_garbage.Garbage(HEAD + PART, test_garbage.LINE)
                response = await self.stream(peer, test_garbage.TIMEOUT_SECONDS)
                if read_some:
                    await anext(response.stream)
                await response.stream.aclose()
                await asyncio.wait_for(peer.closed.wait(), END_SECONDS)

    async def test_a_stream_outlasts_its_deadline(self):
        for piece in (b"", test_garbage.LINE):
            peer = test_garbage.Garbage(HEAD + PART, piece)
            response = await self.stream(peer, DEADLINE_SECONDS)
            reading = asyncio.create_task(drain(response.stream))
            await asyncio.wait([reading], timeout=END_SECONDS)
            self.assertTrue(reading.done(), piece[:9])
            self.assertIsInstance(reading.exception(), TimeoutError)
            await asyncio.wait_for(peer.closed.wait(), END_SECONDS)


if __name__ == "__main__":
    unittest.main()
