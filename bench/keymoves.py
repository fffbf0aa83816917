"""Replays how the owners of keys follow a load that changes, without I/O.

`python -m bench.keymoves` prints, for each load, the requests that their owners
cannot complete soon enough, the keys that moved, and the time of a plan.
"""

import collections
import dataclasses
import random
import statistics
import time

import click

from oleanderhoist.policy import balance
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keys

STEP_SECONDS = 0.2
STEPS_PER_COUNT = 2  # As the leader counts and plans.
HOLD_SECONDS = 2.0
MAX_WAIT_SECONDS = 0.6  # Requests that would wait longer are turned away.
MIXED_SPEEDS = (0.6, 1.0, 1.4)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HotKeys:
    """Adjacent keys that get an additional load for some time.

    Attributes:
        count: Number of keys.
        rate: Requests per second for all of them.
        start: When the load begins, in seconds.
        end: When it ends, in seconds.
    """

    count: int
    rate: float
    start: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load on one keyed pool.

    Attributes:
        name: Name of the pattern.
        servers: Number of servers; their speeds are MIXED_SPEEDS in turn.
        server_rate: Requests per second that a server of speed 1 completes.
        rate: Requests per second for all keys.
        hot: Keys with an additional load.
        seconds: Length of the replay, in seconds.
    """

    name: str
    servers: int
    server_rate: float
    rate: float
    hot: tuple[HotKeys, ...] = ()
    seconds: float = 10.0


PATTERNS = (
    Pattern(name="calm", servers=128, server_rate=10.0, rate=700.0),
    Pattern(
        name="hot-run",
        servers=128,
        server_rate=10.0,
        rate=400.0,
        hot=(HotKeys(count=60, rate=320.0, start=4.0, end=8.0),),
        seconds=8.0,
    ),
    Pattern(
        name="hot-places",
        servers=128,
        server_rate=10.0,
        rate=300.0,
        hot=(
            HotKeys(count=200, rate=250.0, start=2.0, end=7.0),
            HotKeys(count=200, rate=200.0, start=4.0, end=10.0),
            HotKeys(count=60, rate=200.0, start=7.0, end=11.0),
        ),
        seconds=20.0,
    ),
    Pattern(
        name="hot-key",
        servers=19,
        server_rate=21.0,
        rate=170.0,
        hot=(HotKeys(count=1, rate=90.0, start=4.0, end=9.0),),
        seconds=9.0,
    ),
)


def named(name: str) -> Pattern:
    """Returns a pattern by its name."""
    return next(pattern for pattern in PATTERNS if pattern.name == name)


@dataclasses.dataclass(kw_only=True)
class Result:
    """What a replay measured.

    Attributes:
        requests: All requests.
        excess: Requests that their owners could not complete soon enough.
        unavoidable: Requests for single keys beyond what the fastest server
            can complete.
        moves: Number of moves.
        moved_keys: Keys that moved, as a fraction of all keys.
        most_ranges: Largest number of ranges.
        plan_seconds: Time that each plan took, in seconds.
    """

    requests: int = 0
    excess: float = 0.0
    unavoidable: float = 0.0
    moves: int = 0
    moved_keys: float = 0.0
    most_ranges: int = 0
    plan_seconds: list[float] = dataclasses.field(default_factory=list)


class Replay:
    """Plays one load.

    Args:
        pattern: The load.
        seed: Seed of all draws.
    """

    def __init__(self, *, pattern: Pattern, seed: int = 1):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.capacities = {
            f"s{n:03}": pattern.server_rate * MIXED_SPEEDS[n % 3]
            for n in range(pattern.servers)
        }
        self.key_map = keys.divide_by_weight(list(self.capacities.items()))
        self.counter = keyload.KeyCounter()
        self.counter.advance(0.0)
        self.held: list[tuple[float, keys.Range]] = []
        self.backlogs = dict.fromkeys(self.capacities, 0.0)
        self.first_hot_keys = [
            self.rng.randrange(keys.KEY_COUNT - hot.count)
            for hot in pattern.hot
        ]
        self.result = Result()

    def run(self) -> Result:
        """Plays the load."""
        steps = round(self.pattern.seconds / STEP_SECONDS)
        for step in range(1, steps + 1):
            now = step * STEP_SECONDS
            self.serve(now)
            if step % STEPS_PER_COUNT == 0:
                self.counter.advance(now)
            self.plan(now)
        return self.result

    def serve(self, now: float) -> None:
        """Draws the requests of one step and counts those turned away."""
        pattern = self.pattern
        requested = [
            self.rng.randrange(keys.KEY_COUNT)
            for _ in range(self.draw_count(pattern.rate))
        ]
        for hot, first_key in zip(
            pattern.hot, self.first_hot_keys, strict=True
        ):
            if not hot.start < now <= hot.end:
                continue
            count = self.draw_count(hot.rate)
            requested += [
                first_key + self.rng.randrange(hot.count) for _ in range(count)
            ]
            fastest = max(self.capacities.values()) * STEP_SECONDS
            if hot.count == 1:
                self.result.unavoidable += max(0.0, count - fastest)
        self.counter.add(requested)
        loads = collections.Counter(
            self.key_map.find(key).owner for key in requested
        )
        self.result.requests += len(requested)
        for server, capacity in self.capacities.items():
            backlog = self.backlogs[server] + loads[server]
            backlog = max(0.0, backlog - capacity * STEP_SECONDS)
            self.backlogs[server] = min(backlog, capacity * MAX_WAIT_SECONDS)
            self.result.excess += backlog - self.backlogs[server]

    def draw_count(self, rate: float) -> int:
        """Draws the number of requests of one step."""
        count = 0
        elapsed = self.rng.expovariate(rate)
        while elapsed < STEP_SECONDS:
            count += 1
            elapsed += self.rng.expovariate(rate)
        return count

    def plan(self, now: float) -> None:
        """Makes the moves of one plan."""
        self.held = [
            (at, key_range)
            for at, key_range in self.held
            if now - at < HOLD_SECONDS
        ]
        started_at = time.perf_counter()
        planner = balance.Planner(
            key_map=self.key_map,
            counts=self.counter.counts(),
            capacities=self.capacities,
            held=[key_range for _, key_range in self.held],
            measured=frozenset(self.capacities),
        )
        moves = planner.plan()
        self.result.plan_seconds.append(time.perf_counter() - started_at)
        for move in moves:
            self.key_map = self.key_map.assign(
                move.start, move.end, move.target
            )
            self.held.append((now, move.key_range))
            self.result.moves += 1
            self.result.moved_keys += move.key_range.size / keys.KEY_COUNT
        self.result.most_ranges = max(
            self.result.most_ranges, len(self.key_map.ranges)
        )


@click.command()
@click.option("--seeds", default=4, help="Replays of each load.")
def main(seeds: int) -> None:
    """Replays all loads and prints the results."""
    for pattern in PATTERNS:
        results = [
            Replay(pattern=pattern, seed=seed).run() for seed in range(seeds)
        ]
        requests = sum(result.requests for result in results)
        excess = sum(result.excess for result in results)
        unavoidable = sum(result.unavoidable for result in results)
        moved = sum(result.moved_keys for result in results) / seeds
        moves = sum(result.moves for result in results) / seeds
        times = [t for result in results for t in result.plan_seconds]
        click.echo(
            f"{pattern.name:10} turned away {excess / requests:.3f} "
            f"(unavoidable {unavoidable / requests:.3f}); "
            f"{moves:.0f} moves of {moved:.2f} times all keys; "
            f"{max(r.most_ranges for r in results)} ranges; plan "
            f"{statistics.median(times) * 1000:.1f} ms, at most "
            f"{max(times) * 1000:.1f} ms"
        )


if __name__ == "__main__":
    main()
