"""When servers count as cold, and what that means for their keys."""

import json
import math
import unittest

from oleanderhoist import codes
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import coldservers
from oleanderhoist.node import freshness
from oleanderhoist.node import jobs
from oleanderhoist.node import results
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.platform import directory
from oleanderhoist.policy import balance
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coldstarts
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from oleanderhoist.policy import retry
from oleanderhoist.policy import storeclock
from tests import test_keys
from tests import test_odd_entries
from tests import virtual

RATE = 6.0  # Requests per second.
COLD_SECONDS = 3.0


def contracts() -> contractset.ContractSet:
    """Returns contracts with a pool whose cold servers are limited."""
    pool = contractset.Pool(
        name="p",
        keyed=True,
        connections=10,
        cold_rate=RATE,
        cold_seconds=COLD_SECONDS,
    )
    limits = contractset.MessageLimits(
        head_bytes=1, body_bytes=1, head_seconds=1.0, idle_seconds=1.0
    )
    return contractset.build(version=1, works=[], pools=[pool], limits=limits)


class EntryTest(unittest.TestCase):
    """What entries say of how long their servers stay cold."""

    def decode(self, value: str) -> ports.ServerListing:
        """Returns the listing of an entry with a cold time."""
        text = json.dumps(test_odd_entries.GOOD)[:-1]
        text += f', "cold_remaining_ms": {value}}}'
        return directory.decode([test_odd_entries.row("s", text.encode())])

    def test_a_cold_server_is_listed_as_any_other(self):
        plain = json.dumps(test_odd_entries.GOOD).encode()
        listing = directory.decode([test_odd_entries.row("s", plain)])
        self.assertFalse(listing.servers["s"].cold)
        for value, cold in {"0": 0, "0.0": 0, "0.5": 1, "2870": 1}.items():
            listing = self.decode(value)
            self.assertEqual(bool(cold), listing.servers["s"].cold, value)
            self.assertEqual({}, listing.odd_cold_times)

    def test_an_odd_time_hides_its_server_or_means_a_warm_one(self):
        odd = ("-1", "-0.5", '"3"', "null", "[1]", "true", "1e400", "9" * 400)
        for value in odd:
            listing = self.decode(value)
            self.assertTrue(listing.servers["s"].cold, value)
            self.assertEqual({}, listing.rejected)
            self.assertLessEqual(len(listing.odd_cold_times["s"]), 40)

    def test_a_listing_changes_while_a_server_stays_cold(self):
        listings = [self.decode(value).servers for value in ("900", "30")]
        self.assertEqual(*listings)
        merged = cluster.merge_listing(
            listings[0], self.decode("0").servers, last_failure_at=0.0, now=9.0
        )
        self.assertFalse(merged["s"].cold)


class CauseTest(unittest.TestCase):
    """When a server counts as cold."""

    def setUp(self):
        self.absence = coldstarts.Absence()
        self.confirmed_at = 0.0
        self.ended: dict[str, float] = {}

    def cause(
        self, now: float, *, published: bool = False
    ) -> coldstarts.Cause | None:
        """Returns why the server counts as cold."""
        return coldstarts.find_cause(
            published=published,
            absence=self.absence,
            data_center="a",
            cold_seconds=COLD_SECONDS,
            belief=coldstarts.Belief(
                directory_seconds=1.0,
                confirmed_at=self.confirmed_at,
                ended_evacuations=self.ended,
            ),
            now=now,
        )

    def test_what_was_published_holds_for_good(self):
        self.assertIsNone(self.cause(9.0))
        self.confirmed_at = 9.0
        published = coldstarts.Cause.PUBLISHED
        self.assertEqual(published, self.cause(9.0, published=True))
        self.assertEqual(published, self.cause(11.9, published=True))
        self.assertIsNone(self.cause(12.1, published=True))
        self.confirmed_at = -math.inf
        self.assertEqual(published, self.cause(99.0, published=True))

    def test_a_server_that_was_away_is_warm_on_its_return(self):
        self.absence.record_failure()
        self.assertIsNone(self.cause(10.0))
        self.absence.record_failure()
        self.assertEqual(coldstarts.Cause.SILENT, self.cause(10.0))
        self.absence.record_answer(12.0)
        self.assertEqual(coldstarts.Cause.RETURNED, self.cause(13.7))
        # An entry read since then must have been written after the return.
        self.confirmed_at = 13.1
        self.assertIsNone(self.cause(13.9))
        self.confirmed_at = 12.9
        self.assertEqual(coldstarts.Cause.RETURNED, self.cause(14.9))
        self.assertIsNone(self.cause(15.1))

    def test_a_busy_server_counts_as_away(self):
        self.absence.record_silence(10.0)
        self.absence.record_silence(10.1)
        self.assertIsNone(self.cause(10.9))
        self.absence.record_answer(10.9)
        self.assertIsNone(self.cause(11.5))
        self.absence.record_silence(12.0)
        self.absence.record_silence(12.1)
        self.absence.record_answer(13.2)
        self.assertEqual(coldstarts.Cause.RETURNED, self.cause(13.3))

    def test_servers_are_warm_when_an_evacuation_was_taken_back(self):
        self.ended = {"a": 10.0, "b": 12.0}
        self.assertEqual(coldstarts.Cause.EVACUATED, self.cause(11.0))
        self.confirmed_at = 11.5
        self.assertIsNone(self.cause(12.0))

    def test_keys_go_to_servers_whose_evacuation_was_taken_back(self):
        servers = {
            name: cluster.Server(
                id=name, pool="p", address="x:1", data_center=name, slots=3
            )
            for name in ("a", "b")
        }
        belief = coldstarts.Belief(
            directory_seconds=1.0,
            confirmed_at=10.0,
            ended_evacuations={"a": 10.0},
        )
        pool = contracts().pools["p"]
        marked = coldservers.mark_returned(servers, pool, belief, 11.0)
        self.assertTrue(marked["a"].cold)
        self.assertFalse(marked["b"].cold)

    def test_an_answer_shows_that_a_server_is_away(self):
        def attempt(
            failure: retry.Failure, *, without_response: bool = True
        ) -> jobs.FailedAttempt:
            return jobs.FailedAttempt(
                failure=failure,
                code=codes.LOST,
                without_response=without_response,
            )

        unsent = attempt(retry.Failure.NOT_SENT)
        lost = attempt(retry.Failure.OUTCOME_UNKNOWN)
        failed = attempt(retry.Failure.REFUSED, without_response=False)
        self.assertTrue(results.is_unanswered(unsent, silent=False))
        self.assertFalse(results.is_unanswered(lost, silent=False))
        self.assertTrue(results.is_unanswered(lost, silent=True))
        self.assertFalse(results.is_unanswered(failed, silent=True))
        self.assertFalse(results.is_unanswered(None, silent=True))

    def test_a_heartbeat_confirms_a_snapshot_that_was_lost(self):
        loop = virtual.Loop()
        time = virtual.Clock(loop=loop)
        known = state.State()
        known.snapshot = cluster.Snapshot(epoch=1, version=4)
        follower = freshness.Freshness(
            state=known,
            clock=time,
            store_clock=storeclock.StoreClock(),
            lag=program.LoopLag(clock=time),
            own_address="r",
            propagation_seconds=2.0,
        )
        for version, is_confirmed in ((5, False), (4, True)):
            message = wire.Heartbeat(
                epoch=1,
                version=version,
                contracts_revision=0,
                age_ms=200,
                record=0,
            )
            follower.hear(message)
            age = known.snapshot_confirmation.age(loop.now)
            self.assertEqual(is_confirmed, age < 1.0)
        loop.close()


class KeysTest(unittest.TestCase):
    """Keys do not flood a server that is cold."""

    def test_a_new_server_gets_half_of_the_busiest_one(self):
        rates = dict.fromkeys(range(0, 800, 100), 2.5)
        key_map = keys.divide_by_weight([("busy", 1.0)])
        moved = {}
        for cold in (frozenset(), frozenset({"new"})):
            capacity = RATE if cold else 30.0
            planner = balance.Planner(
                key_map=key_map,
                counts=test_keys.counter(rates).counts(),
                capacities={"busy": 30.0, "new": capacity},
                held=[],
                measured=frozenset({"busy"}),
                cold=cold,
            )
            (move,) = planner.first_moves()
            load = sum(
                rate
                for key, rate in rates.items()
                if move.start <= key <= move.end
            )
            moved[bool(cold)] = load
        self.assertGreater(moved[False], RATE)
        self.assertLess(moved[True], RATE)

    def test_a_hot_key_goes_to_a_cold_server_that_has_none(self):
        planner = balance.Planner(
            key_map=keys.divide_by_weight([("busy", 1.0)]),
            counts=test_keys.counter({7: 20.0}).counts(),
            capacities={"busy": 30.0, "new": RATE},
            held=[],
            measured=frozenset({"busy"}),
            cold=frozenset({"new"}),
        )
        self.assertEqual([], planner.first_moves())


if __name__ == "__main__":
    unittest.main()
