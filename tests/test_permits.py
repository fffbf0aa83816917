"""Slot requests over datagrams that get lost."""

import asyncio
from collections.abc import Callable
import unittest

from oleanderhoist import clock
from oleanderhoist.node import coordinator
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotrequests

REQUESTER = "10.0.0.1:1"
COORDINATOR = "10.0.0.2:1"
QUEUE = "server/s"
LATE_REPLY_SECONDS = 0.15
LONG_WAIT_SECONDS = 0.9  # The expected waits are 0.05 to 0.15 s.

Lose = Callable[[wire.Message], bool]


class Link:
    """Datagrams of one process, delivered unless `lose` says otherwise."""

    def __init__(self, *, address: str, lose: Lose):
        self.address = address
        self.lose = lose
        self.handlers: dict[type, Callable] = {}
        self.others: dict[str, Link] = {}

    def send(self, address: str, message: wire.Message) -> None:
        """Sends a message."""
        if self.lose(message):
            return
        other = self.others[address]
        asyncio.get_running_loop().call_soon(
            other.handlers[type(message)], self.address, message
        )


def state_with_server() -> state.State:
    """Returns a state with a server that another process coordinates."""
    found = state.State()
    member = cluster.Member(address=COORDINATOR, data_center="a", cores=1.0)
    server = cluster.Server(
        id="s", pool="p", address="x:1", data_center="a", slots=2
    )
    found.snapshot = cluster.Snapshot(
        epoch=1, version=1, members={COORDINATOR: member}, servers={"s": server}
    )
    return found


class Pair:
    """A requester and the coordinator of its slot queue."""

    def __init__(self, *, lose: Lose):
        shared_clock = clock.Clock()
        self.links = {
            name: Link(address=name, lose=lose)
            for name in (REQUESTER, COORDINATOR)
        }
        for link in self.links.values():
            link.others = self.links
        self.states = {name: state_with_server() for name in self.links}
        self.coordinators = {
            name: coordinator.Coordinator(
                state=self.states[name], clock=shared_clock
            )
            for name in self.links
        }
        for name, link in self.links.items():
            slotserver.SlotServer(
                datagrams=link,
                coordinator=self.coordinators[name],
                clock=shared_clock,
            )
        self.slot_clients = {
            name: slotclient.SlotClient(
                datagrams=self.links[name],
                coordinator=self.coordinators[name],
                state=self.states[name],
                clock=shared_clock,
            )
            for name in self.links
        }
        self.clock = shared_clock

    async def acquire(
        self, id: int = 1
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Requests a slot."""
        now = self.clock.monotonic()
        request = slotrequests.SlotRequest(
            id=id,
            requester=REQUESTER,
            rank=0,
            deadline=now + 5,
            objective=now + 1,
        )
        return await self.slot_clients[REQUESTER].acquire(QUEUE, request)

    def running(self) -> int:
        """Returns how many slots the coordinator counts as used."""
        queue = self.coordinators[COORDINATOR].get(QUEUE).queue
        return sum(len(server.running) for server in queue.servers.values())


def lose_first(kind: type) -> Lose:
    """Returns a function that loses the first message of a kind."""
    lost = []

    def lose(message: wire.Message) -> bool:
        if isinstance(message, kind) and not lost:
            lost.append(message)
            return True
        return False

    return lose


class LossTest(unittest.IsolatedAsyncioTestCase):
    """One lost datagram does not make the requester suspect a coordinator."""

    async def check(self, kind: type) -> None:
        """Checks that a slot is granted and freed despite one lost message."""
        pair = Pair(lose=lose_first(kind))
        grant = await pair.acquire()
        self.assertEqual(COORDINATOR, grant.coordinator)
        self.assertEqual({}, pair.slot_clients[REQUESTER].suspected_until)
        self.assertEqual(1, pair.running())
        pair.slot_clients[REQUESTER].release(grant, seconds=0.1, failed=False)
        await asyncio.sleep(0.01)
        self.assertEqual(0, pair.running())

    async def test_a_lost_ask_is_repeated(self):
        await self.check(wire.AcquireSlot)

    async def test_a_lost_slot_is_granted_again_and_counted_once(self):
        await self.check(wire.SlotGranted)

    async def test_a_home_that_stays_silent_is_passed_over(self):
        pair = Pair(lose=lambda message: isinstance(message, wire.AcquireSlot))
        grant = await pair.acquire()
        self.assertEqual(REQUESTER, grant.coordinator)
        self.assertIn(COORDINATOR, pair.slot_clients[REQUESTER].suspected_until)

    async def test_a_slot_granted_twice_is_freed_wherever_it_is(self):
        pair = Pair(lose=lambda message: False)
        grant = await pair.acquire()
        queue = pair.coordinators[COORDINATOR].get(QUEUE).queue
        queue.update(
            [
                *queue.servers.values(),
                serverslots.ServerSlots(
                    id="t", data_center="a", slots=1, service_seconds=0.1
                ),
            ]
        )
        queue.servers["t"].running[(REQUESTER, 1)] = queue.servers[
            "s"
        ].running.pop((REQUESTER, 1))
        pair.slot_clients[REQUESTER].release(grant, seconds=0.1, failed=False)
        await asyncio.sleep(0.01)
        self.assertEqual(0, pair.running())

    async def test_replies_that_are_always_late_are_waited_for(self):
        pair = Pair(lose=lambda message: False)
        to_requester = pair.links[COORDINATOR]
        send = to_requester.send

        def send_late(address: str, message: wire.Message) -> None:
            asyncio.get_running_loop().call_later(
                LATE_REPLY_SECONDS, send, address, message
            )

        to_requester.send = send_late
        grants = []
        for id in range(1, 7):
            grants.append(await pair.acquire(id))
            pair.slot_clients[REQUESTER].suspected_until.clear()
            pair.slot_clients[REQUESTER].release(
                grants[-1], seconds=0.1, failed=False
            )
        late = [grant.coordinator for grant in grants]
        self.assertEqual([COORDINATOR] * 4, late[2:])

    async def wait_behind(self, pair: Pair, waiting: int) -> list[asyncio.Task]:
        """Lets requests wait longer than the coordinator expects."""
        for id in range(1, 3):
            await pair.acquire(id)
        tasks = [
            asyncio.create_task(pair.acquire(id))
            for id in range(3, 3 + waiting)
        ]
        await asyncio.sleep(LONG_WAIT_SECONDS)
        self.assertFalse(any(task.done() for task in tasks))
        return tasks

    async def test_a_home_whose_queue_is_slower_than_expected_is_alive(self):
        pair = Pair(lose=lambda message: False)
        tasks = await self.wait_behind(pair, 3)
        self.assertEqual({}, pair.slot_clients[REQUESTER].suspected_until)
        for id in range(1, 6):
            pair.coordinators[COORDINATOR].release(
                QUEUE, REQUESTER, id, "s", seconds=0.5, failed=False
            )
            await asyncio.sleep(0.01)
        grants = await asyncio.gather(*tasks)
        self.assertEqual({COORDINATOR}, {g.coordinator for g in grants})

    async def test_a_request_that_asks_again_keeps_its_place(self):
        pair = Pair(lose=lambda message: False)
        tasks = await self.wait_behind(pair, 3)
        for position, task in enumerate(tasks):
            pair.coordinators[COORDINATOR].release(
                QUEUE, REQUESTER, 1 + position, "s", seconds=0.5, failed=False
            )
            await asyncio.sleep(0.01)
            done = [one.done() for one in tasks]
            self.assertEqual(position + 1, sum(done))
            self.assertTrue(task.done())

    async def test_a_home_that_falls_silent_during_a_wait_is_passed_over(self):
        silent = []
        pair = Pair(
            lose=lambda message: (
                bool(silent) and isinstance(message, wire.SlotQueued)
            )
        )
        for id in range(1, 3):
            await pair.acquire(id)
        silent.append(True)
        pair.coordinators[COORDINATOR].get(QUEUE).queue.service_seconds = 0.01
        grant = await pair.acquire(3)
        self.assertEqual(REQUESTER, grant.coordinator)
        self.assertIn(COORDINATOR, pair.slot_clients[REQUESTER].suspected_until)


if __name__ == "__main__":
    unittest.main()
