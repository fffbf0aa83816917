"""Forwarding of requests by a router, with stand-ins for everything else."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist import processids
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.node import budgets
from oleanderhoist.node import forwarder
from oleanderhoist.node import jobs
from oleanderhoist.node import slotgrants
from oleanderhoist.node import state
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import slotrequests
from tests import virtual

STOP_SECONDS = 6.0
REQUEST_SECONDS = 60.0
HEDGED_SECONDS = 10.0
HEDGE_DELAY_SECONDS = HEDGED_SECONDS / 2  # Half of the remaining time.
NO_NOTICES = types.SimpleNamespace(record=lambda *args: None)
MEMBER = cluster.Member(address="10.0.0.1:1", data_center="a", cores=1.0)


async def no_body() -> AsyncIterator[bytes]:
    """Yields no chunk."""
    for chunk in ():
        yield chunk


def job(*, arrived: float, objective: float) -> jobs.Job:
    """Returns a request for a key."""
    work = contractset.Work(
        name="w",
        host="h",
        prefix="/",
        rank=0,
        repeatable=True,
        objective=objective,
        timeout=4.0,
        attempts=2,
        shares=(contractset.Share(pool="pool", weight=1.0),),
    )
    head = ports.RequestHead(id="r", host="h", path="/", remaining=4.0, key=7)
    return jobs.Job(
        request=messages.Request(
            method="GET", target="/", headers=[], body=no_body()
        ),
        head=head,
        body=b"",
        work=work,
        pool="pool",
        arrived=arrived,
        deadline=arrived + 4.0,
        objective=arrived + objective,
    )


class SingleSlotClient:
    """Grants a slot to the first request and refuses all later ones."""

    def __init__(self):
        self.notices = NO_NOTICES
        self.ids = processids.ProcessIds()
        self.datagrams = types.SimpleNamespace(address="10.0.0.1:1")
        self.request_count = 0

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Grants a slot once."""
        self.request_count += 1
        if self.request_count > 1:
            return slotrequests.Refused(request=request, retry_after=0.1)
        return slotgrants.SlotGrant(
            id=request.id, queue=queue, coordinator="", server="s"
        )

    def release(self, grant: slotgrants.SlotGrant, **kwargs: object) -> None:
        """Ignores the release."""


class FailingServer:
    """A client of a server that runs requests and reports failure."""

    def get(self, address: str, id: str) -> "FailingServer":
        """Returns the client of any server."""
        return self

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Returns an error response of the server."""
        return messages.Response(
            status=500, headers=[(b"response-signature", b"x")], body=b"broken"
        )


def make_forwarder(
    loop: virtual.Loop, slot_client: object, server_client: object
) -> forwarder.Forwarder:
    """Returns a forwarder that knows one server."""
    server = cluster.Server(
        id="s", pool="pool", address="x:1", data_center="a", slots=1
    )
    router_state = state.State()
    router_state.snapshot = cluster.Snapshot(
        servers={"s": server}, members={MEMBER.address: MEMBER}
    )
    result = forwarder.Forwarder(
        platform=protocol,
        slot_client=slot_client,
        state=router_state,
        clock=virtual.Clock(loop=loop),
        budget=budgets.Budgets(ratio=1.0, extra=100, state=router_state),
        data_center="a",
    )
    result.clients = server_client
    return result


class FailureTest(unittest.TestCase):
    """A server's error response is passed on if there is no better one."""

    def test_a_failure_is_delivered_when_no_slot_is_left_to_repeat(self):
        loop = virtual.Loop()
        request_forwarder = make_forwarder(
            loop, SingleSlotClient(), FailingServer()
        )
        request = job(arrived=loop.now, objective=1.0)
        outcome = virtual.run(request_forwarder.serve(request), loop)
        self.assertEqual(2, request_forwarder.slot_client.request_count)
        self.assertIsInstance(outcome, outcomes.Complete)
        self.assertEqual(b"broken", outcome.response.body)


class QueueingSlotClient(SingleSlotClient):
    """Grants a slot to the first requests and lets all later ones wait.

    Attributes:
        grants: Number of requests that are granted a slot.
        requests: All slot requests.
        withdrawn: Number of waiting requests that were cancelled.
    """

    def __init__(self, *, grants: int):
        super().__init__()
        self.grants = grants
        self.requests: list[slotrequests.SlotRequest] = []
        self.withdrawn = 0

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Grants a slot, or waits."""
        self.requests.append(request)
        if len(self.requests) > self.grants:
            try:
                await asyncio.sleep(request.deadline)
            except asyncio.CancelledError:
                self.withdrawn += 1
                raise
        self.request_count = 0
        return await super().acquire(queue, request)


class ScriptedServer(FailingServer):
    """A client of a server that refuses requests, then stays silent."""

    def __init__(self, *, refusals: int):
        self.refusals = refusals

    async def request(
        self, *args: object, timeout: float, **kwargs: object
    ) -> messages.Response:
        """Refuses a request, or does not respond in time."""
        if self.refusals:
            self.refusals -= 1
            return messages.Response(
                status=503, headers=[(b"not-executed", b"1")]
            )
        await asyncio.sleep(timeout)
        raise AssertionError("no stop came")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One reply of a scripted peer.

    Attributes:
        after: When it comes, in seconds.
        reply: A response, an error, whether a slot is granted, or None for
            none at all.
    """

    after: float
    reply: messages.Response | exchanges.ExchangeError | bool | None


class ScriptedSlots(SingleSlotClient):
    """Grants and refuses slots as a script says."""

    def __init__(self, *steps: Step):
        super().__init__()
        self.steps = iter(steps)

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Follows the next step."""
        step = next(self.steps)
        await asyncio.sleep(step.after)
        self.request_count = 0 if step.reply else 1
        return await super().acquire(queue, request)


class ScriptedExchanges(FailingServer):
    """A client of a server that answers as a script says."""

    def __init__(self, *steps: Step):
        self.steps = iter(steps)

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Follows the next step."""
        step = next(self.steps)
        await asyncio.sleep(step.after)
        if isinstance(step.reply, exchanges.ExchangeError):
            raise step.reply
        return step.reply


GRANTED = Step(after=0.0, reply=True)
REFUSED = Step(after=0.1, reply=False)
FAILURE = messages.Response(
    status=500, headers=[(b"response-signature", b"x")], body=b"broken"
)
SUCCESS = messages.Response(
    status=200, headers=[(b"response-signature", b"x")], body=b"good"
)
REFUSAL = messages.Response(status=503, headers=[(b"not-executed", b"1")])
LOST = exchanges.ExchangeError("reset", maybe_sent=True)


class HedgeTest(unittest.TestCase):
    """The outcome of two attempts that overlap."""

    def serve(
        self,
        slots: ScriptedSlots,
        server: ScriptedExchanges,
        stop_after: float = HEDGED_SECONDS,
    ) -> outcomes.Outcome:
        """Returns the outcome of a request with three attempts.

        Args:
            slots: Grants and refuses slots.
            server: Answers; the hedge follows after HEDGE_DELAY_SECONDS.
            stop_after: Time from the request to a stop, in seconds.
        """
        loop = virtual.Loop()
        request_forwarder = make_forwarder(loop, slots, server)
        request_forwarder.budget = types.SimpleNamespace(
            earn=lambda pool: None, spend=lambda pool: True
        )
        request = job(arrived=loop.now, objective=0.1)
        request.work = dataclasses.replace(request.work, attempts=3)
        request.deadline = loop.now + HEDGED_SECONDS
        loop.call_later(
            stop_after,
            lambda: request_forwarder.stop(
                slots_due=loop.now + STOP_SECONDS / 2,
                answers_due=loop.now + STOP_SECONDS,
            ),
        )
        return virtual.run(request_forwarder.serve(request), loop)

    def test_a_hedge_without_a_slot_does_not_cut_a_running_attempt(self):
        outcome = self.serve(
            ScriptedSlots(GRANTED, GRANTED, REFUSED),
            ScriptedExchanges(
                Step(after=0.1, reply=FAILURE),
                Step(after=HEDGE_DELAY_SECONDS + 1.0, reply=SUCCESS),
            ),
        )
        self.assertEqual(SUCCESS, outcome.response)

    def test_a_stop_of_a_hedge_does_not_cut_a_running_attempt(self):
        outcome = self.serve(
            ScriptedSlots(GRANTED, GRANTED, Step(after=60.0, reply=True)),
            ScriptedExchanges(
                Step(after=0.1, reply=FAILURE),
                Step(
                    after=HEDGE_DELAY_SECONDS + STOP_SECONDS / 2 + 1.0,
                    reply=SUCCESS,
                ),
            ),
            stop_after=HEDGE_DELAY_SECONDS + 0.2,
        )
        self.assertEqual(SUCCESS, outcome.response)

    def test_a_refused_attempt_does_not_hide_a_hedge_that_may_have_run(self):
        outcome = self.serve(
            ScriptedSlots(
                GRANTED,
                Step(after=HEDGE_DELAY_SECONDS + 0.5, reply=False),
                Step(after=1.5, reply=True),
            ),
            ScriptedExchanges(
                Step(after=0.1, reply=REFUSAL),
                Step(after=0.5, reply=LOST),
            ),
        )
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_a_failure_is_delivered_if_no_attempt_does_better(self):
        outcome = self.serve(
            ScriptedSlots(GRANTED, GRANTED, REFUSED, REFUSED),
            ScriptedExchanges(
                Step(after=0.1, reply=FAILURE),
                Step(after=HEDGE_DELAY_SECONDS + 1.0, reply=LOST),
            ),
        )
        self.assertEqual(FAILURE, outcome.response)

    def test_a_stopping_router_does_not_load_servers_with_hedges(self):
        for stop_after, hedges in (
            (HEDGE_DELAY_SECONDS - STOP_SECONDS / 4, 0),
            (HEDGE_DELAY_SECONDS + 0.1, 1),
        ):
            with self.subTest(stop_after=stop_after):
                slots = ScriptedSlots(GRANTED, REFUSED)
                outcome = self.serve(
                    slots,
                    ScriptedExchanges(
                        Step(after=HEDGE_DELAY_SECONDS + 1.0, reply=SUCCESS)
                    ),
                    stop_after=stop_after,
                )
                self.assertEqual(SUCCESS, outcome.response)
                self.assertEqual(1 - hedges, len(list(slots.steps)))


class StopTest(unittest.TestCase):
    """What a stop makes of requests that are being forwarded."""

    def setUp(self):
        self.loop = virtual.Loop()
        self.stop_began = 0.0

    def stop(
        self,
        slots: QueueingSlotClient,
        refusals: int = 0,
        after: float = 1.0,
        server: FailingServer | None = None,
    ) -> outcomes.Outcome:
        """Returns the outcome of a request that is served when a stop begins.

        Args:
            slots: Client that grants slots.
            refusals: Number of exchanges that the server refuses.
            after: Time from the request to the stop, in seconds.
            server: Client of another server; None for one that stays silent
                after its refusals.
        """
        request_forwarder = make_forwarder(
            self.loop, slots, server or ScriptedServer(refusals=refusals)
        )
        request = job(arrived=self.loop.now, objective=0.1)
        request.deadline = self.loop.now + REQUEST_SECONDS
        self.loop.call_later(after, self.begin_stop, request_forwarder)
        return virtual.run(request_forwarder.serve(request), self.loop)

    def begin_stop(self, request_forwarder: forwarder.Forwarder) -> None:
        """Tells a forwarder to stop."""
        self.stop_began = self.loop.now
        request_forwarder.stop(
            slots_due=self.stop_began + STOP_SECONDS / 2,
            answers_due=self.stop_began + STOP_SECONDS,
        )

    def elapsed(self) -> float:
        """Returns the virtual time since the stop began, in seconds."""
        return self.loop.now - self.stop_began

    def test_a_request_without_a_slot_is_reported_as_not_run(self):
        slots = QueueingSlotClient(grants=0)
        outcome = self.stop(slots)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertIs(codes.STOPPING, outcome.code)
        self.assertAlmostEqual(STOP_SECONDS / 2, self.elapsed(), places=1)
        self.assertEqual(1, slots.withdrawn)

    def test_a_request_at_a_server_is_not_reported_as_not_run(self):
        outcome = self.stop(QueueingSlotClient(grants=1))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertAlmostEqual(STOP_SECONDS, self.elapsed(), places=1)

    def test_a_hedged_request_is_not_reported_as_not_run(self):
        for grants in (1, 2):  # The hedge waits for a slot, or is sent.
            with self.subTest(grants=grants):
                self.loop = virtual.Loop()
                slots = QueueingSlotClient(grants=grants)
                outcome = self.stop(slots, after=0.6 * REQUEST_SECONDS)
                self.assertEqual(2, len(slots.requests))
                self.assertIsInstance(outcome, outcomes.Unknown)
                self.assertAlmostEqual(STOP_SECONDS, self.elapsed(), places=1)

    def test_a_refused_request_without_a_slot_is_reported_as_not_run(self):
        outcome = self.stop(QueueingSlotClient(grants=1), refusals=1)
        self.assertIsInstance(outcome, outcomes.NotRun)

    def test_a_slot_is_kept_as_long_as_its_response_is_awaited(self):
        slots = QueueingSlotClient(grants=1)
        request_forwarder = make_forwarder(
            self.loop, slots, ScriptedServer(refusals=0)
        )
        self.begin_stop(request_forwarder)
        request = job(arrived=self.loop.now, objective=REQUEST_SECONDS)
        request.deadline = self.loop.now + REQUEST_SECONDS
        virtual.run(request_forwarder.serve(request), self.loop)
        due = self.stop_began + STOP_SECONDS
        self.assertEqual(due, slots.requests[0].deadline)
        self.assertEqual(due, slots.requests[0].objective)

    def test_a_failure_is_delivered_when_a_stop_leaves_no_time_to_retry(self):
        for grants, seconds in ((1, STOP_SECONDS / 2), (2, STOP_SECONDS)):
            with self.subTest(grants=grants):  # Retry without a slot, or sent.
                self.loop = virtual.Loop()
                slots = QueueingSlotClient(grants=grants)
                server = ScriptedExchanges(
                    Step(after=0.1, reply=FAILURE),
                    Step(after=REQUEST_SECONDS, reply=LOST),
                )
                outcome = self.stop(slots, server=server)
                self.assertEqual(2, len(slots.requests))
                self.assertEqual(FAILURE, outcome.response)
                self.assertAlmostEqual(seconds, self.elapsed(), places=1)


if __name__ == "__main__":
    unittest.main()
