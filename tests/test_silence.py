"""Servers that never respond to requests that they cannot queue."""

import asyncio
import dataclasses
import json
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.node import jobs
from oleanderhoist.node import slotgrants
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import silence
from oleanderhoist.policy import slotrequests
from standins import platform_system
from tests import test_forwarder
from tests import test_lanes
from tests import virtual

SERVICE_SECONDS = 0.1
SILENT_SECONDS = 0.3
OBJECTIVE_SECONDS = 1.0
CAPACITY = {"slots": 1, "queue": 0}
ORDERS = 12
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SilenceTest(unittest.TestCase):
    """How silence is told from slow work, and what it says of a server."""

    def test_usual_work_is_not_silent(self):
        known = test_lanes.server("s")
        for seconds in (0.08, 0.1, 0.15, 0.06, 0.18, 0.1, 0.09, 0.17):
            self.assertLess(seconds, known.silent_after())
            known.record_attempt(seconds, seconds, False)
        self.assertLess(known.silent_after(), 1.0)

    def test_nothing_is_known_before_some_answers(self):
        known = test_lanes.server("s")
        known.record_attempt(0.1, 0.1, False)
        self.assertEqual(float("inf"), known.silent_after())

    def test_one_silent_request_may_be_slow_work(self):
        silent = silence.Silence()
        silent.record(10.0, SERVICE_SECONDS)
        self.assertTrue(silent.allows(10.0))

    def test_a_full_server_gets_one_request_at_a_time(self):
        queue = test_lanes.slot_queue(test_lanes.server("s", slots=3))
        known = queue.servers["s"]
        for _ in range(silence.MIN_SILENT_REQUESTS):
            known.silent.record(10.0, SERVICE_SECONDS)
        ask = test_lanes.slot_request
        self.assertNotIsInstance(
            queue.submit(ask(1), 10.0), slotrequests.Granted
        )
        probes = queue.grant_waiting(10.0 + SERVICE_SECONDS)
        self.assertEqual([1], [verdict.request.id for verdict in probes])
        queue.submit(ask(2), 10.11)
        self.assertEqual([], queue.grant_waiting(10.12))
        queue.release("x", 1, "s", seconds=0.1, failed=False, now=10.2)
        queue.submit(ask(3), 10.2)
        self.assertEqual(3, len(known.running) + len(queue.queues[0]) + 1)
        self.assertEqual(2, len(known.running) + len(queue.grant_waiting(10.2)))

    def test_others_serve_while_a_full_server_is_probed(self):
        queue = test_lanes.slot_queue(
            test_lanes.server("full", slots=3),
            test_lanes.server("free", slots=3),
        )
        full = queue.servers["full"]
        for _ in range(silence.MIN_SILENT_REQUESTS):
            full.silent.record(10.0, SERVICE_SECONDS)
        granted = [
            queue.submit(test_lanes.slot_request(id), 10.0).server
            for id in range(3)
        ]
        self.assertEqual(["free"] * 3, granted)

    def test_a_silent_server_is_not_counted_as_failing(self):
        known: serverslots.ServerSlots = test_lanes.server("s")
        known.silent.record(10.0, SERVICE_SECONDS)
        known.record_attempt(1.0, None, False)
        self.assertEqual(0.0, known.failure_rate)

    def test_a_repeat_must_be_of_use(self):
        useful = silence.is_repeat_useful
        self.assertTrue(useful(mean=0.2, objective=0.3, remaining=1.0))
        self.assertFalse(useful(mean=0.2, objective=0.1, remaining=1.0))
        self.assertTrue(useful(mean=0.2, objective=-0.1, remaining=1.0))
        self.assertFalse(useful(mean=0.2, objective=-0.1, remaining=0.1))


class SlotClient(test_forwarder.SingleSlotClient):
    """Grants slots with the usual service time of the server."""

    def __init__(self):
        super().__init__()
        self.silences = 0
        self.failures: list[bool] = []

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant:
        """Grants a slot."""
        return slotgrants.SlotGrant(
            id=request.id,
            queue=queue,
            coordinator="",
            server="s",
            service_seconds=SERVICE_SECONDS,
            silent_after=SILENT_SECONDS,
        )

    def report_silence(self, grant: slotgrants.SlotGrant) -> None:
        """Counts a silent request."""
        self.silences += 1

    def release(self, grant: slotgrants.SlotGrant, **kwargs: bool) -> None:
        """Records whether the attempt counts as failed."""
        self.failures.append(kwargs["failed"])


class ForwarderTest(unittest.TestCase):
    """A router's requests to a server that drops the first of them."""

    def serve(
        self, repeatable: bool
    ) -> tuple[outcomes.Outcome, float, SlotClient]:
        """Serves a request; returns outcome, time taken and slot client."""
        loop = virtual.Loop()
        slots = SlotClient()
        silent = test_forwarder.Step(
            after=4.0,
            reply=exchanges.ExchangeError(
                "no answer in time", maybe_sent=True, timed_out=True
            ),
        )
        good = test_forwarder.Step(
            after=SERVICE_SECONDS, reply=test_forwarder.SUCCESS
        )
        request_forwarder = test_forwarder.make_forwarder(
            loop, slots, test_forwarder.ScriptedExchanges(silent, good)
        )
        request_forwarder.budget = types.SimpleNamespace(
            earn=lambda pool: None, spend=lambda pool: True
        )
        request = self.job(loop.now, repeatable)
        started_at = loop.now
        outcome = virtual.run(request_forwarder.serve(request), loop)
        return outcome, loop.now - started_at, slots

    def job(self, now: float, repeatable: bool) -> jobs.Job:
        """Returns a request."""
        request = test_forwarder.job(arrived=now, objective=OBJECTIVE_SECONDS)
        work = dataclasses.replace(request.work, repeatable=repeatable)
        return dataclasses.replace(request, work=work)

    def test_a_lookup_is_repeated_in_time_for_its_objective(self):
        outcome, seconds, slots = self.serve(repeatable=True)
        self.assertIsInstance(outcome, outcomes.Complete)
        self.assertLess(seconds, OBJECTIVE_SECONDS)
        self.assertEqual(1, slots.silences)
        self.assertNotIn(True, slots.failures)

    def test_an_order_is_never_called_refused_nor_sent_again(self):
        outcome, _, slots = self.serve(repeatable=False)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(codes.TIMED_OUT, outcome.code)
        self.assertNotIn(codes.TIMED_OUT.status, NOT_RUN_STATUSES)
        self.assertEqual([False], slots.failures)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """The connection of a request that got no response."""

    async def asyncSetUp(self) -> None:
        self.received: list[bytearray] = []
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.client = client.Client(
            address=client.Address(host=host, port=port)
        )

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Records what arrives on a connection, and never responds."""
        received = bytearray()
        self.received.append(received)
        try:
            while data := await reader.read(1000):
                received += data
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def test_nothing_is_sent_behind_an_unanswered_request(self):
        for _ in range(3):
            with self.assertRaises(exchanges.ExchangeError) as caught:
                await self.client.request("GET", "/", timeout=0.05)
            self.assertTrue(caught.exception.maybe_sent)
        self.assertEqual(0, len(self.client.idle))
        self.assertEqual(
            [1, 1, 1], [data.count(b"GET") for data in self.received]
        )


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Router processes and servers that drop what they cannot queue."""

    async def test_orders_that_are_dropped_are_unknown_and_never_repeated(self):
        system = platform_system.System()
        self.addAsyncCleanup(system.stop)
        await system.start()
        for id in ("d1", "d2"):
            await system.call(system.servers[id], "PUT", "/capacity", CAPACITY)
        statuses = await asyncio.gather(
            *(
                system.send(
                    f"o{number}",
                    router=2 + number % 2,
                    method="POST",
                    path="/order/1?work_ms=400",
                )
                for number in range(ORDERS)
            )
        )
        dropped = sum(
            [
                json.loads(
                    await system.call(system.servers[id], "GET", "/dropped")
                )
                for id in ("d1", "d2")
            ]
        )
        self.assertGreater(dropped, 0)
        self.assertEqual(dropped, statuses.count(504))
        self.assertLessEqual(set(statuses), {200, 503, 504})
        ran = [id for id in await system.ran("d1", "d2") if id.startswith("o")]
        self.assertEqual(sorted(set(ran)), sorted(ran))
        self.assertEqual(len(ran), statuses.count(200))


if __name__ == "__main__":
    unittest.main()
