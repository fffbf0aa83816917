"""Placement policies on Zipf keys whose hottest change: balance and churn."""

import collections
import json
import random
import statistics

import click

from oleanderhoist.policy import placement
from oleanderhoist.policy import topology

SERVERS = 15
PARTITIONS = 256
KEYS = 20_000
STEPS = 20
REQUESTS = 20_000
ZIPF = 1.0


def loads(space: topology.SpaceMap, rng: random.Random) -> dict[str, float]:
    """Returns requests by partition for keys in a new order of heat."""
    order = rng.sample(range(KEYS), KEYS)
    weights = [1 / (place + 1) ** ZIPF for place in range(KEYS)]
    counts: collections.Counter[str] = collections.Counter()
    for key in rng.choices(order, weights, k=REQUESTS):
        counts[space.locate(f"k{key}")[0]] += 1
    return {name: float(count) for name, count in counts.items()}


def imbalance(
    space: topology.SpaceMap, load: dict[str, float], servers: list[str]
) -> float:
    """Returns the greatest load of a server over the mean."""
    totals = dict.fromkeys(servers, 0.0)
    for name, value in load.items():
        owner = space.holding(name).owner
        totals[owner] += value
    return max(totals.values()) / (sum(totals.values()) / len(servers))


def move(space: topology.SpaceMap, wanted: dict[str, str]) -> int:
    """Applies wanted owners; returns how many partitions moved."""
    moved = 0
    for name, owner in wanted.items():
        holding = space.holding(name)
        if holding.owner != owner:
            moved += 1
            new = topology.Holding(owner=owner, fence=holding.fence + 1)
            space.set_holding(name, new)
    return moved


def bench(name: str, seed: int) -> dict:
    """Returns the figures of one policy over changes of load and a loss."""
    rng = random.Random(seed)
    policy = placement.PLACEMENTS.get(name)()
    space = topology.SpaceMap(
        pool="p", partitions=[topology.Holding()] * PARTITIONS
    )
    servers = [f"server-{n}" for n in range(SERVERS)]
    move(space, policy.place(space, servers, {}))
    ratios = []
    moves = []
    for _ in range(STEPS):
        load = loads(space, rng)
        moves.append(move(space, policy.place(space, servers, load)))
        ratios.append(imbalance(space, load, servers))
    lost = sum(h.owner == servers[0] for h in space.partitions)
    after = move(space, policy.place(space, servers[1:], load))
    counts = collections.Counter(h.owner for h in space.partitions)
    return {
        "max_mean_load": statistics.median(ratios),
        "moved_per_change": statistics.median(moves),
        "moved_on_loss": after,
        "lost_partitions": lost,
        "max_mean_partitions": max(counts.values())
        / (PARTITIONS / (SERVERS - 1)),
    }


@click.command()
@click.option("--seeds", default=5)
def main(seeds: int) -> None:
    """Compares all placement policies on the same loads."""
    for name in placement.PLACEMENTS.names():
        rows = [bench(name, seed) for seed in range(seeds)]
        medians = {
            field: round(statistics.median(row[field] for row in rows), 3)
            for field in rows[0]
        }
        click.echo(json.dumps({"policy": name, **medians}))


if __name__ == "__main__":
    main()
