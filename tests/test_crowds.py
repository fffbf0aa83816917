"""Crowds that send what they like and read nothing end no router."""

import asyncio
import json
import unittest

from oleanderhoist.http import client
from standins import platform_system
from tests import crowd

CONNECTIONS = 40
REQUESTS_AHEAD = 100  # On each connection.
LARGE_ANSWER_BYTES = 90_000
SMALL_ANSWER_BYTES = 60_000
HEAD_BYTES = 6_000
UPLOAD_BYTES = 1_000_000
HOLDERS = 600  # Connections that hold what they may without a request.
UNFINISHED_BYTES = 16_000  # Of a head; the limit is 16,384.
MANY_CONNECTIONS = 500
IDLE_CALLERS = 400
HUGE_UPLOAD_BYTES = 55_400_000
MAX_BODY_BYTES = 67_108_864
UPLOAD_SECONDS = 20.0


def request(
    number: int, path: str, *, method: str = "GET", body: bytes = b"", pad=0
) -> bytes:
    """Returns a request with a head of a size, or a little more."""
    head = (
        f"{method} {path} HTTP/1.1\r\n"
        "Host: a.example\r\n"
        f"Request-Id: {number}\r\n"
        f"Shard-Key: {number % 65_536}\r\n"
        "Deadline-Ms: 4000\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Padding: {'x' * pad}\r\n\r\n"
    )
    return head.encode() + body


def requests_ahead(connection: int, path: str, *, pad: int = 0) -> bytes:
    """Returns the requests that one caller sends ahead."""
    first = connection * REQUESTS_AHEAD
    return b"".join(
        request(first + number, path, pad=pad)
        for number in range(REQUESTS_AHEAD)
    )


class CrowdsTest(crowd.CrowdTestCase):
    """A router of 70 MB."""

    async def test_large_answers_that_nobody_reads_fill_the_sockets(self):
        path = f"/look/1?body_bytes={LARGE_ANSWER_BYTES}"
        await self.play([requests_ahead(n, path) for n in range(CONNECTIONS)])

    async def test_large_heads_ahead_of_unread_answers_fill_the_memory(self):
        path = f"/look/1?body_bytes={LARGE_ANSWER_BYTES}"
        await self.play(
            [
                requests_ahead(n, path, pad=HEAD_BYTES)
                for n in range(CONNECTIONS)
            ]
        )

    async def test_small_answers_that_nobody_reads_fill_the_memory(self):
        path = f"/look/1?body_bytes={SMALL_ANSWER_BYTES}"
        await self.play(
            [requests_ahead(n, path) for n in range(MANY_CONNECTIONS)]
        )

    async def test_uploads_at_the_same_time_fill_the_memory(self):
        body = b"x" * UPLOAD_BYTES
        await self.play(
            [
                request(n, "/order/1?work_ms=500", method="POST", body=body)
                for n in range(CONNECTIONS)
            ]
        )

    async def test_unfinished_heads_fill_the_memory(self):
        head = request(1, "/look/1", pad=UNFINISHED_BYTES)[:UNFINISHED_BYTES]
        await self.play([head] * HOLDERS)

    async def test_unfinished_bodies_fill_the_memory(self):
        whole = request(1, "/order/1", method="POST", body=b"x" * UPLOAD_BYTES)
        await self.play([whole[:-1]] * CONNECTIONS)


class DescriptorsTest(crowd.CrowdTestCase):
    """A router with few descriptors."""

    max_fds = 300

    async def test_idle_connections_take_all_descriptors(self):
        await self.play([request(n, "/look/1") for n in range(IDLE_CALLERS)])

    async def test_unfinished_requests_take_all_descriptors(self):
        unfinished = request(1, "/look/1")[:-2]
        await self.play([unfinished] * IDLE_CALLERS)


class HugeUploadTest(crowd.CrowdTestCase):
    """A router of 222 MB, and the largest bodies that are allowed."""

    memory_mb = 222
    config = json.loads(json.dumps(platform_system.CONFIG))
    config["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    config["listeners"][0]["rules"][1]["action"]["timeout_ms"] = 10_000

    async def test_one_upload_takes_all_of_the_memory(self):
        watch = asyncio.create_task(self.router.watch())
        response = await client.Client(address=self.front_address()).request(
            "POST",
            "/order/1",
            timeout=UPLOAD_SECONDS,
            headers=[(b"request-id", b"huge"), (b"deadline-ms", b"10000")],
            host=b"a.example",
            body=b"x" * HUGE_UPLOAD_BYTES,
        )
        watch.cancel()
        self.assertEqual(200, response.status)
        await self.check()


if __name__ == "__main__":
    unittest.main()
