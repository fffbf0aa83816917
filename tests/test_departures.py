"""Servers that have said that they leave, as routers know and pass it on."""

import asyncio
import dataclasses
import types
import unittest

from oleanderhoist import ports
from oleanderhoist.node import servernotices
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import departures
from oleanderhoist.policy import keys
from tests import ownership_world
from tests import virtual

LEAVING = "s0"
STARTED_MS = 5
START_SECONDS = 5.2  # Until the first leader has assigned all keys.
TOLD_SECONDS = 0.02  # For a datagram to the leader, and on to a member.
REPORTED_SECONDS = 1.2  # For two member reports and the leader's replies.
MOVED_SECONDS = 3.0
ELECTION_SECONDS = 6.0
STEP_SECONDS = 0.01


def server(id: str = LEAVING, started_ms: int = STARTED_MS) -> cluster.Server:
    """Returns a listed server that is ready."""
    return cluster.Server(
        id=id,
        pool="p",
        address=f"{id}:1",
        data_center="a",
        slots=1,
        started_ms=started_ms,
    )


def listing(*servers: cluster.Server) -> dict[str, cluster.Server]:
    """Returns servers by id."""
    return {one.id: one for one in servers}


class DeparturesTest(unittest.TestCase):
    """Which incarnations leave, whatever the directory lists."""

    def setUp(self):
        self.known = departures.Departures()
        self.known.add(server().incarnation)

    def is_leaving(self, *servers: cluster.Server) -> bool:
        """Returns whether the server leaves, by a listing."""
        return self.known.mark(listing(*servers))[LEAVING].leaving

    def test_an_entry_that_says_ready_ends_a_departure(self):
        for second in range(200):
            listed = listing(server(), server("s1"))
            self.known.prune(listed, float(second))
            self.assertTrue(self.is_leaving(server(), server("s1")))
        self.assertFalse(self.known.mark(listed)["s1"].leaving)

    def test_a_departure_outlives_its_process(self):
        self.assertFalse(self.is_leaving(server(started_ms=STARTED_MS + 1)))
        self.assertFalse(self.is_leaving(server(started_ms=STARTED_MS - 1)))

    def test_an_entry_that_comes_back_after_an_outage_is_ready_again(self):
        self.known.prune(listing(server()), 0.0)
        for second in range(1, 40):
            self.known.prune({}, float(second))
        self.known.prune(listing(server()), 40.0)
        self.assertTrue(self.is_leaving(server()))
        self.known.prune({}, 80.0)
        self.known.prune(listing(server()), 120.0)
        self.assertTrue(self.is_leaving(server()))

    def test_departures_of_ended_processes_are_kept_for_good(self):
        self.known.prune({}, 0.0)
        self.known.prune({}, departures.UNLISTED_SECONDS + 1.0)
        self.assertEqual({}, self.known.unlisted_since)

    def test_departures_are_not_bounded(self):
        self.known.prune({}, 0.0)
        kept = server("kept").incarnation
        self.known.add(kept)
        self.known.prune(listing(server("kept")), 1.0)
        for number in range(departures.MAX_DEPARTURES - 1):
            self.known.add(server(f"x{number}").incarnation)
        self.assertEqual(
            departures.MAX_DEPARTURES, len(self.known.unlisted_since)
        )
        self.assertIn(kept, self.known.unlisted_since)
        self.assertNotIn(server().incarnation, self.known.unlisted_since)


class StateTest(unittest.IsolatedAsyncioTestCase):
    """A router sees each snapshot through the departures that it knows."""

    def setUp(self):
        self.state = state.State()
        self.published = cluster.Snapshot(
            epoch=1,
            version=3,
            servers=listing(server(), server("s1")),
            maps={"p": keys.divide_by_weight([(LEAVING, 1.0), ("s1", 1.0)])},
        )
        self.state.adopt_snapshot(self.published, "test")
        self.state.learn_departures([server().incarnation], "test")

    def test_a_server_that_leaves_is_used(self):
        snapshot = self.state.snapshot
        self.assertEqual([server("s1")], list(snapshot.usable["p"]))
        self.assertIsNone(snapshot.usable_server(LEAVING))
        owners = {
            snapshot.usable_owner("p", key) for key in range(0, 65_536, 999)
        }
        self.assertEqual({None, server("s1")}, owners)
        self.assertEqual({LEAVING}, snapshot.departed_from("p"))

    def test_a_departure_changes_what_was_published(self):
        snapshot = self.state.snapshot
        self.assertEqual(self.published.servers, snapshot.servers)
        self.assertEqual(self.published.name, snapshot.name)
        self.assertEqual(
            snapshots.content_version(self.published),
            snapshots.content_version(snapshot),
        )
        later = dataclasses.replace(self.published, version=4)
        delta = snapshots.difference(snapshot, later)
        self.assertEqual([], delta.servers)

    def test_the_next_snapshot_uses_it_again(self):
        later = dataclasses.replace(self.published, version=4)
        delta = snapshots.difference(self.published, later)
        applied = snapshots.apply(self.state.snapshot, delta, leader="l")
        self.state.adopt_snapshot(applied, "test")
        self.assertIsNone(self.state.snapshot.usable_server(LEAVING))
        restarted = listing(server(started_ms=STARTED_MS + 1))
        self.state.adopt_snapshot(
            dataclasses.replace(later, version=5, servers=restarted), "test"
        )
        self.assertIsNotNone(self.state.snapshot.usable_server(LEAVING))

    async def test_waiting_requests_do_not_learn_of_it(self):
        waiting = asyncio.create_task(self.state.wait_for_snapshot(9.0))
        await asyncio.sleep(0)
        self.state.learn_departures([server("s1").incarnation], "test")
        async with asyncio.timeout(1.0):
            self.assertTrue(await waiting)


class RoutersTest(unittest.TestCase):
    """Routers tell each other, whatever the directory says."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=4)
        self.world.listed_servers = {
            id: dataclasses.replace(one, started_ms=STARTED_MS)
            for id, one in self.world.listed_servers.items()
        }

    def play(self, scenario: object) -> None:
        """Starts all routers, plays a scenario, closes the loop."""

        async def run() -> None:
            for address in self.world.addresses:
                self.world.start(address, bootstrap=True)
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(4, len(self.using()))
            await scenario()

        virtual.run(run(), self.world.loop)
        self.assertEqual([], self.world.violations)

    def using(self) -> list[str]:
        """Returns the running routers that send requests to the server."""
        return [
            address
            for address in self.world.tasks
            if self.state_of(address).snapshot.usable_server(LEAVING)
        ]

    def state_of(self, address: str) -> state.State:
        """Returns what a router knows."""
        return self.world.followers[address].state

    def leader(self) -> str:
        """Returns the address of the router that leads."""
        return next(
            address
            for address in self.world.tasks
            if self.world.followers[address].leadership
        )

    def follower(self) -> str:
        """Returns the address of a router that doesn't lead."""
        leader = self.leader()
        return next(a for a in self.world.tasks if a != leader)

    def hear(self, address: str, id: str = LEAVING) -> None:
        """Lets a router get an answer of a server that leaves."""
        router_state = self.state_of(address)
        notices = servernotices.ServerNotices(
            datagrams=self.world.datagrams[address],
            coordinator=types.SimpleNamespace(),
            state=router_state,
            clock=self.world.clock,
        )
        notices.record(
            f"server/{id}",
            router_state.snapshot.servers[id],
            ports.ServerNotice(leaving=True),
            self.world.loop.now,
        )

    def lose(self, lost: type, until: float) -> None:
        """Loses all datagrams of one type for some time."""
        deliver = self.world.deliver

        def deliver_others(sender: str, address: str, data: bytes) -> None:
            is_lost = isinstance(wire.decode(data), lost)
            if not is_lost or self.world.loop.now >= until:
                deliver(sender, address, data)

        self.world.deliver = deliver_others

    def owned(self) -> int:
        """Returns how many of the checked keys the server owns."""
        now = self.world.loop.now
        leases = self.world.backends[LEAVING].leases.values()
        return sum(lease.expires_at > now for lease in leases)

    async def watch(self, seconds: float) -> None:
        """Checks for a while that no router uses the server."""
        end = self.world.loop.now + seconds
        while self.world.loop.now < end:
            self.assertEqual([], self.using())
            await asyncio.sleep(STEP_SECONDS)

    def test_only_the_router_that_heard_it_knows(self):
        async def scenario() -> None:
            self.assertGreater(self.owned(), 0)
            self.hear(self.follower())
            await asyncio.sleep(TOLD_SECONDS)
            await self.watch(MOVED_SECONDS)
            self.assertEqual(0, self.owned())
            self.world.record_state()
            self.assertEqual(
                set(self.world.sampled_keys(0, 65_535)), self.world.served_keys
            )

        self.play(scenario)

    def test_the_store_must_answer(self):
        async def scenario() -> None:
            self.world.store_down = True
            await asyncio.sleep(0.5)
            self.hear(self.follower())
            await asyncio.sleep(TOLD_SECONDS)
            await self.watch(MOVED_SECONDS)
            self.world.store_down = False
            await self.watch(ELECTION_SECONDS)
            self.assertEqual(0, self.owned())

        self.play(scenario)

    def test_a_lost_datagram_is_not_made_up_for(self):
        async def scenario() -> None:
            self.lose(wire.ServerLeaving, self.world.loop.now + 1.0)
            self.hear(self.follower())
            await asyncio.sleep(1.0 + REPORTED_SECONDS)
            self.assertEqual([], self.using())
            for address in self.world.tasks:
                self.assertTrue(
                    self.state_of(address).departures.unlisted_since, address
                )

        self.play(scenario)

    def test_a_new_leader_uses_it_again(self):
        async def scenario() -> None:
            self.hear(self.follower())
            await asyncio.sleep(TOLD_SECONDS)
            self.world.kill(self.leader())
            await self.watch(ELECTION_SECONDS)
            self.assertTrue(self.leader())

        self.play(scenario)

    def test_a_new_leader_that_was_only_sent_snapshots_uses_it_again(self):
        async def scenario() -> None:
            self.lose(wire.ServerLeaving, float("inf"))
            heard = self.leader()
            self.hear(heard)
            await asyncio.sleep(2 * TOLD_SECONDS + 0.05)
            self.world.kill(heard)
            await self.watch(ELECTION_SECONDS)
            self.assertTrue(self.leader())

        self.play(scenario)

    def test_routers_without_a_leader_use_it_again(self):
        async def scenario() -> None:
            self.lose(wire.ServerLeaving, float("inf"))
            heard = self.leader()
            self.hear(heard)
            await asyncio.sleep(2 * TOLD_SECONDS + 0.05)
            self.world.kill(heard)
            for address in self.world.tasks:
                self.world.followers[address].ineligible_until = float("inf")
            await self.watch(ELECTION_SECONDS)
            versions = {
                self.state_of(address).snapshot.version
                for address in self.world.tasks
            }
            self.assertLess(max(versions), 0)  # Read from the store.

        self.play(scenario)

    def test_a_server_without_keys_is_published_as_ready(self):
        keyed = self.world.listed_servers[LEAVING]
        self.world.listed_servers["u"] = dataclasses.replace(
            keyed, id="u", pool="unkeyed"
        )

        async def scenario() -> None:
            self.hear(self.follower(), "u")
            await asyncio.sleep(TOLD_SECONDS + 0.05)
            for address in self.world.tasks:
                listed = self.state_of(address).snapshot.servers
                self.assertTrue(listed["u"].leaving, address)

        self.play(scenario)

    def test_a_router_that_starts_again_uses_it(self):
        async def scenario() -> None:
            heard = self.follower()
            self.hear(heard)
            await asyncio.sleep(REPORTED_SECONDS)
            self.world.kill(heard)
            await asyncio.sleep(0.5)
            self.world.start(heard)
            await asyncio.sleep(REPORTED_SECONDS)
            await self.watch(1.0)
            departed = self.state_of(heard).departures.unlisted_since
            self.assertEqual(1, len(departed))

        self.play(scenario)

    def test_another_process_of_the_server_stays_unused(self):
        async def scenario() -> None:
            self.hear(self.follower())
            await asyncio.sleep(MOVED_SECONDS)
            self.world.backends[LEAVING].restart()
            entry = self.world.listed_servers[LEAVING]
            self.world.listed_servers[LEAVING] = dataclasses.replace(
                entry, started_ms=STARTED_MS + 1
            )
            await asyncio.sleep(1.0)
            self.assertEqual(4, len(self.using()))

        self.play(scenario)

    def test_an_entry_that_expired_and_returns_is_used(self):
        async def scenario() -> None:
            self.hear(self.follower())
            await asyncio.sleep(MOVED_SECONDS)
            entry = self.world.listed_servers.pop(LEAVING)
            await self.watch(20.0)
            self.world.listed_servers[LEAVING] = entry
            await self.watch(3.0)

        self.play(scenario)

    def test_an_entry_without_a_start_time_is_used(self):
        async def scenario() -> None:
            self.hear(self.follower())
            await asyncio.sleep(TOLD_SECONDS)
            entry = self.world.listed_servers[LEAVING]
            self.world.listed_servers[LEAVING] = dataclasses.replace(
                entry, started_ms=cluster.UNKNOWN_START_MS
            )
            await self.watch(MOVED_SECONDS)
            self.world.listed_servers[LEAVING] = entry
            await self.watch(MOVED_SECONDS)

        self.play(scenario)

    def test_a_member_of_an_earlier_build_is_told_without_end(self):
        async def scenario() -> None:
            earlier = self.follower()
            news = self.world.followers[earlier].departure_news
            news.named = lambda: None
            self.hear(self.leader())
            await asyncio.sleep(TOLD_SECONDS)
            told = []
            handlers = self.world.datagrams[earlier].handlers
            handlers[wire.ServerLeaving] = lambda *args: told.append(args)
            await asyncio.sleep(MOVED_SECONDS)
            self.assertEqual([], told)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
