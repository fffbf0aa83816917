"""Graceful stop of the HTTP server."""

import asyncio
from collections.abc import AsyncIterator
import json
import socket
import time
import unittest
from unittest import mock

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import messages
from oleanderhoist.http import server

RESPONSE_SECONDS = 0.2
ACCEPT_DELAY_SECONDS = 0.02
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SMALL_BUFFER_BYTES = 4_096
LARGE_BODY = b"x" * 60_000
HUGE_BODY = b"x" * 16_000_000
IDLE_SECONDS = 0.1
HEAD_BYTES = 40_000  # More than a server takes without a limit.
SECOND_REQUEST = (
    b"POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
)
STOP_SECONDS = 2.0
SHORT_STOP_SECONDS = 0.6


class DelayedServer(server.Server):
    """A server that delays the task of each accepted connection."""

    async def accept(self, reader, writer) -> None:
        """Serves one connection after a delay."""
        await asyncio.sleep(ACCEPT_DELAY_SECONDS)
        await super().accept(reader, writer)


class RecordingServer(server.Server):
    """A server that records the writers of its connections."""

    def __init__(self, **settings: object):
        super().__init__(**settings)
        self.writers: list[asyncio.StreamWriter] = []

    async def accept(self, reader, writer) -> None:
        """Serves one connection."""
        self.writers.append(writer)
        await super().accept(reader, writer)


def stall_loop(seconds: float) -> None:
    """Blocks the event loop."""
    time.sleep(seconds)


async def respond_slowly(request: messages.Request) -> messages.Response:
    """Responds after some time."""
    await asyncio.sleep(RESPONSE_SECONDS)
    return messages.Response(body=b"done")


async def respond_at_length(request: messages.Request) -> messages.Response:
    """Responds with a body larger than the sockets' buffers."""
    return messages.Response(body=LARGE_BODY)


async def respond_endlessly(request: messages.Request) -> messages.Response:
    """Responds with a body that no socket's buffer holds."""
    return messages.Response(body=HUGE_BODY)


async def respond_in_chunks(request: messages.Request) -> messages.Response:
    """Responds with a stream that takes some time."""

    async def stream() -> AsyncIterator[bytes]:
        for chunk in (b"one", b"two"):
            yield chunk
            await asyncio.sleep(RESPONSE_SECONDS)

    return messages.Response(
        headers=[(b"transfer-encoding", b"chunked")], stream=stream()
    )


async def fail(request: messages.Request) -> messages.Response:
    """Fails as no handler should."""
    raise KeyError("unexpected")


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

    async def test_a_connection_that_waits_to_be_accepted_is_answered(self):
        running = await self.start(server.Server)
        caller = socket.create_connection(("127.0.0.1", running.port))
        self.addCleanup(caller.close)
        caller.sendall(REQUEST)
        await running.stop(2.0)
        caller.settimeout(RESPONSE_SECONDS)
        self.assertTrue(caller.recv(SMALL_BUFFER_BYTES).endswith(b"done"))

    async def test_a_running_exchange_is_answered(self):
        running = await self.start(server.Server)
        reader = await self.send(running)
        await asyncio.sleep(RESPONSE_SECONDS / 2)
        await running.stop(2.0)
        self.assertTrue((await reader.read()).endswith(b"done"))

    async def test_a_caller_that_does_not_read_does_not_outlast_a_stop(self):
        running = RecordingServer(
            handler=respond_endlessly, host="127.0.0.1", port=0
        )
        await running.start()
        caller = socket.create_connection(("127.0.0.1", running.port))
        self.addCleanup(caller.close)
        caller.sendall(REQUEST)
        await asyncio.sleep(RESPONSE_SECONDS)
        (connection,) = running.connections
        await running.stop(RESPONSE_SECONDS)
        # A program ends only once its connections' tasks have ended.
        async with asyncio.timeout(RESPONSE_SECONDS):
            await connection.closed.wait()

    async def test_a_response_that_became_due_within_a_stall_is_written(self):
        running = server.Server(
            handler=respond_slowly,
            host="127.0.0.1",
            port=0,
            cancel_on_disconnect=True,
        )
        await running.start()
        reader = await self.send(running)
        await asyncio.sleep(ACCEPT_DELAY_SECONDS)
        asyncio.get_running_loop().call_later(
            RESPONSE_SECONDS / 2, stall_loop, 2 * RESPONSE_SECONDS
        )
        await running.stop(1.5 * RESPONSE_SECONDS)
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

    async def test_a_stop_does_not_truncate_a_response_to_a_slow_caller(self):
        running = await self.start(RecordingServer)
        running.settings.handler = respond_at_length
        running.listener.sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        caller.connect(("127.0.0.1", running.port))
        reader, writer = await asyncio.open_connection(sock=caller, limit=1)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await asyncio.sleep(RESPONSE_SECONDS)
        reading = asyncio.create_task(reader.read())
        await running.stop(2.0)
        # The process exits soon after the stop.
        unsent = running.writers[0].transport.get_write_buffer_size()
        self.assertEqual(0, unsent)
        self.assertTrue((await reading).endswith(LARGE_BODY))

    async def test_a_stop_does_not_cut_a_streamed_response(self):
        running = await self.start(server.Server)
        running.settings.handler = respond_in_chunks
        reader = await self.send(running)
        await asyncio.sleep(RESPONSE_SECONDS / 2)
        await running.stop(2.0)
        self.assertTrue((await reader.read()).endswith(b"two\r\n0\r\n\r\n"))

    async def test_grace_bounds_a_stop(self):
        running = await self.start(server.Server)
        await self.send(running)
        await asyncio.sleep(0.01)
        async with asyncio.timeout(RESPONSE_SECONDS):
            await running.stop(0.06)


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """Requests that were read behind another one when a stop begins."""

    async def asyncSetUp(self) -> None:
        self.handled: list[str] = []
        self.responses_close = False
        self.server = server.Server(
            handler=self.handle,
            host="127.0.0.1",
            port=0,
            cancel_on_disconnect=True,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0.0)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(self.writer.close)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Responds to what was read, after some time."""
        self.handled.append(request.path)
        body = await request.read()
        await asyncio.sleep(RESPONSE_SECONDS)
        return messages.Response(
            body=body or b"done", close=self.responses_close
        )

    async def stop(self, seconds: float = STOP_SECONDS) -> list[bytes]:
        """Stops the server during the first request.

        Returns:
            The responses up to the connection's end.
        """
        await asyncio.sleep(RESPONSE_SECONDS / 2)
        self.server.settings.close_after_response = True
        await self.server.stop(seconds)
        async with asyncio.timeout(STOP_SECONDS):
            return (await self.reader.read()).split(b"HTTP/1.1 200")[1:]

    def check_last_closes(self, responses: list[bytes]) -> None:
        """Checks that both are answered, and the last one closes."""
        self.assertEqual(["/", "/second"], self.handled)
        closing = [b"connection: close" in r.lower() for r in responses]
        self.assertEqual([False, True], closing)
        self.assertTrue(responses[1].endswith(b"abc"))

    async def test_a_request_that_waits_unread_is_answered(self):
        self.writer.write(REQUEST)
        await asyncio.sleep(ACCEPT_DELAY_SECONDS)
        self.writer.write(SECOND_REQUEST)
        self.check_last_closes(await self.stop())

    async def test_a_request_that_was_read_with_another_is_answered(self):
        self.writer.write(REQUEST + SECOND_REQUEST)
        self.check_last_closes(await self.stop())

    async def test_a_request_whose_end_comes_later_is_answered(self):
        self.writer.write(REQUEST + SECOND_REQUEST[:20])
        asyncio.get_running_loop().call_later(
            1.5 * RESPONSE_SECONDS, self.writer.write, SECOND_REQUEST[20:]
        )
        self.check_last_closes(await self.stop())

    async def test_a_request_that_never_ends_is_cut_with_a_line(self):
        self.writer.write(REQUEST + SECOND_REQUEST[:20])
        with mock.patch.object(log, "write_limited") as write_limited:
            responses = await self.stop(SHORT_STOP_SECONDS)
        self.assertEqual(1, len(responses))
        self.assertEqual(1, write_limited.call_count)
        line = write_limited.call_args
        self.assertEqual((events.REQUEST_CUT,), line.args)
        self.assertEqual("reading a head", line.kwargs["phase"])

    async def test_a_handler_still_closes_the_connection(self):
        self.responses_close = True
        self.writer.write(REQUEST + SECOND_REQUEST)
        responses = await self.stop()
        self.assertEqual(["/"], self.handled)
        self.assertIn(b"connection: close", responses[0].lower())

    async def test_a_body_that_was_not_read_still_closes(self):
        self.server.settings.handler = respond_slowly
        self.writer.write(SECOND_REQUEST[:-1])
        responses = await self.stop()
        self.assertIn(b"connection: close", responses[0].lower())


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are answered although something goes wrong."""

    async def asyncSetUp(self) -> None:
        self.server = server.Server(
            handler=respond_slowly, host="127.0.0.1", port=0
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0.0)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def test_a_stall_of_the_loop_does_not_make_a_connection_idle(self):
        self.server.settings.idle_seconds = IDLE_SECONDS
        reader, writer = await self.connect()
        await asyncio.sleep(IDLE_SECONDS / 2)
        writer.write(REQUEST)
        stall_loop(IDLE_SECONDS)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))

    async def test_a_failed_handler_does_not_close_unanswered(self):
        self.server.settings.handler = fail
        reader, writer = await self.connect()
        writer.write(REQUEST)
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 500"))
        self.assertEqual("unknown", json.loads(body)["outcome"])


class HeadTest(unittest.IsolatedAsyncioTestCase):
    """Heads of requests up to the limit that the settings name."""

    async def status(self, head_bytes: int) -> bytes:
        """Returns the status for a head of a size; the limit is HEAD_BYTES."""
        running = server.Server(
            handler=respond_slowly, host="127.0.0.1", port=0
        )
        running.settings.head_bytes = HEAD_BYTES
        await running.start()
        self.addAsyncCleanup(running.stop, 0.0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        self.addCleanup(writer.close)
        line, end = REQUEST[:-2] + b"A: ", b"\r\n\r\n"
        padding = b"b" * (head_bytes - len(line) - len(end))
        writer.write(line + padding + end)
        return (await reader.readuntil(b"\r\n")).split()[1]

    async def test_a_head_below_its_limit_is_refused(self):
        self.assertEqual(b"200", await self.status(HEAD_BYTES - 1000))
        self.assertEqual(b"431", await self.status(HEAD_BYTES + 10_000))


if __name__ == "__main__":
    unittest.main()
