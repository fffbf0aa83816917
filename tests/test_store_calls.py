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
START_CALLS_PER_ROUTER = 4  # Until each router has the whole state.
CHANGE_CALLS_PER_ROUTER = 0.3
SUCCESSION_CALLS_PER_ROUTER = 1.0
LEADER_CALLS_PER_SECOND = 7  # Its record, the directory, the feed.
PROPAGATION_SECONDS = 2.0
RESTART_SECONDS = 0.3  # Until each router has contracts and servers again.
ELECTION_SECONDS = 0.4  # Leases of 2.5 s must outlast a restart of 1.5 s.
RESTART_CALLS_PER_ROUTER = 3.5  # Contracts, servers, owners; elections.


class StoreCallsTest(unittest.TestCase):
    """Calls scale with changes, not with changes times routers."""

    def setUp(self):
        self.world = ownership_world.World(seed=1, routers=ROUTERS)

    def start_all(self, *, bootstrap: bool = True) -> None:
        """Starts all routers."""
        for address in self.world.addresses:
            self.world.start(address, bootstrap=bootstrap)

    async def change_contracts(self) -> None:
        """Changes the contracts once."""
        before = self.world.contracts_document
        self.world.contracts_document = ports.VersionedContracts(
            contracts=dataclasses.replace(
                before.contracts, version=before.contracts.version + 3
            ),
            revision=before.revision + 1,
        )

    def outdated_routers(self) -> list[str]:
        """Returns the routers without the newest contracts."""
        version = self.world.contracts_document.contracts.version
        return [
            address
            for address, follower in self.world.followers.items()
            if follower.state.contracts is None
            or follower.state.contracts.version < version
        ]

    async def count_calls(self, seconds: float) -> float:
        """Returns the store calls, without the leader's regular ones."""
        before = self.world.store_calls
        await asyncio.sleep(seconds)
        return (
            self.world.store_calls - before - LEADER_CALLS_PER_SECOND * seconds
        )

    def play(self, scenario) -> float:
        """Runs a scenario and returns its result."""
        return virtual.run(scenario, self.world.loop)

    def test_a_start_reads_little(self):
        async def start() -> float:
            self.start_all()
            return await self.count_calls(4)

        calls = self.play(start())
        self.assertEqual([], self.outdated_routers())
        self.assertLess(calls, START_CALLS_PER_ROUTER * ROUTERS)

    def test_a_restart_of_all_knows_everything_at_once(self):
        async def restart() -> None:
            await self.restart_all()
            await asyncio.sleep(RESTART_SECONDS)
            lacking = [
                address
                for address, follower in self.world.followers.items()
                if follower.state.contracts is None
                or not follower.state.snapshot.servers
            ]
            self.assertEqual([], lacking)

        self.play(restart())

    async def restart_all(self) -> None:
        """Starts all routers, kills them, and starts them again."""
        self.start_all()
        await asyncio.sleep(8)
        for address in self.world.addresses:
            self.world.kill(address)
        await asyncio.sleep(1)
        self.start_all(bootstrap=False)

    def test_a_restart_of_all_reads_little_more_than_it_must(self):
        async def restart() -> float:
            await self.restart_all()
            calls = await self.count_calls(4)
            leaders = [
                follower
                for follower in self.world.followers.values()
                if follower.leadership
            ]
            self.assertEqual(1, len(leaders))
            return calls

        self.assertLess(
            self.play(restart()), RESTART_CALLS_PER_ROUTER * ROUTERS
        )

    def test_a_restart_of_all_is_led_at_once_by_who_led_before(self):
        async def restart() -> int:
            await self.restart_all()
            await asyncio.sleep(ELECTION_SECONDS)
            followers = self.world.followers.values()
            return sum(
                follower.leadership is not None for follower in followers
            )

        self.assertEqual(1, self.play(restart()))

    def test_a_change_of_contracts_is_read_once(self):
        async def change() -> float:
            self.start_all()
            await asyncio.sleep(5)
            await self.change_contracts()
            calls = await self.count_calls(PROPAGATION_SECONDS)
            self.assertEqual([], self.outdated_routers())
            return calls

        self.assertLess(self.play(change()), CHANGE_CALLS_PER_ROUTER * ROUTERS)

    def test_lost_datagrams_delay_contracts_within_their_bound(self):
        async def change() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            self.world.fault_rates = {"datagram_lost": 0.3}
            await self.change_contracts()
            await asyncio.sleep(PROPAGATION_SECONDS)
            return self.outdated_routers()

        self.assertEqual([], self.play(change()))

    def test_contracts_that_one_router_lacks_go_to_it_alone(self):
        receivers = []

        async def report_missing_contracts() -> None:
            self.start_all()
            await asyncio.sleep(5)
            leaderships = [
                follower.leadership
                for follower in self.world.followers.values()
                if follower.leadership
            ]
            leaderships[0].publisher.contracts_fragments = []
            send = leaderships[0].datagrams.send_raw

            def record_receiver(address: str, data: bytes) -> None:
                if isinstance(wire.decode(data), wire.ContractsFragment):
                    receivers.append(address)
                send(address, data)

            leaderships[0].datagrams.send_raw = record_receiver
            lacking = next(
                m
                for m in self.world.addresses
                if m != leaderships[0].own_member.address
            )
            follower = self.world.followers[lacking]
            report = msgspec.structs.replace(
                follower.member_report(),
                contracts_revision=0,
                contracts_version=0,
            )
            leaderships[0].on_member_report(lacking, report)
            self.assertEqual([lacking], receivers)

        self.play(report_missing_contracts())

    def test_a_router_that_missed_contracts_asks_at_the_next_beat(self):
        async def change() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            self.world.fault_rates = {"datagram_lost": 1.0}
            await self.change_contracts()
            await asyncio.sleep(0.2)
            self.world.fault_rates = {}
            await asyncio.sleep(0.35)
            return self.outdated_routers()

        self.assertEqual([], self.play(change()))

    def test_a_lost_leader_sends_nobody_to_the_store(self):
        async def lose() -> float:
            self.start_all()
            await asyncio.sleep(5)
            leaders = [
                address
                for address, follower in self.world.followers.items()
                if follower.leadership is not None
            ]
            self.world.kill(leaders[0])
            return await self.count_calls(5)

        self.assertLess(
            self.play(lose()), SUCCESSION_CALLS_PER_ROUTER * ROUTERS
        )

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        async def outage() -> list[int]:
            self.start_all()
            await asyncio.sleep(5)
            follower = self.world.followers[self.world.addresses[0]]
            follower.store_reader.back_off()
            del self.world.listed_servers["s1"]
            counts = []
            for delay in (0.0, 3.0):
                await asyncio.sleep(delay)
                before = follower.state.snapshot
                follower.state.adopt_snapshot(
                    dataclasses.replace(before, servers=self.listed_servers),
                    "test",
                )
                await follower.store_reader.read()
                counts.append(len(follower.state.snapshot.servers))
            return counts

        self.listed_servers = dict(self.world.listed_servers)
        self.assertEqual([4, 3], self.play(outage()))

    def test_routers_without_a_leader_read_for_themselves(self):
        async def block_all_links() -> list[str]:
            self.start_all()
            await asyncio.sleep(5)
            addresses = self.world.addresses
            self.world.blocked_links.update(
                (sender, receiver)
                for sender in addresses
                for receiver in addresses
            )
            await self.change_contracts()
            await asyncio.sleep(PROPAGATION_SECONDS)
            return self.outdated_routers()

        self.assertEqual([], self.play(block_all_links()))


class MapWriteTest(unittest.TestCase):
    """Moves that end together share a write."""

    def setUp(self):
        self.world = ownership_world.World(seed=1)
        self.key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])

    def leader_store(self) -> leaderstore.LeaderStore:
        """Returns the store access of a leader."""
        platform = ownership_world.FakePlatform(world=self.world, router="n")
        record = leaderstore.LeadershipRecord(epoch=1, address="n")
        value = leaderstore.encode_leadership(record)
        self.world.write({leaderstore.LEADER_KEY: value}, {})
        now = self.world.loop.now
        leader_lease = leaderlease.LeaderLease(
            epoch=1, confirmed_at=now, began_at=now, max_lease_seconds=10.0
        )
        return leaderstore.LeaderStore(
            platform=platform,
            clock=self.world.clock,
            stored=ports.OwnRows(
                rows=dict(self.world.rows),
                revision=self.world.newest_revision(),
            ),
            leader_lease=leader_lease,
            address="n",
        )

    async def move(
        self, leader_store: leaderstore.LeaderStore, key: int, delay: float
    ) -> bool:
        """Moves a key; returns whether the write stored its new owner."""
        await asyncio.sleep(delay)
        self.key_map = self.key_map.assign(key, key, "c")
        await leader_store.write_map("p", lambda: self.key_map)
        written = leaderstore.maps_of(self.world.rows)["p"]
        return written.find(key).owner == "c"

    def play(self, delays: list[float]) -> tuple[list[bool], int]:
        """Runs moves; returns whether each was stored, and the calls made."""

        async def scenario() -> tuple[list[bool], int]:
            leader_store = self.leader_store()
            before = self.world.store_calls
            stored = await asyncio.gather(
                *(
                    self.move(leader_store, 10 * n, d)
                    for n, d in enumerate(delays)
                )
            )
            return stored, self.world.store_calls - before

        return virtual.run(scenario(), self.world.loop)

    def test_moves_that_end_together_share_a_write(self):
        stored, calls = self.play([0.0, 0.001, 0.002, 0.004, 0.01])
        self.assertEqual([True] * 5, stored)
        self.assertEqual(1, calls)

    def test_each_move_stands_once_its_write_returns(self):
        stored, calls = self.play([0.003 * n for n in range(60)])
        self.assertEqual([True] * 60, stored)
        self.assertLess(calls, 20)

    def test_lost_answers_lose_no_move(self):
        self.world.fault_rates = {"write_reply_lost": 0.4}
        stored, _ = self.play([0.01 * n for n in range(40)])
        self.assertEqual([True] * 40, stored)


if __name__ == "__main__":
    unittest.main()
