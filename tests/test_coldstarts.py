"""Servers that stand few requests after a start: policy and replays."""

import dataclasses
import json
import math
import random
import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist import codes
from oleanderhoist import ports
from oleanderhoist.node import coldservers
from oleanderhoist.node import jobs
from oleanderhoist.node import results
from oleanderhoist.platform import directory
from oleanderhoist.policy import balance
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coldpace
from oleanderhoist.policy import coldstarts
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from oleanderhoist.policy import retry
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests
from tests import test_keys
from tests import test_odd_entries
from tests import test_server_limit
from tests import virtual

RATE = 6.0  # Requests per second.
TERMS = coldservers.ColdTerms(factor=1.5, slack=8.0)
MOST = RATE * TERMS.factor + TERMS.slack
COLD_SECONDS = 3.0
PLAY_SECONDS = 12.0
STEP_SECONDS = 0.02
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)


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


class BoundTest(unittest.TestCase):
    """All routers together stay below the bound in any second."""

    @FIXED
    @hypothesis.given(
        rate=strategies.floats(0.2, 60),
        factor=strategies.floats(0.5, 4),
        slack=strategies.floats(0, 40),
        routers=strategies.integers(1, 12),
        seed=strategies.integers(0, 2**32),
    )
    def test_several_routers_exceed_the_bound(
        self, rate: float, factor: float, slack: float, routers: int, seed: int
    ):
        rng = random.Random(seed)
        bound = coldpace.Bound(rate=rate, most=rate * factor + slack)
        turns_cold_at = rng.uniform(0, 1)
        paces = [
            coldpace.ColdPace(bound=bound, routers=routers, now=turns_cold_at)
            for _ in range(routers)
        ]
        first, second = rng.randrange(routers), rng.randrange(routers)
        changes_at = turns_cold_at + rng.uniform(0, 4)
        overlap = rng.uniform(0, 2)  # While both act as the coordinator.
        bypass_from = turns_cold_at + rng.uniform(0, 4)
        arrivals: list[float] = []

        def send(pace: coldpace.ColdPace, now: float) -> None:
            while pace.allows(now):
                pace.take(now)
                delay = rng.choice((0.0, rng.random(), 1.0))
                arrivals.append(now + coldpace.SEND_SECONDS * delay)

        for step in range(int(6 / STEP_SECONDS)):
            now = turns_cold_at + step * STEP_SECONDS
            if now < changes_at + overlap and rng.random() < 0.9:
                send(paces[first], now)
            if now >= changes_at:
                send(paces[second], now)
            if now >= bypass_from:
                for pace in paces:
                    pace.is_bypass = True
                    send(pace, now)
                    pace.is_bypass = False
        busiest = test_server_limit.busiest(arrivals, 1.0)
        self.assertLessEqual(busiest, bound.most)

    def test_a_generous_bound_lowers_the_rate(self):
        bound = coldpace.Bound(rate=RATE, most=MOST)
        self.assertGreater(bound.coordinator_rate, 0.95 * RATE)
        self.assertLess(bound.share(12), 1.0)
        wide = coldpace.Bound(rate=2.0, most=60.0)
        self.assertEqual(2.0, wide.coordinator_rate)
        self.assertGreater(wide.share(12), 1.0)
        self.assertEqual(0.0, wide.share(0))


class QueueTest(unittest.TestCase):
    """A pool's other servers take what a cold one does not stand."""

    def test_a_cold_server_gets_the_requests_of_its_pool(self):
        queue = slotqueue.SlotQueue(service_seconds=0.05)
        queue.update(
            [
                serverslots.ServerSlots(
                    id=id, data_center="a", slots=3, service_seconds=0.05
                )
                for id in ("cold", "warm")
            ]
        )
        bound = coldpace.Bound(rate=RATE, most=MOST)
        server = queue.servers["cold"]
        server.cold = coldpace.ColdPace(bound=bound, routers=9, now=0.0)
        server.limit(50.0, 0.0)
        granted: dict[str, list[float]] = {"cold": [], "warm": []}
        rng = random.Random(3)
        now = 0.0
        running: list[tuple[float, str, int]] = []
        for id in range(int(PLAY_SECONDS * 30)):
            now += rng.expovariate(30.0)
            while running and running[0][0] <= now:
                _, name, ended = running.pop(0)
                queue.release(
                    "r", ended, name, seconds=0.05, failed=False, now=now
                )
            request = slotrequests.SlotRequest(
                id=id,
                requester="r",
                rank=0,
                deadline=now + 1.0,
                objective=now + 0.3,
            )
            for verdict in [
                queue.submit(request, now),
                *queue.grant_waiting(now),
            ]:
                if isinstance(verdict, slotrequests.Granted):
                    granted[verdict.server].append(now)
                    key = (now + 0.05, verdict.server, verdict.request.id)
                    running.append(key)
        self.assertLessEqual(
            test_server_limit.busiest(granted["cold"], 1.0), MOST / 2
        )
        total = sum(len(times) for times in granted.values())
        self.assertGreater(total, 0.97 * id)
        # The end of either pace does not end the other.
        self.assertIsNone(server.pace)
        self.assertIsNotNone(server.cold)
        server.limit(50.0, now)
        server.set_cold(None)
        self.assertIsNotNone(server.pace)

    def test_a_warm_server_seems_slow_for_long(self):
        server = serverslots.ServerSlots(
            id="s", data_center="a", slots=3, service_seconds=0.1
        )
        for _ in range(40):
            server.record_service(0.4)
        server.set_cold(None)
        for _ in range(6):
            server.record_service(0.1)
        self.assertLess(server.service_seconds, 0.25)

    def test_a_refusal_names_a_wait_at_the_usual_rate(self):
        queue = slotqueue.SlotQueue(service_seconds=0.05)
        server = serverslots.ServerSlots(
            id="s", data_center="a", slots=3, service_seconds=0.05
        )
        queue.update([server])
        bound = coldpace.Bound(rate=1.0, most=9.0)
        server.cold = coldpace.ColdPace(bound=bound, routers=9, now=0.0)
        request = slotrequests.SlotRequest(
            id=1, requester="r", rank=0, deadline=5.0, objective=0.3
        )
        verdict = queue.submit(request, 0.0)
        self.assertIsInstance(verdict, slotrequests.Refused)
        self.assertGreater(verdict.retry_after, 0.5)


class ColdFleet(test_server_limit.Fleet):
    """Routers that send requests to one server that is cold."""

    def __init__(self):
        super().__init__()
        self.limit = None
        self.turn(cold=True)

    def turn(self, *, cold: bool) -> None:
        """Publishes that the server is cold, or no longer."""
        self.server = dataclasses.replace(self.server, cold=cold)
        self.adopt(list(self.routers))

    def adopt(self, addresses: list[str]) -> None:
        """Makes routers the members, and tells all running ones."""
        for router in self.routers.values():
            router.state.contracts = contracts()
            router.coordinator.cold_servers.terms = TERMS
        super().adopt(addresses)


class RoutersTest(unittest.TestCase):
    """All routers together keep to the bound, whatever they know."""

    def setUp(self):
        self.fleet = ColdFleet()

    def check(self, *, used: float = 0.6) -> None:
        """Plays requests; checks that the bound is kept, and the rate used."""
        virtual.run(self.fleet.offer(PLAY_SECONDS), self.fleet.loop)
        arrivals = self.fleet.arrivals
        self.assertLessEqual(test_server_limit.busiest(arrivals, 1.0), MOST)
        self.assertGreater(len(arrivals), used * RATE * PLAY_SECONDS)

    def test_a_cold_server_gets_what_its_slots_allow(self):
        self.check(used=0.9)
        at_once = [t for t in self.fleet.refused_after if t < 0.02]
        self.assertGreater(len(at_once), 0.7 * len(self.fleet.refused_after))

    def test_a_new_coordinator_sends_as_much_again(self):
        self.fleet.loop.call_later(4.0, self.fleet.crash_coordinator)
        self.check()

    def test_a_restarted_coordinator_sends_as_much_again(self):
        def restart() -> None:
            self.fleet.restart_coordinator()
            self.fleet.adopt(list(self.fleet.routers))

        self.fleet.loop.call_later(4.0, restart)
        self.check()

    def test_routers_without_the_coordinator_send_as_they_like(self):
        others = set(self.fleet.routers) - {self.fleet.coordinator}
        self.fleet.loop.call_later(3.0, self.fleet.cut.update, others)
        self.check(used=0.3)

    def test_a_server_is_cold_for_good(self):
        self.fleet.loop.call_later(4.0, lambda: self.fleet.turn(cold=False))
        virtual.run(self.fleet.offer(PLAY_SECONDS), self.fleet.loop)
        began = self.fleet.began
        warm = [t for t in self.fleet.arrivals if t - began > 5.0]
        unpaced = test_server_limit.UNPACED_PER_SECOND
        self.assertGreater(len(warm), 6 * unpaced)


class ReturnTest(unittest.TestCase):
    """A server that was away restarts slowly, whatever its entry says."""

    def setUp(self):
        self.fleet = ColdFleet()
        self.fleet.turn(cold=False)
        self.is_dark = False
        for router in self.fleet.routers.values():
            release = router.client.release
            router.client.release = self.dark_release(release)

    def dark_release(self, release):
        """Returns a release of attempts that fail while the server is dark."""

        def wrapped(grant, *, seconds: float, failed: bool) -> None:
            if self.is_dark:
                self.fleet.arrivals.pop()
                release(grant, seconds=None, failed=True, unanswered=True)
            else:
                release(grant, seconds=seconds, failed=failed)

        return wrapped

    def test_a_server_comes_back_to_all_its_requests(self):
        began = self.fleet.began
        self.fleet.loop.call_later(4.0, setattr, self, "is_dark", True)
        self.fleet.loop.call_later(6.0, setattr, self, "is_dark", False)
        virtual.run(self.fleet.offer(PLAY_SECONDS), self.fleet.loop)
        back = [t - began for t in self.fleet.arrivals if t - began > 6.0]
        cold = [t for t in back if t < 7.5]
        self.assertLessEqual(test_server_limit.busiest(cold, 1.0), MOST)
        self.assertGreater(len(cold), 5)
        # The listing, read since then, says that it is not cold.
        warm = [t for t in back if t > 9.5]
        unpaced = test_server_limit.UNPACED_PER_SECOND
        self.assertGreater(len(warm), 2 * unpaced)


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
