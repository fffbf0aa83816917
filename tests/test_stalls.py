"""What an event loop makes of bytes that arrive while it stands still.

After a stall, timers and sockets become due in the same turn of the loop. After
a freeze of the process, timers come first: an interrupted poll reports nothing.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import selectors
import time
import unittest

from oleanderhoist import clock
from oleanderhoist import deadline
from oleanderhoist import outcomes
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.http import serverconnection
from oleanderhoist.http import streams
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import state
from oleanderhoist.node import wire
from tests import scripted
from tests import test_forwarder
from tests import virtual

TIMEOUT_SECONDS = 0.1
STALL_SECONDS = 0.2  # Outlasts the timeout.
HEDGED_SECONDS = 0.35  # A hedge is due after half of it, within the stall.
LIMIT_SECONDS = 5.0
SETTLE_SECONDS = 0.01
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def respond(request: messages.Request) -> messages.Response:
    """Responds once the body is read, so that the connection is kept."""
    async for _ in request.body:
        pass
    return messages.Response(body=b"done")


class FreezingSelector(selectors.DefaultSelector):
    """A selector that sleeps on request and then reports nothing, once.

    Attributes:
        freeze_seconds: How long the next poll sleeps.
    """

    freeze_seconds = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Polls the sockets, or sleeps."""
        if not self.freeze_seconds:
            return super().select(timeout)
        time.sleep(self.freeze_seconds)
        self.freeze_seconds = 0.0
        return []


class StallTestCase(unittest.TestCase):
    """A test with a server that answers just before a stall or a freeze."""

    def setUp(self):
        self.selector = FreezingSelector()
        self.loop = asyncio.SelectorEventLoop(self.selector)
        self.addCleanup(self.close_loop)
        self.peer = scripted.Peer(self.answer_and_pause)

    def close_loop(self) -> None:
        """Closes the connections, ends the tasks and closes the loop."""
        streams.close_opened()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(SETTLE_SECONDS))
        self.loop.close()

    async def answer_and_pause(
        self, peer: scripted.Peer, writer: asyncio.StreamWriter
    ) -> None:
        """Answers; then nothing runs until the timeout has passed."""
        writer.write(scripted.answer("r"))
        self.pause()

    def stall(self) -> None:
        """Blocks the event loop."""
        time.sleep(STALL_SECONDS)

    def freeze(self) -> None:
        """Freezes the process while it polls."""
        self.selector.freeze_seconds = STALL_SECONDS

    def check_pauses(self, play: Callable[[], Coroutine]) -> None:
        """Plays something with a stall and with a freeze."""
        for pause in (self.stall, self.freeze):
            self.pause = pause
            self.loop.run_until_complete(self.play_in_time(play))

    async def play_in_time(self, play: Callable[[], Coroutine]) -> None:
        """Plays something with a fresh connection to the server."""
        await self.peer.start(self)
        async with asyncio.timeout(LIMIT_SECONDS):
            await play()


class ServerClients:
    """Clients of one server, whatever its address."""

    def __init__(self, address: str):
        self.client = client.Client(address=client.Address.parse(address))

    def get(self, address: str, id: str) -> client.Client:
        """Returns the client of the server."""
        return self.client


class StopTest(StallTestCase):
    """Answers that arrive before a stop gives up on them."""

    async def serve(self, attempts: int) -> outcomes.Outcome:
        """Returns the outcome of a request that is served in a stop."""
        request_forwarder = test_forwarder.make_forwarder(
            None,
            test_forwarder.SingleSlotClient(),
            ServerClients(self.peer.address),
        )
        request_forwarder.clock = clock.Clock()
        now = self.loop.time()
        request_forwarder.stop(
            slots_due=now + TIMEOUT_SECONDS, answers_due=now + TIMEOUT_SECONDS
        )
        request = test_forwarder.job(arrived=now, objective=LIMIT_SECONDS)
        request.work = dataclasses.replace(request.work, attempts=attempts)
        request.deadline = now + LIMIT_SECONDS
        return await request_forwarder.serve(request)

    async def check_answer(self, attempts: int) -> None:
        """Checks that the answer is delivered."""
        outcome = await self.serve(attempts)
        self.assertIsInstance(outcome, outcomes.Complete, self.pause.__name__)
        self.assertEqual(b"done", outcome.response.body)

    def test_an_answer_that_arrived_in_time_is_not_replaced(self):
        self.check_pauses(lambda: self.check_answer(attempts=1))
        self.check_pauses(lambda: self.check_answer(attempts=2))  # Hedgeable.


class HedgeTest(StallTestCase):
    """Hedges of requests whose answer has arrived."""

    async def serve(self) -> None:
        """Checks that a request gets its answer without a hedge."""
        slots = test_forwarder.SingleSlotClient()
        request_forwarder = test_forwarder.make_forwarder(
            None, slots, ServerClients(self.peer.address)
        )
        request_forwarder.clock = clock.Clock()
        now = self.loop.time()
        request = test_forwarder.job(arrived=now, objective=0.0)
        request.work = dataclasses.replace(request.work, objective=0.0)
        request.deadline = now + HEDGED_SECONDS
        outcome = await request_forwarder.serve(request)
        self.assertIsInstance(outcome, outcomes.Complete)
        self.assertEqual(1, slots.request_count)

    def test_no_hedge_is_sent_once_the_answer_has_arrived(self):
        self.check_pauses(self.serve)


class RecordingDatagrams:
    """Datagrams to other routers, which are only recorded."""

    def __init__(self):
        self.address = "10.0.0.2:1"
        self.handlers = {}
        self.sent = []

    def send(self, address: str, message: object) -> None:
        """Records a datagram."""
        self.sent.append(message)


class SlotTest(unittest.TestCase):
    """Slots that are granted within a stall over the time for slots."""

    def test_a_slot_of_a_refused_request_is_given_back(self):
        loop = virtual.Loop()
        datagrams = RecordingDatagrams()
        request_forwarder = test_forwarder.make_forwarder(loop, None, None)
        slots = request_forwarder.slot_client = slotclient.SlotClient(
            datagrams=datagrams,
            coordinator=None,
            state=request_forwarder.state,
            clock=request_forwarder.clock,
        )
        slots.ids.process = 0  # The id of its first request is 1.
        due = loop.now + LIMIT_SECONDS
        request_forwarder.stop(slots_due=due, answers_due=due + LIMIT_SECONDS)
        request = test_forwarder.job(arrived=loop.now, objective=LIMIT_SECONDS)
        request.deadline = due + LIMIT_SECONDS
        queued = wire.SlotQueued(id=1, wait_ms=round(LIMIT_SECONDS * 1000))
        granted = wire.SlotGranted(id=1, server="s")

        def stall() -> None:
            loop.now = due + STALL_SECONDS

        peer = test_forwarder.MEMBER.address
        loop.call_later(SETTLE_SECONDS, slots.on_slot_queued, peer, queued)
        loop.call_at(due - 2 * STALL_SECONDS, stall)
        loop.call_at(due - STALL_SECONDS, slots.on_slot_granted, peer, granted)
        outcome = virtual.run(request_forwarder.serve(request), loop)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertIsInstance(datagrams.sent[-1], wire.CancelAcquire)


class StateTest(unittest.TestCase):
    """Snapshots that come within a stall over a wait for them."""

    def test_a_snapshot_that_came_in_time_counts(self):
        loop = virtual.Loop()
        router_state = state.State()

        def stall() -> None:
            loop.now += STALL_SECONDS

        loop.call_later(TIMEOUT_SECONDS / 2, stall)
        loop.call_later(
            TIMEOUT_SECONDS * 3 / 4, router_state.snapshot_changed.set
        )
        came = virtual.run(
            router_state.wait_for_snapshot(TIMEOUT_SECONDS), loop
        )
        self.assertTrue(came)


class RecordingSlotClient(test_forwarder.SingleSlotClient):
    """Grants one slot.

    Attributes:
        answered: Whether the server had answered when the slot was released.
    """

    answered = False

    def release(self, grant: slotgrants.SlotGrant, **kwargs: object) -> None:
        """Records whether the server has answered."""
        self.answered = kwargs["seconds"] is not None


class LateServer(test_forwarder.FailingServer):
    """A client of a server that answers some turns after a deadline.

    Args:
        due: Time of the deadline, in seconds on the event loop's clock.
        turns: Number of turns of the event loop.
    """

    def __init__(self, *, due: float, turns: int):
        self.due = due
        self.turns = turns

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Returns a success."""
        await asyncio.sleep(self.due - asyncio.get_running_loop().time())
        for _ in range(self.turns):
            await asyncio.sleep(0)
        return test_forwarder.SUCCESS


class TieTest(unittest.TestCase):
    """Answers that come just as a stop gives up on them."""

    def serve(self, *, attempts: int, turns: int) -> tuple[bool, bool]:
        """Returns whether the server answered and whether the caller knows.

        Args:
            attempts: Number of attempts that the request may have.
            turns: Turns of the event loop from the deadline to the answer.
        """
        loop = virtual.Loop()
        slots = RecordingSlotClient()
        due = loop.now + TIMEOUT_SECONDS
        request_forwarder = test_forwarder.make_forwarder(
            loop, slots, LateServer(due=due, turns=turns)
        )
        request_forwarder.stop(slots_due=due, answers_due=due)
        request = test_forwarder.job(arrived=loop.now, objective=LIMIT_SECONDS)
        request.work = dataclasses.replace(request.work, attempts=attempts)
        request.deadline = loop.now + LIMIT_SECONDS
        outcome = virtual.run(request_forwarder.serve(request), loop)
        return slots.answered, isinstance(outcome, outcomes.Complete)

    def test_what_is_logged_as_answered_is_delivered(self):
        for attempts in (1, 2):
            results = [
                self.serve(attempts=attempts, turns=turns)
                for turns in range(2 * deadline.CATCH_UP_TURNS)
            ]
            self.assertIn((True, True), results)
            self.assertIn((False, False), results)
            self.assertNotIn((True, False), results)
            self.assertNotIn((False, True), results)


class ClientTest(StallTestCase):
    """Answers that arrive before a request of a client times out."""

    async def request(self) -> None:
        """Checks that a request gets its answer."""
        server_client = client.Client(
            address=client.Address.parse(self.peer.address)
        )
        response = await server_client.request(
            "GET", "/", timeout=TIMEOUT_SECONDS
        )
        self.assertEqual(b"done", response.body)

    def test_an_answer_that_arrived_in_time_is_not_a_timeout(self):
        self.check_pauses(self.request)

    async def open_and_pause(self, pause: Callable[[], None]) -> None:
        """Checks that a connection opens though nothing runs for a while."""
        server_client = client.Client(
            address=client.Address.parse(self.peer.address),
            connect_seconds=TIMEOUT_SECONDS,
        )
        self.loop.call_soon(pause)
        await server_client.prepare(LIMIT_SECONDS, reuse_only=False)

    def test_a_connection_that_was_accepted_in_time_is_used(self):
        self.check_pauses(lambda: self.open_and_pause(self.pause))

    async def send_late(self) -> None:
        """Checks that nothing is sent after a pause beyond the timeout."""
        server_client = client.Client(
            address=client.Address.parse(self.peer.address)
        )
        self.loop.call_soon(self.pause)
        with self.assertRaises(exchanges.ExchangeError) as caught:
            await server_client.request("GET", "/", timeout=TIMEOUT_SECONDS)
        self.assertFalse(caught.exception.maybe_sent)
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(0, self.peer.requests)

    def test_nothing_is_sent_once_the_time_for_an_answer_is_over(self):
        self.check_pauses(self.send_late)


class ServerTest(StallTestCase):
    """Requests and responses of callers around a pause."""

    async def serve(self, handler: serverconnection.Handler) -> server.Server:
        """Starts a server."""
        running = server.Server(
            handler=handler, host="127.0.0.1", port=0, cancel_on_disconnect=True
        )
        await running.start()
        return running

    async def send(
        self, running: server.Server
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request to a server."""
        reader, writer = await streams.connect("127.0.0.1", running.port)
        writer.write(REQUEST)
        return reader, writer

    async def reuse(self) -> None:
        """Checks that a kept connection serves what arrived before a pause."""
        running = await self.serve(respond)
        running.settings.idle_seconds = TIMEOUT_SECONDS
        reader, writer = await self.send(running)
        await reader.readuntil(b"done")
        writer.write(REQUEST)
        self.pause()
        await reader.readuntil(b"done")
        await running.stop(0.0)

    def test_a_request_that_arrived_in_time_is_served(self):
        self.check_pauses(self.reuse)

    async def stop_after_pause(self) -> None:
        """Checks that a stop answers what arrived before a pause."""
        running = await self.serve(respond)
        reader, writer = await streams.connect("127.0.0.1", running.port)
        await asyncio.sleep(SETTLE_SECONDS)

        def send_and_pause() -> None:
            writer.write(REQUEST)
            self.pause()

        self.loop.call_later(SETTLE_SECONDS, send_and_pause)
        await running.stop(LIMIT_SECONDS)
        self.assertTrue((await reader.read()).endswith(b"done"))

    def test_a_request_that_arrived_before_a_stop_closes_is_answered(self):
        self.check_pauses(self.stop_after_pause)

    async def stop_in_two_stalls(self) -> None:
        """Checks that a response is written though a stop stalls twice."""

        async def respond_after_stalls(
            request: messages.Request,
        ) -> messages.Response:
            await asyncio.sleep(TIMEOUT_SECONDS)
            for turn in range(2 * deadline.CATCH_UP_TURNS):
                await asyncio.sleep(0)
                if turn == deadline.CATCH_UP_TURNS:
                    self.stall()
            return messages.Response(body=b"done")

        running = await self.serve(respond_after_stalls)
        reader, _ = await self.send(running)
        self.loop.call_later(TIMEOUT_SECONDS / 2, self.stall)
        await running.stop(1.5 * TIMEOUT_SECONDS)
        self.assertTrue((await reader.read()).endswith(b"done"))

    def test_a_second_stall_does_not_cut_a_response_that_is_under_way(self):
        self.loop.run_until_complete(self.play_in_time(self.stop_in_two_stalls))


if __name__ == "__main__":
    unittest.main()
