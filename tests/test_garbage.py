"""Bytes without end that are no answer, and what they may cost the client."""

import asyncio
import contextlib
import socket
import struct
import time
import types
import unittest

from oleanderhoist import codes
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server as http_server
from oleanderhoist.node import budgets
from oleanderhoist.node import forwarder
from oleanderhoist.node import state
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from standins import endless
from tests import starvation
from tests import test_forwarder

PROCESSOR_SECONDS = 1.0
ATTEMPT_SECONDS = 1.5  # Well below TIMEOUT_SECONDS.
TIMEOUT_SECONDS = 3.0
STREAM_SECONDS = 30.0  # For MAX_SENT_BYTES, also on a busy machine.
# What the client may take: the largest body and the buffers of both sockets.
MAX_SENT_BYTES = 12_000_000
MAX_DETAIL_CHARS = 300
TRICKLE_SECONDS = 0.002
OK = endless.OK
CHUNKED = OK + endless.CHUNKED
ANSWER = OK + b"Content-Length: 2\r\n\r\nok"
BLANKS = endless.BLANKS
LINE = endless.LINE
ENDLESS_ANSWERS = endless.shapes()


class Garbage:
    """Answers with a start, then repeats a piece until the caller closes."""

    def __init__(self, start: bytes, piece: bytes, pause: float = 0.0):
        self.start_bytes = start
        self.piece = piece
        self.pause = pause
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            await self.write(writer, self.start_bytes)
            while self.piece:
                await asyncio.sleep(self.pause)
                await self.write(writer, self.piece)
            await reader.read()
        writer.close()
        self.closed.set()

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes bytes and waits while the caller doesn't read."""
        writer.write(data)
        self.sent += len(data)
        await writer.drain()


class Resetting(Garbage):
    """Resets the connection in place of an orderly close."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        await reader.readuntil(b"\r\n\r\n")
        await self.write(writer, self.start_bytes)
        await asyncio.sleep(0.1)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
        writer.transport.abort()
        self.closed.set()


def match_request(headers: messages.Headers) -> messages.Match:
    """Returns whether an answer belongs to the request."""
    foreign = messages.find(headers, b"foreign") is not None
    return messages.Match.FOREIGN if foreign else messages.Match.OURS


class GarbageTest(unittest.IsolatedAsyncioTestCase):
    """Garbage ends the attempt at once and holds nothing meanwhile."""

    async def connect(self, server: Garbage) -> client.Client:
        """Starts a server and returns a client of it."""
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        return client.Client(
            address=client.Address(host="127.0.0.1", port=port)
        )

    async def failure(
        self, server: Garbage, timeout: float = TIMEOUT_SECONDS, **options
    ) -> exchanges.ExchangeError:
        """Sends a request that must fail, and returns how it failed."""
        caller = await self.connect(server)
        with self.assertRaises(exchanges.ExchangeError) as seen:
            await caller.request(
                options.pop("method", "GET"),
                "/",
                timeout=timeout,
                accept=match_request,
                **options,
            )
        await asyncio.wait_for(server.closed.wait(), ATTEMPT_SECONDS)
        self.assertTrue(seen.exception.maybe_sent)
        self.assertTrue(seen.exception.response_started)
        return seen.exception

    async def expect_no_answer(self, server: Garbage, **options) -> None:
        """Expects that an attempt ends at once, and for the right reason."""
        stopwatch = starvation.Stopwatch()
        used = time.process_time()
        error = await self.failure(server, **options)
        self.assertLess(stopwatch.elapsed(), ATTEMPT_SECONDS)
        self.assertLess(time.process_time() - used, PROCESSOR_SECONDS)
        self.assertFalse(error.timed_out)
        self.assertLess(server.sent, MAX_SENT_BYTES)

    async def test_a_trickle_of_hints_holds_a_request_until_its_deadline(self):
        hint = b"HTTP/1.1 100 Continue\r\n\r\n"
        await self.expect_no_answer(Garbage(b"", hint, TRICKLE_SECONDS))

    async def test_a_connect_is_answered_without_the_body(self):
        await self.expect_no_answer(Garbage(ANSWER, b""), method="CONNECT")

    async def test_a_garbage_line_reads_like_a_lost_connection(self):
        error = await self.failure(Garbage(LINE + b"\r\n\r\n", LINE))
        self.assertTrue(str(error).startswith("not an answer: "), error)

    async def test_a_garbage_line_fills_the_log(self):
        error = await self.failure(Garbage(LINE + b"\r\n\r\n", LINE))
        self.assertLess(len(str(error)), MAX_DETAIL_CHARS)

    async def test_bytes_fill_the_buffer_of_an_idle_connection(self):
        server = Garbage(ANSWER, LINE, TRICKLE_SECONDS)
        caller = await self.connect(server)
        await caller.request("GET", "/", timeout=TIMEOUT_SECONDS)
        await asyncio.wait_for(server.closed.wait(), ATTEMPT_SECONDS)

    async def test_unfinished_bodies_fill_the_memory_together(self):
        body = b"x" * 3_000_000
        length = b"Content-Length: %d\r\n\r\n" % (len(body) + 1)
        stuck = await self.connect(Garbage(OK + length + body, b""))
        sound = await self.connect(Garbage(ANSWER, b""))
        clients = client.Clients()
        calls = [
            clients.get(str(stuck.address), "").request("GET", "/", timeout=1.5)
            for _ in range(16)
        ]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(1.0)
        failed = sum(task.done() for task in tasks)
        response = await clients.get(str(sound.address), "").request(
            "GET", "/", timeout=1.0
        )
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(b"ok", response.body)
        self.assertLess((len(tasks) - failed) * len(body), 36_000_000)

    async def test_bytes_behind_an_answer_stay_for_the_next_request(self):
        server = Garbage(ANSWER + LINE, LINE)
        caller = await self.connect(server)
        response = await caller.request("GET", "/", timeout=TIMEOUT_SECONDS)
        self.assertEqual(b"ok", response.body)
        await asyncio.wait_for(server.closed.wait(), ATTEMPT_SECONDS)

    async def test_a_reset_completes_an_answer_without_a_length(self):
        error = await self.failure(Resetting(OK + b"\r\npart", b""))
        self.assertIn("reset", str(error))

    async def test_a_reset_completes_a_stream_without_a_length(self):
        part = b"x" * (exchanges.MAX_BUFFERED_BODY_BYTES + 1)
        caller = await self.connect(Resetting(OK + b"\r\n" + part, b""))
        response = await caller.request(
            "GET",
            "/",
            timeout=TIMEOUT_SECONDS,
            stream_limit=exchanges.stream_large,
        )
        with self.assertRaises(ConnectionAbortedError):
            async for _ in response.stream:
                pass

    async def test_a_stream_is_cut_at_the_bound_of_a_whole_body(self):
        caller = await self.connect(
            Garbage(CHUNKED, b"fa0\r\n" + LINE + b"\r\n")
        )
        response = await caller.request(
            "GET",
            "/",
            timeout=STREAM_SECONDS,
            stream_limit=exchanges.stream_large,
        )
        size = 0
        async for chunk in response.stream:
            size += len(chunk)
            if size > MAX_SENT_BYTES:
                break
        await response.stream.aclose()
        self.assertGreater(size, MAX_SENT_BYTES)

    async def start_attempt(
        self, garbage: Garbage, seconds: float
    ) -> asyncio.Task:
        """Starts an attempt of a router at a server that sends garbage.

        Args:
            garbage: The server.
            seconds: Time until the deadline of the request, in seconds.

        Returns:
            The attempt; `released` then says how it used its slot, and `job`
            is the request.
        """
        address = str((await self.connect(garbage)).address)
        grants = test_forwarder.SingleSlotClient()
        self.released = []
        grants.release = lambda grant, **kwargs: self.released.append(kwargs)
        server = cluster.Server(
            id="s", pool="pool", address=address, data_center="a", slots=1
        )
        router_state = state.State()
        router_state.snapshot = cluster.Snapshot(servers={"s": server})
        router = forwarder.Forwarder(
            platform=protocol,
            slot_client=grants,
            state=router_state,
            clock=types.SimpleNamespace(monotonic=time.monotonic),
            budget=budgets.Budgets(ratio=1.0, extra=9, state=router_state),
            data_center="a",
        )
        self.job = test_forwarder.job(arrived=time.monotonic(), objective=1.0)
        self.job.deadline = self.job.arrived + seconds
        verdict = await grants.acquire("pool", types.SimpleNamespace(id=1))
        return asyncio.create_task(router.send(self.job, server, verdict))

    async def test_garbage_leaves_a_server_of_a_router_unjudged(self):
        result = await (await self.start_attempt(Garbage(b"", LINE), 4.0))
        self.assertEqual(codes.BAD_ANSWER, result.code)
        self.assertTrue(self.job.maybe_run)
        self.assertEqual(
            [{"seconds": None, "failed": True, "unanswered": False}],
            self.released,
        )

    async def test_a_server_is_unjudged_if_its_caller_leaves_at_the_deadline(
        self,
    ):
        for leaves_after, failed in ((0.3, True), (0.1, False)):
            garbage = Garbage(OK + b"A: ", b"b", TRICKLE_SECONDS)
            attempt = await self.start_attempt(garbage, 0.3)
            await asyncio.sleep(leaves_after)
            attempt.cancel()
            await asyncio.wait([attempt])
            await asyncio.wait_for(garbage.closed.wait(), ATTEMPT_SECONDS)
            self.assertEqual(
                [{"seconds": None, "failed": failed, "unanswered": False}],
                self.released,
            )

    async def test_a_trickled_head_outlasts_the_deadline(self):
        server = Garbage(OK + b"A: ", b"b", TRICKLE_SECONDS)
        error = await self.failure(server, timeout=0.3)
        self.assertTrue(error.timed_out)


class CallerGarbageTest(unittest.IsolatedAsyncioTestCase):
    """A caller's garbage doesn't hold the other callers."""

    async def expect_little_work(self, request: bytes) -> None:
        """Sends bytes to a server; expects an end without much work."""

        async def handle(request: messages.Request) -> messages.Response:
            await request.read()
            return messages.Response()

        running = http_server.Server(handler=handle, host="127.0.0.1", port=0)
        await running.start()
        self.addCleanup(running.listener.close)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        self.addCleanup(writer.close)
        used = time.process_time()
        writer.write(request)
        with contextlib.suppress(OSError):
            self.assertNotIn(b" 200 ", await reader.read())
        self.assertLess(time.process_time() - used, PROCESSOR_SECONDS)

    async def test_blanks_in_a_callers_head_hold_the_event_loop(self):
        await self.expect_little_work(
            b"GET / HTTP/1.1\r\nHost: h\r\nA:" + BLANKS + b"\0\r\n\r\n"
        )

    async def test_blanks_in_a_callers_trailer_hold_the_event_loop(self):
        await self.expect_little_work(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\nA:" + BLANKS + b"\0\r\n\r\n"
        )


def add_case(name: str, start: bytes, piece: bytes) -> None:
    """Adds a test of an answer without end."""

    async def test(self: GarbageTest) -> None:
        await self.expect_no_answer(Garbage(start, piece))

    slug = name.replace("'", "").replace(" ", "_")
    setattr(GarbageTest, f"test_{slug}_without_end", test)


for case, (first, repeated) in ENDLESS_ANSWERS.items():
    add_case(case, first, repeated)
