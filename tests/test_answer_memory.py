"""Memory that the bodies of answers take, and who may use it."""

import asyncio
import unittest

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.policy import answermemory
from tests import scripted

LIMIT_BYTES = 1_000_000
CHUNK_BYTES = 5_000
SMALL_BYTES = 3_000
LONG_BYTES = 8_000_000  # More than the buffers of both sockets.
WAIT_SECONDS = 5.0


class AnswerMemoryTest(unittest.TestCase):
    """Bodies that stall or do not end leave room for others."""

    def setUp(self):
        self.memory = answermemory.AnswerMemory(limit_bytes=LIMIT_BYTES)
        self.given_up: list[answermemory.Body] = []

    def body(self) -> answermemory.Body:
        """Returns a new body that is read."""
        body = answermemory.Body()
        body.give_up = lambda: self.given_up.append(body)
        self.memory.add(body)
        return body

    def grow(self, body: answermemory.Body, most: int) -> bool:
        """Lets a body grow; returns whether it got as large."""
        while body.size_bytes < most:
            if not self.memory.grow(body, CHUNK_BYTES):
                return False
        return True

    def test_bodies_that_stall_stay_within_the_limit(self):
        for size in (2 * CHUNK_BYTES, LIMIT_BYTES // 5, 10 * LIMIT_BYTES):
            for _ in range(300):  # Each stalls where it may not grow.
                self.grow(self.body(), size)
                self.assertLessEqual(self.memory.used_bytes, LIMIT_BYTES)
        for body in list(self.memory.bodies):
            self.memory.remove(body)
        self.assertEqual(0, self.memory.used_bytes)

    def test_bodies_that_grow_together_stay_within_the_limit(self):
        bodies = [self.body() for _ in range(300)]
        for _ in range(100):
            for body in bodies:
                self.memory.grow(body, CHUNK_BYTES)
                self.assertLessEqual(
                    self.memory.used_bytes, LIMIT_BYTES + CHUNK_BYTES
                )

    def test_the_largest_body_is_given_up_for_a_small_one(self):
        large, other = self.body(), self.body()
        self.grow(large, LIMIT_BYTES // 2)
        self.grow(other, LIMIT_BYTES // 3)
        self.assertTrue(self.grow(self.body(), LIMIT_BYTES // 4))
        self.assertEqual([large], self.given_up)

    def test_a_complete_answer_and_small_ones_are_never_given_up(self):
        self.memory.add(answermemory.Body(size_bytes=2 * LIMIT_BYTES))
        small = self.body()
        self.assertTrue(self.memory.grow(small, SMALL_BYTES // 2))
        self.assertTrue(self.memory.grow(small, SMALL_BYTES // 4))
        self.assertEqual([], self.given_up)

    def test_a_body_that_has_shrunk_is_given_up(self):
        for measured, given_up in ((0, 0), (LIMIT_BYTES, 1)):
            self.setUp()
            large = self.body()
            large.measure = lambda size=measured: size
            self.memory.resize(large, LIMIT_BYTES)
            self.grow(self.body(), 2 * CHUNK_BYTES)
            self.assertEqual(given_up, len(self.given_up))

    def test_small_bodies_that_are_not_spared_take_all_memory(self):
        bodies = [self.body() for _ in range(2 * LIMIT_BYTES // SMALL_BYTES)]
        for body in bodies:
            body.spared = False
            self.memory.grow(body, SMALL_BYTES)
            self.assertLessEqual(self.memory.used_bytes, LIMIT_BYTES)

    def test_what_was_given_up_does_not_go_on(self):
        body = self.body()
        self.assertFalse(self.grow(body, 2 * LIMIT_BYTES))
        self.assertFalse(self.memory.grow(body, CHUNK_BYTES))
        self.memory.remove(body)
        self.assertEqual(0, self.memory.used_bytes)


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """Answers count until their callers have taken them."""

    # Guards against answers to slow callers that together fill the memory.
    async def test_an_answer_that_its_caller_does_not_read_is_counted(self):
        async def handle(request: messages.Request) -> messages.Response:
            return messages.Response(body=b"x" * LONG_BYTES)

        running = http_server.Server(handler=handle, host="127.0.0.1", port=0)
        await running.start()
        self.addCleanup(running.listener.close)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        before = exchanges.MEMORY.used_bytes
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(WAIT_SECONDS):
            while exchanges.MEMORY.used_bytes == before:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        (connection,) = running.connections
        unsent = connection.writer.transport.get_write_buffer_size()
        self.assertEqual(LONG_BYTES, exchanges.MEMORY.used_bytes - before)
        self.assertLess(unsent, LONG_BYTES / 10)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"content-length: %d" % LONG_BYTES, head.lower())
        body = await reader.readexactly(LONG_BYTES)
        self.assertEqual(b"x" * LONG_BYTES, body)
        writer.close()
        async with asyncio.timeout(WAIT_SECONDS):
            while exchanges.MEMORY.used_bytes != before:
                await asyncio.sleep(0.01)


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """An answer whose body is given up is no complete one."""

    # Guards against a cut body without a length that looks complete.
    async def test_a_body_without_a_length_does_not_look_complete(self):
        data = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * SMALL_BYTES
        peer = scripted.Peer(scripted.write_and_stay(data))
        await peer.start(self)
        caller = client.Client(address=client.Address.parse(peer.address))
        task = asyncio.create_task(
            caller.request("GET", "/", timeout=WAIT_SECONDS)
        )
        async with asyncio.timeout(WAIT_SECONDS):
            while not any(b.size_bytes for b in exchanges.MEMORY.bodies):
                await asyncio.sleep(0.01)
        (body,) = exchanges.MEMORY.bodies
        exchanges.MEMORY.remove(body)
        body.give_up()
        with self.assertRaises(exchanges.ExchangeError):
            await task


if __name__ == "__main__":
    unittest.main()
