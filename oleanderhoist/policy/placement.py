"""Which server owns which partition."""

import math
from typing import Protocol

from oleanderhoist.policy import hashing
from oleanderhoist.policy import registry
from oleanderhoist.policy import topology

BALANCE_SLACK = 1.10
HYSTERESIS = 1.25


class Policy(Protocol):
    """Chooses the wanted owner of every partition."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the wanted owner by partition name.

        Args:
            partition_map: Present ownership.
            servers: Servers that may own partitions.
            loads: Requests per second by partition name; absent means 0.
        """


PLACEMENTS: registry.Registry[type[Policy]] = registry.Registry(
    kind="placement policy"
)


@PLACEMENTS.register("bounded-least-churn")
class BoundedLeastChurn:
    """Keeps every owner that stands, within a bound on each server's load.

    Only partitions without a usable owner move, and those of servers beyond
    the bound times the hysteresis.
    """

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the wanted owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        weights = weigh(partition_map, loads)
        bound = sum(weights.values()) / len(servers) * BALANCE_SLACK
        owned: dict[str, list[str]] = {server: [] for server in servers}
        orphans = []
        for name in partition_map.partition_names():
            owner = partition_map.ownership(name).owner
            owned.get(owner, orphans).append(name)
        totals = {
            server: sum(weights[name] for name in names)
            for server, names in owned.items()
        }
        for server in servers:
            orphans += shed(owned[server], totals, server, weights, bound)
        for name in sorted(orphans, key=lambda n: (-weights[n], n)):
            server = roomiest(name, totals)
            owned[server].append(name)
            totals[server] += weights[name]
        return {name: s for s, names in owned.items() for name in names}


@PLACEMENTS.register("consistent-hash")
class ConsistentHash:
    """Baseline: the rendezvous winner owns the partition."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the wanted owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        return {
            name: hashing.rendezvous(name, servers)
            for name in partition_map.partition_names()
        }


@PLACEMENTS.register("full-rebalance")
class FullRebalance:
    """Baseline: packs all partitions anew, heaviest first."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the wanted owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        weights = weigh(partition_map, loads)
        totals = {server: 0.0 for server in servers}
        wanted = {}
        for name in sorted(
            partition_map.partition_names(), key=lambda n: (-weights[n], n)
        ):
            server = min(totals, key=lambda s: (totals[s], s))
            wanted[name] = server
            totals[server] += weights[name]
        return wanted


def weigh(
    partition_map: topology.PartitionMap, loads: dict[str, float]
) -> dict[str, float]:
    """Returns each partition's weight: an even part for state, plus load.

    Half of the weight is the number of partitions, which stands for state,
    and half the load, so that neither can be neglected.
    """
    names = partition_map.partition_names()
    total = sum(loads.get(name, 0.0) for name in names)
    if total <= 0:
        return {name: 1.0 for name in names}
    mean = total / len(names)
    return {name: 0.5 + 0.5 * loads.get(name, 0.0) / mean for name in names}


def shed(
    names: list[str],
    totals: dict[str, float],
    server: str,
    weights: dict[str, float],
    bound: float,
) -> list[str]:
    """Takes partitions off a server that is far beyond the bound.

    Returns:
        The partitions taken off; `names` and `totals` are updated.
    """
    taken: list[str] = []
    if totals[server] <= bound * HYSTERESIS:
        return taken
    for name in sorted(names, key=lambda n: (weights[n], n)):
        if totals[server] <= bound or len(names) == 1:
            break
        names.remove(name)
        totals[server] -= weights[name]
        taken.append(name)
    return taken


def roomiest(name: str, totals: dict[str, float]) -> str:
    """Returns the least loaded server; ties fall by rendezvous weight."""
    least = min(totals.values())
    tied = [s for s, t in totals.items() if math.isclose(t, least)]
    return hashing.rendezvous(name, tied)
