"""Moves partitions: revoke, wait for release, then place."""

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
SETTLE_SECONDS = 2.0

MOVES = prometheus_client.Counter(
    "oleander_ownership_changes", "Partitions given to a new owner", ["pool"]
)
UNAVAILABLE = prometheus_client.Counter(
    "oleander_partition_unavailable_seconds",
    "Time during which partitions had no owner, summed",
    ["pool"],
)


class Reconciler:
    """Brings ownership to what the placement policy wants.

    Args:
        publisher: The leader's delegations and views.
        map_store: The maps in the table.
        policy: The placement policy.
        partitions: Partitions of a new partition map.
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
        self.blocked = False
        self.loads: dict[str, dict[str, float]] = {}
        self.losing: dict[str, dict[str, int]] = {}

    def add_partition_maps(self) -> bool:
        """Adds a map for each keyed pool that has none."""
        pools = {s.pool for s in self.publisher.state.servers if s.keyed}
        new = pools - set(self.map_store.stored)
        for pool in sorted(new):
            self.map_store.add(pool, self.partitions)
            stored = self.map_store.stored[pool]
            self.publisher.state.partition_maps[pool] = stored.partition_map
        return bool(new)

    def usable(self, pool: str) -> list[str]:
        """Returns the servers of a pool that may own partitions."""
        partition_map = self.map_store.stored[pool].partition_map
        owners = {
            partition_map.ownership(name).owner
            for name in partition_map.partition_names()
        }
        found = []
        for server in self.publisher.state.servers:
            if server.pool != pool:
                continue
            report = self.publisher.reports.get(server.id)
            proven = report is not None and report.state == "up"
            unheard = report is None or report.state == "unknown"
            kept = unheard and server.id in owners
            if server.state is topology.ServerState.UP and (proven or kept):
                found.append(server.id)
        return found

    def settled(self, pool: str) -> bool:
        """Tells whether a first placement has all servers to choose from."""
        partition_map = self.map_store.stored[pool].partition_map
        if any(
            partition_map.ownership(name).fence
            for name in partition_map.partition_names()
        ):
            return True
        waited = self.publisher.clock.monotonic() - self.started_at
        members = [s for s in self.publisher.state.servers if s.pool == pool]
        heard = [
            s
            for s in members
            if s.id in self.publisher.reports
            and self.publisher.reports[s.id].state != "unknown"
        ]
        return len(heard) == len(members) or waited > SETTLE_SECONDS

    async def reconcile(self, pool: str) -> bool:
        """Performs the moves that the policy wants for one partition map.

        Returns:
            Whether any partition moved.

        Raises:
            TableError: A write is unresolved.
            MapConflictError: Another leader wrote the map.
        """
        if not self.settled(pool):
            return False
        partition_map = self.map_store.stored[pool].partition_map
        usable = self.usable(pool)
        wanted = self.policy.place(
            partition_map, usable, self.loads.get(pool, {})
        )
        moving = [
            name
            for name in partition_map.partition_names()
            if partition_map.ownership(name).owner != wanted.get(name, "")
        ]
        if not moving or self.is_blocked():
            return False
        began = self.publisher.clock.monotonic()
        await self.revoke(pool, moving)
        await self.wait_for_release(pool)
        await self.place(pool, moving, wanted, usable)
        took = self.publisher.clock.monotonic() - began
        UNAVAILABLE.labels(pool).inc(took * len(moving))
        return True

    def is_blocked(self) -> bool:
        """Tells whether an earlier leader might still lend."""
        blocked = not self.publisher.election.predecessors_expired()
        if blocked and not self.blocked:
            takeover = self.publisher.election.takeover
            log.write(
                events.MOVES_BLOCKED,
                epoch=self.publisher.epoch,
                until=takeover.moves_allowed_after(),
                missing=sorted(takeover.unfenced()),
            )
        self.blocked = blocked
        return blocked

    async def revoke(self, pool: str, moving: list[str]) -> None:
        """Takes partitions from their owners."""
        partition_map = self.map_store.stored[pool].partition_map.copy()
        losers = set()
        for name in moving:
            ownership = partition_map.ownership(name)
            if ownership.owner:
                losers.add(ownership.owner)
                partition_map.set_ownership(
                    name, dataclasses.replace(ownership, owner="")
                )
        if not losers:
            return
        for loser in losers:
            partition_map.assignment_versions[loser] = (
                partition_map.assignment_versions.get(loser, 0) + 1
            )
            losing = self.losing.setdefault(pool, {})
            losing[loser] = partition_map.assignment_versions[loser]
        await self.write(partition_map)
        log.write(
            events.PARTITIONS_REVOKED,
            pool=pool,
            partitions=moving,
            servers=sorted(losers),
            revision=self.publisher.revision,
        )

    async def wait_for_release(self, pool: str) -> None:
        """Waits until no loser can still own what was revoked.

        Losers of an earlier attempt count too, also when it failed midway.
        """
        revision = self.publisher.revision
        known = {s.id: s for s in self.publisher.state.servers}
        losing = self.losing.get(pool, {})
        for loser, version in list(losing.items()):
            server = known.get(loser) or departed(loser, pool)
            while not self.publisher.released(server, version, revision):
                await asyncio.sleep(RELEASE_POLL_SECONDS)
            del losing[loser]

    async def reclaim(self) -> None:
        """Reads all maps again after a write whose fate is not known.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader writes too.
        """
        before = {
            p: s.partition_map.assignment_versions
            for p, s in self.map_store.stored.items()
        }
        await self.map_store.fence_and_load()
        for pool, stored in self.map_store.stored.items():
            earlier = before.get(pool, {})
            for (
                server,
                version,
            ) in stored.partition_map.assignment_versions.items():
                if version != earlier.get(server, 0):
                    self.losing.setdefault(pool, {})[server] = version
            self.publisher.state.partition_maps[pool] = stored.partition_map
        self.publisher.publish()

    async def place(
        self,
        pool: str,
        moving: list[str],
        wanted: dict[str, str],
        candidates: list[str],
    ) -> None:
        """Gives released partitions to their new owners."""
        partition_map = self.map_store.stored[pool].partition_map.copy()
        winners: dict[str, list[str]] = {}
        for name in moving:
            owner = wanted.get(name, "")
            if not owner:
                continue
            fence = partition_map.ownership(name).fence + 1
            ownership = topology.Ownership(owner=owner, fence=fence)
            partition_map.set_ownership(name, ownership)
            winners.setdefault(owner, []).append(name)
        if not winners:
            return
        for winner in winners:
            partition_map.assignment_versions[winner] = (
                partition_map.assignment_versions.get(winner, 0) + 1
            )
        await self.write(partition_map)
        MOVES.labels(pool).inc(sum(map(len, winners.values())))
        log.write(
            events.PARTITIONS_PLACED,
            pool=pool,
            placed=winners,
            candidates=candidates,
            revision=self.publisher.revision,
        )

    async def write(self, partition_map: topology.PartitionMap) -> None:
        """Writes a map, then publishes it."""
        await self.map_store.write(partition_map)
        self.publisher.state.partition_maps[partition_map.pool] = partition_map
        self.publisher.publish()


def departed(id: str, pool: str) -> topology.Server:
    """Returns a stand for a server that the platform no longer lists."""
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
