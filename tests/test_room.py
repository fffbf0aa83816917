"""Replays of too little room: what coordinators believe of free slots."""

import asyncio
import heapq
import itertools
import unittest

from oleanderhoist.node import wire
from oleanderhoist.policy import roundtrip
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests
from tests import test_permits

SLOTS = 6
WORK_SECONDS = 0.24
LINK_SECONDS = 0.15  # One way, over a narrow link that is busy.
OBJECTIVE_SECONDS = 1.1
DEADLINE_SECONDS = 4.4


class NarrowLinks:
    """Replays a server whose requests come from routers with busy links.

    The work itself is exact; `rate` requests arrive each second.
    """

    def __init__(self, *, rate: float, seconds: float):
        self.queue = slotqueue.SlotQueue(service_seconds=WORK_SECONDS)
        self.queue.update(
            [
                serverslots.ServerSlots(
                    id="s",
                    data_center="a",
                    slots=SLOTS,
                    service_seconds=WORK_SECONDS,
                )
            ]
        )
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, object]] = []
        self.free_at = [0.0] * SLOTS  # When each slot of the server is free.
        self.punctual = 0
        self.submitted = int(rate * seconds)
        for number in range(self.submitted):
            self.at(number / rate, lambda now, id=number: self.submit(id, now))

    def at(self, time: float, action: object) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (time, next(self.numbers), action))

    def submit(self, id: int, now: float) -> None:
        """Submits a request that reached the coordinator."""
        request = slotrequests.SlotRequest(
            id=id,
            requester="narrow",
            rank=0,
            deadline=now + DEADLINE_SECONDS,
            objective=now + OBJECTIVE_SECONDS,
        )
        self.handle(self.queue.submit(request, now), now)

    def handle(self, verdict: slotrequests.Verdict | None, now: float) -> None:
        """Lets a granted request run; its link is passed twice each way."""
        if not isinstance(verdict, slotrequests.Granted):
            return
        arrival = now + 2 * LINK_SECONDS
        slot = min(range(SLOTS), key=self.free_at.__getitem__)
        end = max(arrival, self.free_at[slot]) + WORK_SECONDS
        self.free_at[slot] = end
        answered = end + LINK_SECONDS
        taken = answered - now - LINK_SECONDS
        self.punctual += answered <= verdict.request.objective

        def release(now: float) -> None:
            id = verdict.request.id
            self.queue.release(
                "narrow", id, "s", seconds=taken, failed=False, now=now
            )
            for granted in self.queue.grant_waiting(now):
                self.handle(granted, now)

        self.at(answered + LINK_SECONDS, release)

    def run(self) -> float:
        """Returns the part of the requests that is answered in time."""
        while self.events:
            time, _, action = heapq.heappop(self.events)
            action(time)
        return self.punctual / self.submitted


class SlotsUnderwayTest(unittest.IsolatedAsyncioTestCase):
    """Slots count as taken for as long as they are, not for longer."""

    def test_slots_of_routers_with_busy_links_do_not_idle(self):
        # The server completes 25 a second; a slot is held for 0.84 s.
        self.assertGreater(NarrowLinks(rate=12, seconds=30).run(), 0.9)

    def test_a_link_without_delay_grants_no_slot_twice(self):
        queue = NarrowLinks(rate=0.1, seconds=0).queue
        for _ in range(SLOTS):
            queue.transits.record("near", 0.25, 0.248)
        for id in range(2 * SLOTS):
            queue.submit(
                slotrequests.SlotRequest(
                    id=id, requester="near", rank=0, deadline=9, objective=9
                ),
                1.0,
            )
        self.assertEqual(SLOTS, len(queue.servers["s"].running))

    async def check_started(self, pair: test_permits.Pair) -> None:
        """Checks that a request without a grant takes a slot for a while."""
        grant = await pair.acquire()
        self.assertEqual(test_permits.REQUESTER, grant.coordinator)
        await asyncio.sleep(0.01)
        queue = pair.coordinators[test_permits.COORDINATOR].get(
            test_permits.QUEUE
        )
        known = queue.queue.servers["s"]
        now = pair.clock.monotonic()
        self.assertEqual(1, known.used(now))
        self.assertEqual(0, known.used(now + known.slot_seconds()))

    async def test_a_request_that_passes_its_coordinator_by_takes_a_slot(self):
        pair = test_permits.Pair(lose=lambda message: False)
        client = pair.slot_clients[test_permits.REQUESTER]
        client.suspect(test_permits.COORDINATOR, test_permits.QUEUE)
        await self.check_started(pair)

    async def test_an_ask_whose_reply_is_late_leaves_one_slot_taken(self):
        await self.check_started(
            test_permits.Pair(
                lose=lambda message: isinstance(message, wire.SlotGranted)
            )
        )

    async def test_requests_that_pass_by_are_forgotten_without_any_other(self):
        pair = test_permits.Pair(lose=lambda message: False)
        told = pair.coordinators[test_permits.COORDINATOR]
        for id in range(30):
            told.add_started(
                test_permits.QUEUE, test_permits.REQUESTER, id, "s"
            )
            await asyncio.sleep(0.01)
        self.assertLess(pair.running(), 20)  # The work takes 0.1 s.

    async def check_lost(self, kind: type) -> None:
        """Checks that the next slot request frees what a lost message held."""
        pair = test_permits.Pair(lose=test_permits.lose_first(kind))
        client = pair.slot_clients[test_permits.REQUESTER]
        first = await pair.acquire(1)
        if kind is wire.ReleaseSlot:
            client.release(first, seconds=0.1, failed=False)
        else:
            client.cancel(first.coordinator, first.queue, first.id)
        await asyncio.sleep(0.01)
        self.assertEqual(1, pair.running())
        second = await pair.acquire(2)
        self.assertEqual(1, pair.running())
        client.release(second, seconds=0.1, failed=False)
        await asyncio.sleep(0.01)
        self.assertEqual(0, pair.running())

    async def test_a_slot_whose_release_is_lost_does_not_stay_taken(self):
        await self.check_lost(wire.ReleaseSlot)

    async def test_a_slot_whose_cancellation_is_lost_does_not_stay_taken(self):
        await self.check_lost(wire.CancelAcquire)

    def test_a_late_reply_costs_little_of_the_objective(self):
        reply_times = roundtrip.RoundTrip()
        for _ in range(4):
            reply_times.record(0.3)
        self.assertLessEqual(reply_times.patience(1.0), 0.125)
        self.assertEqual(0.06, reply_times.patience(0.0))


if __name__ == "__main__":
    unittest.main()
