"""Components of a router without sockets."""

import asyncio
import random
import unittest

from oleanderhoist import ports
from oleanderhoist.node import budgets
from oleanderhoist.node import contractcodec
from oleanderhoist.node import directory
from oleanderhoist.node import fragments
from oleanderhoist.node import leasemanager
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import leaseexpiries
from oleanderhoist.policy import storeeras
from tests import virtual


def member(number: int) -> cluster.Member:
    """Returns a member."""
    return cluster.Member(
        address=f"10.0.0.{number}:1", data_center="a", cores=1.0
    )


def snapshot(count: int, version: int = 1) -> cluster.Snapshot:
    """Returns a snapshot with members."""
    return cluster.Snapshot(
        epoch=1,
        version=version,
        members={member(n).address: member(n) for n in range(count)},
        maps={"pool": keys.divide_by_weight([("a", 1.0), ("b", 1.0)])},
    )


class BudgetTest(unittest.TestCase):
    """Retries of all routers together stay within the budget."""

    def spend_all(self, budget: budgets.Budgets, requests: int) -> int:
        """Returns how many retries a number of requests allows."""
        spent = 0
        for _ in range(requests):
            budget.earn("pool")
            spent += budget.spend("pool")
        while budget.spend("pool"):
            spent += 1
        return spent

    def test_a_process_that_knows_nobody_spends_no_extra(self):
        router_state = state.State()
        budget = budgets.Budgets(ratio=0.2, extra=139, state=router_state)
        self.assertLessEqual(self.spend_all(budget, 0), 1)

    def test_restarted_processes_together_stay_within_the_budget(self):
        spent = 0
        for _ in range(26):
            router_state = state.State()
            budget = budgets.Budgets(ratio=0.2, extra=139, state=router_state)
            spent += self.spend_all(budget, 50)
            router_state.snapshot = snapshot(26)
            spent += self.spend_all(budget, 50)
        self.assertLessEqual(spent, 0.2 * 26 * 100 + 139)


class FakeDirectory:
    """A platform that lists servers, or whose store is unavailable."""

    def __init__(self):
        self.ids = ["a", "b"]
        self.store_eras = storeeras.StoreEras()
        self.unavailable = False

    async def read_servers(self) -> ports.ServerListing:
        """Returns the listed servers."""
        if self.unavailable:
            raise ports.StoreError("unavailable", maybe_applied=False)
        servers = {
            id: cluster.Server(
                id=id, pool="p", address="x:1", data_center="a", slots=1
            )
            for id in self.ids
        }
        return ports.ServerListing(servers=servers, rejected={})


class DirectoryTest(unittest.TestCase):
    """When servers are considered gone."""

    def setUp(self):
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.platform = FakeDirectory()

    def read(self, server_directory: directory.Directory) -> set[str]:
        """Reads once; returns the ids of the servers that are present."""
        asyncio.run(server_directory.read())
        return set(server_directory.servers)

    def make(self, **changes: object) -> directory.Directory:
        """Returns a directory that was read once."""
        server_directory = directory.Directory(
            platform=self.platform, clock=self.clock, servers={}, **changes
        )
        self.assertEqual({"a", "b"}, self.read(server_directory))
        return server_directory

    def test_a_server_missing_in_calm_is_gone_at_once(self):
        server_directory = self.make()
        self.platform.ids = ["a"]
        self.assertEqual({"a"}, self.read(server_directory))

    def test_a_new_leader_takes_a_missing_server_as_gone_at_once(self):
        before = self.make().servers
        self.platform.ids = ["a"]
        server_directory = directory.Directory(
            platform=self.platform, clock=self.clock, servers=before
        )
        self.assertEqual({"a"}, self.read(server_directory))

    def test_entries_lapsed_in_an_outage_have_time_to_come_back(self):
        server_directory = self.make()
        self.platform.unavailable = True
        self.read(server_directory)
        self.platform.unavailable = False
        self.platform.ids = ["a"]
        self.loop.now += 1.9
        self.assertEqual({"a", "b"}, self.read(server_directory))
        self.loop.now += 1.0
        self.assertEqual({"a"}, self.read(server_directory))

    def test_entries_that_a_copy_lacks_are_gone_at_once(self):
        """Guards against servers that started after the copy and are lost."""
        server_directory = self.make()
        self.platform.store_eras.observe(1, self.clock.monotonic())
        self.loop.now += 5.0
        self.platform.store_eras.observe(2, self.clock.monotonic())
        self.platform.ids = ["a"]
        self.loop.now += 1.9
        self.assertEqual({"a", "b"}, self.read(server_directory))
        self.loop.now += 1.0
        self.assertEqual({"a"}, self.read(server_directory))


class ReplacedServerPlatform:
    """A platform and channel whose server address was reused."""

    async def connect(self, *, allow_new: bool) -> int:
        """Connects."""
        return 1

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Fails like a server that does not support leases."""
        raise ports.OrderError("grant answered 400", server_replaced=True)

    def lease_channel(self, server: cluster.Server) -> "ReplacedServerPlatform":
        """Returns itself."""
        return self


class LeaseManagerTest(unittest.TestCase):
    """The lease of a server whose address was reused."""

    def test_an_address_with_another_server_ends_the_wait(self):
        loop = virtual.Loop()
        clock = virtual.Clock(loop=loop)
        leader_lease = leaderlease.LeaderLease(
            epoch=1,
            confirmed_at=loop.now,
            began_at=loop.now,
            max_lease_seconds=10.0,
        )
        server = cluster.Server(
            id="a", pool="p", address="x:1", data_center="a", slots=1
        )
        manager = leasemanager.LeaseManager(
            server=server,
            platform=ReplacedServerPlatform(),
            fences=leasemanager.FencingTokens(epoch=1),
            leader_lease=leader_lease,
            clock=clock,
            ranges=list,
            expiries=leaseexpiries.LeaseExpiries(initial=loop.now + 12),
        )
        key_range = keys.Range(start=0, end=9)
        token = virtual.run(manager.revoke(key_range, 3), loop)
        self.assertEqual("", token)


class ConfirmingPlatform:
    """A platform and channel that confirm the leader during a grant."""

    def __init__(
        self, *, leader_lease: leaderlease.LeaderLease, clock: virtual.Clock
    ):
        self.leader_lease = leader_lease
        self.clock = clock

    async def connect(self, *, allow_new: bool) -> int:
        """Connects."""
        return 1

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Accepts a grant while the store confirms the leader."""
        self.leader_lease.confirmed_at = self.clock.boottime()
        return True

    def lease_channel(self, server: cluster.Server) -> "ConfirmingPlatform":
        """Returns itself."""
        return self


class OutageLeaseTest(unittest.TestCase):
    """A lease of outage length counts in full after the store returns."""

    def test_a_lease_counts_as_long_as_it_was_sent(self):
        loop = virtual.Loop()
        clock = virtual.Clock(loop=loop)
        leader_lease = leaderlease.LeaderLease(
            epoch=1,
            confirmed_at=loop.now - 2,
            began_at=0.0,
            max_lease_seconds=10.0,
        )
        manager = leasemanager.LeaseManager(
            server=cluster.Server(
                id="a", pool="p", address="x:1", data_center="a", slots=1
            ),
            platform=ConfirmingPlatform(leader_lease=leader_lease, clock=clock),
            fences=leasemanager.FencingTokens(epoch=1),
            leader_lease=leader_lease,
            clock=clock,
            ranges=lambda: [keys.Range(start=0, end=9)],
            expiries=leaseexpiries.LeaseExpiries(initial=0.0),
        )
        start = loop.now
        self.assertTrue(virtual.run(manager.renew(), loop))
        self.assertGreaterEqual(
            manager.leases_expire_at(), start + leaderlease.OUTAGE_LEASE_SECONDS
        )

    def test_no_lease_is_longer_than_servers_accept(self):
        for max_lease_seconds in (1.5, 4.0, 10.0):
            leader_lease = leaderlease.LeaderLease(
                epoch=1,
                confirmed_at=100.0,
                began_at=0.0,
                max_lease_seconds=max_lease_seconds,
            )
            for now in (100.0, 103.0):  # With the store, and without.
                seconds = leader_lease.lease_seconds(now)
                self.assertLessEqual(seconds, max_lease_seconds)
                self.assertGreater(seconds, leaderlease.RENEW_SECONDS)


def join(sent: list, payload_id: tuple[int, ...]) -> bytes:
    """Joins fragments that arrive in random order, some of them twice."""
    reassembler = fragments.Reassembler()
    shuffled = [*sent, *sent[: len(sent) // 2]]
    random.Random(3).shuffle(shuffled)
    for fragment in shuffled:
        data = reassembler.add(
            payload_id, fragment.index, fragment.count, fragment.data
        )
        if data is not None:
            return data
    raise AssertionError("the payload is incomplete")


class WireTest(unittest.TestCase):
    """Snapshots, deltas and contracts survive encoding and decoding."""

    def test_a_picture_survives_its_parts(self):
        sent = snapshot(40)
        data = join(snapshots.pack(sent), payload_id=(1, 1))
        got = snapshots.unpack(data, epoch=1, version=1, leader="")
        self.assertEqual(sent.members, got.members)
        self.assertEqual(sent.maps["pool"].ranges, got.maps["pool"].ranges)

    def test_a_change_of_owners_makes_the_same_picture(self):
        before = snapshot(3)
        moved = (
            before.maps["pool"].assign(5, 900, "b").assign(60_000, 60_000, "")
        )
        after = cluster.Snapshot(
            epoch=1, version=2, members=before.members, maps={"pool": moved}
        )
        delta = snapshots.difference(before, after)
        got = snapshots.apply(
            before, wire.decode(wire.encode(delta)), leader=""
        )
        self.assertEqual(moved.ranges, got.maps["pool"].ranges)

    def test_any_change_makes_the_same_picture(self):
        before = snapshot(30)
        server = cluster.Server(
            id="s", pool="p", address="x:1", data_center="a", slots=1
        )
        after = cluster.Snapshot(
            epoch=2,
            version=9,
            leader="l",
            members=snapshot(20).members,
            servers={"s": server},
            maps={**before.maps, "new": keys.divide_by_weight([("s", 1.0)])},
        )
        delta = snapshots.difference(before, after)
        data = wire.encode(delta)
        got = snapshots.apply(before, wire.decode(data), leader="l")
        self.assertEqual(after.members, got.members)
        self.assertEqual(after.servers, got.servers)
        self.assertEqual(after.maps["new"].ranges, got.maps["new"].ranges)
        self.assertLess(len(data), fragments.FRAGMENT_BYTES)

    def test_contracts_survive_their_parts(self):
        works = [
            contractset.Work(
                name=f"work-{number}",
                host="h",
                prefix=f"/{number * 7919 % 10_007}/",
                rank=number % 3,
                repeatable=True,
                objective=0.2,
                timeout=1.0,
                attempts=2,
                shares=(contractset.Share(pool="p", weight=1.0),),
            )
            for number in range(400)
        ]
        limits = contractset.MessageLimits(
            head_bytes=1, body_bytes=1, head_seconds=1.0, idle_seconds=1.0
        )
        pool = contractset.Pool(name="p", keyed=True, connections=3)
        sent = ports.VersionedContracts(
            contracts=contractset.build(
                version=7, works=works, pools=[pool], limits=limits
            ),
            revision=12,
        )
        packed = contractcodec.pack(sent)
        self.assertGreater(len(packed), 1)
        got = contractcodec.unpack(join(packed, payload_id=(12,)), revision=12)
        self.assertEqual(sent, got)

    def test_parts_that_do_not_fit_together_are_malformed(self):
        reassembler = fragments.Reassembler()
        with self.assertRaises(wire.DecodeError):
            reassembler.add((1,), 0, 1, b"no compressed data")

    def test_unfinished_documents_are_bounded(self):
        reassembler = fragments.Reassembler()
        for number in range(50):
            reassembler.add((number,), 0, 2, b"x")
        self.assertLessEqual(
            len(reassembler.fragments), fragments.MAX_INCOMPLETE_PAYLOADS
        )

    def test_a_malformed_datagram_is_an_error_of_its_own(self):
        for data in (b"", b"\xc1", b"\x91\xa5Hello", b"\x00" * 40):
            with self.assertRaises(wire.DecodeError):
                wire.decode(data)


if __name__ == "__main__":
    unittest.main()
