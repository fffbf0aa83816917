"""Replays of load over lanes and their rivals, without any I/O.

`python -m bench.lanes` prints the worth of each pattern by policy, and draws
it with `--plot FILE`. A pattern is a list of arrivals drawn from a seed;
servers work in virtual time.
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
from oleanderhoist.policy import slotqueue

LATE_WORTH = 0.2
RETURN_FRACTION = 1 / 3
URGENT = 0
LEAST_URGENT = 2
CRASH_SECONDS = 0.01  # Until a refused connection or a rejection shows.
LEAST_URGENT_TIMES = 4.0  # Objective and deadline against the urgent rank's.


@dataclasses.dataclass(kw_only=True)
class Result:
    """What callers got.

    Attributes:
        asked: First tries by rank.
        punctual: Answers within the objective by rank.
        late: Later answers by rank.
        refused: Callers that gave up after refusals.
        far: Requests whose body went to another data center.
    """

    asked: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    punctual: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    late: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: int = 0
    far: int = 0

    def worth(self, rank: int = URGENT) -> float:
        """Returns the worth served of a rank, 1 when all were punctual."""
        served = self.punctual[rank] + LATE_WORTH * self.late[rank]
        return served / max(1, self.asked[rank])


@dataclasses.dataclass(kw_only=True)
class Caller:
    """A caller's request, over all of its tries.

    Attributes:
        rank: Urgency.
        born: When it was first sent.
        tries: Times that it was refused.
        leaves: When its caller leaves.
    """

    rank: int
    born: float
    tries: int = 0
    leaves: float = float("inf")


class Replay:
    """Plays a pattern over a lane."""

    def __init__(
        self, *, pattern: patterns.Pattern, policy: str, seed: int = 1
    ):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.queue = rivals.POLICIES.get(policy)(
            service_seconds=pattern.service
        )
        self.queue.update(
            [
                slotqueue.ServerSlots(
                    id=f"s{n}",
                    data_center=self.center(n),
                    slots=pattern.slots,
                    service_seconds=pattern.service,
                )
                for n in range(len(pattern.speeds))
            ]
        )
        self.result = Result()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = itertools.count()
        self.callers: dict[int, Caller] = {}

    def center(self, number: int) -> str:
        """Returns the data center of a server or caller."""
        return f"z{number % self.pattern.centers}"

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Plans an action."""
        heapq.heappush(self.events, (time, next(self.order), action))

    def run(self) -> Result:
        """Plays the pattern; returns what callers got."""
        pattern = self.pattern
        self.plan(URGENT, pattern.rate, pattern.burst)
        if pattern.background:
            self.plan(LEAST_URGENT, pattern.background, pattern.flood)
        while self.events:
            time, _, action = heapq.heappop(self.events)
            action(time)
        return self.result

    def busy(self, now: float) -> bool:
        """Tells whether the burst lasts."""
        return self.pattern.begin <= now < self.pattern.end

    def plan(self, rank: int, rate: float, factor: float) -> None:
        """Plans the arrivals of a rank."""
        now = 0.0
        while now < self.pattern.length:
            times = factor if self.busy(now) else 1.0
            now += self.rng.expovariate(rate * times)
            self.at(now, lambda time: self.arrive(rank, time))

    def arrive(self, rank: int, now: float) -> None:
        """Takes a new request."""
        id = next(self.order)
        caller = Caller(rank=rank, born=now)
        if self.rng.random() < self.pattern.leavers and self.busy(now):
            caller.leaves = now + self.pattern.objective / 2
            self.at(caller.leaves, lambda time: self.leave(id, time))
        else:
            self.result.asked[rank] += 1
        self.callers[id] = caller
        self.ask(id, now)

    def leave(self, id: int, now: float) -> None:
        """Lets a caller leave; its work ends at once."""
        self.queue.cancel("a", id)
        self.advance(now)

    def times(self, id: int) -> float:
        """Returns how long a caller's rank waits, against the urgent one."""
        urgent = self.callers[id].rank == URGENT
        return 1.0 if urgent else LEAST_URGENT_TIMES

    def ask(self, id: int, now: float) -> None:
        """Asks the lane for a slot."""
        caller = self.callers[id]
        if now >= caller.leaves:
            return
        request = slotqueue.SlotRequest(
            id=id,
            requester="a",
            rank=caller.rank,
            deadline=caller.born + self.times(id) * self.pattern.deadline,
            objective=caller.born + self.times(id) * self.pattern.objective,
            data_center=self.center(id),
            body_bytes=self.pattern.body_bytes,
        )
        verdict = self.queue.submit(request, now)
        if verdict is not None:
            self.take(verdict, now)

    def take(self, verdict: slotqueue.Verdict, now: float) -> None:
        """Acts on a verdict."""
        id = verdict.request.id
        if isinstance(verdict, slotqueue.Granted):
            place = self.queue.servers[verdict.server].data_center
            self.result.far += place != verdict.request.data_center
            took = self.work(verdict.server, now)
            if took is None:
                self.at(now + CRASH_SECONDS, self.fail(verdict))
            else:
                self.at(now + took, self.end(verdict, now))
            return
        self.come_back(id, verdict.retry_after, now)

    def come_back(self, id: int, retry: float, now: float) -> None:
        """Lets a refused caller come back, or give up."""
        caller = self.callers[id]
        remaining = caller.born + self.times(id) * self.pattern.deadline - now
        caller.tries += 1
        if caller.tries > self.pattern.returns or remaining <= 0:
            self.result.refused += 1
            return
        wait = min(retry, remaining * RETURN_FRACTION)
        self.at(now + wait, lambda time: self.ask(id, time))

    def work(self, server: str, now: float) -> float | None:
        """Draws the time of a request at a server; None if it fails."""
        number = int(server[1:])
        seconds = self.rng.lognormvariate(-0.1, 0.4) * self.pattern.service
        count = len(self.pattern.speeds)
        if self.busy(now) and number < self.pattern.crashed * count:
            return None
        if self.busy(now) and self.rng.random() < self.pattern.sheds:
            return None
        if self.busy(now) and number < self.pattern.slow * count:
            seconds *= 5
        return seconds / self.pattern.speeds[number]

    def fail(self, granted: slotqueue.Granted) -> Callable[[float], None]:
        """Returns the action when a connection to a server fails."""

        def action(now: float) -> None:
            id = granted.request.id
            self.queue.release(
                "a", id, granted.server, seconds=None, failed=True, now=now
            )
            self.come_back(id, 0.0, now)
            self.advance(now)

        return action

    def end(
        self, granted: slotqueue.Granted, began: float
    ) -> Callable[[float], None]:
        """Returns the action at the end of a request."""

        def action(now: float) -> None:
            id = granted.request.id
            caller = self.callers[id]
            if now >= caller.leaves:
                return
            took = now - caller.born
            if caller.leaves < float("inf"):
                pass  # Answered before it left; only those who stay count.
            elif took <= self.times(id) * self.pattern.objective:
                self.result.punctual[caller.rank] += 1
            elif took <= self.times(id) * self.pattern.deadline:
                self.result.late[caller.rank] += 1
            self.queue.release(
                "a",
                id,
                granted.server,
                seconds=now - began,
                failed=False,
                now=now,
            )
            self.advance(now)

        return action

    def advance(self, now: float) -> None:
        """Gives free slots to those who wait."""
        for verdict in self.queue.grant_waiting(now):
            self.take(verdict, now)


def play(
    pattern: patterns.Pattern,
    policy: str,
    seeds: int = 3,
    rank: int = URGENT,
) -> float:
    """Returns the mean worth of a rank in a pattern under a policy."""
    worths = [
        Replay(pattern=pattern, policy=policy, seed=seed).run().worth(rank)
        for seed in range(seeds)
    ]
    return sum(worths) / len(worths)


def rows(seeds: int) -> dict[str, list[float]]:
    """Returns the worth of each pattern and rank by policy."""
    found = {}
    for pattern in patterns.PATTERNS:
        ranks = [URGENT, LEAST_URGENT] if pattern.background else [URGENT]
        for rank in ranks:
            name = pattern.name if rank == URGENT else f"{pattern.name} (least)"
            found[name] = [
                play(pattern, policy, seeds, rank)
                for policy in rivals.POLICIES.names()
            ]
    return found


def draw(found: dict[str, list[float]], path: str) -> None:
    """Draws the worths as bars, into a file."""
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
        places = [row + index * height for row in range(len(found))]
        worths = [worths[index] for worths in found.values()]
        axes.barh(places, worths, height=height, label=policy)
    axes.set_yticks([row + 0.4 for row in range(len(found))], list(found))
    axes.invert_yaxis()
    axes.set_xlabel("worth served, 1 when every answer is punctual")
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.option("--seeds", default=5, help="Replays of each pattern.")
@click.option("--plot", default="", help="File to draw the worths into.")
def main(seeds: int, plot: str) -> None:
    """Prints the worth of each pattern by policy."""
    found = rows(seeds)
    names = rivals.POLICIES.names()
    click.echo(f"{'pattern':<28}" + "".join(f"{p:>12}" for p in names))
    for name, worths in found.items():
        click.echo(f"{name:<28}" + "".join(f"{w:12.3f}" for w in worths))
    large = patterns.named("large-bodies")
    result = Replay(pattern=large, policy="lane").run()
    asked = result.asked[URGENT]
    click.echo(f"{large.name}: {result.far} of {asked} went far")
    if plot:
        draw(found, plot)


if __name__ == "__main__":
    main()
