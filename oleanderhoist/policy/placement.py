"""Placement of partitions on servers."""

import math
from typing import Protocol

from oleanderhoist.policy import hashing
from oleanderhoist.policy import registry
from oleanderhoist.policy import topology

BALANCE_SLACK = 1.10  # Bound, as a multiple of the mean load.
HYSTERESIS = 1.25  # Multiple of the bound at which partitions move.
LOAD_FRACTION = 0.5  # Of the total weight; the rest is divided evenly.


class Policy(Protocol):
    """Chooses the desired owner of every partition."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the desired owner by partition name.

        Args:
            partition_map: Current ownership.
            servers: Ids of the servers that may own partitions.
            loads: Requests per second by partition name; 0 if absent.
        """


PLACEMENTS: registry.Registry[type[Policy]] = registry.Registry(
    kind="placement policy"
)


@PLACEMENTS.register("bounded-least-churn")
class BoundedLeastChurn:
    """Keeps current owners, within a bound on each server's load.

    Only partitions without a usable owner move, and those of servers whose
    load exceeds the bound times the hysteresis, as long as a move lowers it.
    """

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the desired owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        weights = partition_weights(partition_map, loads)
        bound = sum(weights.values()) / len(servers) * BALANCE_SLACK
        owned: dict[str, list[str]] = {server: [] for server in servers}
        unassigned = []
        for name in partition_map.partition_names():
            owner = partition_map.ownership(name).owner
            owned.get(owner, unassigned).append(name)
        totals = {
            server: sum(weights[name] for name in names)
            for server, names in owned.items()
        }
        for server in servers:
            unassigned += remove_excess(
                owned[server], totals, server, weights, bound
            )
        for name in sorted(unassigned, key=lambda n: (-weights[n], n)):
            server = least_loaded(name, totals)
            owned[server].append(name)
            totals[server] += weights[name]
        return {name: s for s, names in owned.items() for name in names}


@PLACEMENTS.register("consistent-hash")
class ConsistentHash:
    """Baseline: rendezvous hashing chooses the owner of each partition."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the desired owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        return {
            name: hashing.rendezvous(name, servers)
            for name in partition_map.partition_names()
        }


@PLACEMENTS.register("full-rebalance")
class FullRebalance:
    """Baseline: places all partitions again, heaviest first."""

    def place(
        self,
        partition_map: topology.PartitionMap,
        servers: list[str],
        loads: dict[str, float],
    ) -> dict[str, str]:
        """Returns the desired owner by partition name."""
        if not servers:
            return {name: "" for name in partition_map.partition_names()}
        weights = partition_weights(partition_map, loads)
        totals = {server: 0.0 for server in servers}
        desired = {}
        for name in sorted(
            partition_map.partition_names(), key=lambda n: (-weights[n], n)
        ):
            server = min(totals, key=lambda s: (totals[s], s))
            desired[name] = server
            totals[server] += weights[name]
        return desired


def partition_weights(
    partition_map: topology.PartitionMap, loads: dict[str, float]
) -> dict[str, float]:
    """Returns the weight of each partition; the mean is 1.

    Half of the total weight is divided evenly, for the state of each
    partition, and half in proportion to load, so that both are balanced.
    """
    names = partition_map.partition_names()
    total = sum(loads.get(name, 0.0) for name in names)
    if total <= 0:
        return {name: 1.0 for name in names}
    mean = total / len(names)
    even = 1.0 - LOAD_FRACTION
    return {
        name: even + LOAD_FRACTION * loads.get(name, 0.0) / mean
        for name in names
    }


def remove_excess(
    names: list[str],
    totals: dict[str, float],
    server: str,
    weights: dict[str, float],
    bound: float,
) -> list[str]:
    """Removes partitions from a server whose load is far beyond the bound.

    Returns:
        The removed partitions; `names` and `totals` are updated.
    """
    removed: list[str] = []
    if totals[server] <= bound * HYSTERESIS:
        return removed
    for name in sorted(names, key=lambda n: (weights[n], n)):
        if totals[server] <= bound or len(names) == 1:
            break
        if min(totals.values()) + weights[name] >= totals[server]:
            break
        names.remove(name)
        totals[server] -= weights[name]
        removed.append(name)
    return removed


def least_loaded(name: str, totals: dict[str, float]) -> str:
    """Returns the least loaded server; rendezvous hashing breaks ties."""
    least = min(totals.values())
    tied = [s for s, t in totals.items() if math.isclose(t, least)]
    return hashing.rendezvous(name, tied)
