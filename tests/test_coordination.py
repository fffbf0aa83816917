"""Slot queues of pools are coordinated where there is processor time."""

import dataclasses
import unittest

from oleanderhoist.policy import cluster
from oleanderhoist.policy import coordination

LARGE_CORES = 2.15
SMALL_CORES = 0.2
LARGE = {f"10.0.0.{n}:1": LARGE_CORES for n in range(6)}
SMALL = {f"10.0.1.{n}:1": SMALL_CORES for n in range(114)}
QUEUES = 200
# What a pool of 1,000 requests a second sends its coordinator: each request
# asks for a slot and releases it.
DATAGRAMS_PER_SECOND = 2_000
DATAGRAMS_PER_CORE_SECOND = 6_000


def snapshot(cores: dict[str, float]) -> cluster.Snapshot:
    """Returns a snapshot with members of some cores each, by address."""
    return cluster.Snapshot(
        members={
            address: cluster.Member(
                address=address,
                data_center="a",
                cores=own,
                coordination=coordination.RULE,
            )
            for address, own in cores.items()
        }
    )


def coordinators(kind: str, cores: dict[str, float]) -> list[str]:
    """Returns the coordinators of many queues of a kind."""
    members = snapshot(cores)
    return [members.coordinator(f"{kind}/q{n}") for n in range(QUEUES)]


class PoolQueueTest(unittest.TestCase):
    """A pool's queue sends each of its requests to one member."""

    def test_a_busy_queue_takes_all_of_a_small_members_processor_time(self):
        members = {**LARGE, **SMALL}
        overloaded = {
            address
            for address in coordinators("pool", members)
            if members[address] * DATAGRAMS_PER_CORE_SECOND
            < DATAGRAMS_PER_SECOND
        }
        self.assertEqual(set(), overloaded)

    def test_queues_are_spread_over_all_large_members(self):
        chosen = coordinators("pool", {**LARGE, **SMALL})
        self.assertEqual(set(LARGE), set(chosen))

    def test_members_of_nearly_equal_cores_share_the_queues(self):
        cores = {**dict.fromkeys(LARGE, 1.0), **dict.fromkeys(SMALL, 0.6)}
        chosen = coordinators("pool", cores)
        self.assertTrue(set(chosen) & set(SMALL))
        self.assertTrue(set(chosen) & set(LARGE))

    def test_small_members_coordinate_once_the_large_ones_are_gone(self):
        self.assertLessEqual(set(coordinators("pool", SMALL)), set(SMALL))


class EarlierBuildTest(unittest.TestCase):
    """Routers of two builds agree on the coordinator of each queue."""

    # By the routers of 227cae6, with these members.
    FORMER = {
        "pool/q0": "10.0.0.1:1",
        "pool/q1": "10.0.1.89:1",
        "pool/q2": "10.0.1.24:1",
        "server/q0": "10.0.0.5:1",
    }

    def test_a_pool_has_two_coordinators_during_an_update(self):
        members = dict(snapshot({**LARGE, **SMALL}).members)
        address = next(iter(SMALL))
        members[address] = dataclasses.replace(members[address], coordination=0)
        mixed = cluster.Snapshot(members=members)
        chosen = {queue: mixed.coordinator(queue) for queue in self.FORMER}
        self.assertEqual(self.FORMER, chosen)

    def test_coordinators_of_an_earlier_rule_are_kept(self):
        after = snapshot({**LARGE, **SMALL})
        members = {
            address: dataclasses.replace(member, coordination=0)
            for address, member in after.members.items()
        }
        before = cluster.Snapshot(members=members)
        former = before.coordinator("pool/q1")
        after.reuse_coordinators(before)
        self.assertNotEqual(former, after.coordinator("pool/q1"))


class KeyedQueueTest(unittest.TestCase):
    """The queue of one server is small."""

    def test_queues_of_keyed_servers_are_spread_over_small_members(self):
        chosen = coordinators("server", {**LARGE, **SMALL})
        self.assertTrue(set(chosen) & set(SMALL))


if __name__ == "__main__":
    unittest.main()
