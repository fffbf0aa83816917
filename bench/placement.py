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


def loads(
    partition_map: topology.PartitionMap, rng: random.Random
) -> dict[str, float]:
    """Returns requests by partition for keys in a new order of heat."""
    order = rng.sample(range(KEYS), KEYS)
    weights = [1 / (place + 1) ** ZIPF for place in range(KEYS)]
    counts: collections.Counter[str] = collections.Counter()
    for key in rng.choices(order, weights, k=REQUESTS):
        counts[partition_map.locate(f"k{key}")[0]] += 1
    return {name: float(count) for name, count in counts.items()}


def imbalance(
    partition_map: topology.PartitionMap,
    load: dict[str, float],
    servers: list[str],
) -> float:
    """Returns the greatest load of a server over the mean."""
    totals = dict.fromkeys(servers, 0.0)
    for name, value in load.items():
        owner = partition_map.ownership(name).owner
        totals[owner] += value
    return max(totals.values()) / (sum(totals.values()) / len(servers))


def move(partition_map: topology.PartitionMap, wanted: dict[str, str]) -> int:
    """Applies wanted owners; returns how many partitions moved."""
    moved = 0
    for name, owner in wanted.items():
        ownership = partition_map.ownership(name)
        if ownership.owner != owner:
            moved += 1
            new = topology.Ownership(owner=owner, fence=ownership.fence + 1)
            partition_map.set_ownership(name, new)
    return moved


def bench(name: str, seed: int) -> dict:
    """Returns the figures of one policy over changes of load and a loss."""
    rng = random.Random(seed)
    policy = placement.PLACEMENTS.get(name)()
    partition_map = topology.PartitionMap(
        pool="p", partitions=[topology.Ownership()] * PARTITIONS
    )
    servers = [f"server-{n}" for n in range(SERVERS)]
    move(partition_map, policy.place(partition_map, servers, {}))
    ratios = []
    moves = []
    for _ in range(STEPS):
        load = loads(partition_map, rng)
        moves.append(
            move(partition_map, policy.place(partition_map, servers, load))
        )
        ratios.append(imbalance(partition_map, load, servers))
    lost = sum(h.owner == servers[0] for h in partition_map.partitions)
    after = move(partition_map, policy.place(partition_map, servers[1:], load))
    counts = collections.Counter(h.owner for h in partition_map.partitions)
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
