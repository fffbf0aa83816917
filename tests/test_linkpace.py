"""Large answers on a narrow link leave room for small ones."""

import asyncio
import unittest

from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.policy import linkpace

LINK_BYTES_PER_SECOND = 687_500.0  # 5.5 Mbit/s.
LARGE_BYTES = 540_000
SMALL_BYTES = 1_500
LARGE_ANSWERS = 6
SMALL_INTERVAL_SECONDS = 0.1
MAX_SMALL_WAIT_SECONDS = 0.05
LENGTH_BYTES = 200_000
WAIT_SECONDS = 5.0


class LinkPaceTest(unittest.TestCase):
    """Pieces take turns below the rate of the link."""

    def small_waits(self, paced: bool) -> list[float]:
        """Returns how long small answers wait in the queue of a link.

        Replays several large answers that begin together, beside small ones.
        """
        pace = linkpace.LinkPace(bytes_per_second=LINK_BYTES_PER_SECOND)
        writes: list[tuple[float, int]] = []
        now = 0.0
        for _ in range(LARGE_ANSWERS * LARGE_BYTES // linkpace.PIECE_BYTES):
            if paced:
                now += pace.delay(linkpace.PIECE_BYTES, now)
            writes.append((now, linkpace.PIECE_BYTES))
        small = [SMALL_INTERVAL_SECONDS * n for n in range(40)]
        free_at, waits = 0.0, []
        events = sorted(
            [(at, 0, size) for at, size in writes]
            + [(at, 1, SMALL_BYTES) for at in small]
        )
        for at, is_small, size in events:
            free_at = max(at, free_at) + size / LINK_BYTES_PER_SECOND
            if is_small:
                waits.append(free_at - at)
        return waits

    # Guards against small answers that wait behind large ones.
    def test_small_answers_wait_for_a_piece_at_most(self):
        self.assertGreater(max(self.small_waits(False)), 1.0)
        self.assertLess(max(self.small_waits(True)), MAX_SMALL_WAIT_SECONDS)

    def test_a_wide_link_is_not_paced(self):
        for megabits, needed in ((5, True), (12, True), (100, False)):
            pace = linkpace.LinkPace(bytes_per_second=megabits * 125_000)
            self.assertEqual(needed, pace.is_needed)


class PacedServerTest(unittest.IsolatedAsyncioTestCase):
    """An answer is whole, and takes the time that the link needs."""

    async def test_a_large_answer_is_paced_and_a_small_one_is_not(self):
        async def handle(request: messages.Request) -> messages.Response:
            size = LENGTH_BYTES if request.path == "/large" else SMALL_BYTES
            return messages.Response(body=b"x" * size)

        running = http_server.Server(handler=handle, host="127.0.0.1", port=0)
        running.settings.link = linkpace.LinkPace(
            bytes_per_second=LINK_BYTES_PER_SECOND
        )
        await running.start()
        self.addCleanup(running.listener.close)
        rate = LINK_BYTES_PER_SECOND * linkpace.LARGE_FRACTION
        least = (LENGTH_BYTES - linkpace.PIECE_BYTES) / rate
        loop = asyncio.get_running_loop()
        for path, size, seconds in (
            (b"/large", LENGTH_BYTES, least),
            (b"/small", SMALL_BYTES, 0.0),
        ):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", running.port
            )
            self.addCleanup(writer.close)
            started_at = loop.time()
            writer.write(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
            async with asyncio.timeout(WAIT_SECONDS):
                await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(size)
            self.assertEqual(b"x" * size, body)
            self.assertGreaterEqual(loop.time() - started_at, seconds)


if __name__ == "__main__":
    unittest.main()
