"""Exclusive ownership of keys when the store comes back from an older copy."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from oleanderhoist.policy import succession
from tests import ownership_world
from tests import test_ownership
from tests import virtual

SEEDS = range(40)
RULE_SEEDS = range(60)
# Of random drills beside other faults.
DRILL_SECONDS = 40
COPY_AGES_SECONDS = (0.5, 12.0)
AWAY_SECONDS = (0.05, 3.0)
ELECTION_SECONDS = 6.0
AWAY_WHILE_STOPPED_SECONDS = 1.5
RETURNS = 3
REWRITE_SECONDS = 1.5  # Until a server has written its entry again.


class DrillInjector(test_ownership.FaultInjector):
    """Draws drills of the store, alone and beside other faults."""

    async def run(self) -> None:
        """Injects faults, ends them, and records the state after recovery."""
        world = self.world
        for address in world.addresses:
            world.start(address)
        await asyncio.sleep(4)
        world.fault_rates = dict(test_ownership.FAULT_RATES)
        end = world.loop.now + DRILL_SECONDS
        while world.loop.now < end:
            world.loop.create_task(self.move_busy_keys())
            for _ in range(world.rng.choice([0, 1, 1, 2])):
                fault = world.rng.choice(
                    [
                        self.kill_router,
                        self.kill_all_routers,
                        self.isolate_from_store,
                        self.isolate_from_servers,
                        self.isolate_router,
                        self.partition_leader,
                        self.crash_server,
                        self.unlist_server,
                    ]
                )
                world.loop.create_task(fault())
            await self.drill()
            await asyncio.sleep(world.rng.uniform(0.1, 8))
        world.fault_rates = {}
        await asyncio.sleep(test_ownership.RECOVERY_SECONDS)
        for _ in range(test_ownership.CHECK_COUNT):
            await asyncio.sleep(test_ownership.CHECK_INTERVAL_SECONDS)
            world.record_state()

    async def drill(self) -> None:
        """Makes the store come back from a copy, once or twice."""
        rng = self.world.rng
        self.world.save_copy()
        await asyncio.sleep(rng.uniform(*COPY_AGES_SECONDS))
        for _ in range(rng.choice([1, 1, 2])):
            self.world.store_down = True
            await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
            self.world.restore_copy()
            self.world.store_down = False
            await asyncio.sleep(rng.uniform(0.0, 2.0))


def believe(record: object, known: object) -> bool:
    """Believes the owners of every record."""
    return True


def count_on(record: succession.Record, known: object) -> int:
    """Returns the epoch after that of the record, whatever is known."""
    return record.epoch + 1


def compare_epochs(
    record: succession.Record, era: int, claim: succession.Claim
) -> succession.Verdict:
    """Goes on as leader if the epoch of the record is the own one."""
    if record.epoch == claim.epoch:
        return succession.Verdict.KEEP
    return succession.Verdict.STEP_DOWN


# Replacements that disable one mechanism each, by function.
RULES = {
    "is_current": believe,
    "judge": compare_epochs,
}


def violates(seed: int) -> bool:
    """Returns whether the schedule of a seed violates a guarantee."""
    world = ownership_world.World(seed=seed)
    virtual.run(DrillInjector(world=world).run(), world.loop)
    return bool(world.violations)


class RestoredOwnersTest(unittest.TestCase):
    """No key has two owners, whatever the store has lost."""

    def test_a_key_has_two_owners_after_a_drill(self):
        """Guards against owners of the copy that the next leader believes."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = ownership_world.World(seed=seed)
                virtual.run(DrillInjector(world=world).run(), world.loop)
                self.assertEqual([], world.violations[:3])
                missing = set(world.sampled_keys(0, 65_535)) - world.served_keys
                self.assertEqual(set(), missing)

    def tokens_around_lost_election(self) -> tuple[int, int]:
        """Runs a drill that loses an election, and kills all routers.

        Returns:
            The highest fencing token before the drill, the lowest one after.
        """
        world = ownership_world.World(seed=5)
        injector = DrillInjector(world=world)

        async def scenario() -> tuple[int, int]:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(4)
            world.save_copy()
            world.kill(injector.leaders()[0])
            await asyncio.sleep(ELECTION_SECONDS)
            for address in world.addresses:
                world.kill(address)
            before = max(lease.fence for lease in world.leases())
            world.restore_copy()
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(test_ownership.RECOVERY_SECONDS)
            valid = [
                lease.fence
                for lease in world.leases()
                if lease.expires_at > world.loop.now
            ]
            return before, min(valid)

        return virtual.run(scenario(), world.loop)

    def test_fencing_tokens_fall_after_an_election_was_lost(self):
        """Guards against an epoch that is given out a second time."""
        before, after = self.tokens_around_lost_election()
        self.assertGreater(after, before)

    def test_epochs_above_the_lost_ones_are_needed(self):
        with mock.patch.object(succession, "next_epoch", count_on):
            before, after = self.tokens_around_lost_election()
        self.assertLessEqual(after >> 20, before >> 20)

    def test_each_rule_is_needed(self):
        for name, replacement in RULES.items():
            with (
                self.subTest(rule=name),
                mock.patch.object(succession, name, replacement),
            ):
                self.assertTrue(any(violates(seed) for seed in RULE_SEEDS))


class StopTest(unittest.TestCase):
    """A leader that is stopped while the store is away."""

    def test_a_successor_waits_as_the_resignation_came_too_early(self):
        """Guards against keys without an owner after planned work."""
        world = ownership_world.World(seed=6)
        injector = DrillInjector(world=world)

        async def scenario() -> None:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(ELECTION_SECONDS)
            world.save_copy()
            await asyncio.sleep(ELECTION_SECONDS)
            world.store_down = True
            leader = injector.leaders()[0]
            stop = asyncio.create_task(world.followers[leader].stop())
            await asyncio.sleep(AWAY_WHILE_STOPPED_SECONDS)
            world.restore_copy()
            world.store_down = False
            await stop
            world.kill(leader)
            await asyncio.sleep(ELECTION_SECONDS)
            world.record_state()

        virtual.run(scenario(), world.loop)
        self.assertEqual([], world.violations)
        self.assertEqual(set(world.sampled_keys(0, 65_535)), world.served_keys)


class TwiceTest(unittest.TestCase):
    """A store that comes back again while a leader waits."""

    def test_a_leader_that_waits_begins_anew_at_each_return(self):
        """Guards against keys without an owner for as long as drills go on."""
        world = ownership_world.World(seed=8)
        injector = DrillInjector(world=world)

        async def scenario() -> set[str]:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(ELECTION_SECONDS)
            world.save_copy()
            await asyncio.sleep(ELECTION_SECONDS)
            world.kill(injector.leaders()[0])
            world.restore_copy()
            leaders = set()
            for _ in range(RETURNS):
                await asyncio.sleep(ELECTION_SECONDS / 2)
                leaders.update(injector.leaders())
                world.restore_copy()
            await asyncio.sleep(ELECTION_SECONDS)
            leaders.update(injector.leaders())
            world.record_state()
            return leaders

        self.assertEqual(1, len(virtual.run(scenario(), world.loop)))
        self.assertEqual([], world.violations)
        self.assertEqual(set(world.sampled_keys(0, 65_535)), world.served_keys)


class RestoredEntriesTest(unittest.TestCase):
    """What the directory of a copy says of servers."""

    def test_a_leaving_server_is_used_again_as_the_copy_lists_it(self):
        """Guards against requests to a server that has drained since."""
        world = ownership_world.World(seed=4)
        entry = world.listed_servers["s1"]

        async def scenario() -> list[str]:
            for address in world.addresses:
                world.start(address)
            await asyncio.sleep(ELECTION_SECONDS)
            world.save_copy()
            world.listed_servers["s1"] = dataclasses.replace(
                entry, leaving=True
            )
            await asyncio.sleep(ELECTION_SECONDS)
            world.restore_copy()
            world.listed_servers["s1"] = entry
            await asyncio.sleep(REWRITE_SECONDS)
            return [
                address
                for address, one in world.followers.items()
                if one.state.snapshot.usable_server("s1") is not None
            ]

        self.assertEqual([], virtual.run(scenario(), world.loop))


if __name__ == "__main__":
    unittest.main()
