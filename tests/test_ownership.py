"""Sole ownership of keys under drawn faults, in virtual time."""

import asyncio
import unittest
from unittest import mock

from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.node import rebalancer
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from tests import ownership_world
from tests import virtual

SEEDS = [29, 56, *range(24)]  # 29, 56: a server stayed lost; 2: held twice.
RULE_SEEDS = [90, 111, 118, *range(60)]
FAULT_SECONDS = 40
SPLIT_SECONDS = 20
CALM_SECONDS = 25
CHECKED_KEY = 57_344
RETURN_SECONDS = 0.3  # Before a lease has lapsed.
WATCH_STEPS = 8  # A key may lack an owner for the time of a handover.
WATCH_SECONDS = 0.25
ODDS = {
    "order_lost": 0.05,
    "order_late": 0.03,
    "write_lost": 0.08,
    "write_late": 0.05,
    "datagram_lost": 0.02,
}


class Faults:
    """Switches faults on and off, drawn from the world's seed."""

    def __init__(self, *, world: ownership_world.World):
        self.world = world

    async def run(self) -> None:
        """Draws faults, then ends them all."""
        world = self.world
        for name in world.names:
            world.start(name)
        await asyncio.sleep(4)
        world.odds = dict(ODDS)
        end = world.loop.now + FAULT_SECONDS
        while world.loop.now < end:
            fault = world.rng.choice(
                [
                    self.kill_router,
                    self.kill_all,
                    self.cut_from_store,
                    self.cut_from_server,
                    self.cut_router,
                    self.split,
                    self.store_away,
                    self.crash_server,
                    self.reborn_server,
                    self.unlist_server,
                    self.move_hot_keys,
                ]
            )
            world.loop.create_task(fault())
            await asyncio.sleep(world.rng.uniform(0.1, 4))
        world.odds = {}
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(WATCH_STEPS):
            await asyncio.sleep(WATCH_SECONDS)
            world.look()

    def draw(self, names: list[str]) -> str:
        """Draws a name."""
        return self.world.rng.choice(names)

    async def pause(self) -> None:
        """Lets a fault last."""
        await asyncio.sleep(self.world.rng.uniform(0.3, 9))

    def leaders(self) -> list[str]:
        """Returns the routers that lead."""
        followers = self.world.followers
        return [n for n in followers if followers[n].leadership is not None]

    async def kill_router(self) -> None:
        """Kills a router, mostly the leader, and starts it again."""
        name = self.draw(self.leaders() or self.world.names)
        self.world.kill(name)
        await asyncio.sleep(self.world.rng.uniform(0.5, 3))
        if name not in self.world.tasks:
            self.world.start(name)

    async def kill_all(self) -> None:
        """Kills all routers."""
        for name in self.world.names:
            self.world.kill(name)
        await asyncio.sleep(1.5)
        for name in self.world.names:
            if name not in self.world.tasks:
                self.world.start(name)

    async def cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cuts paths for a while."""
        self.world.cuts.update(pairs)
        await self.pause()
        self.world.cuts.difference_update(pairs)

    async def cut_from_store(self) -> None:
        """Cuts a router from the store."""
        await self.cut([(self.draw(self.world.names), "store")])

    async def cut_from_server(self) -> None:
        """Cuts a router from some servers."""
        node = self.draw(self.world.names)
        servers = [
            s for s in self.world.backends if self.world.rng.random() < 0.5
        ]
        await self.cut([(node, server) for server in servers])

    async def cut_router(self) -> None:
        """Cuts a router from the others."""
        node = self.draw(self.world.names)
        others = [n for n in self.world.names if n != node]
        await self.cut([p for o in others for p in ((node, o), (o, node))])

    async def split(self) -> None:
        """Lets the leader reach just a server, and all others all but it."""
        names = self.leaders() or self.world.names
        leader = self.draw(names)
        server = self.draw(list(self.world.backends))
        others = [n for n in self.world.names if n != leader]
        pairs = [(leader, "store"), *((other, server) for other in others)]
        pairs += [p for o in others for p in ((leader, o), (o, leader))]
        self.world.cuts.update(pairs)
        await asyncio.sleep(SPLIT_SECONDS)
        self.world.cuts.difference_update(pairs)

    async def store_away(self) -> None:
        """Takes the store away from all."""
        self.world.store_down = True
        await self.pause()
        self.world.store_down = False

    async def crash_server(self) -> None:
        """Takes a server down; it comes back as a new process."""
        id = self.draw(list(self.world.backends))
        backend = self.world.backends[id]
        backend.up = False
        await self.pause()
        backend.reborn()
        backend.up = True

    async def reborn_server(self) -> None:
        """Replaces a server's process at once."""
        self.world.backends[self.draw(list(self.world.backends))].reborn()

    async def unlist_server(self) -> None:
        """Takes a server that still serves out of the directory."""
        id = self.draw(list(self.world.backends))
        self.world.listed.pop(id, None)
        await self.pause()
        self.world.listed[id] = self.world.entry(id)

    async def move_hot_keys(self) -> None:
        """Lets other keys be hot."""
        self.world.hot = self.world.rng.randrange(0, 65_000)


async def release_only(self: leasemanager.LeaseManager, one: keys.Range) -> str:
    """Releases without raising the fence first."""
    async with self.lock:
        await self.connect()
    return await self.channel.release(one.start, one.end, self.fence)


async def wait_nothing(self: rebalancer.Rebalancer, move: object) -> str:
    """Takes keys over without waiting for the last lease."""
    return ""


async def keep_fence(self: leasemanager.LeaseManager) -> None:
    """Keeps the fence on a new connection."""
    self.generation = await self.channel.connect(allow_new=True)
    self.fence = self.fence or self.fences.next()


async def write_anyway(
    self: leaderstore.LeaderStore, key: str, value: bytes
) -> bool:
    """Writes without a condition."""
    result = await self.platform.write_rows({key: value}, {})
    self.rows[key] = ports.Row(key=key, value=value, revision=result.revision)
    self.leader_lease.confirmed_at = self.clock.boottime()
    return True


def count_only(self: leasemanager.FencingTokens) -> int:
    """Returns fences that start anew with each leader."""
    self.count += 1
    return self.count


# What is taken out, by name.
RULES = {
    "epochs in fences": (leasemanager.FencingTokens, "next", count_only),
    "conditional writes": (leaderstore.LeaderStore, "try_write", write_anyway),
    "raise before release": (
        leasemanager.LeaseManager,
        "release",
        release_only,
    ),
    "wait for the lapse": (rebalancer.Rebalancer, "wait_expiry", wait_nothing),
    "a fence a connection": (leasemanager.LeaseManager, "connect", keep_fence),
    "wait for predecessors": (
        leaderlease.LeaderLease,
        "predecessor_grants_expire_at",
        lambda self: 0.0,
    ),
}


def breaks(seed: int) -> bool:
    """Tells whether a promise is broken in the schedule of a seed."""
    world = ownership_world.World(seed=seed)
    virtual.run(Faults(world=world).run(), world.loop)
    return bool(world.broken)


class OwnershipTest(unittest.TestCase):
    """Promises that hold in every schedule."""

    def test_each_key_has_one_owner_and_finds_one_again(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = ownership_world.World(seed=seed)
                virtual.run(Faults(world=world).run(), world.loop)
                self.assertEqual([], world.broken[:3])
                self.assertGreater(world.grants, 100)
                missing = set(world.checked(0, 65_535)) - world.served
                self.assertEqual(set(), missing)
                self.assertEqual(set(), world.lost)

    def test_each_rule_is_needed(self):
        for name, (owner_type, method, without) in RULES.items():
            with (
                self.subTest(rule=name),
                mock.patch.object(owner_type, method, without),
            ):
                self.assertTrue(any(breaks(seed) for seed in RULE_SEEDS))

    def test_no_raised_fence_outlasts_the_recorded_lapse(self):
        self.assertEqual([], self.late_return().broken)

    def test_the_room_for_raising_a_fence_is_needed(self):
        with mock.patch.object(leasemanager, "FENCE_RAISE_SECONDS", 0.0):
            self.assertNotEqual([], self.late_return().broken)

    def test_a_leader_without_the_store_stops_in_time(self):
        self.assertEqual([], self.split_alone().broken)

    def test_the_bound_on_orders_is_needed(self):
        with mock.patch.object(
            leaderlease.LeaderLease, "may_grant", lambda self, now: True
        ):
            self.assertNotEqual([], self.split_alone().broken)

    def test_a_replaced_leader_grants_nothing_to_a_reborn_server(self):
        self.assertEqual([], self.rebirth().broken)

    def test_the_bound_on_new_connections_is_needed(self):
        with mock.patch.object(
            leaderlease.LeaderLease,
            "may_open_connection",
            lambda self, now: True,
        ):
            self.assertNotEqual([], self.rebirth().broken)

    def late_return(self) -> ownership_world.World:
        """Plays a server that returns just before its lease has lapsed."""
        world = ownership_world.World(seed=3)

        def placed() -> rebalancer.Rebalancer:
            """Returns the placing of keys by the process that leads."""
            leading = [
                f.leadership for f in world.followers.values() if f.leadership
            ]
            return leading[0].rebalancers[ownership_world.POOL]

        def left() -> float | None:
            """Returns the time until a key of the lost server is free."""
            found = placed().recorded_map().find(CHECKED_KEY)
            if not found.lease_expires_at_ms:
                return None
            clock = placed().platform.store_clock
            return clock.seconds_until(
                found.lease_expires_at_ms, world.loop.now
            )

        async def play() -> None:
            for name in world.names:
                world.start(name)
            await asyncio.sleep(5)
            lost = world.backends[
                placed().recorded_map().find(CHECKED_KEY).owner
            ]
            lost.up = False
            while left() is None or left() > RETURN_SECONDS:
                await asyncio.sleep(0.01)
            lost.reborn()
            lost.up = True
            world.odds = {"order_lost": 1.0}
            await asyncio.sleep(1)

        virtual.run(play(), world.loop)
        return world

    def rebirth(self) -> ownership_world.World:
        """Cuts the leader from all but the servers; one is then reborn."""
        world = ownership_world.World(seed=3)
        faults = Faults(world=world)

        async def play() -> None:
            for name in world.names:
                world.start(name)
            await asyncio.sleep(4)
            leader = faults.leaders()[0]
            others = [n for n in world.names if n != leader]
            pairs = [p for o in others for p in ((leader, o), (o, leader))]
            world.cuts.update([(leader, "store"), *pairs])
            await asyncio.sleep(1.7)
            world.listed.pop("s0")
            await asyncio.sleep(1.2)
            world.backends["s0"].reborn()
            await asyncio.sleep(5)

        virtual.run(play(), world.loop)
        return world

    def split_alone(self) -> ownership_world.World:
        """Plays a split without other faults."""
        world = ownership_world.World(seed=3)
        faults = Faults(world=world)

        async def play() -> None:
            for name in world.names:
                world.start(name)
            await asyncio.sleep(4)
            await faults.split()
            await asyncio.sleep(5)

        virtual.run(play(), world.loop)
        return world


if __name__ == "__main__":
    unittest.main()
