"""Balance and churn of placement policies while the popular keys change.

Keys are requested with Zipf frequencies, in a new random order at each step.
"""

import collections
import json
import random
import statistics

import click

from oleanderhoist.policy import placement
from oleanderhoist.policy import topology

SERVER_COUNT = 15
PARTITION_COUNT = 256
KEY_COUNT = 20_000
STEPS = 20
REQUESTS = 20_000
ZIPF_EXPONENT = 1.0


def partition_loads(
    partition_map: topology.PartitionMap, rng: random.Random
) -> dict[str, float]:
    """Returns requests by partition, with keys in a new order of popularity."""
    order = rng.sample(range(KEY_COUNT), KEY_COUNT)
    weights = [1 / (place + 1) ** ZIPF_EXPONENT for place in range(KEY_COUNT)]
    counts: collections.Counter[str] = collections.Counter()
    for key in rng.choices(order, weights, k=REQUESTS):
        counts[partition_map.locate(f"k{key}")[0]] += 1
    return {name: float(count) for name, count in counts.items()}


def imbalance(
    partition_map: topology.PartitionMap,
    load: dict[str, float],
    servers: list[str],
) -> float:
    """Returns the ratio of the most loaded server's load to the mean."""
    totals = dict.fromkeys(servers, 0.0)
    for name, value in load.items():
        owner = partition_map.ownership(name).owner
        totals[owner] += value
    return max(totals.values()) / (sum(totals.values()) / len(servers))


def apply_owners(
    partition_map: topology.PartitionMap, owners: dict[str, str]
) -> int:
    """Applies new owners; returns how many partitions moved."""
    moved = 0
    for name, owner in owners.items():
        ownership = partition_map.ownership(name)
        if ownership.owner != owner:
            moved += 1
            new = topology.Ownership(owner=owner, fence=ownership.fence + 1)
            partition_map.set_ownership(name, new)
    return moved


def measure_policy(name: str, seed: int) -> dict:
    """Returns the figures of one policy over load changes and a server loss."""
    rng = random.Random(seed)
    policy = placement.PLACEMENTS.get(name)()
    partition_map = topology.PartitionMap(
        pool="p", partitions=[topology.Ownership()] * PARTITION_COUNT
    )
    servers = [f"server-{n}" for n in range(SERVER_COUNT)]
    apply_owners(partition_map, policy.place(partition_map, servers, {}))
    ratios = []
    moves = []
    for _ in range(STEPS):
        load = partition_loads(partition_map, rng)
        moves.append(
            apply_owners(
                partition_map, policy.place(partition_map, servers, load)
            )
        )
        ratios.append(imbalance(partition_map, load, servers))
    lost = sum(
        ownership.owner == servers[0] for ownership in partition_map.partitions
    )
    moved_on_loss = apply_owners(
        partition_map, policy.place(partition_map, servers[1:], load)
    )
    counts = collections.Counter(
        ownership.owner for ownership in partition_map.partitions
    )
    return {
        "max_mean_load": statistics.median(ratios),
        "moved_per_change": statistics.median(moves),
        "moved_on_loss": moved_on_loss,
        "lost_partitions": lost,
        "max_mean_partitions": max(counts.values())
        / (PARTITION_COUNT / (SERVER_COUNT - 1)),
    }


@click.command()
@click.option("--seeds", default=5)
def main(seeds: int) -> None:
    """Compares all placement policies under the same loads."""
    for name in placement.PLACEMENTS.names():
        rows = [measure_policy(name, seed) for seed in range(seeds)]
        medians = {
            field: round(statistics.median(row[field] for row in rows), 3)
            for field in rows[0]
        }
        click.echo(json.dumps({"policy": name, **medians}))


if __name__ == "__main__":
    main()
