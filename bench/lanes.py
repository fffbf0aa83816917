"""Replays of load over lanes and their rivals, without any I/O.

`python -m bench.lanes` prints the worth of each pattern by policy. A pattern
is a list of arrivals drawn from a seed; servers work in virtual time.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

import click

from oleanderhoist.policy import lanes

LATE_WORTH = 0.2
RETURN_FRACTION = 1 / 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load pattern.

    Attributes:
        name: Name of the pattern.
        speeds: Relative speed of each server.
        slots: Slots of each server.
        service: Mean service time in seconds.
        objective: Objective in seconds.
        deadline: Time that callers wait, in seconds.
        rate: Usual requests per second.
        burst: Factor on the rate within the burst.
        begin: Start of the burst, in seconds.
        end: End of the burst, in seconds.
        length: Length of the replay, in seconds.
        returns: Times that a refused caller comes back.
        slow: Part of the servers that are five times slower in the burst.
        centers: Data centers over which servers and callers are spread.
        body_bytes: Size of a request's body.
    """

    name: str
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6) * 3
    slots: int = 3
    service: float = 0.078
    objective: float = 0.25
    deadline: float = 1.0
    rate: float = 240.0
    burst: float = 1.0
    begin: float = 2.0
    end: float = 6.0
    length: float = 10.0
    returns: int = 1
    slow: float = 0.0
    centers: int = 1
    body_bytes: int = 0


PATTERNS = [
    Pattern(name="calm"),
    Pattern(name="burst", burst=2.3),
    Pattern(name="slow-third", slow=0.34),
    Pattern(name="one-owner", speeds=(1.0,), rate=30.0, burst=2.5),
    Pattern(name="repeaters", burst=1.8, returns=4),
    Pattern(
        name="large-bodies",
        speeds=(0.5, 1.0, 1.0, 1.5) * 2,
        service=0.19,
        objective=0.6,
        deadline=4.0,
        rate=60.0,
        slow=0.25,
        slots=4,
        centers=4,
        body_bytes=60_000,
    ),
]


@dataclasses.dataclass(kw_only=True)
class Result:
    """What callers got.

    Attributes:
        asked: First tries.
        punctual: Answers within the objective.
        late: Later answers.
        refused: Callers that gave up after refusals.
        far: Requests whose body went to another data center.
    """

    asked: int = 0
    punctual: int = 0
    late: int = 0
    refused: int = 0
    far: int = 0

    def worth(self) -> float:
        """Returns the worth served, 1 when all were punctual."""
        return (self.punctual + LATE_WORTH * self.late) / max(1, self.asked)


class FirstCome(lanes.Lane):
    """Baseline: queues everything in order, with a bounded queue."""

    QUEUE = 12

    def ask(self, ticket: lanes.Ticket, now: float) -> lanes.Verdict | None:
        """Takes a ticket while there is room."""
        server = None if self.ahead(99) else self.choose(ticket, now)
        if server is not None:
            return self.grant(ticket, server, now)
        if self.ahead(99) >= self.QUEUE * len(self.servers):
            return lanes.Refused(ticket=ticket, retry=0.05)
        self.queues.setdefault(0, lanes.collections.deque()).append(ticket)
        return None


POLICIES: dict[str, Callable[..., lanes.Lane]] = {
    "lane": lanes.Lane,
    "first-come": FirstCome,
}


class Replay:
    """Plays a pattern over a lane."""

    def __init__(self, *, pattern: Pattern, policy: str, seed: int = 1):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.lane = POLICIES[policy](service=pattern.service)
        self.lane.update(
            [
                lanes.Server(
                    id=f"s{n}",
                    data_center=self.center(n),
                    slots=pattern.slots,
                    service=pattern.service,
                )
                for n in range(len(pattern.speeds))
            ]
        )
        self.result = Result()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = itertools.count()
        self.born: dict[int, float] = {}
        self.tries: dict[int, int] = {}

    def center(self, number: int) -> str:
        """Returns the data center of a server or caller."""
        return f"z{number % self.pattern.centers}"

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Plans an action."""
        heapq.heappush(self.events, (time, next(self.order), action))

    def run(self) -> Result:
        """Plays the pattern; returns what callers got."""
        now = 0.0
        while now < self.pattern.length:
            busy = self.pattern.begin <= now < self.pattern.end
            rate = self.pattern.rate * (self.pattern.burst if busy else 1.0)
            now += self.rng.expovariate(rate)
            self.at(now, self.arrive)
        while self.events:
            time, _, action = heapq.heappop(self.events)
            action(time)
        return self.result

    def arrive(self, now: float) -> None:
        """Takes a new request."""
        id = next(self.order)
        self.born[id] = now
        self.tries[id] = 0
        self.result.asked += 1
        self.ask(id, now)

    def ask(self, id: int, now: float) -> None:
        """Asks the lane for a slot."""
        born = self.born[id]
        ticket = lanes.Ticket(
            id=id,
            asker="a",
            rank=0,
            deadline=born + self.pattern.deadline,
            objective=born + self.pattern.objective,
            data_center=self.center(id),
            body_bytes=self.pattern.body_bytes,
        )
        verdict = self.lane.ask(ticket, now)
        if verdict is not None:
            self.take(verdict, now)

    def take(self, verdict: lanes.Verdict, now: float) -> None:
        """Acts on a verdict."""
        id = verdict.ticket.id
        if isinstance(verdict, lanes.Granted):
            place = self.lane.servers[verdict.server].data_center
            self.result.far += place != verdict.ticket.data_center
            self.at(
                now + self.work(verdict.server, now), self.end(verdict, now)
            )
            return
        left = self.born[id] + self.pattern.deadline - now
        self.tries[id] += 1
        if self.tries[id] > self.pattern.returns or left <= 0:
            self.result.refused += 1
            return
        wait = min(verdict.retry, left * RETURN_FRACTION)
        self.at(now + wait, lambda time: self.ask(id, time))

    def work(self, server: str, now: float) -> float:
        """Draws the time of one request at a server."""
        number = int(server[1:])
        seconds = self.rng.lognormvariate(-0.1, 0.4) * self.pattern.service
        busy = self.pattern.begin <= now < self.pattern.end
        count = len(self.pattern.speeds)
        if busy and number < self.pattern.slow * count:
            seconds *= 5
        return seconds / self.pattern.speeds[number]

    def end(
        self, granted: lanes.Granted, began: float
    ) -> Callable[[float], None]:
        """Returns the action at the end of a request."""

        def action(now: float) -> None:
            id = granted.ticket.id
            took = now - self.born[id]
            if took <= self.pattern.objective:
                self.result.punctual += 1
            elif took <= self.pattern.deadline:
                self.result.late += 1
            self.lane.done(
                "a",
                id,
                granted.server,
                seconds=now - began,
                failed=False,
                now=now,
            )
            for verdict in self.lane.next(now):
                self.take(verdict, now)

        return action


def play(pattern: Pattern, policy: str, seeds: int = 3) -> float:
    """Returns the mean worth of a pattern under a policy."""
    worths = [
        Replay(pattern=pattern, policy=policy, seed=seed).run().worth()
        for seed in range(seeds)
    ]
    return sum(worths) / len(worths)


@click.command()
@click.option("--seeds", default=5, help="Replays of each pattern.")
def main(seeds: int) -> None:
    """Prints the worth of each pattern by policy."""
    click.echo("pattern      " + "".join(f"{p:>12}" for p in POLICIES))
    for pattern in PATTERNS:
        worths = [play(pattern, policy, seeds) for policy in POLICIES]
        click.echo(
            f"{pattern.name:<13}" + "".join(f"{w:12.3f}" for w in worths)
        )
    large = PATTERNS[-1]
    result = Replay(pattern=large, policy="lane").run()
    click.echo(f"{large.name}: {result.far} of {result.asked} went far")


if __name__ == "__main__":
    main()
