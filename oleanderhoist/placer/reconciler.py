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


class Placement:
    """Brings ownership to what the placement policy wants.

    Args:
        lender: The leader's loans and views.
        maps: The maps in the table.
        policy: The placement policy.
        partitions: Partitions of a new key space.
    """

    def __init__(
        self,
        *,
        lender: publisher.Lender,
        maps: mapstore.Maps,
        policy: placement.Policy,
        partitions: int,
    ):
        self.lender = lender
        self.maps = maps
        self.policy = policy
        self.partitions = partitions
        self.started_at = lender.clock.monotonic()
        self.blocked = False
        self.loads: dict[str, dict[str, float]] = {}
        self.losing: dict[str, dict[str, int]] = {}

    def add_spaces(self) -> bool:
        """Adds a map for each keyed pool that has none."""
        pools = {s.pool for s in self.lender.picture.servers if s.keyed}
        new = pools - set(self.maps.stored)
        for pool in sorted(new):
            self.maps.add(pool, self.partitions)
            stored = self.maps.stored[pool]
            self.lender.picture.spaces[pool] = stored.space
        return bool(new)

    def usable(self, pool: str) -> list[str]:
        """Returns the servers of a pool that may own partitions."""
        space = self.maps.stored[pool].space
        owners = {space.holding(name).owner for name in space.names()}
        found = []
        for server in self.lender.picture.servers:
            if server.pool != pool:
                continue
            report = self.lender.reports.get(server.id)
            proven = report is not None and report.state == "up"
            unheard = report is None or report.state == "unknown"
            kept = unheard and server.id in owners
            if server.state is topology.ServerState.UP and (proven or kept):
                found.append(server.id)
        return found

    def settled(self, pool: str) -> bool:
        """Tells whether a first placement has all servers to choose from."""
        space = self.maps.stored[pool].space
        if any(space.holding(name).fence for name in space.names()):
            return True
        waited = self.lender.clock.monotonic() - self.started_at
        members = [s for s in self.lender.picture.servers if s.pool == pool]
        heard = [
            s
            for s in members
            if s.id in self.lender.reports
            and self.lender.reports[s.id].state != "unknown"
        ]
        return len(heard) == len(members) or waited > SETTLE_SECONDS

    async def reconcile(self, pool: str) -> bool:
        """Performs the moves that the policy wants for one key space.

        Returns:
            Whether any partition moved.

        Raises:
            TableError: A write is unresolved.
            MapConflictError: Another leader wrote the map.
        """
        if not self.settled(pool):
            return False
        space = self.maps.stored[pool].space
        usable = self.usable(pool)
        wanted = self.policy.place(space, usable, self.loads.get(pool, {}))
        moving = [
            name
            for name in space.names()
            if space.holding(name).owner != wanted.get(name, "")
        ]
        if not moving or self.is_blocked():
            return False
        began = self.lender.clock.monotonic()
        await self.revoke(pool, moving)
        await self.wait_for_release(pool)
        await self.place(pool, moving, wanted, usable)
        took = self.lender.clock.monotonic() - began
        UNAVAILABLE.labels(pool).inc(took * len(moving))
        return True

    def is_blocked(self) -> bool:
        """Tells whether an earlier leader might still lend."""
        blocked = not self.lender.election.settled()
        if blocked and not self.blocked:
            takeover = self.lender.election.takeover
            log.write(
                events.MOVES_BLOCKED,
                epoch=self.lender.epoch,
                until=takeover.moves_after(),
                missing=sorted(takeover.missing()),
            )
        self.blocked = blocked
        return blocked

    async def revoke(self, pool: str, moving: list[str]) -> None:
        """Takes partitions from their owners."""
        space = self.maps.stored[pool].space.copy()
        losers = set()
        for name in moving:
            holding = space.holding(name)
            if holding.owner:
                losers.add(holding.owner)
                space.set_holding(name, dataclasses.replace(holding, owner=""))
        if not losers:
            return
        for loser in losers:
            space.versions[loser] = space.versions.get(loser, 0) + 1
            losing = self.losing.setdefault(pool, {})
            losing[loser] = space.versions[loser]
        await self.write(space)
        log.write(
            events.PARTITIONS_REVOKED,
            pool=pool,
            partitions=moving,
            servers=sorted(losers),
            revision=self.lender.revision,
        )

    async def wait_for_release(self, pool: str) -> None:
        """Waits until no loser can still own what was revoked.

        Losers of an earlier attempt count too, also when it failed midway.
        """
        revision = self.lender.revision
        known = {s.id: s for s in self.lender.picture.servers}
        losing = self.losing.get(pool, {})
        for loser, version in list(losing.items()):
            server = known.get(loser) or departed(loser, pool)
            while not self.lender.released(server, version, revision):
                await asyncio.sleep(RELEASE_POLL_SECONDS)
            del losing[loser]

    async def reclaim(self) -> None:
        """Reads all maps again after a write whose fate is not known.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader writes too.
        """
        before = {p: s.space.versions for p, s in self.maps.stored.items()}
        await self.maps.claim()
        for pool, stored in self.maps.stored.items():
            earlier = before.get(pool, {})
            for server, version in stored.space.versions.items():
                if version != earlier.get(server, 0):
                    self.losing.setdefault(pool, {})[server] = version
            self.lender.picture.spaces[pool] = stored.space
        self.lender.publish()

    async def place(
        self,
        pool: str,
        moving: list[str],
        wanted: dict[str, str],
        candidates: list[str],
    ) -> None:
        """Gives released partitions to their new owners."""
        space = self.maps.stored[pool].space.copy()
        winners: dict[str, list[str]] = {}
        for name in moving:
            owner = wanted.get(name, "")
            if not owner:
                continue
            fence = space.holding(name).fence + 1
            holding = topology.Holding(owner=owner, fence=fence)
            space.set_holding(name, holding)
            winners.setdefault(owner, []).append(name)
        if not winners:
            return
        for winner in winners:
            space.versions[winner] = space.versions.get(winner, 0) + 1
        await self.write(space)
        MOVES.labels(pool).inc(sum(map(len, winners.values())))
        log.write(
            events.PARTITIONS_PLACED,
            pool=pool,
            placed=winners,
            candidates=candidates,
            revision=self.lender.revision,
        )

    async def write(self, space: topology.SpaceMap) -> None:
        """Writes a map, then publishes it."""
        await self.maps.write(space)
        self.lender.picture.spaces[space.pool] = space
        self.lender.publish()


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
