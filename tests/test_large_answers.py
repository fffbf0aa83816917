"""Large answers are passed on as they arrive, and no faster than taken."""

import asyncio
import contextlib
import socket
import unittest

from oleanderhoist import outcomes
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.node import results
from tests import scripted

WHOLE_BYTES = 100_000
SHORT_BYTES = 80_000
LONG_BYTES = 40_000_000  # More than all buffers on the way.
PART_BYTES = 65_536
WAIT_SECONDS = 5.0
PAUSE_SECONDS = 0.3  # For what moves without a reader to come to a halt.
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class LargeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server's answer on its way to a caller through one process."""

    async def asyncSetUp(self) -> None:
        self.length = LONG_BYTES
        self.cut_after = LONG_BYTES
        self.sent_bytes = 0
        self.is_cut = asyncio.Event()
        self.streams: list = []
        self.before = exchanges.MEMORY.used_bytes
        peer = scripted.Peer(self.send)
        await peer.start(self)
        self.client = client.Client(address=client.Address.parse(peer.address))
        self.router = http_server.Server(
            handler=self.pass_on, host="127.0.0.1", port=0
        )
        await self.router.start()
        self.addCleanup(self.router.listener.close)

    async def send(
        self, peer: scripted.Peer, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the answer of the server, or a part of it."""
        try:
            writer.write(HEAD % self.length)
            while self.sent_bytes < min(self.length, self.cut_after):
                writer.write(b"x" * PART_BYTES)
                await writer.drain()
                self.sent_bytes += PART_BYTES
        except OSError:
            self.is_cut.set()
        if self.sent_bytes < self.length:
            writer.transport.abort()

    async def pass_on(self, request: messages.Request) -> messages.Response:
        """Asks the server, and returns its answer."""
        response = await self.client.request(
            "GET",
            "/",
            timeout=10 * WAIT_SECONDS,
            stream_limit=lambda head: WHOLE_BYTES,
        )
        self.streams.append(response.stream)
        return messages.Response(
            headers=messages.end_to_end(response.headers),
            body=response.body,
            stream=response.stream,
        )

    async def call(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request and reads the head of the answer."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.router.port
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
        return reader, writer

    async def wait_until_free(self) -> None:
        """Waits until no memory is held any more."""
        async with asyncio.timeout(WAIT_SECONDS):
            while exchanges.MEMORY.used_bytes != self.before:
                await asyncio.sleep(0.01)

    # Guards against a large answer that is held for a slow caller.
    async def test_the_server_is_read_no_faster_than_the_caller_reads(self):
        reader, _ = await self.call()
        await asyncio.sleep(PAUSE_SECONDS)
        halted = self.sent_bytes
        self.assertLess(halted, LONG_BYTES // 2)
        held = exchanges.MEMORY.used_bytes - self.before
        self.assertEqual(exchanges.STREAM_BYTES, held)
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(halted, self.sent_bytes)
        async with asyncio.timeout(2 * WAIT_SECONDS):
            body = await reader.readexactly(LONG_BYTES)
        self.assertEqual(b"x" * LONG_BYTES, body)
        await self.wait_until_free()

    async def test_a_short_answer_is_whole_until_memory_is_short(self):
        self.length = self.cut_after = SHORT_BYTES
        limit = exchanges.MEMORY.limit_bytes
        self.addCleanup(setattr, exchanges.MEMORY, "limit_bytes", limit)
        for used_up, is_stream in ((False, False), (True, True)):
            if used_up:
                exchanges.MEMORY.limit_bytes = SHORT_BYTES
            self.sent_bytes = 0
            reader, _ = await self.call()
            async with asyncio.timeout(WAIT_SECONDS):
                await reader.readexactly(SHORT_BYTES)
            self.assertEqual(is_stream, self.streams[-1] is not None)

    async def test_an_answer_that_is_cut_does_not_look_complete(self):
        self.cut_after = LONG_BYTES // 4
        reader, _ = await self.call()
        async with asyncio.timeout(WAIT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await reader.read(LONG_BYTES)
                while await reader.read(LONG_BYTES):
                    pass
        self.assertLess(self.sent_bytes, LONG_BYTES)
        await self.wait_until_free()

    async def test_a_server_stops_once_the_caller_has_left(self):
        _, writer = await self.call()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.transport.abort()
        async with asyncio.timeout(WAIT_SECONDS):
            await self.is_cut.wait()
        await self.wait_until_free()

    # Guards against a slot that is free while its server holds the answer.
    async def test_a_slot_is_kept_until_the_caller_has_the_answer(self):
        response = await self.client.request(
            "GET",
            "/",
            timeout=10 * WAIT_SECONDS,
            stream_limit=lambda head: WHOLE_BYTES,
        )
        released = []
        outcome = outcomes.Complete(response=response, server="s")
        results.when_sent(outcome, lambda: released.append(1))
        await anext(response.stream)
        self.assertEqual([], released)
        await response.stream.aclose()
        self.assertEqual([1], released)
        results.when_sent(None, lambda: released.append(2))
        self.assertEqual([1, 2], released)

    async def test_only_a_whole_wait_shows_that_nobody_accepts(self):
        silent = socket.socket()
        self.addCleanup(silent.close)
        silent.bind(("127.0.0.1", 0))
        address = client.Address(host="127.0.0.1", port=silent.getsockname()[1])
        with self.assertRaises(exchanges.ExchangeError) as caught:
            await client.Client(address=address).request("GET", "/", timeout=1)
        self.assertTrue(caught.exception.unreachable)
        with self.assertRaises(exchanges.ExchangeError) as caught:
            await self.client.request("GET", "/", timeout=0.0)
        self.assertFalse(caught.exception.unreachable)

    # Guards against a connection that nobody closes, as nobody read from it.
    async def test_an_attempt_that_came_too_late_lets_its_server_go(self):
        async def attempt() -> outcomes.Complete:
            response = await self.client.request(
                "GET",
                "/",
                timeout=10 * WAIT_SECONDS,
                stream_limit=lambda head: WHOLE_BYTES,
            )
            return outcomes.Complete(response=response, server="s")

        tasks = [asyncio.create_task(attempt()) for _ in range(2)]
        kept, late = await asyncio.gather(*tasks)
        results.abandon_others(kept, set(tasks))
        async with asyncio.timeout(WAIT_SECONDS):
            await self.is_cut.wait()
        self.assertTrue(await anext(kept.response.stream))
        self.assertFalse(late.response.stream.end_callbacks)
        kept.response.stream.abandon()


if __name__ == "__main__":
    unittest.main()
