"""Requests that wait for slots when the coordinator of their queue changes."""

import asyncio
from collections.abc import Coroutine
import unittest

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import coordinator
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import slotrequests
from tests import test_permits
from tests import virtual

REQUESTER = "10.0.0.1:1"
BEFORE = "10.0.0.2:1"
AFTER = "10.0.0.3:1"
QUEUE = "server/s"
SLOTS = 2
REMAINING_SECONDS = 8.0
OBJECTIVE_SECONDS = 4.0
SOON_SECONDS = 0.15
SERVICE_SECONDS = 1.0
WAITING = 300
MAX_AT_ONCE = 50  # A socket holds some 250 small datagrams; others send too.


def snapshot(version: int, *members: str) -> cluster.Snapshot:
    """Returns a snapshot with one server.

    Args:
        version: Version of the snapshot.
        *members: Members; the first coordinates the server's slot queue.
    """
    server = cluster.Server(
        id="s", pool="p", address="x:1", data_center="a", slots=SLOTS
    )
    cores = {address: 1.0 for address in members}
    if members:
        cores[members[0]] = 1000.0
    result = cluster.Snapshot(
        epoch=1,
        version=version,
        members={
            address: cluster.Member(
                address=address, data_center="a", cores=cores[address]
            )
            for address in members
        },
        servers={"s": server},
    )
    assert result.coordinator(QUEUE) == (members[0] if members else "")
    return result


class Routers:
    """Routers that exchange datagrams in virtual time.

    Attributes:
        sent: Messages of the requester.
        lost: Kinds of messages that get lost.
    """

    def __init__(self):
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.sent: list[wire.Message] = []
        self.lost: set[type] = set()
        names = (REQUESTER, BEFORE, AFTER)
        self.links = {
            name: test_permits.Link(address=name, lose=self.lose)
            for name in names
        }
        self.states = {name: state.State() for name in names}
        self.coordinators = {}
        self.slot_clients = {}
        for name, link in self.links.items():
            link.others = self.links
            self.coordinators[name] = coordinator.Coordinator(
                state=self.states[name], clock=self.clock
            )
            slotserver.SlotServer(
                datagrams=link,
                coordinator=self.coordinators[name],
                clock=self.clock,
            )
            self.slot_clients[name] = slotclient.SlotClient(
                datagrams=link,
                coordinator=self.coordinators[name],
                state=self.states[name],
                clock=self.clock,
            )
        self.client = self.slot_clients[REQUESTER]
        self.adopt(snapshot(1, BEFORE, AFTER, REQUESTER))

    def lose(self, message: wire.Message) -> bool:
        """Records a message; returns whether it gets lost."""
        self.sent.append(message)
        return type(message) in self.lost

    def count(self, kind: type) -> int:
        """Returns how many messages of a kind were sent."""
        return sum(isinstance(message, kind) for message in self.sent)

    def adopt(self, adopted: cluster.Snapshot) -> None:
        """Makes all routers adopt a snapshot."""
        for router_state in self.states.values():
            router_state.adopt_snapshot(adopted, "test")

    def acquire(
        self, id: int, objective: float | None = None
    ) -> Coroutine[None, None, slotgrants.SlotGrant | slotrequests.Refused]:
        """Requests a slot for the requester."""
        objective = objective or self.loop.now + OBJECTIVE_SECONDS
        request = slotrequests.SlotRequest(
            id=id,
            requester=REQUESTER,
            rank=0,
            deadline=max(objective, self.loop.now + REMAINING_SECONDS),
            objective=objective,
            request_id=f"request-{id}",
        )
        return self.client.acquire(QUEUE, request)

    def fill(self, name: str) -> None:
        """Takes all slots at a coordinator, for requests that take long."""
        queue = self.coordinators[name].get(QUEUE).queue
        queue.service_seconds = SERVICE_SECONDS
        for server in queue.servers.values():
            server.service_seconds = SERVICE_SECONDS
        for id in range(-SLOTS, 0):
            request = slotrequests.SlotRequest(
                id=id,
                requester=name,
                rank=0,
                deadline=self.loop.now + REMAINING_SECONDS,
                objective=self.loop.now + OBJECTIVE_SECONDS,
            )
            self.coordinators[name].submit(QUEUE, request, lambda _: None)

    def free(self, name: str, id: int = -1) -> None:
        """Frees one of the slots that `fill` took."""
        self.coordinators[name].release(
            QUEUE, name, id, "s", seconds=SERVICE_SECONDS, failed=False
        )

    async def waiting(self, id: int) -> asyncio.Task:
        """Starts a request and lets it wait for a slot."""
        task = self.loop.create_task(self.acquire(id))
        await asyncio.sleep(0.01)
        assert not task.done()
        return task

    def held(self, name: str) -> set[tuple[str, int]]:
        """Returns the requester's slot requests that a coordinator knows.

        Those of `fill` have negative ids and don't count.
        """
        queue = self.coordinators[name].get(QUEUE).queue
        keys = {key for s in queue.servers.values() for key in s.running}
        for waiting in [*queue.queues.values(), queue.overdue]:
            keys |= {(request.requester, request.id) for request in waiting}
        return {key for key in keys if key[0] == REQUESTER and key[1] > 0}


class MoveTest(unittest.TestCase):
    """A waiting request follows its queue to another coordinator."""

    def check(self, before: str, after: str, *stay: str) -> None:
        """Checks that a request that waits is granted after a move."""
        routers = Routers()

        async def play() -> None:
            routers.adopt(snapshot(2, before, after, *stay))
            routers.fill(before)
            task = await routers.waiting(1)
            routers.adopt(snapshot(3, after, *stay))
            async with asyncio.timeout(SOON_SECONDS):
                grant = await task
            self.assertIsInstance(grant, slotgrants.SlotGrant)
            self.assertEqual(after, grant.coordinator)
            await asyncio.sleep(0.01)
            self.assertEqual(set(), routers.held(before))
            self.assertEqual({(REQUESTER, 1)}, routers.held(after))
            routers.client.release(grant, seconds=0.1, failed=False)
            await asyncio.sleep(0.01)
            self.assertEqual(set(), routers.held(after))

        virtual.run(play(), routers.loop)

    def test_a_request_does_not_wait_at_a_router_that_left(self):
        self.check(BEFORE, AFTER, REQUESTER)

    def test_a_request_that_waits_elsewhere_follows_its_queue_here(self):
        self.check(BEFORE, REQUESTER, AFTER)

    def test_a_request_that_waits_here_follows_its_queue_elsewhere(self):
        self.check(REQUESTER, AFTER, BEFORE)

    def test_requests_keep_their_order(self):
        routers = Routers()

        async def play() -> None:
            routers.fill(BEFORE)
            routers.fill(AFTER)
            tasks = [await routers.waiting(id) for id in (1, 2)]
            routers.adopt(snapshot(2, AFTER, REQUESTER))
            await asyncio.sleep(0.01)
            routers.free(AFTER)
            await asyncio.sleep(0.01)
            self.assertEqual([True, False], [task.done() for task in tasks])

        virtual.run(play(), routers.loop)

    def test_many_requests_do_not_reach_a_coordinator_at_once(self):
        routers = Routers()

        async def play() -> None:
            objective = routers.loop.now + 2 * WAITING
            routers.fill(BEFORE)
            routers.fill(AFTER)
            tasks = [
                routers.loop.create_task(routers.acquire(id, objective))
                for id in range(1, WAITING + 1)
            ]
            await asyncio.sleep(0.01)
            routers.sent.clear()
            routers.adopt(snapshot(2, AFTER, REQUESTER))
            for _ in range(WAITING // MAX_AT_ONCE):
                await asyncio.sleep(0.005)
                self.assertLessEqual(
                    routers.count(wire.AcquireSlot), MAX_AT_ONCE
                )
                routers.sent.clear()
            await asyncio.sleep(SOON_SECONDS)
            self.assertEqual([], [task for task in tasks if task.done()])
            self.assertEqual(set(), routers.held(BEFORE))
            self.assertEqual(WAITING, len(routers.held(AFTER)))

        virtual.run(play(), routers.loop)

    def test_a_snapshot_without_a_move_sends_nothing(self):
        routers = Routers()

        async def play() -> None:
            routers.fill(BEFORE)
            task = await routers.waiting(1)
            routers.adopt(snapshot(2, BEFORE, REQUESTER))
            routers.adopt(snapshot(3))
            await asyncio.sleep(0.01)
            self.assertEqual(1, routers.count(wire.AcquireSlot))
            self.assertEqual(0, routers.count(wire.CancelAcquire))
            routers.free(BEFORE)
            grant = await task
            self.assertEqual(BEFORE, grant.coordinator)

        virtual.run(play(), routers.loop)

    def test_a_slot_of_the_earlier_coordinator_is_given_back(self):
        routers = Routers()

        async def play() -> None:
            routers.fill(BEFORE)
            routers.fill(AFTER)
            task = await routers.waiting(1)
            routers.lost.add(wire.CancelAcquire)
            routers.adopt(snapshot(2, AFTER, REQUESTER))
            await asyncio.sleep(0.01)
            routers.lost.clear()
            self.assertEqual({(REQUESTER, 1)}, routers.held(BEFORE))
            routers.free(BEFORE)
            await asyncio.sleep(0.01)
            self.assertFalse(task.done())
            self.assertEqual(set(), routers.held(BEFORE))
            routers.free(AFTER)
            grant = await task
            self.assertEqual(AFTER, grant.coordinator)

        virtual.run(play(), routers.loop)

    def test_a_slot_granted_just_before_a_move_is_used(self):
        routers = Routers()

        async def play() -> None:
            routers.fill(BEFORE)
            task = await routers.waiting(1)
            granted = wire.SlotGranted(id=1, server="s")
            routers.client.on_slot_granted(BEFORE, granted)
            routers.adopt(snapshot(2, AFTER, REQUESTER))
            grant = await task
            self.assertEqual(BEFORE, grant.coordinator)
            self.assertEqual(0, routers.count(wire.CancelAcquire))

        virtual.run(play(), routers.loop)

    def test_a_refusal_of_the_earlier_coordinator_ends_no_later_wait(self):
        routers = Routers()

        async def play() -> None:
            routers.fill(BEFORE)
            routers.fill(AFTER)
            task = await routers.waiting(1)
            routers.adopt(snapshot(2, AFTER, REQUESTER))
            await asyncio.sleep(0.01)
            refused = wire.SlotRefused(id=1, retry_ms=10, wait_ms=10)
            routers.client.on_slot_refused(BEFORE, refused)
            await asyncio.sleep(0.01)
            self.assertFalse(task.done())

        virtual.run(play(), routers.loop)

    def test_a_queue_that_moves_on_and_on_ends_at_the_deadline(self):
        routers = Routers()

        async def play() -> None:
            started_at = routers.loop.now
            routers.fill(BEFORE)
            routers.fill(AFTER)
            task = await routers.waiting(1)
            version = 1
            while not task.done():
                version += 1
                members = sorted((BEFORE, AFTER), reverse=bool(version % 2))
                routers.adopt(snapshot(version, *members, REQUESTER))
                await asyncio.sleep(0.1)
                self.assertLess(
                    routers.loop.now - started_at, REMAINING_SECONDS + 0.3
                )
            await asyncio.sleep(0.01)
            self.assertGreater(routers.count(wire.AcquireSlot), 10)
            self.assertEqual(set(), routers.held(BEFORE))
            self.assertEqual(set(), routers.held(AFTER))

        virtual.run(play(), routers.loop)


class LogTest(unittest.TestCase):
    """A wait that ends without a slot leaves a line that says how."""

    def setUp(self):
        self.messages: list[dict] = []
        log.DESTINATIONS.append(self.messages.append)
        self.addCleanup(log.DESTINATIONS.remove, self.messages.append)
        # Earlier tests of the process may have used up the rate of the line.
        log.RATE_LIMITERS.pop(events.SLOT_WAIT_ENDED.number, None)
        self.routers = Routers()
        self.routers.fill(BEFORE)
        self.routers.fill(AFTER)

    def check(self, *results: str, home: str = BEFORE) -> None:
        """Checks the lines of request 1, which waits 0.1 s at least."""
        lines = [
            message
            for message in self.messages
            if message.get("event") == events.SLOT_WAIT_ENDED.number
        ]
        self.assertEqual(list(results), [line["result"] for line in lines])
        for line in lines:
            self.assertEqual("request-1", line["request"])
            self.assertEqual(QUEUE, line["lane"])
            self.assertEqual(home, line["home"])
            self.assertGreaterEqual(line["took_ms"], 100)

    async def wait(self) -> asyncio.Task:
        """Starts a request that waits for a slot."""
        task = await self.routers.waiting(1)
        await asyncio.sleep(0.1)
        return task

    def test_a_move_is_logged(self):
        async def play() -> None:
            await self.wait()
            self.routers.adopt(snapshot(2, AFTER, REQUESTER))
            await asyncio.sleep(0.01)
            self.check("moved")

        virtual.run(play(), self.routers.loop)

    def test_a_refusal_after_a_wait_is_logged(self):
        async def play() -> None:
            task = await self.wait()
            refused = wire.SlotRefused(id=1, retry_ms=10, wait_ms=10)
            self.routers.client.on_slot_refused(BEFORE, refused)
            await task
            self.check("refused")

        virtual.run(play(), self.routers.loop)

    def test_a_caller_that_left_and_a_stop_are_told_apart(self):
        async def play() -> None:
            task = await self.wait()
            task.cancel()
            await asyncio.sleep(0.01)
            self.check("gone")
            task = await self.wait()
            self.routers.client.slots_due.set(self.routers.loop.now)
            task.cancel()
            await asyncio.sleep(0.01)
            self.check("gone", "stopped")

        virtual.run(play(), self.routers.loop)

    def test_a_silent_coordinator_and_the_deadline_are_told_apart(self):
        async def play() -> None:
            self.routers.lost.add(wire.AcquireSlot)
            await self.routers.acquire(1)
            self.check("silent")
            self.routers.adopt(snapshot(2, REQUESTER))
            self.routers.fill(REQUESTER)
            self.messages.clear()
            await self.routers.acquire(1)
            self.check("deadline", home=REQUESTER)

        virtual.run(play(), self.routers.loop)

    def test_a_slot_and_a_refusal_at_once_leave_no_line(self):
        async def play() -> None:
            task = await self.wait()
            self.routers.free(BEFORE)
            await task
            late = slotrequests.SlotRequest(
                id=2,
                requester=REQUESTER,
                rank=0,
                deadline=self.routers.loop.now + SERVICE_SECONDS / 4,
                objective=self.routers.loop.now,
            )
            verdict = await self.routers.client.acquire(QUEUE, late)
            self.assertIsInstance(verdict, slotrequests.Refused)
            self.check()

        virtual.run(play(), self.routers.loop)


if __name__ == "__main__":
    unittest.main()
