"""Stop of a router's node, in virtual time.

Callers connect through a Unix socket, which delivers at once. The leader's
resignation, the slots and the servers are stand-ins.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import pathlib
import tempfile
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import settings
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import streams
from oleanderhoist.node import core
from oleanderhoist.platform import adapter
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import storeclock
from tests import test_forwarder
from tests import virtual

PROBE_PATH = adapter.READY_PATH
SIGNAL_TIME = 1001.0  # A second after the start of virtual time.
STOP_SECONDS = 6.0
SLOTS_DUE_SECONDS = core.SLOT_FRACTION * STOP_SECONDS
ANSWERS_DUE_SECONDS = core.drain_seconds(STOP_SECONDS)
ACCEPT_SECONDS = core.UNREADY_ACCEPT_SECONDS
FOREVER_SECONDS = 60.0  # Longer than any stop.
TURN_SECONDS = 0.01
ANSWER_SECONDS = 0.3  # From a request to the server's answer.
# Larger than a socket's buffers, so a caller has to read it.
LONG_BODY = b"x" * 2_000_000
READ_BYTES = 200_000
HEAD = b"POST /order HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
REQUEST = HEAD + b"Content-Length: 4\r\n\r\nbody"
ADDRESS = client.Address(host="127.0.0.1", port=0)
WORK = contractset.Work(
    name="w",
    host="h",
    prefix="/",
    rank=0,
    repeatable=False,
    objective=FOREVER_SECONDS,
    timeout=FOREVER_SECONDS,
    attempts=1,
    shares=(contractset.Share(pool="pool", weight=1.0),),
)
CONTRACTS = contractset.build(
    version=1,
    works=[WORK],
    pools=[contractset.Pool(name="pool", keyed=False, connections=1)],
    limits=contractset.MessageLimits(
        head_bytes=16_384,
        body_bytes=1_000_000,
        head_seconds=FOREVER_SECONDS,
        idle_seconds=FOREVER_SECONDS,
    ),
)
SERVER = cluster.Server(
    id="s", pool="pool", address="x:1", data_center="a", slots=1
)


def make_settings(stop_seconds: float) -> settings.RouterSettings:
    """Returns the settings of a router."""
    return settings.RouterSettings(
        id="r",
        ip=ADDRESS.host,
        data_center="a",
        listen=ADDRESS,
        readiness_listen=ADDRESS,
        peer_port=0,
        metrics_port=0,
        store=ADDRESS,
        cores=1.0,
        memory_bytes=1_000_000_000,
        max_connections=1_000,
        max_lease_seconds=10.0,
        retry_ratio=0.0,
        retry_window_seconds=10.0,
        retry_extra=0.0,
        stop_seconds=stop_seconds,
        propagation_seconds=2.0,
        bootstrap=True,
    )


def get(path: str) -> messages.Request:
    """Returns a request without a body."""
    return messages.Request(method="GET", target=path, headers=[], body=None)


async def until(at: float) -> None:
    """Waits until a time, in seconds since the signal."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, SIGNAL_TIME + at - now))


class SlowLeadership:
    """A leadership whose resignation takes some time."""

    def __init__(self, *, seconds: float):
        self.seconds = seconds

    async def resign(self, *, insist: bool) -> None:
        """Resigns."""
        await asyncio.sleep(self.seconds)


class GrantingSlots(test_forwarder.SingleSlotClient):
    """Grants a slot to each request."""

    async def acquire(self, *args: object) -> object:
        """Grants a slot."""
        self.request_count = 0
        return await super().acquire(*args)


class TimedServer(test_forwarder.FailingServer):
    """A client of a server that answers no earlier than at a given time.

    Attributes:
        at: The time, in seconds since the signal.
        answer: The answer.
    """

    def __init__(self, *, at: float, answer: messages.Response):
        self.at = at
        self.answer = answer

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Returns the answer once it is due."""
        await asyncio.sleep(ANSWER_SECONDS)
        await until(self.at)
        return self.answer


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What a caller got.

    Attributes:
        at: When it was read, in seconds since the signal.
        data: All bytes until the connection was closed.
    """

    at: float
    data: bytes

    @property
    def status(self) -> str:
        """The status code; empty without a response."""
        return self.data[9:12].decode()

    @property
    def is_whole(self) -> bool:
        """Whether the body has its declared length."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        return b"content-length: %d\r\n" % len(body) in head


def make_node(loop: virtual.Loop, stop_seconds: float) -> core.Node:
    """Returns a router that knows one server and grants all slots."""
    node = core.Node(
        settings=make_settings(stop_seconds),
        source=None,
        platform=types.SimpleNamespace(
            ready_path=PROBE_PATH,
            store_clock=storeclock.StoreClock(),
            **vars(protocol),
        ),
        clock=virtual.Clock(loop=loop),
    )
    node.state.contracts = CONTRACTS
    node.state.snapshot = cluster.Snapshot(servers={"s": SERVER})
    node.forwarder.slot_client = GrantingSlots()
    return node


class RouterStopTest(unittest.TestCase):
    """What callers get from a router that stops at the time zero."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        memory = exchanges.MEMORY  # A node sets the limit of the process.
        self.addCleanup(setattr, memory, "limit_bytes", memory.limit_bytes)
        self.path = str(pathlib.Path(folder.name) / "callers")

    def play(
        self,
        *callers: Coroutine,
        stop_seconds: float = STOP_SECONDS,
        resign_seconds: float = 0.0,
        answer_at: float = -FOREVER_SECONDS,
        answer: messages.Response = test_forwarder.SUCCESS,
    ) -> list:
        """Stops a router a second after its start.

        Args:
            callers: What callers do; begun with the router.
            stop_seconds: Time from the signal to the kill, in seconds.
            resign_seconds: Time that a resignation takes, in seconds.
            answer_at: Earliest time of the server's answers, in seconds since
                the signal.
            answer: The server's answer.

        Returns:
            The callers' results.
        """
        loop = virtual.Loop()
        self.node = make_node(loop, stop_seconds)
        self.node.follower.leadership = SlowLeadership(seconds=resign_seconds)
        self.node.forwarder.clients = TimedServer(at=answer_at, answer=answer)

        async def run() -> list:
            server = self.node.frontend.server
            server.listener = await loop.create_unix_server(
                lambda: streams.make_protocol(server.accept), self.path
            )
            tasks = [asyncio.create_task(caller) for caller in callers]
            await until(0.0)
            await self.node.stop([])
            return await asyncio.gather(*tasks)

        return virtual.run(run(), loop)

    async def call(
        self, *parts: tuple[float, bytes], pause: float = 0.0
    ) -> Answer | None:
        """Sends parts of a request; returns the answer.

        Args:
            parts: Times, in seconds since the signal, and bytes; the first
                opens the connection.
            pause: Time between reads, in seconds.

        Returns:
            The answer; None if the connection was refused.
        """
        await until(parts[0][0])
        try:
            reader, writer = await asyncio.open_unix_connection(self.path)
        except OSError:
            return None
        for at, data in parts:
            await until(at)
            writer.write(data)
        received = bytearray()
        try:
            while data := await reader.read(READ_BYTES):
                received += data
                await asyncio.sleep(pause)
        except OSError:
            pass
        writer.close()
        now = asyncio.get_running_loop().time()
        return Answer(at=now - SIGNAL_TIME, data=bytes(received))

    async def probe(self, at: float) -> int:
        """Returns the status of the readiness probe at a time."""
        await until(at)
        return (await self.node.health.handle(get(PROBE_PATH))).status

    async def read_metrics(self) -> bytes:
        """Returns the metrics."""
        return (await self.node.metrics.handle(get("/metrics"))).body

    def test_metrics_are_missing(self):
        (metrics,) = self.play(self.read_metrics())
        for name in (b"oleander_requests", b"oleander_server_seconds"):
            self.assertIn(name, metrics)

    def test_a_router_that_stops_or_knows_nothing_counts_as_ready(self):
        async def forget_contracts() -> int:
            await until(-0.5)
            self.node.state.contracts = None
            status = await self.probe(-0.5)
            self.node.state.contracts = CONTRACTS
            return status

        statuses = self.play(
            self.probe(-0.9), forget_contracts(), self.probe(TURN_SECONDS)
        )
        self.assertEqual([200, 503, 503], statuses)

    def test_a_caller_that_still_sends_its_body_is_not_closed_unanswered(self):
        head = HEAD + b"Content-Length: 100\r\n\r\n"
        answers = self.play(
            self.call((-0.5, head)),
            self.call((-0.5, head), *[(n / 4, b"part") for n in range(11)]),
            self.call((ACCEPT_SECONDS - 0.1, head + b"part")),
        )
        for answer in answers:
            self.assertEqual("503", answer.status)
            self.assertIn(b"%d" % codes.STOPPING.number, answer.data)
            self.assertAlmostEqual(SLOTS_DUE_SECONDS, answer.at, places=2)

    def test_a_slow_resignation_does_not_shift_the_end_of_accepting(self):
        for stop_seconds, end in (
            (STOP_SECONDS, ACCEPT_SECONDS),
            (4.0, core.SLOT_FRACTION * 4.0),
        ):
            for resign_seconds in (0.0, 0.9, FOREVER_SECONDS):
                with self.subTest(stop=stop_seconds, resign=resign_seconds):
                    accepted, refused = self.play(
                        self.call((end - 0.1, REQUEST)),
                        self.call((end + 0.1, REQUEST)),
                        stop_seconds=stop_seconds,
                        resign_seconds=resign_seconds,
                    )
                    self.assertEqual("200", accepted.status)
                    self.assertIsNone(refused)

    def test_requests_are_answered_while_a_resignation_is_slow(self):
        times = (-0.1, TURN_SECONDS, 0.5, 0.99, 1.01, 2.0)
        answers = self.play(
            *[self.call((at, REQUEST)) for at in times],
            resign_seconds=FOREVER_SECONDS,
        )
        for at, answer in zip(times, answers, strict=True):
            with self.subTest(at=at):
                self.assertEqual("200", answer.status)
                self.assertAlmostEqual(at + ANSWER_SECONDS, answer.at, places=2)

    def test_a_response_that_is_due_at_the_last_moment_is_not_cut(self):
        long = dataclasses.replace(test_forwarder.SUCCESS, body=LONG_BODY)
        for answer_at, status in (
            (ANSWERS_DUE_SECONDS - TURN_SECONDS, "200"),
            (FOREVER_SECONDS, "502"),
        ):
            with self.subTest(status):
                (answer,) = self.play(
                    self.call((-0.5, REQUEST), pause=TURN_SECONDS),
                    answer_at=answer_at,
                    answer=long,
                )
                self.assertEqual(status, answer.status)
                self.assertTrue(answer.is_whole)
                self.assertGreater(answer.at, ANSWERS_DUE_SECONDS)

    def test_a_connection_is_not_kept_after_the_signal(self):
        before, after = self.play(
            self.call((-0.8, REQUEST)), self.call((-0.1, REQUEST))
        )
        # Kept, it would end with accepting, and cross the next request.
        self.assertNotIn(b"connection: close", before.data.lower())
        self.assertGreaterEqual(before.at, ACCEPT_SECONDS)
        self.assertIn(b"connection: close", after.data.lower())
        self.assertLess(after.at, ANSWER_SECONDS)

    def test_a_half_read_head_is_not_closed_with_the_idle_connections(self):
        for at, status in (
            (SLOTS_DUE_SECONDS - 0.1, "200"),
            (SLOTS_DUE_SECONDS + 0.1, "503"),
        ):
            for sent in (10, len(HEAD), len(HEAD) + 10):
                with self.subTest(at=at, sent=sent):
                    (answer,) = self.play(
                        self.call((-0.5, REQUEST[:sent]), (at, REQUEST[sent:]))
                    )
                    self.assertEqual(status, answer.status)

    def test_a_request_that_is_not_read_yet_is_not_closed_as_idle(self):
        unanswered = []

        async def finish_on_arrival() -> None:
            await until(-0.1)
            (connection,) = self.node.frontend.server.connections

            def finish() -> None:
                unanswered.append(connection.unanswered)
                connection.finish()

            connection.reader.on_data = finish

        (answer, _) = self.play(
            self.call((-0.5, b""), (0.5, REQUEST)), finish_on_arrival()
        )
        self.assertEqual("200", answer.status)
        self.assertEqual([True], unanswered)


if __name__ == "__main__":
    unittest.main()
