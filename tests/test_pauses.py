"""Routers and servers that want no requests from them for a while."""

import asyncio
import dataclasses
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import pauses
from tests import forwarding_fleet
from tests import test_forwarder
from tests import virtual

PAUSED = "a"  # Also the owner of all keys.
PAUSE_SECONDS = 1.0
SHORT_PAUSE_SECONDS = 0.1  # Well before the objective of the requests.
PLAY_SECONDS = 6.0
SERVER = cluster.Server(
    id=PAUSED, pool="p", address="a:1", data_center="a", slots=1, started_ms=1
)


class NoticeTest(unittest.TestCase):
    """The header is decoded once, or ignored."""

    def notice(self, *values: bytes, status: int = 503) -> ports.ServerNotice:
        """Returns the notice of a response with values of the header."""
        headers = [(b"retry-after", value) for value in values]
        return protocol.server_notice(
            messages.Response(status=status, headers=headers)
        )

    def test_a_pause_is_not_understood(self):
        cases = {b"2": 2.0, b"0.25": 0.25, b"1.500": 1.5, b"0": 0.0}
        for value, seconds in cases.items():
            self.assertEqual(seconds, self.notice(value).pause, value)
            self.assertEqual(seconds, self.notice(value, value).pause, value)
        self.assertIsNone(self.notice().pause)

    def test_an_odd_pause_stops_all_requests(self):
        date = b"Sun, 06 Dec 2026 08:49:37 GMT"
        odd = (b"", b"-1", b"inf", b"nan", b"1e3", b".", b"soon", date)
        for value in (*odd, b"9" * 400, b"1, 2"):
            notice = self.notice(value)
            self.assertIsNone(notice.pause, value)
            text = notice.unreadable[ports.NoticeField.PAUSE]
            self.assertIn("retry-after", text)
            self.assertLess(len(text), 80)
        self.assertIsNone(self.notice(b"1", b"2").pause)

    def test_another_answer_names_a_pause(self):
        for status in (200, 404, 429, 500):
            notice = self.notice(b"1", status=status)
            self.assertEqual(ports.ServerNotice(), notice, status)


class PausesTest(unittest.TestCase):
    """Until when servers want no requests."""

    def setUp(self):
        self.pauses = pauses.Pauses()
        self.pauses.add(SERVER.incarnation, 2.0, 10.0)

    def test_a_pause_ends_early_or_never(self):
        self.assertAlmostEqual(0.5, self.pauses.remaining(SERVER, 11.5))
        self.assertEqual(0.0, self.pauses.remaining(SERVER, 12.0))

    def test_a_shorter_one_ends_it(self):
        self.pauses.add(SERVER.incarnation, 0.5, 11.0)
        self.assertAlmostEqual(1.0, self.pauses.remaining(SERVER, 11.0))
        self.pauses.add(SERVER.incarnation, 3.0, 11.0)
        self.assertAlmostEqual(3.0, self.pauses.remaining(SERVER, 11.0))

    def test_a_pause_outlives_its_process(self):
        restarted = dataclasses.replace(SERVER, started_ms=2)
        self.assertEqual(0.0, self.pauses.remaining(restarted, 11.0))
        self.assertEqual(frozenset(), self.pauses.paused([restarted], 11.0))

    def test_one_paused_server_stops_the_others(self):
        other = dataclasses.replace(SERVER, id="b")
        self.assertEqual({PAUSED}, self.pauses.paused([SERVER, other], 11.0))
        self.assertEqual(
            0.0, self.pauses.least_remaining([SERVER, other], 11.0)
        )
        self.pauses.add(other.incarnation, 0.25, 11.0)
        self.assertAlmostEqual(
            0.25, self.pauses.least_remaining([SERVER, other], 11.0)
        )
        self.assertEqual(0.0, self.pauses.least_remaining([], 11.0))

    def test_pauses_are_not_bounded(self):
        for number in range(2 * pauses.MAX_PAUSES):
            incarnation = cluster.Incarnation(id=f"s{number}", started_ms=1)
            self.pauses.add(incarnation, 1e9, 11.0)
        self.assertEqual(pauses.MAX_PAUSES, len(self.pauses.ends))
        self.assertIn(incarnation, self.pauses.ends)
        self.pauses.add(SERVER.incarnation, 1.0, 3e9)
        self.assertEqual([SERVER.incarnation], list(self.pauses.ends))

    def test_a_request_waits_until_its_objective_is_missed(self):
        times = {"arrived": 10.0, "objective": 11.0}
        self.assertTrue(pauses.may_wait(10.4, **times))
        self.assertFalse(pauses.may_wait(10.9, **times))


class ReplayTest(unittest.TestCase):
    """Several routers and a pool whose servers name pauses."""

    def play(self, fleet: forwarding_fleet.Fleet) -> None:
        """Plays requests; the servers turn some of them away."""
        virtual.run(fleet.offer(PLAY_SECONDS), fleet.loop)
        self.assertEqual([], fleet.unwanted())

    def test_a_router_sends_on_to_a_server_that_named_a_pause(self):
        fleet = forwarding_fleet.Fleet()
        fleet.refusals[PAUSED] = [PAUSE_SECONDS] * 8
        self.play(fleet)
        self.assertEqual([], fleet.refusals[PAUSED])
        for outcome in fleet.outcomes:
            self.assertIsInstance(outcome, outcomes.Complete)

    def test_other_routers_stop_as_well(self):
        fleet = forwarding_fleet.Fleet()
        fleet.refusals[PAUSED] = [PLAY_SECONDS]
        self.play(fleet)
        ((told, _, begin, _),) = fleet.paused
        senders = {
            router
            for router, id, at in fleet.arrivals
            if id == PAUSED and at > begin
        }
        self.assertNotIn(told, senders)
        self.assertEqual(len(fleet.routers) - 1, len(senders))

    def test_requests_queue_for_slots_of_a_server_that_pauses(self):
        for per_second in (60.0, 75.0):  # The other server completes 40.
            fleet = forwarding_fleet.Fleet(routers=2, servers="ab")
            router = fleet.routers[0]
            incarnation = fleet.snapshot.servers[PAUSED].incarnation
            router.state.pauses.add(incarnation, 60.0, fleet.loop.now)
            fleet.callers = [router]
            virtual.run(fleet.offer(PLAY_SECONDS, per_second), fleet.loop)
            self.assertEqual(0, fleet.reached(PAUSED))
            for outcome, took in zip(fleet.outcomes, fleet.took, strict=True):
                served = isinstance(outcome, outcomes.Complete)
                limit = forwarding_fleet.OBJECTIVE_SECONDS if served else 0.01
                self.assertLess(took, limit, outcome)

    def test_all_servers_name_pauses_and_are_asked_again(self):
        fleet = forwarding_fleet.Fleet()
        for id in "abc":
            fleet.refusals[id] = [0.05, 0.4, PAUSE_SECONDS, 0.2] * 3
        self.play(fleet)
        served = sum(isinstance(o, outcomes.Complete) for o in fleet.outcomes)
        self.assertGreater(served, 0.8 * len(fleet.outcomes))
        refused = [o for o in fleet.outcomes if isinstance(o, outcomes.NotRun)]
        self.assertEqual(len(fleet.outcomes), served + len(refused))
        for outcome in refused:
            self.assertGreater(outcome.retry_after, 0.0)


class RouterTest(unittest.TestCase):
    """What one router does with the only server that can run a request."""

    def play(
        self, fleet: forwarding_fleet.Fleet, pause: float, count: int = 2
    ) -> list[float]:
        """Forwards requests one after the other; returns how long they took."""
        fleet.refusals[PAUSED] = [pause]

        async def scenario() -> list[float]:
            took = []
            for _ in range(count):
                began = fleet.loop.now
                await fleet.call(fleet.routers[0])
                took.append(fleet.loop.now - began)
            return took

        took = virtual.run(scenario(), fleet.loop)
        self.assertEqual([], fleet.unwanted())
        return took

    def check_refused(self, fleet: forwarding_fleet.Fleet) -> None:
        """Checks that two requests were refused at once, with the true time."""
        took = self.play(fleet, PAUSE_SECONDS)
        for seconds, outcome in zip(took, fleet.outcomes, strict=True):
            self.assertLess(seconds, 0.01)
            self.assertIs(codes.SERVER_REFUSED, outcome.code)
            self.assertAlmostEqual(PAUSE_SECONDS, outcome.retry_after, places=2)

    def check_waits(self, fleet: forwarding_fleet.Fleet) -> None:
        """Checks that a request waits for the end of a short pause."""
        took = self.play(fleet, SHORT_PAUSE_SECONDS)
        first = SHORT_PAUSE_SECONDS + forwarding_fleet.SERVICE_SECONDS
        self.assertAlmostEqual(first, took[0], places=2)
        for outcome in fleet.outcomes:
            self.assertIsInstance(outcome, outcomes.Complete)

    def test_a_request_waits_for_the_end_of_a_long_pause(self):
        for keyed in (False, True):
            self.check_refused(
                forwarding_fleet.Fleet(routers=1, servers="a", keyed=keyed)
            )

    def test_the_last_attempt_names_a_shorter_time(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a")
        fleet.attempts = 1
        self.check_refused(fleet)

    def test_a_request_waits_for_a_pause_past_its_deadline(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a")
        fleet.refusals[PAUSED] = [PAUSE_SECONDS]

        async def scenario() -> tuple[float, outcomes.Outcome]:
            await fleet.call(fleet.routers[0])
            job = test_forwarder.job(
                arrived=fleet.loop.now, objective=4 * PAUSE_SECONDS
            )
            job.deadline = job.arrived + PAUSE_SECONDS / 2
            outcome = await fleet.routers[0].forwarder.serve(job)
            return fleet.loop.now - job.arrived, outcome

        took, outcome = virtual.run(scenario(), fleet.loop)
        self.assertLess(took, 0.01)
        self.assertIs(codes.SERVER_REFUSED, outcome.code)
        self.assertAlmostEqual(PAUSE_SECONDS, outcome.retry_after, places=2)

    def test_a_request_is_refused_though_the_pause_ends_soon(self):
        for keyed in (False, True):
            self.check_waits(
                forwarding_fleet.Fleet(routers=1, servers="a", keyed=keyed)
            )

    def test_a_waiting_request_misses_that_its_key_has_moved(self):
        fleet = forwarding_fleet.Fleet(routers=1, keyed=True)
        fleet.loop.call_later(0.05, fleet.move_keys)
        took = self.play(fleet, 0.2, count=1)
        self.assertEqual(forwarding_fleet.OTHER, fleet.outcomes[0].server)
        self.assertAlmostEqual(
            0.05 + forwarding_fleet.SERVICE_SECONDS, took[0], places=2
        )

    def test_requests_that_wait_for_its_slots_are_sent(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a", slots=1)
        fleet.loop.call_later(
            0.01, fleet.refusals.update, {PAUSED: [PAUSE_SECONDS]}
        )

        async def scenario() -> None:
            calls = [fleet.call(fleet.routers[0]) for _ in range(4)]
            await asyncio.gather(*calls)

        virtual.run(scenario(), fleet.loop)
        self.assertEqual(1, len(fleet.paused))
        self.assertEqual([], fleet.unwanted())
        self.assertEqual(2, fleet.reached(PAUSED))

    def test_a_request_waits_for_a_slot_of_no_server(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="ab")
        router = fleet.routers[0]

        async def scenario() -> float:
            tick = asyncio.create_task(router.coordinator.run())
            fleet.refusals[PAUSED] = [PLAY_SECONDS]
            for _ in range(3):  # Until they have earned another retry.
                await fleet.call(router)
            fleet.refusals[forwarding_fleet.OTHER] = [0.0]  # No pause.
            began = fleet.loop.now
            await fleet.call(router)
            tick.cancel()
            return fleet.loop.now - began

        took = virtual.run(scenario(), fleet.loop)
        self.assertAlmostEqual(forwarding_fleet.SERVICE_SECONDS, took, places=2)
        self.assertEqual([], fleet.unwanted())
        for outcome in fleet.outcomes:
            self.assertEqual(forwarding_fleet.OTHER, outcome.server)

    def test_another_process_of_the_server_stays_unused(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a")
        fleet.refusals[PAUSED] = [PAUSE_SECONDS]

        async def scenario() -> None:
            await fleet.call(fleet.routers[0])
            restarted = dataclasses.replace(
                fleet.snapshot.servers[PAUSED], started_ms=2
            )
            fleet.adopt(
                dataclasses.replace(
                    fleet.snapshot, version=2, servers={PAUSED: restarted}
                )
            )
            await fleet.call(fleet.routers[0])

        virtual.run(scenario(), fleet.loop)
        self.assertIsInstance(fleet.outcomes[1], outcomes.Complete)


if __name__ == "__main__":
    unittest.main()
