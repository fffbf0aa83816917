"""Requests that are open when an entry stops; see `tests.test_stop_entry`."""

import asyncio
import dataclasses
import random
import time
import unittest

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import contract
from oleanderhoist import settings
from oleanderhoist.clients import table
from oleanderhoist.entry import claims
from oleanderhoist.entry import core
from oleanderhoist.entry import slotclient
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.peers import wire
from oleanderhoist.policy import topology
from tests import starvation

HOST = "127.0.78.1"
CREDENTIAL = "secret"
STOP_SECONDS = 1.0
STOP_MARGIN_SECONDS = 0.05  # For timers.
SETTLE_SECONDS = 0.15  # For requests to reach the server or the slot queue.
TIMEOUT_SECONDS = 5.0  # Longer than any stop.
ANY_PORT = client.Address(host=HOST, port=0)
ORDER_KEY = "order-1"
STREAM_BYTES = 400_000  # Too long to be buffered.
SETTINGS = settings.EntrySettings(
    id="e",
    data_center="dc",
    listen=ANY_PORT,
    peer_listen=ANY_PORT,
    peer_advertise="",
    health_listen=ANY_PORT,
    table=client.Address(host=HOST, port=1),
    max_skew=0.05,
    log_file="-",
    dispatch="guaranteed-share",
    choice="least-estimate",
    permits="always-ask",
    stop_seconds=STOP_SECONDS,
)


def work(name: str, pool: str, *, repeatable: bool) -> contract.Work:
    """Returns a kind of work with a deadline that outlasts a stop."""
    return contract.Work(
        name=name,
        path=f"/{name}",
        methods=["POST"],
        rank=2,
        repeatable=repeatable,
        worth=1.0,
        rate_per_second=1000.0,
        burst=1000,
        deadline_ms=int(TIMEOUT_SECONDS * 1000),
        service_ms=10.0,
        max_body_bytes=1000,
        pool=pool,
    )


CONTRACT = contract.Contract(
    customer="c",
    credential_sha256=contract.credential_hash(CREDENTIAL),
    tolerated_server_losses=0,
    work=[
        work("order", "full", repeatable=False),
        work("lookup", "full", repeatable=True),
        work("lost", "empty", repeatable=True),
    ],
)


def stall_loop(seconds: float) -> None:
    """Blocks the event loop."""
    time.sleep(seconds)


class MemoryTable:
    """A table in memory, whose replies can be held.

    Attributes:
        records: Records by key.
        open: Whether the table replies.
    """

    def __init__(self):
        self.records: dict[str, table.Record] = {}
        self.open = asyncio.Event()
        self.open.set()

    async def get(self, key: str) -> table.Record | None:
        """Returns a record."""
        await self.open.wait()
        return self.records.get(key)

    async def put(
        self, key: str, value: dict, *, expected: int | None
    ) -> table.WriteOutcome:
        """Writes a record if it has the expected version."""
        found = self.records.get(key)
        if (found.version if found else None) != expected:
            return table.Conflict()
        version = (expected or 0) + 1
        self.records[key] = table.Record(key=key, version=version, value=value)
        await self.open.wait()
        return table.Written(version=version)

    async def delete(self, key: str, *, expected: int) -> None:
        """Deletes a record."""
        await self.open.wait()
        if self.records[key].version == expected:
            del self.records[key]


class SilentServer:
    """A server that reads requests and sends what the test says.

    Attributes:
        heads: What was read on each connection.
        answer: Bytes to send after each read; none by default.
    """

    def __init__(self):
        self.heads: list[bytes] = []
        self.answer = b""

    async def start(self) -> str:
        """Listens; returns the address."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        port = self.listener.sockets[0].getsockname()[1]
        return f"{HOST}:{port}"

    async def serve(self, reader, writer) -> None:
        """Reads until the peer closes."""
        while data := await reader.read(65_536):
            self.heads.append(data)
            await self.answer_after_read(writer)
        writer.close()

    async def answer_after_read(self, writer) -> None:
        """Sends the answer."""
        writer.write(self.answer)


class RunningEntryTest(unittest.IsolatedAsyncioTestCase):
    """A test with an entry, one slot of one server, and a table in memory."""

    async def asyncSetUp(self) -> None:
        self.server = SilentServer()
        address = await self.server.start()
        self.addCleanup(self.server.listener.close)
        self.entry = core.Entry(
            settings=SETTINGS, clock=clock.Clock(), rng=random.Random(1)
        )
        self.table = MemoryTable()
        self.entry.claims.table = self.table
        self.entry.contracts.is_confirmed = lambda: True
        self.entry.contracts.by_credential = {
            CONTRACT.credential_sha256: CONTRACT
        }
        self.entry.rate_limiter.allow = lambda customer, work: True
        self.entry.snapshot_store.is_stale = lambda: False
        self.entry.transport.start()
        await self.entry.server.start()
        await self.entry.health.server.start()
        self.addCleanup(self.close_transport)
        self.adopt_server(address)

    def close_transport(self) -> None:
        """Closes the transport, whose context can't be collected open."""
        if not self.entry.transport.router.closed:
            self.entry.transport.stop()

    def adopt_server(self, address: str) -> None:
        """Gives the entry a snapshot in which it coordinates the server."""
        server = topology.Server(
            id="s",
            pool="full",
            address=address,
            data_center="dc",
            slots=1,
            connections=9,
            checks_sender=True,
            keyed=False,
        )
        snapshot = self.entry.snapshot_store.snapshot
        snapshot.servers["s"] = server
        snapshot.pools["full"] = [server]
        snapshot.coordinators["s"] = "e"
        snapshot.entries["e"] = topology.Entry(
            id="e", address=self.entry.transport.address, data_center="dc"
        )

    async def send(
        self, path: str, *, key: str = ""
    ) -> messages.Response | exchanges.ExchangeError:
        """Sends a request; returns the response, or how it failed."""
        address = client.Address(host=HOST, port=self.entry.server.port)
        headers = [(b"authorization", b"Bearer " + CREDENTIAL.encode())]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        try:
            return await client.Client(address=address).request(
                "POST",
                path,
                timeout=TIMEOUT_SECONDS,
                headers=headers,
                body=b"work",
            )
        except exchanges.ExchangeError as error:
            return error

    async def stop_during(
        self, *requests, table_opens_after: float | None = None
    ) -> list:
        """Stops the entry while requests wait.

        Args:
            *requests: The requests.
            table_opens_after: Time from the start of the stop until the table
                replies, in seconds; None to leave it as it is.

        Returns:
            The results of the requests.
        """
        tasks = []
        for request in requests:
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(SETTLE_SECONDS)
        stopwatch = starvation.Stopwatch()
        if table_opens_after is not None:
            asyncio.get_running_loop().call_later(
                table_opens_after, self.table.open.set
            )
        await self.entry.stop()
        self.stop_took = stopwatch.elapsed()
        return await asyncio.gather(*tasks)

    def assert_code(self, code: codes.Code, result: object) -> None:
        """Checks the result code and the status of a response."""
        self.assertIsInstance(result, messages.Response, str(result))
        number = messages.find(result.headers, b"oleander-code")
        self.assertEqual(
            (str(code.number), code.status), (number, result.status)
        )


class UnansweredTest(RunningEntryTest):
    """A stop closes no connection whose request was read unanswered."""

    async def test_a_request_at_a_silent_server_is_unknown(self):
        (result,) = await self.stop_during(self.send("/order"))
        self.assert_code(codes.STOPPED, result)

    async def test_a_request_without_a_slot_is_not_run(self):
        _, result = await self.stop_during(
            self.send("/order"), self.send("/order")
        )
        self.assert_code(codes.STOPPING, result)
        self.assertTrue(messages.find(result.headers, b"retry-after"))
        self.assertEqual(1, len(self.server.heads))

    async def test_a_request_without_a_server_is_not_run(self):
        (result,) = await self.stop_during(self.send("/lost"))
        self.assert_code(codes.STOPPING, result)

    async def test_a_request_with_half_a_body_is_not_run(self):
        (data,) = await self.stop_during(self.send_half_a_body())
        self.assertIn(b"oleander-code: 3009", data)

    async def send_half_a_body(self, key: bytes = b"") -> bytes:
        """Sends half a body; returns what comes until the connection ends."""
        reader, writer = await asyncio.open_connection(
            HOST, self.entry.server.port
        )
        self.addCleanup(writer.close)
        writer.write(
            b"POST /order HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n"
            b"authorization: Bearer %s\r\n%s\r\nhalf"
            % (CREDENTIAL.encode(), key)
        )
        return (await reader.read()).lower()

    async def test_half_a_body_under_a_key_proves_nothing(self):
        key = b"idempotency-key: k\r\n"
        (data,) = await self.stop_during(self.send_half_a_body(key))
        self.assertIn(b"oleander-code: 3010", data)

    async def test_a_stop_keeps_its_time(self):
        await self.stop_during(self.send("/order"), self.send("/order"))
        self.assertLessEqual(self.stop_took, STOP_SECONDS + STOP_MARGIN_SECONDS)

    async def test_a_lost_try_is_not_hidden_by_a_stop(self):
        self.server.answer = b"not HTTP\r\n\r\n"
        (result,) = await self.stop_during(self.send("/lookup"))
        self.assertEqual(1, len(self.server.heads))
        self.assert_code(codes.STOPPED, result)

    async def test_a_streamed_answer_is_not_framed_as_whole(self):
        self.server.answer = (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"%x\r\n%s\r\n" % (STREAM_BYTES, b"x" * STREAM_BYTES)
        )
        (result,) = await self.stop_during(self.send("/lookup"))
        self.assertIsInstance(result, exchanges.ExchangeError)

    async def test_an_answer_before_a_stall_is_delivered(self):
        self.server.answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        serve = self.server.answer_after_read

        async def answer_and_stall(writer) -> None:
            await asyncio.sleep(SETTLE_SECONDS + 0.7 * STOP_SECONDS)
            await serve(writer)
            stall_loop(STOP_SECONDS)  # Until after the stop's end.

        self.server.answer_after_read = answer_and_stall
        (result,) = await self.stop_during(self.send("/order"))
        self.assert_code(codes.OK, result)


class ClaimsTest(RunningEntryTest):
    """What a stop says and leaves behind under an Idempotency-Key."""

    async def test_a_claim_of_what_may_have_run_stays(self):
        (result,) = await self.stop_during(self.send("/order", key=ORDER_KEY))
        self.assert_code(codes.STOPPED, result)
        self.assertEqual(1, len(self.table.records))

    async def test_not_run_is_still_verified(self):
        results = await self.stop_during(
            self.send("/order", key=ORDER_KEY),
            self.send("/order", key=ORDER_KEY),
            self.send("/order", key="other"),
        )
        self.assert_code(codes.IN_PROGRESS, results[1])
        self.assert_code(codes.STOPPING, results[2])

    async def test_not_run_is_not_said_without_time_to_verify(self):
        self.entry.snapshot_store.snapshot.pools.clear()
        self.table.open.clear()
        (result,) = await self.stop_during(self.send("/order", key=ORDER_KEY))
        self.assert_code(codes.REFUSED_UNCHECKED, result)

    async def test_a_claim_is_withdrawn_when_nothing_was_sent(self):
        self.table.open.clear()
        (result,) = await self.stop_during(
            self.send("/order", key=ORDER_KEY), table_opens_after=STOP_SECONDS
        )
        self.assert_code(codes.REFUSED_UNCHECKED, result)
        await asyncio.sleep(2 * SETTLE_SECONDS)
        await asyncio.gather(*self.entry.claims.cleanup_tasks)
        self.assertEqual({}, self.table.records)
        self.assertEqual([], self.server.heads)

    async def test_an_order_is_not_sent_after_the_time_for_slots(self):
        self.table.open.clear()
        (result,) = await self.stop_during(
            self.send("/order", key=ORDER_KEY),
            table_opens_after=0.7 * STOP_SECONDS,
        )
        self.assert_code(codes.STOPPING, result)
        self.assertEqual({}, self.table.records)
        self.assertEqual([], self.server.heads)

    async def test_an_answer_is_given_though_it_is_not_recorded_yet(self):
        self.server.answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        put = self.table.put

        async def hold_second_put(key, value, *, expected):
            if expected is not None:
                self.table.open.clear()
            return await put(key, value, expected=expected)

        self.table.put = hold_second_put
        (result,) = await self.stop_during(self.send("/order", key=ORDER_KEY))
        self.assert_code(codes.OK, result)


@dataclasses.dataclass(kw_only=True)
class RecordingTransport:
    """A transport that keeps what it is given to send."""

    sent: list[wire.Message] = dataclasses.field(default_factory=list)

    def send(self, address: str, message: wire.Message) -> bool:
        """Keeps a message."""
        self.sent.append(message)
        return True


class CancelledTest(RunningEntryTest):
    """A cancelled wait gives back what it had asked for."""

    async def test_a_cancelled_slot_request_is_withdrawn(self):
        recording = RecordingTransport()
        slots = self.entry.slot_client
        slots.transport = recording
        slots.coordinator_of = lambda server: "coordinator"
        slot_request = slotclient.SlotRequest(
            server="s", rank=2, worth=1.0, expected_seconds=0.1
        )
        deadline = time.monotonic() + TIMEOUT_SECONDS
        task = asyncio.create_task(slots.acquire(slot_request, deadline))
        await asyncio.sleep(0)
        request = recording.sent[0].request
        granted = wire.SlotReply(
            request=request,
            server="s",
            state=slotclient.GRANTED,
            code=0,
            depth=0,
        )
        task.cancel()
        await asyncio.wait([task])
        slots.receive(granted)
        releases = [type(message) for message in recording.sent[1:]]
        self.assertEqual([wire.Release, wire.Release], releases)

    async def test_a_slot_that_is_granted_within_a_stall_is_used(self):
        recording = RecordingTransport()
        slots = self.entry.slot_client
        slots.transport = recording
        slots.coordinator_of = lambda server: "coordinator"
        slot_request = slotclient.SlotRequest(
            server="s", rank=2, worth=1.0, expected_seconds=0.1
        )
        end = time.monotonic() + TIMEOUT_SECONDS
        task = asyncio.create_task(slots.acquire(slot_request, end))
        await asyncio.sleep(0)
        granted = wire.SlotReply(
            request=recording.sent[0].request,
            server="s",
            state=slotclient.GRANTED,
            code=0,
            depth=0,
        )
        wait = slotclient.COORDINATOR_TIMEOUT_SECONDS
        loop = asyncio.get_running_loop()
        loop.call_later(wait / 2, stall_loop, wait)
        loop.call_later(wait * 3 / 4, slots.receive, granted)
        grant = await task
        self.assertEqual("coordinator", grant.coordinator)

    async def test_a_cancelled_claim_is_withdrawn(self):
        self.table.open.clear()
        task = asyncio.create_task(self.entry.claims.claim("c", "k", "print"))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        self.table.open.set()
        await asyncio.gather(*self.entry.claims.cleanup_tasks)
        self.assertEqual({}, self.table.records)

    async def test_a_cancelled_abandonment_goes_on(self):
        claim = await self.entry.claims.claim("c", "k", "print")
        self.assertIsInstance(claim, claims.Acquired)
        self.table.open.clear()
        task = asyncio.create_task(self.entry.claims.abandon(claim))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        self.table.open.set()
        await asyncio.gather(*self.entry.claims.cleanup_tasks)
        self.assertEqual({}, self.table.records)


if __name__ == "__main__":
    unittest.main()
