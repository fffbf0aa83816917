"""What servers receive of requests, and callers of answers, on real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import time
import unittest

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.node import budgets
from oleanderhoist.node import forwarder
from oleanderhoist.node import frontend
from oleanderhoist.node import state
from oleanderhoist.platform import headers
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from tests import recording
from tests import starvation
from tests import test_answers
from tests import test_forwarder

HOST = "a.example"
SERVER = "s"
SLACK_SECONDS = 0.5  # Within which what must happen at once has happened.
ROUTE_SECONDS = 1.5
LONG_SECONDS = 8.0
POLL_SECONDS = 0.01
CALLER_MS = 1200  # Less than the route's timeout.
PATIENT_MS = 9000  # More than any route's timeout.
PAUSE_SECONDS = 0.3
LIMITS = contractset.MessageLimits(
    head_bytes=12_345, body_bytes=1000, head_seconds=3.5, idle_seconds=6.5
)
WORK = contractset.Work(
    name="orders",
    host=HOST,
    prefix="/order/",
    rank=0,
    repeatable=False,
    objective=0.5,
    timeout=ROUTE_SECONDS,
    attempts=2,
    shares=(contractset.Share(pool="pool", weight=1.0),),
)
LOOKUPS = dataclasses.replace(
    WORK, name="lookups", prefix="/look/", repeatable=True
)
WORKS = [WORK, LOOKUPS]
CONTRACTS = contractset.build(
    version=1,
    works=WORKS,
    pools=[contractset.Pool(name="pool", keyed=False, connections=9)],
    limits=LIMITS,
)


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """A router's frontend and forwarder, with one server."""

    async def asyncSetUp(self) -> None:
        self.backend = recording.Backend()
        port = await self.backend.start(self)
        self.state = state.State()
        self.state.contracts = CONTRACTS
        member = test_forwarder.MEMBER
        self.state.snapshot = cluster.Snapshot(
            servers={
                SERVER: cluster.Server(
                    id=SERVER,
                    pool="pool",
                    address=f"127.0.0.1:{port}",
                    data_center="a",
                    slots=9,
                )
            },
            members={member.address: member},
        )
        self.forwarder = forwarder.Forwarder(
            platform=protocol,
            slot_client=test_answers.RouterSlots(),
            state=self.state,
            clock=clock.Clock(),
            budget=budgets.Budgets(ratio=1.0, extra=100, state=self.state),
            data_center="a",
        )
        self.addCleanup(self.forwarder.clients.retain, ())
        self.frontend = frontend.Frontend(
            address=client.Address(host="127.0.0.1", port=0),
            platform=protocol,
            forwarder=self.forwarder,
            state=self.state,
            clock=clock.Clock(),
            memory_bytes=100_000_000,
        )
        await self.frontend.server.start()
        self.addAsyncCleanup(self.frontend.server.stop, 0.0)

    async def send(
        self,
        target: str = "/order/1",
        *,
        method: str = "POST",
        body: bytes | AsyncIterator[bytes] = b"order",
        deadline_ms: int = CALLER_MS,
        timeout: float = 5.0,
        **more: str,
    ) -> messages.Response:
        """Sends a request as a caller; returns the answer."""
        fields = {"Request-Id": "r", "Deadline-Ms": str(deadline_ms)}
        fields |= {name.replace("_", "-"): text for name, text in more.items()}
        caller = client.Client(
            address=client.Address(
                host="127.0.0.1", port=self.frontend.server.port
            )
        )
        self.addCleanup(caller.close)
        return await caller.request(
            method,
            target,
            timeout=timeout,
            headers=[(n.encode(), t.encode()) for n, t in fields.items()],
            body=body,
            host=HOST.encode(),
        )


class RequestTest(ForwardingTest):
    """What a server receives."""

    async def test_a_request_arrives_changed(self):
        await self.send("/order/a%20b?c=1&d", body=b"x" * 900)
        await self.send("/look/1?e", method="GET", body=b"")
        order, lookup = self.backend.received
        self.assertEqual(b"POST /order/a%20b?c=1&d HTTP/1.1", order.line)
        self.assertEqual(b"x" * 900, order.body)
        self.assertEqual("r", order.header(headers.REQUEST_ID))
        self.assertEqual(HOST, order.header(b"host"))
        self.assertEqual(b"GET /look/1?e HTTP/1.1", lookup.line)

    async def test_a_body_in_chunks_arrives_changed(self):
        async def chunks():
            yield b"or"
            yield b"der"

        await self.send(body=chunks(), transfer_encoding="chunked")
        (request,) = self.backend.received
        self.assertEqual(b"order", request.body)
        self.assertEqual("5", request.header(b"content-length"))

    async def test_a_dropped_route_is_run(self):
        self.state.contracts = dataclasses.replace(
            CONTRACTS, works={HOST: (LOOKUPS,)}
        )
        self.assertEqual(404, (await self.send()).status)
        self.assertEqual([], self.backend.received)

    async def test_refused_attempts_are_not_charged(self):
        async def refuse(request: recording.Received) -> bytes:
            return recording.answer(request, "503 Full", not_executed="1")

        self.backend.respond = refuse
        for sends in (2, 3):  # The budget allows one retry.
            self.assertEqual(503, (await self.send()).status)
            self.assertEqual(sends, len(self.backend.received))

    async def test_a_server_that_drains_or_is_removed_gets_requests(self):
        before = self.state.snapshot
        listed = before.servers[SERVER]
        other = dataclasses.replace(listed, id="t")
        leaving = dataclasses.replace(listed, leaving=True)
        for servers in ({"t": other}, {"t": other, SERVER: leaving}):
            self.state.snapshot = dataclasses.replace(before, servers=servers)
            self.assertEqual(503, (await self.send()).status)
        self.assertEqual([], self.backend.received)

    async def test_a_request_at_a_server_without_its_key_is_given_up(self):
        async def lack_key(request: recording.Received) -> bytes:
            if len(self.backend.received) > 1:
                return await recording.sign(request)
            return recording.answer(request, "421 Not Mine", not_executed="1")

        self.backend.respond = lack_key
        self.assertEqual(200, (await self.send()).status)

    async def test_a_header_is_lost_or_one_of_the_connection_is_passed_on(self):
        await self.send(
            color="red", shard_key="7", connection="x-hop", x_hop="1", te="a"
        )
        (request,) = self.backend.received
        self.assertEqual("red", request.header(b"color"))
        self.assertEqual("7", request.header(headers.KEY))
        for name in (b"connection", b"x-hop", b"te"):
            self.assertIsNone(request.header(name))

    async def test_a_request_does_not_name_its_server(self):
        await self.send(expected_instance="another")
        (request,) = self.backend.received
        named = [
            value
            for name, value in request.headers
            if name == headers.EXPECTED_SERVER
        ]
        self.assertEqual([SERVER.encode()], named)

    async def test_a_server_is_told_more_time_than_is_left(self):
        for deadline_ms, seconds in (
            (CALLER_MS, CALLER_MS / 1000),
            (PATIENT_MS, ROUTE_SECONDS),
        ):
            await self.send(deadline_ms=deadline_ms)
            told = self.backend.received[-1].seconds
            self.assertLessEqual(told, seconds)
            self.assertGreater(told, seconds - SLACK_SECONDS)

    async def test_a_repeat_is_told_the_time_of_the_first_attempt(self):
        async def refuse_late(request: recording.Received) -> bytes:
            if len(self.backend.received) > 1:
                return await recording.sign(request)
            await asyncio.sleep(PAUSE_SECONDS)
            return recording.answer(request, "503 Full", not_executed="1")

        self.backend.respond = refuse_late
        response = await self.send()
        self.assertEqual(200, response.status)
        first, second = self.backend.received
        self.assertLessEqual(second.seconds, first.seconds - PAUSE_SECONDS)

    async def test_hedges_exceed_the_attempts_of_the_route(self):
        self.backend.respond = recording.stay_silent
        for attempts in (1, 2):
            work = dataclasses.replace(LOOKUPS, attempts=attempts)
            self.state.contracts = dataclasses.replace(
                CONTRACTS, works={HOST: (work,)}
            )
            self.backend.received.clear()
            await self.send("/look/1", method="GET", body=b"")
            self.assertEqual(attempts, len(self.backend.received))


class AnswerTest(ForwardingTest):
    """What a caller receives."""

    async def test_an_answer_is_passed_on_changed(self):
        for status in ("200 OK", "201 Made", "404 None", "500 Broken"):

            async def respond(
                request: recording.Received, status: str = status
            ) -> bytes:
                return recording.answer(
                    request, status, response_signature="sig"
                )

            self.backend.respond = respond
            response = await self.send()
            self.assertEqual(int(status[:3]), response.status)
            self.assertEqual(b"done", response.body)
            signature = messages.find(response.headers, headers.SIGNATURE)
            self.assertEqual("sig", signature)

    async def test_an_unsigned_success_is_passed_on(self):
        async def respond(request: recording.Received) -> bytes:
            return recording.answer(request)

        self.backend.respond = respond
        response = await self.send()
        self.assertEqual(502, response.status)
        self.assertNotIn(b"done", response.body)
        self.assertIsNone(messages.find(response.headers, headers.SIGNATURE))

    async def test_a_silent_server_holds_a_request_beyond_its_route(self):
        self.backend.respond = recording.stay_silent
        sent_at = time.monotonic()
        stopwatch = starvation.Stopwatch()
        response = await self.send(deadline_ms=PATIENT_MS)
        self.assertEqual(504, response.status)
        self.assertGreaterEqual(time.monotonic() - sent_at, ROUTE_SECONDS)
        self.assertLess(stopwatch.elapsed(), ROUTE_SECONDS + SLACK_SECONDS)

    async def test_a_request_that_was_too_late_to_send_gets_no_promise(self):
        response = protocol.to_response(
            outcomes.NotRun(code=codes.TOO_LATE, retry_after=0.25)
        )
        self.assertEqual(503, response.status)
        retry_after = messages.find(response.headers, headers.RETRY_AFTER)
        self.assertEqual(0.25, float(retry_after))

    async def test_a_router_without_contracts_denies_a_request(self):
        self.state.contracts = None
        response = await self.send()
        self.assertEqual(503, response.status)
        self.assertTrue(messages.find(response.headers, headers.RETRY_AFTER))
        self.assertEqual([], self.backend.received)

    async def test_bodies_fill_the_memory_of_the_router(self):
        async def chunks():
            yield b"x" * 600

        self.frontend.max_buffered_bytes = 500
        response = await self.send(body=b"x" * 600)
        self.assertEqual(503, response.status)
        self.assertTrue(messages.find(response.headers, headers.RETRY_AFTER))
        response = await self.send(body=chunks(), transfer_encoding="chunked")
        self.assertEqual(503, response.status)
        self.assertEqual(0, self.frontend.buffered_bytes)
        self.assertEqual(200, (await self.send()).status)

    async def test_the_limits_of_the_contracts_are_not_applied(self):
        self.assertEqual(413, (await self.send(body=b"x" * 1001)).status)
        self.assertEqual(200, (await self.send(body=b"x" * 1000)).status)
        applied = self.frontend.server.settings
        self.assertEqual(LIMITS.head_bytes, applied.head_bytes)
        self.assertEqual(LIMITS.head_seconds, applied.head_seconds)
        self.assertEqual(LIMITS.idle_seconds, applied.idle_seconds)


class ConnectionTest(ForwardingTest):
    """How connections to servers and callers end."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        works = [dataclasses.replace(w, timeout=LONG_SECONDS) for w in WORKS]
        self.state.contracts = dataclasses.replace(
            CONTRACTS, works={HOST: tuple(works)}
        )
        self.backend.respond = recording.stay_silent

    async def until(self, condition: Callable[[], object]) -> None:
        """Waits for a condition that must become true soon."""
        stopwatch = starvation.Stopwatch()
        async with asyncio.timeout(LONG_SECONDS / 2):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)
        self.assertLess(stopwatch.elapsed(), SLACK_SECONDS)

    async def send_and_leave(self, target: str) -> None:
        """Sends a request, and leaves once a server has it."""
        before = len(self.backend.received)
        sending = asyncio.create_task(self.send(target, deadline_ms=PATIENT_MS))
        await self.until(lambda: len(self.backend.received) > before)
        sending.cancel()
        await self.until(self.backend.received[before].closed.is_set)

    async def test_work_outlives_its_caller(self):
        await self.send_and_leave("/order/1")
        await self.send_and_leave("/look/1")
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(2, len(self.backend.received))

    async def test_a_request_waits_for_a_slot_though_its_caller_left(self):
        slots = test_forwarder.QueueingSlotClient(grants=0)
        self.forwarder.slot_client = slots
        sending = asyncio.create_task(self.send(deadline_ms=PATIENT_MS))
        await self.until(lambda: slots.requests)
        sending.cancel()
        await self.until(lambda: slots.withdrawn)

    async def test_a_request_is_read_though_its_caller_left(self):
        _, writer = await asyncio.open_connection(
            "127.0.0.1", self.frontend.server.port
        )
        request = b"GET /look/1 HTTP/1.1\r\nHost: %b\r\n\r\n" % HOST.encode()
        writer.write(request + request)
        await self.until(lambda: self.backend.received)
        writer.close()
        await self.until(self.backend.received[0].closed.is_set)
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(1, len(self.backend.received))

    async def connections_after(self, pause: float = 0.0, **more: str) -> int:
        """Returns the connections that two lookups use.

        Args:
            pause: Time between the two, in seconds.
            **more: Headers of the answers.
        """

        async def respond(request: recording.Received) -> bytes:
            return recording.answer(request, response_signature="sig", **more)

        self.backend.respond = respond
        for seconds in (pause, 0.0):
            await self.send("/look/1", method="GET", body=b"")
            await asyncio.sleep(seconds)
        return self.backend.connections

    async def test_requests_open_connections_that_they_do_not_need(self):
        self.assertEqual(1, await self.connections_after())

    async def test_a_connection_is_used_after_its_idle_timeout(self):
        more = {"keep_alive": "timeout=1"}
        self.assertEqual(2, await self.connections_after(1.0, **more))

    async def test_a_connection_is_used_after_its_last_answer(self):
        self.assertEqual(2, await self.connections_after(connection="close"))


if __name__ == "__main__":
    unittest.main()
