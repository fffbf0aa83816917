"""Slot queues: simulations of load patterns, and single decisions."""

import dataclasses
import unittest
from unittest import mock

from bench import lanes as simulation
from bench import patterns
from oleanderhoist.policy import serverchoice
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests


def slot_queue(*servers: serverslots.ServerSlots) -> slotqueue.SlotQueue:
    """Returns a slot queue of servers with a service time of 0.1 s."""
    queue = slotqueue.SlotQueue(service_seconds=0.1)
    queue.update(list(servers))
    return queue


def server(
    id: str, slots: int = 1, data_center: str = "a"
) -> serverslots.ServerSlots:
    """Returns a server with a service time of 0.1 s."""
    return serverslots.ServerSlots(
        id=id, data_center=data_center, slots=slots, service_seconds=0.1
    )


def slot_request(id: int, **changes: object) -> slotrequests.SlotRequest:
    """Returns a request whose objective is 0.5 s after 10.0."""
    request = slotrequests.SlotRequest(
        id=id,
        requester="x",
        rank=0,
        deadline=11.0,
        objective=10.5,
        data_center="a",
    )
    return dataclasses.replace(request, **changes)


class ReplayTest(unittest.TestCase):
    """Simulations of load patterns, mostly compared with a baseline."""

    def compare(self, name: str, gain: float) -> None:
        """Checks that slot queues beat first come, first served by a gain."""
        pattern = patterns.named(name)
        ours = simulation.mean_worth(pattern, "lane")
        baseline = simulation.mean_worth(pattern, "first-come")
        self.assertGreater(ours, baseline + gain)

    def test_a_burst_keeps_most_answers_punctual(self):
        self.compare("burst", 0.2)

    def test_a_hot_owner_keeps_most_answers_punctual(self):
        self.compare("one-owner", 0.18)

    def test_callers_that_repeat_crowd_nobody_out(self):
        self.compare("repeaters", 0.2)

    def test_slow_servers_cost_no_more_than_first_come(self):
        self.compare("slow-third", -0.01)

    def test_a_burst_of_large_bodies_leaves_no_slot_idle(self):
        pattern = patterns.named("large-bodies-burst")
        ours = simulation.mean_worth(pattern, "lane")
        with mock.patch.object(serverchoice, "LARGE_BODY_BYTES", float("inf")):
            unrestricted = simulation.mean_worth(pattern, "lane")
        self.assertGreater(ours, unrestricted - 0.02)

    def test_an_owner_that_rejects_at_once_is_used_in_full(self):
        pattern = patterns.named("rejecting-owner")
        self.assertGreater(
            simulation.mean_worth(pattern, "lane", seeds=4), 0.775
        )

    def test_callers_of_a_hot_owner_come_back_when_there_is_room(self):
        pattern = patterns.named("hot-owner-returns")
        results = [
            simulation.Simulation(
                pattern=pattern, policy="lane", seed=seed
            ).run()
            for seed in range(4)
        ]
        given_up = sum(result.given_up for result in results)
        submitted = sum(result.submitted[0] for result in results)
        self.assertLess(given_up, 0.16 * submitted)

    def test_a_flood_of_the_least_urgent_harms_neither_rank(self):
        flood = patterns.named("flood-least-urgent")
        self.assertGreater(simulation.mean_worth(flood, "lane"), 0.98)
        least = simulation.mean_worth(
            flood, "lane", rank=simulation.LEAST_URGENT
        )
        self.assertGreater(least, 0.65)  # Slots leave room for 0.65 of it.

    def test_a_burst_of_the_urgent_is_served_first(self):
        self.compare("burst-urgent", 0.3)

    def test_a_crash_at_the_peak_is_steered_around(self):
        self.compare("crash-at-peak", 0.2)

    def test_large_bodies_seldom_cross_data_centers(self):
        pattern = patterns.named("large-bodies")
        result = simulation.Simulation(pattern=pattern, policy="lane").run()
        self.assertLess(result.cross_center, 0.2 * result.submitted[0])
        self.assertGreater(result.worth(), 0.95)

    def test_calm_is_served_in_full(self):
        self.assertGreater(
            simulation.mean_worth(patterns.named("calm"), "lane"), 0.99
        )


class SlotQueueTest(unittest.TestCase):
    """Single decisions."""

    def test_a_request_that_cannot_be_met_is_refused_at_once(self):
        queue = slot_queue(server("s"))
        queue.submit(slot_request(1), 10.0)
        late = slot_request(2, deadline=10.15, objective=10.12)
        self.assertIsInstance(queue.submit(late, 10.0), slotrequests.Refused)

    def test_a_refused_caller_is_told_to_wait_too_long(self):
        for waiting in (8, 40):  # The latter is a burst.
            queue = slot_queue(server("s"))
            patient = slot_request(0, deadline=99.0, objective=99.0)
            for id in range(waiting):
                queue.submit(dataclasses.replace(patient, id=id), 10.0)
            late = slot_request(waiting, deadline=10.6, objective=10.2)
            refused = queue.submit(late, 10.0)
            self.assertIsInstance(refused, slotrequests.Refused)
            self.assertGreater(refused.expected_wait, 0.6)
            self.assertLessEqual(refused.retry_after, 0.6 / 3 + 1e-6)

    def test_urgent_work_goes_first(self):
        queue = slot_queue(server("s"))
        queue.submit(slot_request(1), 10.0)
        queue.submit(slot_request(2, rank=2), 10.0)
        queue.submit(slot_request(3, rank=0), 10.0)
        queue.release("x", 1, "s", seconds=0.1, failed=False, now=10.1)
        granted = [verdict.request.id for verdict in queue.grant_waiting(10.1)]
        self.assertEqual([3], granted)

    def test_failed_servers_are_excluded(self):
        queue = slot_queue(server("a"), server("b"))
        tried = slot_request(1, excluded=frozenset(["a"]))
        self.assertEqual("b", queue.submit(tried, 10.0).server)

    def test_large_bodies_stay_near(self):
        queue = slot_queue(server("far", 3, "b"), server("near", 3, "a"))
        for known in queue.servers.values():
            known.last_used_at = 10.0
        queue.servers["near"].service_seconds = 0.2
        large = slot_request(1, body_bytes=60_000)
        self.assertEqual("near", queue.submit(large, 10.0).server)

    def test_a_large_body_waits_for_a_near_slot(self):
        queue = slot_queue(server("near"), server("far", 3, "b"))
        queue.submit(slot_request(1, body_bytes=60_000), 10.0)
        self.assertIsNone(
            queue.submit(slot_request(2, body_bytes=60_000), 10.0)
        )
        self.assertEqual([], queue.grant_waiting(10.02))
        queue.release("x", 1, "near", seconds=0.1, failed=False, now=10.1)
        granted = [(v.request.id, v.server) for v in queue.grant_waiting(10.1)]
        self.assertEqual([(2, "near")], granted)

    def test_a_large_body_goes_far_before_it_is_late(self):
        queue = slot_queue(server("near"), server("far", 3, "b"))
        queue.submit(slot_request(1, body_bytes=60_000), 10.0)
        queue.submit(slot_request(2, body_bytes=60_000), 10.0)
        granted = [(v.request.id, v.server) for v in queue.grant_waiting(10.3)]
        self.assertEqual([(2, "far")], granted)

    def test_small_requests_pass_one_that_waits_for_a_near_slot(self):
        queue = slot_queue(server("near"), server("far", 3, "b"))
        queue.submit(slot_request(1, body_bytes=60_000), 10.0)
        queue.submit(slot_request(2, body_bytes=60_000), 10.0)
        self.assertEqual("far", queue.submit(slot_request(3), 10.0).server)

    def test_an_idle_server_is_tried_out(self):
        queue = slot_queue(server("fast", 3), server("slow", 3))
        queue.servers["fast"].service_seconds = 0.01
        queue.servers["fast"].last_used_at = 10.0
        self.assertEqual("slow", queue.submit(slot_request(1), 10.0).server)

    def test_failing_servers_are_blocked_but_never_most_of_a_pool(self):
        queue = slot_queue(server("a"), server("b"), server("c"))
        for known in queue.servers.values():
            known.failure_rate = 0.9
        for number, id in enumerate("abc"):
            queue.servers[id].running[("x", number)] = serverslots.Running(
                granted_at=9.9, reclaim_at=99.0
            )
            queue.release("x", number, id, seconds=None, failed=True, now=10.0)
        blocked = sum(s.blocked_until > 10.0 for s in queue.servers.values())
        self.assertEqual(1, blocked)

    def test_an_attempt_that_its_caller_gave_up_redeems_a_failing_server(self):
        known = slot_queue(server("s")).servers["s"]
        known.failure_rate = 0.9
        known.record_attempt(0.1, None, False)
        self.assertEqual(0.9, known.failure_rate)
        known.record_attempt(0.1, 0.1, False)
        self.assertLess(known.failure_rate, 0.9)

    def fill(
        self, queue: slotqueue.SlotQueue, answers: int
    ) -> list[slotrequests.Verdict]:
        """Fills a queue's slots, lets two requests wait; returns grants."""
        for known in queue.servers.values():
            known.answers = answers
        slots = sum(known.slots for known in queue.servers.values())
        for id in range(1, slots + 3):
            queue.submit(slot_request(id), 10.0)
        return queue.grant_waiting(10.01)

    def test_one_request_waits_at_a_busy_owner(self):
        queue = slot_queue(server("s", slots=3))
        granted = self.fill(queue, serverslots.MIN_ANSWERS)
        self.assertEqual([4], [verdict.request.id for verdict in granted])
        self.assertEqual([], queue.grant_waiting(10.02))

    def test_none_waits_at_an_owner_that_is_not_known_well(self):
        self.assertEqual([], self.fill(slot_queue(server("s", slots=3)), 0))
        silent = slot_queue(server("s", slots=3))
        silent.servers["s"].silent.record(9.9, 0.1)
        self.assertEqual([], self.fill(silent, serverslots.MIN_ANSWERS))

    def test_none_waits_at_a_server_if_there_are_others(self):
        pool = slot_queue(server("a", slots=2), server("b", slots=2))
        self.assertEqual([], self.fill(pool, serverslots.MIN_ANSWERS))

    def test_time_at_a_busy_owner_is_not_taken_for_work(self):
        queue = slot_queue(server("s", slots=3))
        self.fill(queue, serverslots.MIN_ANSWERS)
        queue.release("x", 4, "s", seconds=0.4, failed=False, now=10.41)
        known = queue.servers["s"]
        self.assertLess(known.service_seconds, 0.1 + 0.21 / known.answers)

    def test_a_cancelled_ticket_frees_its_slot(self):
        queue = slot_queue(server("s"))
        queue.submit(slot_request(1), 10.0)
        queue.cancel("x", 1)
        self.assertIsInstance(
            queue.submit(slot_request(2), 10.0), slotrequests.Granted
        )

    def test_a_slot_whose_holder_vanished_is_freed_after_its_deadline(self):
        queue = slot_queue(server("s"))
        queue.submit(slot_request(1, deadline=10.2), 10.0)
        queue.grant_waiting(10.8)
        self.assertIsInstance(
            queue.submit(slot_request(2), 10.8), slotrequests.Granted
        )


if __name__ == "__main__":
    unittest.main()
