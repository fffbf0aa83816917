"""How often routers call the store, and how fast they agree without it."""

import asyncio
import dataclasses
import unittest

import msgspec

from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.node import wire
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from tests import ownership_world
from tests import virtual

ROUTERS = 40
START_CALLS = 4  # For each router, until it knows everything.
CHANGE_CALLS = 0.3  # For each router and change of the contracts.
SUCCESSION_CALLS = 1.0  # For each router, when the leader is lost.
LEADER_CALLS = 7  # For each second: its record, the directory, the feed.
IN_FORCE_SECONDS = 2.0
RESTART_SECONDS = 0.3
LED_SECONDS = 0.4  # Leases of 2.5 s must not lapse in a restart of 1.5 s.
RESTART_CALLS = 3.5  # For each router: contracts, servers, owners; leaders.


class StoreCallsTest(unittest.TestCase):
    """Calls grow with changes, not with changes times routers."""

    def setUp(self):
        self.world = ownership_world.World(seed=1, nodes=ROUTERS)

    def start_all(self, *, first: bool = True) -> None:
        """Starts all routers."""
        for name in self.world.names:
            self.world.start(name, first=first)

    async def change(self) -> None:
        """Changes the contracts once."""
        before = self.world.document
        self.world.document = ports.VersionedContracts(
            contracts=dataclasses.replace(
                before.contracts, version=before.contracts.version + 3
            ),
            revision=before.revision + 1,
        )

    def missing(self) -> list[str]:
        """Returns the routers that lack the newest contracts."""
        version = self.world.document.contracts.version
        return [
            name
            for name, one in self.world.followers.items()
            if one.state.contracts is None
            or one.state.contracts.version < version
        ]

    async def calls_of(self, seconds: float) -> float:
        """Returns the calls of all routers but the leader's steady ones."""
        before = self.world.calls
        await asyncio.sleep(seconds)
        return self.world.calls - before - LEADER_CALLS * seconds

    def play(self, work) -> float:
        """Plays a scenario; returns what it returns."""
        return virtual.run(work, self.world.loop)

    def test_a_start_reads_little(self):
        async def start() -> float:
            self.start_all()
            return await self.calls_of(4)

        calls = self.play(start())
        self.assertEqual([], self.missing())
        self.assertLess(calls, START_CALLS * ROUTERS)

    def test_a_restart_of_all_knows_everything_at_once(self):
        async def restart() -> None:
            await self.restart_all()
            await asyncio.sleep(RESTART_SECONDS)
            lacking = [
                name
                for name, one in self.world.followers.items()
                if one.state.contracts is None or not one.state.snapshot.servers
            ]
            self.assertEqual([], lacking)

        self.play(restart())

    async def restart_all(self) -> None:
        """Kills all routers and starts them again."""
        self.start_all()
        await asyncio.sleep(8)
        for name in self.world.names:
            self.world.kill(name)
        await asyncio.sleep(1)
        self.start_all(first=False)

    def test_a_restart_of_all_reads_little_more_than_it_must(self):
        async def restart() -> float:
            await self.restart_all()
            calls = await self.calls_of(4)
            leaders = [
                one for one in self.world.followers.values() if one.leadership
            ]
            self.assertEqual(1, len(leaders))
            return calls

        self.assertLess(self.play(restart()), RESTART_CALLS * ROUTERS)

    def test_a_restart_of_all_is_led_at_once_by_who_led_before(self):
        async def restart() -> int:
            await self.restart_all()
            await asyncio.sleep(LED_SECONDS)
            followers = self.world.followers.values()
            return sum(one.leadership is not None for one in followers)

        self.assertEqual(1, self.play(restart()))

    def test_a_change_of_contracts_is_read_once(self):
        async def change() -> float:
            self.start_all()
            await asyncio.sleep(5)
            await self.change()
            calls = await self.calls_of(IN_FORCE_SECONDS)
            self.assertEqual([], self.missing())
            return calls

        self.assertLess(self.play(change()), CHANGE_CALLS * ROUTERS)

    def test_lost_datagrams_delay_contracts_within_their_bound(self):
        async def change() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            self.world.odds = {"datagram_lost": 0.3}
            await self.change()
            await asyncio.sleep(IN_FORCE_SECONDS)
            return self.missing()

        self.assertEqual([], self.play(change()))

    def test_contracts_that_one_router_lacks_go_to_it_alone(self):
        receivers = []

        async def lack() -> None:
            self.start_all()
            await asyncio.sleep(5)
            leading = [
                one.leadership
                for one in self.world.followers.values()
                if one.leadership
            ]
            leading[0].contracts_fragments = []
            send = leading[0].datagrams.send_raw

            def note(address: str, data: bytes) -> None:
                if isinstance(wire.decode(data), wire.ContractsFragment):
                    receivers.append(address)
                send(address, data)

            leading[0].datagrams.send_raw = note
            lacking = next(
                m
                for m in self.world.names
                if m != leading[0].own_member.address
            )
            other = self.world.followers[lacking]
            hello = msgspec.structs.replace(
                other.member_report(), contracts_revision=0
            )
            leading[0].on_member_report(lacking, hello)
            self.assertEqual([lacking], receivers)

        self.play(lack())

    def test_a_router_that_missed_contracts_asks_at_the_next_beat(self):
        async def change() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            self.world.odds = {"datagram_lost": 1.0}
            await self.change()
            await asyncio.sleep(0.2)
            self.world.odds = {}
            await asyncio.sleep(0.35)
            return self.missing()

        self.assertEqual([], self.play(change()))

    def test_a_lost_leader_sends_nobody_to_the_store(self):
        async def lose() -> float:
            self.start_all()
            await asyncio.sleep(5)
            leaders = [
                name
                for name, one in self.world.followers.items()
                if one.leadership is not None
            ]
            self.world.kill(leaders[0])
            return await self.calls_of(5)

        self.assertLess(self.play(lose()), SUCCESSION_CALLS * ROUTERS)

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        async def outage() -> list[int]:
            self.start_all()
            await asyncio.sleep(5)
            one = self.world.followers[self.world.names[0]]
            one.store_reader.back_off()
            del self.world.listed["s1"]
            found = []
            for wait in (0.0, 3.0):
                await asyncio.sleep(wait)
                before = one.state.snapshot
                one.state.adopt_snapshot(
                    dataclasses.replace(before, servers=self.known), "test"
                )
                await one.store_reader.read()
                found.append(len(one.state.snapshot.servers))
            return found

        self.known = dict(self.world.listed)
        self.assertEqual([4, 3], self.play(outage()))

    def test_routers_without_a_leader_read_for_themselves(self):
        async def cut() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            names = self.world.names
            self.world.cuts.update(
                (one, other) for one in names for other in names
            )
            await self.change()
            await asyncio.sleep(IN_FORCE_SECONDS)
            return self.missing()

        self.assertEqual([], self.play(cut()))


class MapWriteTest(unittest.TestCase):
    """Moves that end together share a write of the owners."""

    def setUp(self):
        self.world = ownership_world.World(seed=1)
        self.key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])

    def record(self) -> leaderstore.LeaderStore:
        """Returns the records of a leader."""
        platform = ownership_world.Platform(world=self.world, node="n")
        leadership = leaderstore.LeadershipRecord(epoch=1, address="n")
        value = leaderstore.encode_leadership(leadership)
        self.world.write({leaderstore.LEADER_KEY: value}, {})
        now = self.world.loop.now
        leader_lease = leaderlease.LeaderLease(
            epoch=1, confirmed_at=now, began_at=now, max_lease_seconds=10.0
        )
        return leaderstore.LeaderStore(
            platform=platform,
            clock=self.world.clock,
            rows=dict(self.world.rows),
            leader_lease=leader_lease,
            address="n",
        )

    async def move(
        self, made: leaderstore.LeaderStore, key: int, after: float
    ) -> bool:
        """Moves a key; tells whether it stands once the write returns."""
        await asyncio.sleep(after)
        self.key_map = self.key_map.assign(key, key, "c")
        await made.write_map("p", lambda: self.key_map)
        written = leaderstore.maps_of(self.world.rows)["p"]
        return written.find(key).owner == "c"

    def play(self, delays: list[float]) -> tuple[list[bool], int]:
        """Plays moves; returns whether each stood, and the calls made."""

        async def scenario() -> tuple[list[bool], int]:
            made = self.record()
            before = self.world.calls
            stood = await asyncio.gather(
                *(self.move(made, 10 * n, d) for n, d in enumerate(delays))
            )
            return stood, self.world.calls - before

        return virtual.run(scenario(), self.world.loop)

    def test_moves_that_end_together_share_a_write(self):
        stood, calls = self.play([0.0, 0.001, 0.002, 0.004, 0.01])
        self.assertEqual([True] * 5, stood)
        self.assertEqual(1, calls)

    def test_each_move_stands_once_its_write_returns(self):
        stood, calls = self.play([0.003 * n for n in range(60)])
        self.assertEqual([True] * 60, stood)
        self.assertLess(calls, 20)

    def test_lost_answers_lose_no_move(self):
        self.world.odds = {"write_lost": 0.4}
        stood, _ = self.play([0.01 * n for n in range(40)])
        self.assertEqual([True] * 40, stood)


if __name__ == "__main__":
    unittest.main()
