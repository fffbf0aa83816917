"""A large request is sent in parts while its answer is read."""

import asyncio
import socket
import threading
import unittest
from unittest import mock

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import requestsender
from tests import scripted

BODY = bytes(range(256)) * 16_384  # 4 MB: more than the buffers on the way.
TIMEOUT_SECONDS = 10.0
SHORT_SECONDS = 0.5
SIZES = [200_000, 1_000_000, len(BODY)]
PLAYS = 100
STALLED_BYTES = 3 * requestsender.SEND_BYTES
CLOSING_REFUSAL = scripted.refusal().replace(
    b"\r\n", b"\r\nConnection: close\r\n", 1
)


class LargeRequestTest(unittest.IsolatedAsyncioTestCase):
    """A server that reads a large body, or part of it, or nothing."""

    async def start(self, serve) -> client.Client:
        """Starts a server and returns a client of it."""
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        caller = client.Client(
            address=client.Address(host="127.0.0.1", port=port)
        )
        self.addCleanup(caller.drop_idle)
        return caller

    async def check_sizes(self, sizes: list[int]) -> None:
        """Checks that bodies of some sizes arrive on one connection."""
        received = []

        async def serve(reader, writer) -> None:
            for size in sizes:
                await reader.readuntil(b"\r\n\r\n")
                received.append(await reader.readexactly(size))
                writer.write(scripted.answer())
            await reader.read(1)
            writer.close()

        caller = await self.start(serve)
        for size in sizes:
            response = await caller.request(
                "POST", "/", timeout=TIMEOUT_SECONDS, body=BODY[:size]
            )
            self.assertEqual(b"done", response.body)
        self.assertEqual([BODY[:size] for size in sizes], received)
        self.assertEqual(1, caller.opened)

    async def test_a_body_in_parts_arrives_changed(self):
        part = requestsender.SEND_BYTES
        await self.check_sizes([0, 1, part, part + 1, 3 * part, len(BODY)])

    async def test_the_rest_of_a_body_is_sent_in_a_later_request(self):
        """Guards against the reuse of a connection with a part unsent."""
        served = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(scripted.answer())
            await served.wait()
            writer.close()

        caller = await self.start(serve)
        response = await caller.request(
            "POST", "/", timeout=TIMEOUT_SECONDS, body=BODY
        )
        self.assertEqual(b"done", response.body)
        self.assertEqual(0, len(caller.idle))
        served.set()

    async def test_an_answer_is_lost_when_the_server_closes_early(self):
        """Guards against a body whose rest can't be written."""

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(CLOSING_REFUSAL)
            await writer.drain()
            writer.close()

        caller = await self.start(serve)
        for size in SIZES:
            for _ in range(PLAYS):
                response = await caller.request(
                    "POST", "/", timeout=TIMEOUT_SECONDS, body=BODY[:size]
                )
                self.assertEqual(503, response.status)

    async def test_an_answer_is_lost_when_a_later_part_cannot_be_sent(self):
        """Guards against a refusal that a stalled sender never reads."""
        await self.check_closed_amid(answered=scripted.refusal(), is_whole=True)

    async def test_a_reset_answer_without_a_length_looks_complete(self):
        """Guards against bytes before an error that are taken for all."""
        head = b"HTTP/1.1 200 OK\r\n\r\npart of a body"
        await self.check_closed_amid(answered=head, is_whole=False)

    async def check_closed_amid(self, *, answered: bytes, is_whole: bool):
        """Stalls between two parts while the server answers and closes."""
        closed = threading.Event()

        def serve(listener: socket.socket) -> None:
            connection, _ = listener.accept()
            connection.recv(requestsender.SEND_BYTES)
            connection.sendall(answered)
            connection.close()
            closed.set()

        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        self.addCleanup(thread.join)
        caller = client.Client(
            address=client.Address(
                host="127.0.0.1", port=listener.getsockname()[1]
            )
        )
        drain = asyncio.StreamWriter.drain

        async def drain_and_stall(writer: asyncio.StreamWriter) -> None:
            await drain(writer)
            closed.wait(TIMEOUT_SECONDS)

        with mock.patch.object(asyncio.StreamWriter, "drain", drain_and_stall):
            request = caller.request(
                "POST", "/", timeout=TIMEOUT_SECONDS, body=BODY[:STALLED_BYTES]
            )
            if is_whole:
                self.assertEqual(503, (await request).status)
                return
            with self.assertRaises(exchanges.ExchangeError):
                await request

    async def test_a_server_that_reads_nothing_leaves_a_task(self):
        before = asyncio.all_tasks()
        ended = asyncio.Event()

        async def serve(reader, writer) -> None:
            await ended.wait()
            writer.close()

        caller = await self.start(serve)
        with self.assertRaises(exchanges.ExchangeError) as raised:
            await caller.request(
                "POST", "/", timeout=SHORT_SECONDS, body=bytearray(BODY)
            )
        self.assertTrue(raised.exception.maybe_sent)
        ended.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while asyncio.all_tasks() - before:
                await asyncio.sleep(SHORT_SECONDS / 10)


if __name__ == "__main__":
    unittest.main()
