"""Slot requests of a router that was killed and is back at its address."""

import asyncio
import types
import unittest

from oleanderhoist import outcomes
from oleanderhoist import processids
from oleanderhoist.node import coordinator
from oleanderhoist.node import forwarder
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from tests import test_forwarder
from tests import test_permits
from tests import virtual

REQUESTER = test_permits.REQUESTER
COORDINATOR = test_permits.COORDINATOR
REQUESTS = 3
WORK_SECONDS = 0.5


def snapshot() -> cluster.Snapshot:
    """Returns a snapshot with a server of one slot in each of two pools."""
    member = cluster.Member(address=COORDINATOR, data_center="a", cores=1.0)
    return cluster.Snapshot(
        epoch=1,
        version=1,
        members={COORDINATOR: member},
        servers={
            f"s-{pool}": cluster.Server(
                id=f"s-{pool}",
                pool=pool,
                address="x:1",
                data_center="a",
                slots=1,
            )
            for pool in ("reports", "orders")
        },
    )


class Process:
    """One process of a router: its slot client and its forwarder."""

    def __init__(self, *, link: test_permits.Link, loop: virtual.Loop):
        self.state = state.State()
        self.state.snapshot = snapshot()
        self.state.contracts = contractset.build(
            version=1,
            works=[],
            pools=[
                contractset.Pool(name=pool, keyed=False, connections=1)
                for pool in ("reports", "orders")
            ],
            limits=contractset.MessageLimits(
                head_bytes=1, body_bytes=1, head_seconds=1, idle_seconds=1
            ),
        )
        clock = virtual.Clock(loop=loop)
        self.coordinator = coordinator.Coordinator(
            state=self.state, clock=clock
        )
        slotserver.SlotServer(
            datagrams=link, coordinator=self.coordinator, clock=clock
        )
        self.slot_client = slotclient.SlotClient(
            datagrams=link,
            coordinator=self.coordinator,
            state=self.state,
            clock=clock,
        )
        self.forwarder = forwarder.Forwarder(
            platform=protocol,
            slot_client=self.slot_client,
            state=self.state,
            clock=clock,
            budget=None,
            data_center="a",
        )

    async def acquire(self, pool: str, now: float) -> slotgrants.SlotGrant:
        """Acquires a slot of a pool for a new request."""
        request = test_forwarder.job(arrived=now, objective=3.0)
        request.pool = pool
        return await self.forwarder.acquire_slot(request)


class RestartTest(unittest.TestCase):
    """A successor is not given what its predecessor asked for."""

    def setUp(self):
        self.loop = virtual.Loop()
        self.links = {
            name: test_permits.Link(address=name, lose=lambda message: False)
            for name in (REQUESTER, COORDINATOR)
        }
        for link in self.links.values():
            link.others = self.links
        self.home = Process(link=self.links[COORDINATOR], loop=self.loop)

    async def acquire_all(self, process: Process, pool: str) -> list:
        """Requests slots of a pool; returns the requests that wait."""
        tasks = [
            self.loop.create_task(process.acquire(pool, self.loop.now))
            for _ in range(REQUESTS)
        ]
        await asyncio.sleep(WORK_SECONDS / 2)
        return tasks

    # Guards against orders that run at another service after a router's kill.
    def test_a_grant_for_an_ended_process_is_not_taken_by_its_successor(self):
        async def play() -> list[slotgrants.SlotGrant]:
            hold = await self.home.acquire("reports", self.loop.now)
            await self.home.acquire("orders", self.loop.now)
            first = Process(link=self.links[REQUESTER], loop=self.loop)
            await self.acquire_all(first, "reports")
            first.slot_client.datagrams = types.SimpleNamespace(
                address=REQUESTER, send=lambda *args: None
            )
            second = Process(link=self.links[REQUESTER], loop=self.loop)
            orders = await self.acquire_all(second, "orders")
            self.home.slot_client.release(
                hold, seconds=WORK_SECONDS, failed=False
            )
            await asyncio.sleep(WORK_SECONDS / 2)
            results = [task.result() for task in orders if task.done()]
            return [r for r in results if isinstance(r, slotgrants.SlotGrant)]

        self.assertEqual([], virtual.run(play(), self.loop))
        queue = self.home.coordinator.get("pool/reports").queue
        self.assertEqual({}, queue.servers["s-reports"].running)

    # Guards against places and slots that nobody uses until their deadline.
    def test_what_an_ended_process_holds_and_waits_for_is_freed(self):
        async def play() -> None:
            first = Process(link=self.links[REQUESTER], loop=self.loop)
            await self.acquire_all(first, "reports")
            queue = self.home.coordinator.get("pool/reports").queue
            self.assertEqual(1, len(queue.servers["s-reports"].running))
            self.assertGreater(queue.queued_ahead(0), 0)
            first.slot_client.datagrams = types.SimpleNamespace(
                address=REQUESTER, send=lambda *args: None
            )
            second = Process(link=self.links[REQUESTER], loop=self.loop)
            await second.acquire("orders", self.loop.now)
            self.assertEqual({}, queue.servers["s-reports"].running)
            self.assertEqual(0, queue.queued_ahead(0))
            grant = await second.acquire("reports", self.loop.now)
            self.assertEqual("s-reports", grant.server)
            running = queue.servers["s-reports"].running
            self.assertEqual([(REQUESTER, grant.id)], list(running))

        virtual.run(play(), self.loop)

    def test_processes_of_one_address_share_no_id(self):
        ids = [processids.ProcessIds() for _ in range(3)]
        drawn = [one.next() for one in ids for _ in range(100)]
        self.assertEqual(len(drawn), len(set(drawn)))
        self.assertTrue(all(0 < id < 1 << 63 for id in drawn))
        self.assertTrue(ids[0].owns(drawn[99]))
        self.assertFalse(ids[0].owns(drawn[100]))


class CountingSlots(test_forwarder.SingleSlotClient):
    """Grants a slot to the first request; counts the released ones."""

    def __init__(self):
        super().__init__()
        self.released = 0

    def release(self, grant: slotgrants.SlotGrant, **kwargs: object) -> None:
        """Counts a released slot."""
        self.released += 1


class PoolTest(unittest.TestCase):
    """A request is only sent to a server of its pool."""

    # Guards against a request that runs at a service without a route to it.
    def test_a_slot_of_another_pool_is_given_back(self):
        loop = virtual.Loop()
        slots = CountingSlots()
        server = test_forwarder.ScriptedExchanges(
            test_forwarder.Step(after=0.0, reply=test_forwarder.SUCCESS)
        )
        request_forwarder = test_forwarder.make_forwarder(loop, slots, server)
        request = test_forwarder.job(arrived=loop.now, objective=1.0)
        request.pool = "another"
        request_forwarder.state.snapshot.usable["another"] = (None,)
        outcome = virtual.run(request_forwarder.serve(request), loop)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(1, slots.released)


if __name__ == "__main__":
    unittest.main()
