"""Moves partitions: revokes them, waits for their release, places them."""

import asyncio
import dataclasses

import prometheus_client

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.placer import mapstore
from oleanderhoist.placer import publisher
from oleanderhoist.policy import placement
from oleanderhoist.policy import topology

RELEASE_POLL_SECONDS = 0.01
FIRST_PLACEMENT_WAIT_SECONDS = 2.0

MOVES = prometheus_client.Counter(
    "oleander_ownership_changes", "Partitions given to a new owner", ["pool"]
)
UNAVAILABLE = prometheus_client.Counter(
    "oleander_partition_unavailable_seconds",
    "Time during which partitions had no owner, summed",
    ["pool"],
)


class Reconciler:
    """Changes the ownership of partitions as the placement policy decides.

    Args:
        publisher: The leader's publisher of delegations and snapshots.
        map_store: The partition maps in the table.
        policy: The placement policy.
        partitions: Number of partitions of a new partition map.

    Attributes:
        loads: Requests per second, by pool and partition name; always empty
            so far.
        unreleased: Servers that may still hold revoked partitions: by pool and
            server id, the assignment version that removed them.
    """

    def __init__(
        self,
        *,
        publisher: publisher.Publisher,
        map_store: mapstore.MapStore,
        policy: placement.Policy,
        partitions: int,
    ):
        self.publisher = publisher
        self.map_store = map_store
        self.policy = policy
        self.partitions = partitions
        self.started_at = publisher.clock.monotonic()
        self.was_blocked = False
        self.loads: dict[str, dict[str, float]] = {}
        self.unreleased: dict[str, dict[str, int]] = {}

    def add_partition_maps(self) -> bool:
        """Adds a partition map for each keyed pool that has none.

        Returns:
            Whether any map was added.
        """
        pools = {
            s.pool for s in self.publisher.cluster_state.servers if s.keyed
        }
        new = pools - set(self.map_store.stored)
        for pool in sorted(new):
            self.map_store.add(pool, self.partitions)
            stored = self.map_store.stored[pool]
            self.publisher.cluster_state.partition_maps[pool] = (
                stored.partition_map
            )
        return bool(new)

    def usable_servers(self, pool: str) -> list[str]:
        """Returns the servers of a pool that may own partitions.

        A server without a report is usable only if it owns partitions already.
        """
        partition_map = self.map_store.stored[pool].partition_map
        owners = {
            partition_map.ownership(name).owner
            for name in partition_map.partition_names()
        }
        usable = []
        for server in self.publisher.cluster_state.servers:
            if server.pool != pool:
                continue
            report = self.publisher.reports.get(server.id)
            reported_up = report is not None and report.state == "up"
            unreported = report is None or report.state == "unknown"
            retained = unreported and server.id in owners
            if server.state is topology.ServerState.UP and (
                reported_up or retained
            ):
                usable.append(server.id)
        return usable

    def ready_for_placement(self, pool: str) -> bool:
        """Returns whether the partitions of a pool can be placed.

        The first placement waits for a report on each server of the pool, for
        at most FIRST_PLACEMENT_WAIT_SECONDS, to choose among all of them.
        """
        partition_map = self.map_store.stored[pool].partition_map
        if any(
            partition_map.ownership(name).fence
            for name in partition_map.partition_names()
        ):
            return True
        waited_seconds = self.publisher.clock.monotonic() - self.started_at
        pool_servers = [
            s for s in self.publisher.cluster_state.servers if s.pool == pool
        ]
        reported = [
            s
            for s in pool_servers
            if s.id in self.publisher.reports
            and self.publisher.reports[s.id].state != "unknown"
        ]
        return (
            len(reported) == len(pool_servers)
            or waited_seconds > FIRST_PLACEMENT_WAIT_SECONDS
        )

    async def reconcile(self, pool: str) -> bool:
        """Moves the partitions of a pool as the placement policy decides.

        Returns:
            Whether the owner of any partition changed, also to none.

        Raises:
            TableError: A write is unresolved.
            MapConflictError: Another leader wrote the map.
        """
        if not self.ready_for_placement(pool):
            return False
        partition_map = self.map_store.stored[pool].partition_map
        usable = self.usable_servers(pool)
        desired = self.policy.place(
            partition_map, usable, self.loads.get(pool, {})
        )
        moving = [
            name
            for name in partition_map.partition_names()
            if partition_map.ownership(name).owner != desired.get(name, "")
        ]
        if not moving or self.moves_blocked():
            return False
        started_at = self.publisher.clock.monotonic()
        await self.revoke(pool, moving)
        await self.wait_for_release(pool)
        await self.place(pool, moving, desired, usable)
        elapsed_seconds = self.publisher.clock.monotonic() - started_at
        UNAVAILABLE.labels(pool).inc(elapsed_seconds * len(moving))
        return True

    def moves_blocked(self) -> bool:
        """Returns whether an earlier leader may still be delegating."""
        blocked = not self.publisher.election.predecessors_expired()
        if blocked and not self.was_blocked:
            takeover = self.publisher.election.takeover
            log.write(
                events.MOVES_BLOCKED,
                epoch=self.publisher.epoch,
                until=takeover.moves_allowed_after(),
                missing=sorted(takeover.unfenced()),
            )
        self.was_blocked = blocked
        return blocked

    async def revoke(self, pool: str, moving: list[str]) -> None:
        """Revokes partitions from their owners."""
        partition_map = self.map_store.stored[pool].partition_map.copy()
        old_owners = set()
        for name in moving:
            ownership = partition_map.ownership(name)
            if ownership.owner:
                old_owners.add(ownership.owner)
                partition_map.set_ownership(
                    name, dataclasses.replace(ownership, owner="")
                )
        if not old_owners:
            return
        for old_owner in old_owners:
            partition_map.assignment_versions[old_owner] = (
                partition_map.assignment_versions.get(old_owner, 0) + 1
            )
            unreleased = self.unreleased.setdefault(pool, {})
            unreleased[old_owner] = partition_map.assignment_versions[old_owner]
        await self.write_and_publish(partition_map)
        log.write(
            events.PARTITIONS_REVOKED,
            pool=pool,
            partitions=moving,
            servers=sorted(old_owners),
            revision=self.publisher.revision,
        )

    async def wait_for_release(self, pool: str) -> None:
        """Waits until no old owner can still hold a revoked partition.

        Includes the old owners of earlier attempts that failed midway.
        """
        revision = self.publisher.revision
        servers = {s.id: s for s in self.publisher.cluster_state.servers}
        unreleased = self.unreleased.get(pool, {})
        for old_owner, version in list(unreleased.items()):
            server = servers.get(old_owner) or unlisted_server(old_owner, pool)
            while not self.publisher.is_released(server, version, revision):
                await asyncio.sleep(RELEASE_POLL_SECONDS)
            del unreleased[old_owner]

    async def reload_partition_maps(self) -> None:
        """Reloads all maps after a write whose outcome is unknown.

        A server whose assignment version has changed may have lost partitions
        and counts as not released.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader wrote a map.
        """
        versions_before = {
            pool: stored.partition_map.assignment_versions
            for pool, stored in self.map_store.stored.items()
        }
        await self.map_store.fence_and_load()
        for pool, stored in self.map_store.stored.items():
            pool_versions = versions_before.get(pool, {})
            for (
                server,
                version,
            ) in stored.partition_map.assignment_versions.items():
                if version != pool_versions.get(server, 0):
                    self.unreleased.setdefault(pool, {})[server] = version
            self.publisher.cluster_state.partition_maps[pool] = (
                stored.partition_map
            )
        self.publisher.publish()

    async def place(
        self,
        pool: str,
        moving: list[str],
        desired: dict[str, str],
        candidates: list[str],
    ) -> None:
        """Assigns released partitions to their new owners."""
        partition_map = self.map_store.stored[pool].partition_map.copy()
        placed: dict[str, list[str]] = {}
        for name in moving:
            owner = desired.get(name, "")
            if not owner:
                continue
            fence = partition_map.ownership(name).fence + 1
            ownership = topology.Ownership(owner=owner, fence=fence)
            partition_map.set_ownership(name, ownership)
            placed.setdefault(owner, []).append(name)
        if not placed:
            return
        for new_owner in placed:
            partition_map.assignment_versions[new_owner] = (
                partition_map.assignment_versions.get(new_owner, 0) + 1
            )
        await self.write_and_publish(partition_map)
        MOVES.labels(pool).inc(sum(map(len, placed.values())))
        log.write(
            events.PARTITIONS_PLACED,
            pool=pool,
            placed=placed,
            candidates=candidates,
            revision=self.publisher.revision,
        )

    async def write_and_publish(
        self, partition_map: topology.PartitionMap
    ) -> None:
        """Writes a map, then publishes it.

        Raises:
            TableError: It is not known whether the write took effect.
            MapConflictError: Another leader wrote the map.
        """
        await self.map_store.write(partition_map)
        self.publisher.cluster_state.partition_maps[partition_map.pool] = (
            partition_map
        )
        self.publisher.publish()


def unlisted_server(id: str, pool: str) -> topology.Server:
    """Returns a placeholder for a server that is no longer listed."""
    return topology.Server(
        id=id,
        pool=pool,
        address="",
        data_center="",
        slots=1,
        connections=1,
        checks_sender=False,
        keyed=True,
    )
