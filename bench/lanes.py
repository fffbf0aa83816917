"""Simulates slot queues and baseline policies under load patterns, without I/O.

`python -m bench.lanes` prints the worth served in each pattern by policy, and
`--plot FILE` draws it. Arrivals are drawn from a seed, and servers work in
virtual time.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

import click

from bench import patterns
from bench import rivals
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotrequests

LATE_WORTH = 0.2  # Of an answer after its objective; a punctual one counts 1.
MAX_RETRY_WAIT_FRACTION = 1 / 3  # Of the time that remains to the deadline.
URGENT = 0
LEAST_URGENT = 2
FAILURE_SECONDS = 0.01  # Until a refused connection or a rejection is seen.
REPEAT_SECONDS = 0.035  # Until a caller that repeats at once is back.
SLOW_SERVICE_FACTOR = 5  # On the service time of a slow server.
# Of the lognormal factor on the service time, whose mean is about 1.
SERVICE_LOG_MEAN = -0.1
SERVICE_LOG_DEVIATION = 0.4


@dataclasses.dataclass(kw_only=True)
class Result:
    """Outcomes of the simulated requests.

    Attributes:
        submitted: Requests by rank, without those whose callers leave early.
        punctual: Answers within the objective, by rank.
        late: Answers after the objective and within the deadline, by rank.
        heeding: Punctual answers to callers that heed refusals.
        given_up: Requests that were given up after refusals or failures.
        cross_center: Requests whose body was sent to another data centre.
    """

    submitted: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    punctual: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    late: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    heeding: int = 0
    given_up: int = 0
    cross_center: int = 0

    def worth(self, rank: int = URGENT) -> float:
        """Returns the worth served of a rank, 1 if all were punctual."""
        served = self.punctual[rank] + LATE_WORTH * self.late[rank]
        return served / max(1, self.submitted[rank])


@dataclasses.dataclass(kw_only=True)
class SimulatedCaller:
    """A caller's request, over all of its attempts.

    Attributes:
        rank: Urgency.
        first_sent_at: When it was first sent, in virtual seconds.
        sent_at: When its latest attempt was sent, in virtual seconds.
        repeats: Whether it repeats refused attempts at once.
        failed_attempts: Attempts that were refused or failed.
        leaves_at: When its caller disconnects, in virtual seconds.
    """

    rank: int
    first_sent_at: float
    sent_at: float
    repeats: bool = False
    failed_attempts: int = 0
    leaves_at: float = float("inf")


class Simulation:
    """Discrete-event simulation of a slot queue under a load pattern.

    Args:
        pattern: The load pattern.
        policy: Name of the slot queue policy in rivals.POLICIES.
        seed: Seed of all draws.
    """

    def __init__(
        self, *, pattern: patterns.Pattern, policy: str, seed: int = 1
    ):
        self.pattern = pattern
        self.rng = random.Random(seed)
        assumed_seconds = pattern.assumed_seconds or pattern.service_seconds
        self.queue = rivals.POLICIES.get(policy)(
            service_seconds=assumed_seconds
        )
        self.queue.update(
            [
                serverslots.ServerSlots(
                    id=f"s{n}",
                    data_center=self.data_center(n),
                    slots=pattern.slots,
                    service_seconds=assumed_seconds,
                )
                for n in range(len(pattern.server_speeds))
            ]
        )
        self.result = Result()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.callers: dict[int, SimulatedCaller] = {}

    def data_center(self, number: int) -> str:
        """Returns the data centre of a server or caller by its number."""
        return f"z{number % self.pattern.data_centers}"

    def schedule(self, time: float, action: Callable[[float], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (time, next(self.numbers), action))

    def run(self) -> Result:
        """Runs the simulation until no event is left."""
        pattern = self.pattern
        self.schedule_arrivals(
            URGENT, pattern.rate_per_second, pattern.burst_factor
        )
        if pattern.background_rate:
            self.schedule_arrivals(
                LEAST_URGENT, pattern.background_rate, pattern.background_factor
            )
        while self.events:
            time, _, action = heapq.heappop(self.events)
            action(time)
        return self.result

    def in_burst(self, now: float) -> bool:
        """Returns whether the burst is under way."""
        return (
            self.pattern.burst_start_seconds
            <= now
            < self.pattern.burst_end_seconds
        )

    def schedule_arrivals(self, rank: int, rate: float, factor: float) -> None:
        """Schedules the arrivals of a rank.

        Args:
            rank: Rank of the requests.
            rate: Requests per second outside of the burst.
            factor: Factor on the rate within the burst.
        """
        now = 0.0
        while now < self.pattern.duration_seconds:
            current_factor = factor if self.in_burst(now) else 1.0
            now += self.rng.expovariate(rate * current_factor)
            self.schedule(now, lambda time: self.arrive(rank, time))

    def arrive(self, rank: int, now: float) -> None:
        """Handles the arrival of a new request."""
        id = next(self.numbers)
        caller = SimulatedCaller(rank=rank, first_sent_at=now, sent_at=now)
        if self.pattern.repeating_fraction:
            caller.repeats = self.rng.random() < self.pattern.repeating_fraction
        if self.rng.random() < self.pattern.leaving_fraction and self.in_burst(
            now
        ):
            caller.leaves_at = now + self.pattern.objective_seconds / 2
            self.schedule(caller.leaves_at, lambda time: self.leave(id, time))
        else:
            self.result.submitted[rank] += 1
        self.callers[id] = caller
        self.submit_request(id, now)

    def leave(self, id: int, now: float) -> None:
        """Cancels the request of a caller that leaves."""
        self.queue.cancel("a", id)
        self.grant_waiting(now)

    def time_factor(self, id: int) -> float:
        """Returns the factor on the objective and deadline of a request."""
        urgent = self.callers[id].rank == URGENT
        return 1.0 if urgent else self.pattern.background_time_factor

    def queue_rank(self, caller: SimulatedCaller) -> int:
        """Returns the rank with which a caller's requests are queued."""
        urgent = caller.rank == URGENT
        return URGENT if urgent else self.pattern.background_rank

    def submit_request(self, id: int, now: float) -> None:
        """Submits a request to the slot queue."""
        caller = self.callers[id]
        if now >= caller.leaves_at:
            return
        request = slotrequests.SlotRequest(
            id=id,
            requester="a",
            rank=self.queue_rank(caller),
            deadline=caller.first_sent_at
            + self.time_factor(id) * self.pattern.deadline_seconds,
            objective=caller.first_sent_at
            + self.time_factor(id) * self.pattern.objective_seconds,
            data_center=self.data_center(id),
            body_bytes=self.pattern.body_bytes,
            kind=f"kind {caller.rank}",
            age=caller.sent_at - caller.first_sent_at,
        )
        verdict = self.queue.submit(request, now)
        if verdict is not None:
            self.handle_verdict(verdict, now)

    def handle_verdict(self, verdict: slotrequests.Verdict, now: float) -> None:
        """Starts a granted request, or retries a refused one."""
        id = verdict.request.id
        if isinstance(verdict, slotrequests.Granted):
            data_center = self.queue.servers[verdict.server].data_center
            self.result.cross_center += (
                data_center != verdict.request.data_center
            )
            seconds = self.draw_seconds(verdict.server, now)
            if seconds is None:
                self.schedule(now + FAILURE_SECONDS, self.on_failure(verdict))
            else:
                self.schedule(now + seconds, self.on_completion(verdict, now))
            return
        caller = self.callers[id]
        retry_after = REPEAT_SECONDS if caller.repeats else verdict.retry_after
        caller.sent_at = now + retry_after
        self.retry_or_give_up(id, retry_after, now)

    def retry_or_give_up(self, id: int, retry_after: float, now: float) -> None:
        """Schedules another attempt, unless no retry or time remains."""
        caller = self.callers[id]
        remaining = (
            caller.first_sent_at
            + self.time_factor(id) * self.pattern.deadline_seconds
            - now
        )
        caller.failed_attempts += 1
        retries = self.pattern.max_retries
        if caller.repeats:
            retries = self.pattern.repeats
        if caller.failed_attempts > retries or remaining <= 0:
            self.result.given_up += 1
            return
        wait = min(retry_after, remaining * MAX_RETRY_WAIT_FRACTION)
        self.schedule(now + wait, lambda time: self.submit_request(id, time))

    def draw_seconds(self, server: str, now: float) -> float | None:
        """Draws a request's seconds at a server; None if it fails there."""
        number = int(server[1:])
        seconds = (
            self.rng.lognormvariate(SERVICE_LOG_MEAN, SERVICE_LOG_DEVIATION)
            * self.pattern.service_seconds
        )
        count = len(self.pattern.server_speeds)
        if (
            self.in_burst(now)
            and number < self.pattern.failing_fraction * count
        ):
            return None
        if (
            self.in_burst(now)
            and self.rng.random() < self.pattern.rejected_fraction
        ):
            return None
        if self.in_burst(now) and number < self.pattern.slow_fraction * count:
            seconds *= SLOW_SERVICE_FACTOR
        return seconds / self.pattern.server_speeds[number]

    def on_failure(
        self, granted: slotrequests.Granted
    ) -> Callable[[float], None]:
        """Returns the action for a failed request at a server."""

        def action(now: float) -> None:
            id = granted.request.id
            self.queue.release(
                "a", id, granted.server, seconds=None, failed=True, now=now
            )
            self.retry_or_give_up(id, 0.0, now)
            self.grant_waiting(now)

        return action

    def on_completion(
        self, granted: slotrequests.Granted, began: float
    ) -> Callable[[float], None]:
        """Returns the action for a completed request."""

        def action(now: float) -> None:
            id = granted.request.id
            caller = self.callers[id]
            if now >= caller.leaves_at:
                return
            seconds = now - caller.first_sent_at
            if caller.leaves_at < float("inf"):
                pass  # Not counted as submitted, so its answer isn't either.
            elif (
                seconds <= self.time_factor(id) * self.pattern.objective_seconds
            ):
                self.result.punctual[caller.rank] += 1
                self.result.heeding += not caller.repeats
            elif (
                seconds <= self.time_factor(id) * self.pattern.deadline_seconds
            ):
                self.result.late[caller.rank] += 1
            self.queue.release(
                "a",
                id,
                granted.server,
                seconds=now - began,
                failed=False,
                now=now,
            )
            self.grant_waiting(now)

        return action

    def grant_waiting(self, now: float) -> None:
        """Grants free slots to queued requests."""
        for verdict in self.queue.grant_waiting(now):
            self.handle_verdict(verdict, now)


def mean_worth(
    pattern: patterns.Pattern,
    policy: str,
    seeds: int = 3,
    rank: int = URGENT,
) -> float:
    """Returns the mean worth of a rank in simulations with several seeds."""
    worths = [
        Simulation(pattern=pattern, policy=policy, seed=seed).run().worth(rank)
        for seed in range(seeds)
    ]
    return sum(worths) / len(worths)


def worths_by_pattern(seeds: int) -> dict[str, list[float]]:
    """Returns the worths of each pattern and rank, in order of policies."""
    results = {}
    for pattern in patterns.PATTERNS:
        ranks = [URGENT, LEAST_URGENT] if pattern.background_rate else [URGENT]
        for rank in ranks:
            name = pattern.name if rank == URGENT else f"{pattern.name} (least)"
            results[name] = [
                mean_worth(pattern, policy, seeds, rank)
                for policy in rivals.POLICIES.names()
            ]
    return results


def draw_bars(results: dict[str, list[float]], path: str) -> None:
    """Draws the worths as a bar chart into a file."""
    try:
        import matplotlib.pyplot as pyplot
    except ImportError as error:
        raise click.ClickException(
            "--plot needs matplotlib: pip install '.[plots]'"
        ) from error
    names = rivals.POLICIES.names()
    height = 0.8 / len(names)
    figure, axes = pyplot.subplots(figsize=(8, 8))
    for index, policy in enumerate(names):
        positions = [row + index * height for row in range(len(results))]
        worths = [worths[index] for worths in results.values()]
        axes.barh(positions, worths, height=height, label=policy)
    axes.set_yticks([row + 0.4 for row in range(len(results))], list(results))
    axes.invert_yaxis()
    axes.set_xlabel("worth served, 1 when every answer is punctual")
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.option("--seeds", default=5, help="Simulations of each pattern.")
@click.option("--plot", default="", help="File to draw the worths into.")
def main(seeds: int, plot: str) -> None:
    """Prints the worth served in each pattern by policy."""
    results = worths_by_pattern(seeds)
    names = rivals.POLICIES.names()
    click.echo(f"{'pattern':<28}" + "".join(f"{p:>12}" for p in names))
    for name, worths in results.items():
        click.echo(f"{name:<28}" + "".join(f"{w:12.3f}" for w in worths))
    large = patterns.named("large-bodies")
    result = Simulation(pattern=large, policy="lane").run()
    submitted = result.submitted[URGENT]
    click.echo(
        f"{large.name}: {result.cross_center} of {submitted} bodies were sent "
        "to another data centre"
    )
    if plot:
        draw_bars(results, plot)


if __name__ == "__main__":
    main()
