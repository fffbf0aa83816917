"""Replays of demand above capacity: who is served, and who returns when."""

import collections
import dataclasses
import functools
import math
import unittest

from bench import lanes as simulation
from bench import patterns
from oleanderhoist.policy import admission
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests

# The servers complete 346 requests a second.
FULL = patterns.Pattern(
    name="full",
    duration_seconds=15.0,
    burst_start_seconds=0.0,
    burst_end_seconds=15.0,
)
QUARTER = 0.25


def run(**changes: object) -> simulation.Result:
    """Returns the result of a load pattern."""
    pattern = dataclasses.replace(FULL, **changes)
    return simulation.Simulation(pattern=pattern, policy="lane").run()


def part(result: simulation.Result, *ranks: int) -> float:
    """Returns how often the requests of some ranks were served."""
    served = sum(result.punctual[rank] + result.late[rank] for rank in ranks)
    return served / sum(result.submitted[rank] for rank in ranks)


def request(
    id: int, *, objective: float, deadline: float
) -> slotrequests.SlotRequest:
    """Returns a slot request."""
    return slotrequests.SlotRequest(
        id=id, requester="x", rank=0, objective=objective, deadline=deadline
    )


class SwingingCrowd(simulation.Simulation):
    """Callers of four data centres, of which one's crowd swings by half."""

    PERIOD_SECONDS = 13.0

    def __init__(self, **arguments: object):
        self.places: dict[int, str] = {}
        self.arriving = ""
        self.arrived: collections.Counter[str] = collections.Counter()
        self.granted: collections.Counter[str] = collections.Counter()
        super().__init__(**arguments)

    def data_center(self, number: int) -> str:
        """Returns the data centre of a server or caller by its number."""
        if not self.arriving:
            return super().data_center(number)
        return self.places.setdefault(number, self.arriving)

    def schedule_arrivals(self, rank: int, rate: float, factor: float) -> None:
        """Schedules the arrivals of each data centre."""
        for place in ("z0", "z1", "z2", "z3"):
            now = 0.0
            while now < self.pattern.duration_seconds:
                wave = math.sin(2 * math.pi * now / self.PERIOD_SECONDS)
                swing = 1 + 0.5 * wave if place == "z0" else 1.0
                now += self.rng.expovariate(rate / 4 * swing)
                self.schedule(now, functools.partial(self.come, place))

    def come(self, place: str, now: float) -> None:
        """Handles the arrival of a request in a data centre."""
        self.arriving = place
        self.arrived[place] += 1
        self.arrive(simulation.URGENT, now)

    def handle_verdict(self, verdict: slotrequests.Verdict, now: float) -> None:
        """Counts grants by data centre."""
        if isinstance(verdict, slotrequests.Granted):
            self.granted[self.places[verdict.request.id]] += 1
        super().handle_verdict(verdict, now)


class SharesTest(unittest.TestCase):
    """Who is served."""

    def test_urgent_work_above_capacity_starves_no_other(self):
        result = run(
            rate_per_second=450.0,
            background_rate=70.0,
            background_time_factor=1.0,
        )
        everyone = part(result, simulation.URGENT, simulation.LEAST_URGENT)
        least = part(result, simulation.LEAST_URGENT)
        self.assertGreater(least, QUARTER * everyone)
        self.assertGreater(part(result, simulation.URGENT), least)

    def test_patient_work_of_the_same_rank_does_not_crowd_out_the_other(self):
        result = run(
            rate_per_second=242.0, background_rate=242.0, background_rank=0
        )
        patient = part(result, simulation.LEAST_URGENT)
        self.assertGreater(part(result, simulation.URGENT), 0.9 * patient)

    def test_callers_that_repeat_at_once_crowd_out_nobody(self):
        alone = run(rate_per_second=485.0)
        beside = run(rate_per_second=485.0, repeating_fraction=0.3)
        heeding = 0.7 * beside.submitted[simulation.URGENT]
        self.assertGreater(beside.heeding / heeding, alone.worth() - 0.03)

    def test_a_swinging_crowd_neither_starves_nor_idles_the_others(self):
        pattern = dataclasses.replace(
            FULL, rate_per_second=380.0, data_centers=4, duration_seconds=26.0
        )
        crowd = SwingingCrowd(pattern=pattern, policy="lane")
        result = crowd.run()
        parts = [crowd.granted[p] / crowd.arrived[p] for p in crowd.arrived]
        self.assertLess(max(parts) - min(parts), 0.05)
        self.assertGreater(result.worth(), 0.85)

    def test_what_can_no_longer_end_in_time_is_not_held_to_the_end(self):
        queue = slotqueue.SlotQueue(service_seconds=0.1)
        queue.update(
            [
                serverslots.ServerSlots(
                    id="s", data_center="a", slots=1, service_seconds=0.1
                )
            ]
        )
        queue.submit(request(0, objective=10.3, deadline=12.0), 10.0)
        late = request(1, objective=10.1, deadline=12.0)
        queue.overdue.append(late)
        refused_at = None
        for number in range(2, 42):  # 20 a second; 10 can be served.
            now = 10.0 + number / 20
            fresh = request(number, objective=now + 0.5, deadline=now + 2)
            queue.submit(fresh, now)
            for running in list(queue.servers["s"].running)[:1]:
                if number % 2 == 0:
                    queue.release(
                        *running, "s", seconds=0.1, failed=False, now=now
                    )
            for verdict in queue.grant_waiting(now):
                if verdict.request is late:
                    self.assertIsInstance(verdict, slotrequests.Refused)
                    refused_at = now
        self.assertIsNotNone(refused_at)
        self.assertLess(refused_at, 11.3)


class KindsTest(unittest.TestCase):
    """What is known of a kind of work."""

    # Guards against a kind that seems starved as its routers don't wait.
    def test_a_request_that_did_not_wait_counts_as_served(self):
        queue = slotqueue.SlotQueue()
        queue.update(
            [
                serverslots.ServerSlots(
                    id="s", data_center="a", slots=1, service_seconds=0.1
                )
            ]
        )
        for id in range(2):
            queue.submit(request(id, objective=9.0, deadline=9.0), 0.0)
        self.assertTrue(queue.queued_ahead(0))
        queue.add_started(("x", 1), "s", 0.1)
        self.assertFalse(queue.queued_ahead(0))
        (kind,) = queue.admission.kinds.values()
        self.assertAlmostEqual(1.0, kind.part(0.1), places=1)

    def test_an_objective_that_operators_lower_is_learned(self):
        admitted = admission.Admission()
        for number in range(100):
            objective = 10.0 if number < 20 else 2.0
            arrived = request(number, objective=objective, deadline=20.0)
            admitted.arrive(arrived, 0.0)
        (kind,) = admitted.kinds.values()
        self.assertAlmostEqual(2.0, kind.objective, places=1)


class ReturnsTest(unittest.TestCase):
    """When refused callers return."""

    def test_a_moment_without_room_is_soon_forgotten(self):
        waiting = admission.Admission()
        waiting.return_after(0.1, 1.0, slotqueue.MIN_RATE, 0.0)
        self.assertAlmostEqual(0.1, waiting.return_after(0.1, 1.0, 10.0, 3.0))

    def test_callers_return_as_fast_as_there_is_room(self):
        waiting = admission.Admission()
        returns = [waiting.return_after(0.2, 1.0, 10.0, 5.0) for _ in range(8)]
        gaps = [
            later - earlier
            for earlier, later in zip(returns, returns[1:], strict=False)
        ]
        self.assertAlmostEqual(0.2, returns[0])
        for gap in gaps:
            self.assertAlmostEqual(0.1, gap)

    def test_more_than_there_is_room_for_are_spread(self):
        waiting = admission.Admission()
        returns = [
            waiting.return_after(0.2, 1.0, 10.0, 5.0) for _ in range(108)
        ]
        self.assertLessEqual(max(returns), 1.0)
        for start in range(2, 10):
            inside = [r for r in returns[8:] if start <= r * 10 < start + 1]
            self.assertLess(len(inside), 16)  # Of 100; 12.5 if even.


if __name__ == "__main__":
    unittest.main()
