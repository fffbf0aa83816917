"""Properties of the policies."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist.policy import delegations
from oleanderhoist.policy import dispatch
from oleanderhoist.policy import leadership
from oleanderhoist.policy import placement
from oleanderhoist.policy import ratelimits
from oleanderhoist.policy import retry
from oleanderhoist.policy import topology

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


def space(count: int, servers: list[str]) -> topology.PartitionMap:
    """Returns a partition map divided evenly among servers."""
    ownerships = [
        topology.Ownership(owner=servers[i % len(servers)], fence=1)
        for i in range(count)
    ]
    return topology.PartitionMap(pool="p", partitions=ownerships)


class DelegationLedgerTest(unittest.TestCase):
    """Assignments expire no sooner than the last deadline that was sent."""

    @FIXED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(1, 5),
                strategies.floats(0, 10),
                strategies.booleans(),
            ),
            max_size=30,
        ),
        strategies.integers(1, 6),
    )
    def test_bound_covers_every_order(self, steps, version):
        book = delegations.DelegationLedger()
        sent = collections.defaultdict(float)
        now = 0.0
        for entry, lent, ahead, reports in steps:
            now += 0.1
            limit = now + ahead
            book.record(
                entry=entry,
                server="s",
                version=lent,
                revision=lent,
                expires_at=limit,
            )
            deadline = now + ahead / 2
            key = (entry, lent)
            sent[key] = max(sent[key], deadline)
            if reports:
                for (other, own), latest in sent.items():
                    if other == entry:
                        book.report(entry, "s", own, latest)
                book.acknowledge(entry, lent)
        bound = book.earlier_assignments_expire_at("s", version, version)
        acked = book.acked
        for (entry, own), latest in sent.items():
            if own < version and acked.get(entry, 0) < version:
                self.assertGreaterEqual(bound, latest)


class RestartedEntryTest(unittest.TestCase):
    """An entry is killed before it has reported all that it sent."""

    def setUp(self):
        self.book = delegations.DelegationLedger()
        self.book.observe_process("e", 1)
        self.book.record(
            entry="e", server="s", version=1, revision=1, expires_at=5.0
        )
        self.book.report("e", "s", 1, 2.0)
        self.book.acknowledge("e", 1)

    def bound(self) -> float:
        """Returns when the first assignment has expired."""
        return self.book.earlier_assignments_expire_at("s", 2, 2)

    # Guards against a partition that moves while an earlier lease holds.
    def test_its_successor_does_not_vouch_for_it(self):
        self.book.observe_process("e", 2)
        self.book.acknowledge("e", 2)
        self.assertEqual(5.0, self.bound())
        self.book.observe_process("e", 1)  # A late message of the former.
        self.book.acknowledge("e", 2)
        self.assertEqual(5.0, self.bound())

    def test_the_same_process_and_earlier_versions_are_believed(self):
        for incarnation in (1, 0):
            self.book.observe_process("e", incarnation)
            self.book.acknowledge("e", 2)
            self.assertEqual(2.0, self.bound())

    def test_what_has_ended_is_forgotten(self):
        self.book.observe_process("e", 2)
        self.book.prune(6.0)
        self.assertEqual(0.0, self.bound())


class LeadershipTest(unittest.TestCase):
    """A leader's lease cannot be extended past a takeover.

    Any two majorities of the voters share a placer.
    """

    @FIXED
    @hypothesis.given(
        strategies.integers(1, 7),
        strategies.sets(strategies.integers(0, 6)),
        strategies.sets(strategies.integers(0, 6)),
    )
    def test_no_hold_outlives_a_takeover(self, count, holders, standers):
        roster = {f"p{i}": f"a{i}" for i in range(count)}
        promises = {p: leadership.Promises(started_at=0.0) for p in roster}
        hold = leadership.LeaseExtension(rosters=[roster])
        record = leadership.LeaderRecord(
            epoch=1,
            holder="p0",
            peer_address="",
            api_address="",
            expires_at=10.0,
            lent_until=10.0,
            roster=roster,
        )
        takeover = leadership.Takeover(
            previous=record, max_skew=0.05, max_extension=100.0
        )
        for i in standers:
            if f"p{i}" in roster:
                until = promises[f"p{i}"].fence_epochs(2)
                takeover.record_fenced(f"p{i}", until)
        for i in holders:
            granted = f"p{i}" in roster and promises[f"p{i}"].request(
                1, 11.0, 10.5, True
            )
            if granted:
                hold.promise(f"p{i}", 11.0)
        self.assertLess(hold.until(), takeover.moves_allowed_after())

    def test_a_restarted_placer_counts_its_forgotten_promise(self):
        promises = leadership.Promises(started_at=5.0)
        self.assertGreaterEqual(promises.fence_epochs(2), 5.8)

    def test_an_unresolved_roster_needs_both_majorities(self):
        old = {"a": "", "b": "", "c": ""}
        new = {"c": "", "d": "", "e": ""}
        extension = leadership.LeaseExtension(rosters=[old, new])
        for placer in "abc":
            extension.promise(placer, 9.0)
        self.assertEqual(0.0, extension.until())
        extension.promise("d", 8.0)
        self.assertEqual(8.0, extension.until())


class PlacementTest(unittest.TestCase):
    """Few partitions move, within the bound on each server's load."""

    @FIXED
    @hypothesis.given(strategies.integers(2, 15), strategies.integers(16, 256))
    @hypothesis.example(13, 17)
    @hypothesis.example(14, 18)
    @hypothesis.example(15, 19)
    @hypothesis.example(15, 20)
    def test_a_loss_moves_only_what_was_lost(self, servers, count):
        names = [f"s{i}" for i in range(servers)]
        present = space(count, names)
        policy = placement.BoundedLeastChurn()
        wanted = policy.place(present, names[1:], {})
        moved = [
            n
            for n in present.partition_names()
            if present.ownership(n).owner != wanted[n]
        ]
        lost = [
            n
            for n in present.partition_names()
            if present.ownership(n).owner == "s0"
        ]
        self.assertLessEqual(len(moved), len(lost) * 1.05 + 1)
        sizes = collections.Counter(wanted.values())
        self.assertLessEqual(max(sizes.values()), count / (servers - 1) + 2)

    def test_every_policy_places_every_partition(self):
        for name in placement.PLACEMENTS.names():
            policy = placement.PLACEMENTS.get(name)()
            wanted = policy.place(space(64, ["a", "b"]), ["b", "c"], {})
            self.assertEqual(64, len(wanted))
            self.assertLessEqual(set(wanted.values()), {"b", "c"})

    def test_a_settled_map_stays(self):
        present = space(64, ["a", "b", "c", "d"])
        policy = placement.BoundedLeastChurn()
        wanted = policy.place(present, ["a", "b", "c", "d"], {})
        for name in present.partition_names():
            self.assertEqual(present.ownership(name).owner, wanted[name])


def slot_request(id: int, rank: int, now: float) -> dispatch.SlotRequest:
    """Returns a request of 10 ms with a distant deadline."""
    return dispatch.SlotRequest(
        id=id,
        rank=rank,
        deadline=now + 100,
        queued_at=now,
        worth=1.0,
        requester="e",
        expected_seconds=0.01,
    )


class DispatchTest(unittest.TestCase):
    """Ranks get their shares whichever rank floods the queue."""

    def served(self, flood: int, shares: dict[int, float]) -> dict[int, float]:
        """Returns each rank's part of the slots while all ranks wait."""
        dispatcher = dispatch.Dispatcher(
            policy=dispatch.GuaranteedShare(), slots=2, shares=shares
        )
        ids = iter(range(1_000_000))
        counts = collections.Counter()
        now = 0.0
        for _ in range(2000):
            now += 0.005
            for rank in dispatch.RANKS:
                depth = 20 if rank == flood else 4
                while len(dispatcher.queues[rank]) < depth:
                    dispatcher.enqueue(slot_request(next(ids), rank, now), now)
            granted, _ = dispatcher.fill_slots(now)
            for request in granted:
                counts[request.rank] += 1
                dispatcher.release("e", request.id, 0.01)
        total = sum(counts.values())
        return {rank: counts[rank] / total for rank in dispatch.RANKS}

    def test_no_rank_falls_below_its_share(self):
        shares = {1: 0.6, 2: 0.3, 3: 0.1}
        for flood in dispatch.RANKS:
            parts = self.served(flood, shares)
            for rank in dispatch.RANKS:
                with self.subTest(flood=flood, rank=rank):
                    self.assertGreaterEqual(parts[rank], shares[rank] * 0.95)

    def test_a_ticket_that_cannot_end_in_time_is_turned_away(self):
        dispatcher = dispatch.Dispatcher(
            policy=dispatch.GuaranteedShare(), slots=1, shares={}
        )
        request = slot_request(1, 3, 0.0)
        request.deadline = 0.005
        self.assertFalse(dispatcher.enqueue(request, 0.0))

    def test_a_lost_holder_gives_its_slots_back(self):
        dispatcher = dispatch.Dispatcher(
            policy=dispatch.StrictPriority(), slots=1, shares={}
        )
        dispatcher.enqueue(slot_request(1, 1, 0.0), 0.0)
        dispatcher.fill_slots(0.0)
        dispatcher.drop_requester("e")
        self.assertEqual(0, dispatcher.depth())


class LimitsTest(unittest.TestCase):
    """Allocations follow demand and never exceed the limit."""

    @FIXED
    @hypothesis.given(
        strategies.floats(0.1, 1e6),
        strategies.dictionaries(
            strategies.text(min_size=1, max_size=4),
            strategies.floats(0, 1e6),
            min_size=1,
            max_size=30,
        ),
    )
    def test_shares_add_up_to_the_limit(self, limit, demands):
        shares = ratelimits.allocate(limit, demands)
        self.assertAlmostEqual(limit, sum(shares.values()), delta=limit * 1e-6)
        floor = ratelimits.guaranteed_rate(limit, len(demands))
        self.assertGreaterEqual(min(shares.values()), floor * 0.999)

    def test_a_bucket_admits_its_rate(self):
        bucket = ratelimits.TokenBucket(tokens=5.0, updated_at=0.0)
        taken = sum(bucket.take(10.0, 5.0, i / 100) for i in range(1000))
        self.assertLessEqual(taken, 5 + 10 * 10 + 1)
        self.assertGreaterEqual(taken, 100)


class RetryTest(unittest.TestCase):
    """Retries stay within the budget; unrepeatable work is not retried."""

    def test_the_budget_is_a_tenth(self):
        budget = retry.Budget()
        spent = 0
        for _ in range(10_000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 10_000 * 0.1 + retry.BUDGET_CREDIT)

    def test_a_lost_order_is_never_sent_again(self):
        self.assertFalse(
            retry.allowed(
                failure=retry.Failure.OUTCOME_UNKNOWN,
                repeatable=False,
                attempts=1,
                remaining=9.0,
            )
        )
