"""Pacing of requests to cold servers: the bound, and replays."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist.node import coldservers
from oleanderhoist.policy import coldpace
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests
from tests import test_coldstarts
from tests import test_server_limit
from tests import virtual

RATE = test_coldstarts.RATE
TERMS = coldservers.ColdTerms(factor=1.5, slack=8.0)
MOST = RATE * TERMS.factor + TERMS.slack
PLAY_SECONDS = 12.0
STEP_SECONDS = 0.02
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)


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
            router.state.contracts = test_coldstarts.contracts()
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


if __name__ == "__main__":
    unittest.main()
