"""Routers stop using evacuated data centres in time, whatever fails."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
import unittest

import msgspec

from oleanderhoist.node import leaderstore
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import evacuations
from tests import ownership_world
from tests import test_ownership
from tests import virtual

ROUTERS = 4
SEEDS = range(6)
START_SECONDS = 5.2  # Until the first leader has assigned all keys.
LOST_REVISION = 900  # Of the store, before it comes back from a copy.
EVACUATION_SECONDS = evacuations.DEFAULT_SECONDS
LEARNED_SECONDS = 1.0  # With a leader that reads the store.
MOVED_SECONDS = EVACUATION_SECONDS / 2
ELECTION_SECONDS = 6.0
SETTLED_SECONDS = 8.0
STEP_SECONDS = 0.01
EMPTIED = "a"
DATA_CENTERS = {"s0": "a", "s1": "a", "s2": "b", "s3": "c"}
UNKEYED = {"u-a": "a", "u-b": "b", "u-c": "c"}
KEYS = range(0, 65_536, ownership_world.KEY_BLOCK)


class RoutersTest(unittest.TestCase):
    """Evacuations of a data centre with half of the owners of keys."""

    def setUp(self):
        self.make_world(DATA_CENTERS)

    def make_world(self, data_centers: dict[str, str], seed: int = 5) -> None:
        """Makes a world of some owners of keys, by data centre."""
        self.world = ownership_world.World(
            seed=seed, routers=ROUTERS, servers=len(data_centers)
        )
        make_entry = self.world.server_entry
        self.world.server_entry = lambda id: dataclasses.replace(
            make_entry(id), data_center=data_centers[id]
        )
        entries = {id: self.world.server_entry(id) for id in data_centers}
        for id, data_center in UNKEYED.items():
            entries[id] = dataclasses.replace(
                entries["s0"], id=id, pool="unkeyed", data_center=data_center
            )
        self.world.listed_servers = entries

    def play(self, scenario: Callable[[], Coroutine]) -> None:
        """Starts all routers, plays a scenario, closes the loop."""

        async def run() -> None:
            for address in self.world.addresses:
                self.world.start(address, bootstrap=True)
            await asyncio.sleep(START_SECONDS)
            self.assertEqual(
                self.world.backends.keys(), self.published_owners()
            )
            await scenario()

        virtual.run(run(), self.world.loop)
        self.assertEqual([], self.world.violations)

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

    def owners(self) -> set[str]:
        """Returns the owners of checked keys, as the servers know them."""
        return {
            id
            for id, backend in self.world.backends.items()
            for lease in backend.leases.values()
            if lease.expires_at > self.world.loop.now
        }

    def published_owners(self) -> set[str]:
        """Returns the owners that the leader has published."""
        snapshot = self.state_of(self.leader()).snapshot
        return {
            key_range.owner
            for key_range in snapshot.maps[ownership_world.POOL].ranges
        }

    def using(self, *data_centers: str) -> dict[str, set[str]]:
        """Returns the servers there that each router may send to."""
        found = {}
        for address in self.world.tasks:
            snapshot = self.state_of(address).snapshot
            usable = [
                *snapshot.usable.get("unkeyed", ()),
                *(
                    snapshot.usable_owner(ownership_world.POOL, one.start)
                    for one in snapshot.maps[ownership_world.POOL].ranges
                ),
            ]
            ids = {
                one.id
                for one in usable
                if one and self.is_in(one, *data_centers)
            }
            if ids:
                found[address] = ids
        return found

    def is_in(self, server: cluster.Server, *data_centers: str) -> bool:
        """Returns whether a server is in some of the data centres."""
        return server.data_center in data_centers

    async def unused(self, seconds: float, *data_centers: str) -> None:
        """Checks for a while that no router uses the data centres."""
        end = self.world.loop.now + seconds
        while self.world.loop.now < end:
            self.assertEqual({}, self.using(*data_centers))
            await asyncio.sleep(STEP_SECONDS)

    async def all_served(self) -> None:
        """Checks that soon all keys have owners that all routers use."""
        await asyncio.sleep(SETTLED_SECONDS)
        self.world.served_keys.clear()
        self.world.record_state()
        self.assertEqual(
            set(self.world.sampled_keys(0, 65_535)), self.world.served_keys
        )
        for address in self.world.tasks:
            snapshot = self.state_of(address).snapshot
            for key in KEYS:
                self.assertIsNotNone(
                    snapshot.usable_owner(ownership_world.POOL, key), address
                )

    def rewrite_heartbeats(self, **changes: object) -> None:
        """Changes the fields of all heartbeats that are delivered."""
        deliver = self.world.deliver

        def rewrite(sender: str, address: str, data: bytes) -> None:
            message = wire.decode(data)
            if isinstance(message, wire.Heartbeat):
                changed = msgspec.structs.replace(message, **changes)
                data = wire.encode(changed)
            deliver(sender, address, data)

        self.world.deliver = rewrite

    def test_keys_move_first_and_return_afterwards(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(LEARNED_SECONDS)
            for ids in self.using(EMPTIED).values():
                self.assertNotIn("u-a", ids)
            await asyncio.sleep(MOVED_SECONDS - LEARNED_SECONDS)
            await self.unused(10.0, EMPTIED)
            self.assertEqual({"s2", "s3"}, self.owners())
            await self.all_served()
            self.world.evacuate()
            await asyncio.sleep(SETTLED_SECONDS)
            self.assertEqual(set(DATA_CENTERS), self.published_owners())
            for ids in self.using(EMPTIED).values():
                self.assertEqual({"u-a", "s0", "s1"}, ids)

        self.play(scenario)

    def test_not_all_keys_move_at_once(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            least = len(KEYS)
            end = self.world.loop.now + MOVED_SECONDS
            while self.world.loop.now < end:
                snapshot = self.state_of(self.leader()).snapshot
                owned = [
                    key
                    for key in KEYS
                    if snapshot.usable_owner(ownership_world.POOL, key)
                ]
                least = min(least, len(owned))
                await asyncio.sleep(STEP_SECONDS)
            self.assertGreaterEqual(least, len(KEYS) * 3 / 4)

        self.play(scenario)

    def test_the_leader_is_killed_halfway(self):
        for halfway in (0.1, 0.4, 0.8, 1.2):
            self.setUp()

            async def scenario(halfway: float = halfway) -> None:
                self.world.evacuate(EMPTIED)
                await asyncio.sleep(halfway)
                self.world.kill(self.leader())
                await asyncio.sleep(EVACUATION_SECONDS - halfway)
                await self.unused(ELECTION_SECONDS, EMPTIED)
                self.assertEqual({"s2", "s3"}, self.owners())
                await self.all_served()

            with self.subTest(halfway=halfway):
                self.play(scenario)

    def test_a_successor_names_it_from_its_first_heartbeat_on(self):
        async def scenario() -> None:
            named = []
            deliver = self.world.deliver

            def record(sender: str, address: str, data: bytes) -> None:
                message = wire.decode(data)
                if isinstance(message, wire.Heartbeat):
                    named.append((message.epoch, message.evacuated))
                deliver(sender, address, data)

            self.world.deliver = record
            killed = self.leader()
            self.world.kill(killed)
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(ELECTION_SECONDS)
            last = max(epoch for epoch, _ in named)
            heard = [names for epoch, names in named if epoch == last]
            self.assertEqual([[EMPTIED]] * len(heard), heard)

        self.play(scenario)

    def test_the_store_is_away_after_the_write(self):
        emptied = {f"s{number}": EMPTIED for number in range(9)}
        self.make_world({**emptied, "s9": "b", "s10": "c"})

        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            await self.learned()
            self.world.store_down = True
            await asyncio.sleep(EVACUATION_SECONDS - LEARNED_SECONDS)
            self.assertTrue(self.published_owners() & emptied.keys())
            await self.unused(4.0, EMPTIED)
            self.world.store_down = False
            await self.unused(ELECTION_SECONDS, EMPTIED)
            self.assertEqual({"s9", "s10"}, self.owners())
            await self.all_served()

        self.play(scenario)

    async def learned(self) -> None:
        """Waits until all routers know of the evacuation."""
        end = self.world.loop.now + LEARNED_SECONDS
        while any(
            not self.state_of(address).snapshot.evacuated
            for address in self.world.tasks
        ):
            self.assertLess(self.world.loop.now, end)
            await asyncio.sleep(STEP_SECONDS)

    def test_it_is_taken_back_halfway(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            end = self.world.loop.now + LEARNED_SECONDS
            while not self.active_moves() and self.world.loop.now < end:
                await asyncio.sleep(STEP_SECONDS)
            self.assertTrue(self.active_moves())
            self.world.evacuate()
            await asyncio.sleep(LEARNED_SECONDS)
            self.assertEqual(set(), self.evacuated())
            for ids in self.using(EMPTIED).values():
                self.assertIn("u-a", ids)
            await asyncio.sleep(MOVED_SECONDS)
            self.assertEqual([], self.active_moves())
            await self.all_served()
            self.assertEqual(set(DATA_CENTERS), self.published_owners())
            for address in self.world.tasks:
                ended_at = self.state_of(address).evacuations.ended_at
                self.assertEqual([EMPTIED], list(ended_at))

        self.play(scenario)

    def active_moves(self) -> list:
        """Returns the moves of keys that are under way."""
        leadership = self.world.followers[self.leader()].leadership
        return [
            move
            for one in leadership.rebalancers.values()
            for move in one.active_moves
        ]

    def evacuated(self) -> set[str]:
        """Returns the data centres that any router knows as evacuated."""
        return {
            name
            for address in self.world.tasks
            for name in self.state_of(address).snapshot.evacuated
        }

    def test_one_follows_another_halfway(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(0.7)
            self.world.evacuate(EMPTIED, "b")
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, EMPTIED, "b")
            self.assertEqual({"s3"}, self.owners())
            self.world.evacuate("b")
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, "b")
            self.assertEqual({"s0", "s1", "s3"}, self.published_owners())
            await self.all_served()

        self.play(scenario)

    def test_all_are_evacuated(self):
        async def scenario() -> None:
            every = set(DATA_CENTERS.values())
            self.world.evacuate(*every)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, *every)
            self.assertEqual([], self.active_moves())
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(1.0, EMPTIED)
            self.assertEqual({"s2", "s3"}, self.owners())
            await self.all_served()

        self.play(scenario)

    def test_a_router_hears_no_leader(self):
        async def scenario() -> None:
            deaf = next(a for a in self.world.tasks if a != self.leader())
            self.world.followers[deaf].ineligible_until = float("inf")
            for other in self.world.addresses:
                self.world.blocked_links |= {(other, deaf), (deaf, other)}
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, EMPTIED)
            self.assertIn(deaf, self.world.tasks)
            self.world.evacuate()
            await asyncio.sleep(EVACUATION_SECONDS)
            self.assertEqual(set(), self.evacuated())

        self.play(scenario)

    def test_a_leader_of_an_earlier_build_names_none(self):
        async def scenario() -> None:
            self.rewrite_heartbeats(evacuated=None, evacuated_revision=0)
            await asyncio.sleep(1.0)
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, EMPTIED)
            self.world.evacuate()
            await asyncio.sleep(EVACUATION_SECONDS)
            self.assertEqual(set(), self.evacuated())

        self.play(scenario)

    def test_an_evacuation_after_a_drill_waits_for_lost_revisions(self):
        """Guards against a revision of before the store came back."""

        async def scenario() -> None:
            self.world.save_copy()
            self.world.evacuated_revision = LOST_REVISION
            await asyncio.sleep(1.0)
            self.world.restore_copy()
            self.world.evacuated_revision = 0
            await asyncio.sleep(1.0)
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, EMPTIED)

        self.play(scenario)

    def test_a_leader_of_an_earlier_build_names_no_era(self):
        """Guards against its old revisions: routers read for themselves."""

        async def scenario() -> None:
            self.rewrite_heartbeats(
                evacuated=[],
                evacuated_revision=900,
                evacuated_era=None,
                contracts_version=None,
            )
            await asyncio.sleep(1.0)
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            await self.unused(4.0, EMPTIED)

        self.play(scenario)

    def test_a_new_router_gets_contracts_before_it_may_know(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(EVACUATION_SECONDS)
            new = "10.0.0.99:1"
            self.world.lost_reads.add(new)
            self.world.start(new)
            follower = self.world.followers[new]
            follower.follow_recorded_leader(
                leaderstore.leadership_of(self.world.rows)
            )
            end = self.world.loop.now + LEARNED_SECONDS
            while self.world.loop.now < end:
                if follower.state.contracts is not None:
                    self.assertEqual(
                        {EMPTIED}, follower.state.snapshot.evacuated
                    )
                await asyncio.sleep(STEP_SECONDS)
            self.assertIsNotNone(follower.state.contracts)

        self.play(scenario)

    def test_a_late_heartbeat_changes_nothing(self):
        async def scenario() -> None:
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(MOVED_SECONDS)
            self.rewrite_heartbeats(evacuated=[], evacuated_revision=1)
            await self.unused(4.0, EMPTIED)

        self.play(scenario)

    def test_random_faults(self):
        for seed in SEEDS:
            self.make_world(DATA_CENTERS, seed=seed)
            faults = test_ownership.FaultInjector(world=self.world)

            async def scenario(
                faults: test_ownership.FaultInjector = faults,
            ) -> None:
                evacuating = asyncio.create_task(self.evacuate_randomly())
                await faults.run()
                await evacuating
                self.assertEqual({}, self.using(EMPTIED))
                self.assertEqual(set(), self.owners() & {"s0", "s1"})

            with self.subTest(seed=seed):
                virtual.run(scenario(), self.world.loop)
                self.assertEqual([], self.world.violations[:3])
                self.assertEqual(
                    set(self.world.sampled_keys(0, 65_535)),
                    self.world.served_keys,
                )

    async def evacuate_randomly(self) -> None:
        """Evacuates data centres and takes them back; the last one stays."""
        rng = random.Random(0)
        names = sorted(set(DATA_CENTERS.values()))
        end = self.world.loop.now + test_ownership.FAULT_SECONDS
        while self.world.loop.now < end:
            self.world.evacuate(*rng.sample(names, rng.randrange(3)))
            await asyncio.sleep(rng.uniform(0.2, 6))
        self.world.evacuate(EMPTIED)

    def test_only_the_heartbeat_tells_most_routers(self):
        async def scenario() -> None:
            before = self.world.store_calls
            self.world.evacuate(EMPTIED)
            await asyncio.sleep(LEARNED_SECONDS)
            self.assertEqual({EMPTIED}, self.evacuated())
            for address in self.world.tasks:
                self.assertEqual(
                    {EMPTIED}, self.state_of(address).snapshot.evacuated
                )
            self.assertLess(self.world.store_calls - before, 20)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
