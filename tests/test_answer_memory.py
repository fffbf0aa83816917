"""Memory that the bodies of answers take, and who may use it."""

import asyncio
import unittest

from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.policy import answermemory

LIMIT_BYTES = 1_000_000
CHUNK_BYTES = 10_000
SMALL_BYTES = 5_000
LONG_BYTES = 8_000_000  # More than the buffers of both sockets.
WAIT_SECONDS = 5.0


class AnswerMemoryTest(unittest.TestCase):
    """Bodies that stall or do not end leave room for others."""

    def grow(
        self, memory: answermemory.AnswerMemory, size: int, most: int
    ) -> int:
        """Lets a body grow while it may; returns its size."""
        while size < most and memory.may_grow(size):
            memory.grow(CHUNK_BYTES)
            size += CHUNK_BYTES
        return size

    def test_bodies_without_end_stay_within_twice_the_limit(self):
        for count in (1, 2, 10, 50, 300):
            memory = answermemory.AnswerMemory(limit_bytes=LIMIT_BYTES)
            sizes = []
            for _ in range(count):  # Each stalls where it may not grow.
                memory.begin()
                sizes.append(self.grow(memory, 0, 10 * LIMIT_BYTES))
            most = 2 * LIMIT_BYTES + count * CHUNK_BYTES
            self.assertLessEqual(sum(sizes), most, count)
            for size in sizes:
                memory.end(size)
            self.assertEqual((0, 0), (memory.used_bytes, memory.bodies))

    def test_a_small_answer_is_read_when_memory_is_short(self):
        memory = answermemory.AnswerMemory(limit_bytes=LIMIT_BYTES)
        for _ in range(100):
            memory.begin()
            self.grow(memory, 0, 10 * LIMIT_BYTES)
        memory.begin()
        self.assertTrue(memory.may_grow(SMALL_BYTES))

    def test_a_large_answer_alone_has_all_of_it(self):
        memory = answermemory.AnswerMemory(limit_bytes=LIMIT_BYTES)
        memory.begin()
        self.assertGreater(self.grow(memory, 0, LIMIT_BYTES), LIMIT_BYTES / 2)


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


if __name__ == "__main__":
    unittest.main()
