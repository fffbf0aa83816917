"""What a process knows of servers, peers and owners at one moment."""

import dataclasses
import functools

from oleanderhoist.policy import hashing
from oleanderhoist.policy import keys

MISSING_GRACE_SECONDS = 2.4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Server:
    """A backend server as the directory lists it.

    Attributes:
        id: Name of the server.
        pool: Pool it belongs to.
        address: ``host:port``.
        data_center: Where it runs.
        slots: Requests it works on at once.
        started_ms: Start time of its process, in milliseconds since the epoch.
        leaving: Whether it asks for no new work.
    """

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    started_ms: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A process of this system.

    Attributes:
        address: ``host:port`` of its datagram socket, which names it too.
        data_center: Where it runs.
        cores: Share of a processor that it may use.
    """

    address: str
    data_center: str
    cores: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The state of the system, as its leader last published it.

    Attributes:
        epoch: Rises with every change of the leader.
        version: Rises with every change within an epoch.
        leader: Address of the leader.
        members: Processes by address.
        servers: Servers by id.
        maps: Owners of keys by pool.
    """

    epoch: int = 0
    version: int = 0
    leader: str = ""
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    maps: dict[str, keys.KeyMap] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def usable(self) -> dict[str, tuple[Server, ...]]:
        """Servers that may get new work, by pool."""
        found: dict[str, list[Server]] = {}
        for server in self.servers.values():
            if not server.leaving:
                found.setdefault(server.pool, []).append(server)
        return {pool: tuple(servers) for pool, servers in found.items()}

    @functools.cached_property
    def coordinators(self) -> dict[str, str]:
        """Cache of the member that decides for a slot queue."""
        return {}

    @functools.cached_property
    def weights(self) -> dict[str, float]:
        """Processor share of each member."""
        return {m.address: m.cores for m in self.members.values()}

    def coordinator(self, queue: str) -> str:
        """Returns the member that decides for a slot queue; empty if none."""
        if not self.members:
            return ""
        if queue not in self.coordinators:
            self.coordinators[queue] = hashing.weighted_rendezvous(
                queue, self.weights
            )
        return self.coordinators[queue]

    def owner(self, pool: str, key: int) -> Server | None:
        """Returns the server that owns a key, or None."""
        key_map = self.maps.get(pool)
        if key_map is None:
            return None
        return self.servers.get(key_map.find(key).owner)


def merge_listing(
    before: dict[str, Server],
    listed: dict[str, Server],
    *,
    last_failure_at: float,
    now: float,
) -> dict[str, Server]:
    """Returns the servers that count, given what the directory lists now.

    The directory may lose entries while it is away; they come back soon
    after its return. Until then a missing server is not taken as gone.

    Args:
        before: Servers that counted so far.
        listed: Servers listed now.
        last_failure_at: When a read of the directory last failed.
        now: Present time, in seconds.
    """
    if now - last_failure_at < MISSING_GRACE_SECONDS:
        return {**before, **listed}
    return listed
