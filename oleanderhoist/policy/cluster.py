"""Snapshots of the cluster state: servers, members and owners of keys."""

import dataclasses
import functools

from oleanderhoist.policy import coordination
from oleanderhoist.policy import keys

MISSING_GRACE_SECONDS = 2.4
UNKNOWN_START_MS = 0  # Of a server whose entry does not name its start.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Incarnation:
    """One process of a server, from its start to its end.

    Attributes:
        id: Name of the server.
        started_ms: Start time of the process, in milliseconds since the epoch.
    """

    id: str
    started_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Server:
    """A backend server as the directory lists it.

    Attributes:
        id: Name of the server.
        pool: Pool it belongs to.
        address: ``host:port``.
        data_center: Data centre of the server.
        slots: Requests that it runs concurrently.
        started_ms: Start time of its process, in milliseconds since the epoch.
        leaving: Whether it is draining and must get no new requests.
        cold: Whether it stands only few requests yet.
    """

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    started_ms: int = UNKNOWN_START_MS
    leaving: bool = False
    cold: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The process that is listed."""
        return Incarnation(id=self.id, started_ms=self.started_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A router in the member list.

    Attributes:
        address: ``host:port`` of its datagram socket; also its id.
        data_center: Data centre of the router.
        cores: CPU cores that it may use.
        coordination: Rule by which it finds coordinators; 0 of earlier builds.
    """

    address: str
    data_center: str
    cores: float
    coordination: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The cluster state that the leader published or that the store holds.

    Attributes:
        epoch: Increases with every change of the leader.
        version: Increases with every change within an epoch; negative if
            servers or owners were read from the store. Snapshots of the same
            epoch and version have the same content.
        leader: Address of the leader.
        members: Members by address.
        servers: Servers by id.
        maps: Owners of keys by pool.
        departed: Those of the servers that have said to a router that they
            leave; not published, and no part of the content.
        evacuated: Data centres whose servers must get no requests; not
            published, and no part of the content.
        vacating: Those of them whose servers may still get requests for keys
            that they own; not published, and no part of the content.
    """

    epoch: int = 0
    version: int = 0
    leader: str = ""
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    maps: dict[str, keys.KeyMap] = dataclasses.field(default_factory=dict)
    departed: frozenset[Incarnation] = frozenset()
    evacuated: frozenset[str] = frozenset()
    vacating: frozenset[str] = frozenset()

    @property
    def name(self) -> tuple[int, int]:
        """Epoch and version, which name the content."""
        return self.epoch, self.version

    def may_use(self, server: Server) -> bool:
        """Returns whether a listed server may get new requests."""
        if self.is_evacuated(server):
            return False
        return not server.leaving and not self.has_departed(server)

    def has_departed(self, server: Server) -> bool:
        """Returns whether a listed server has said that it leaves."""
        return server.incarnation in self.departed

    def is_evacuated(self, server: Server) -> bool:
        """Returns whether an evacuation keeps requests from a server.

        Servers of pools with keys are the owners of their keys.
        """
        if server.data_center not in self.evacuated:
            return False
        owns_keys = server.pool in self.maps
        return not (owns_keys and server.data_center in self.vacating)

    @functools.cached_property
    def usable(self) -> dict[str, tuple[Server, ...]]:
        """Servers that may get new requests, by pool."""
        by_pool: dict[str, list[Server]] = {}
        for server in self.servers.values():
            if self.may_use(server):
                by_pool.setdefault(server.pool, []).append(server)
        return {pool: tuple(servers) for pool, servers in by_pool.items()}

    @functools.cached_property
    def coordinators(self) -> dict[str, str]:
        """Cache of the coordinator of each slot queue."""
        return {}

    def reuse_coordinators(self, before: "Snapshot") -> None:
        """Takes over the coordinators of a snapshot with the same members."""
        if self.coordination == before.coordination:
            self.coordinators.update(before.coordinators)

    @functools.cached_property
    def cores_by_member(self) -> dict[str, float]:
        """CPU cores of each member, by address."""
        return {m.address: m.cores for m in self.members.values()}

    @functools.cached_property
    def coordination(self) -> coordination.Basis:
        """What determines the coordinators."""
        rules = [member.coordination for member in self.members.values()]
        return coordination.Basis(
            cores=self.cores_by_member, rule=min(rules, default=0)
        )

    def coordinator(self, queue: str) -> str:
        """Returns the coordinator of a slot queue; empty without members."""
        if queue not in self.coordinators:
            found = self.coordination.coordinator_of(queue)
            self.coordinators[queue] = found
        return self.coordinators[queue]

    def usable_server(self, id: str) -> Server | None:
        """Returns a server if it may get new requests, else None."""
        server = self.servers.get(id)
        return server if server and self.may_use(server) else None

    def usable_owner(self, pool: str, key: int) -> Server | None:
        """Returns the owner of a key if it may get requests, else None."""
        key_map = self.maps.get(pool)
        if key_map is None:
            return None
        return self.usable_server(key_map.find(key).owner)

    def departed_from(self, pool: str) -> frozenset[str]:
        """Returns the ids of a pool's servers that have said they leave."""
        return frozenset(
            incarnation.id
            for incarnation in self.departed
            if self.servers[incarnation.id].pool == pool
        )

    def evacuated_from(self, pool: str) -> frozenset[str]:
        """Returns the ids of a pool's servers that an evacuation excludes."""
        if not self.evacuated:
            return frozenset()
        return frozenset(
            server.id
            for server in self.servers.values()
            if server.pool == pool and self.is_evacuated(server)
        )


def merge_listing(
    before: dict[str, Server],
    listed: dict[str, Server],
    *,
    last_failure_at: float,
    now: float,
) -> dict[str, Server]:
    """Returns the known servers after a read of the directory.

    The directory may lose rows during an outage, or when the store comes back
    from an older copy; they reappear soon after. Until then a server that is
    not listed is kept. An entry that does not name its start is that of the
    process that was known.

    Args:
        before: Servers known before, by id.
        listed: Servers that the directory lists, by id.
        last_failure_at: When a call to the store last failed, as recorded, or
            the store was first seen to have come back from a copy.
        now: Current time, in seconds.
    """
    started = {
        id: with_known_start(server, before.get(id))
        for id, server in listed.items()
    }
    if now - last_failure_at < MISSING_GRACE_SECONDS:
        return {**before, **started}
    return started


def with_known_start(server: Server, before: Server | None) -> Server:
    """Returns a listed server with the start time that was known, if any."""
    if before is None or server.started_ms != UNKNOWN_START_MS:
        return server
    return dataclasses.replace(server, started_ms=before.started_ms)
