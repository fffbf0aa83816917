"""Servers, entries and the ownership of partitions."""

import dataclasses
import enum

from oleanderhoist.policy import hashing


class ServerState(enum.StrEnum):
    """Whether a server may get requests."""

    UP = "up"
    LEAVING = "leaving"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Server:
    """A backend server as the platform's configuration describes it.

    Attributes:
        id: Name of the server.
        pool: Pool it belongs to.
        address: ``host:port``.
        data_center: Data centre of the server.
        slots: Requests that it runs concurrently.
        connections: Connections that it accepts.
        checks_sender: Whether it rejects assignments and leases of an earlier
            epoch.
        keyed: Whether its pool is partitioned by key.
        state: Whether it may get requests.
    """

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    connections: int
    checks_sender: bool
    keyed: bool
    state: ServerState = ServerState.UP


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A live entry process."""

    id: str
    address: str
    data_center: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ownership:
    """The owner of a partition or an isolated key.

    Attributes:
        owner: Server id; empty while no server owns it.
        fence: Fencing token; increases by one with every new owner.
    """

    owner: str = ""
    fence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """One version of everything that a server owns.

    Attributes:
        version: Increases with every change of what the server owns.
        fences: Fence of each partition, by partition name.
        excluded: Isolated keys, which do not belong to their partitions.
    """

    version: int = 0
    fences: dict[str, int] = dataclasses.field(default_factory=dict)
    excluded: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True)
class PartitionMap:
    """Ownership of the partitions and isolated keys of one pool.

    Attributes:
        pool: Pool whose servers own the keys.
        partitions: Ownership of each partition.
        isolated_keys: Ownership of each key isolated from its partition.
        assignment_versions: Version of each server's assignment.
    """

    pool: str
    partitions: list[Ownership]
    isolated_keys: dict[str, Ownership] = dataclasses.field(
        default_factory=dict
    )
    assignment_versions: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def locate(self, key: str) -> tuple[str, Ownership]:
        """Returns the partition name of a key and its ownership."""
        if key in self.isolated_keys:
            return isolated_name(key), self.isolated_keys[key]
        index = hashing.partition_of(key, len(self.partitions))
        return str(index), self.partitions[index]

    def ownership(self, name: str) -> Ownership:
        """Returns the ownership of a partition name."""
        if name.startswith("key:"):
            return self.isolated_keys[name.removeprefix("key:")]
        return self.partitions[int(name)]

    def set_ownership(self, name: str, ownership: Ownership) -> None:
        """Sets the ownership of a partition name."""
        if name.startswith("key:"):
            self.isolated_keys[name.removeprefix("key:")] = ownership
        else:
            self.partitions[int(name)] = ownership

    def partition_names(self) -> list[str]:
        """Returns all partition names, isolated keys last."""
        indexes = [str(index) for index in range(len(self.partitions))]
        return indexes + [isolated_name(key) for key in self.isolated_keys]

    def assignment(self, server: str) -> Assignment:
        """Returns what a server owns."""
        fences = {
            name: self.ownership(name).fence
            for name in self.partition_names()
            if self.ownership(name).owner == server
        }
        excluded = tuple(sorted(key for key in self.isolated_keys))
        return Assignment(
            version=self.assignment_versions.get(server, 0),
            fences=fences,
            excluded=excluded,
        )

    def copy(self) -> "PartitionMap":
        """Returns an independent copy."""
        return PartitionMap(
            pool=self.pool,
            partitions=list(self.partitions),
            isolated_keys=dict(self.isolated_keys),
            assignment_versions=dict(self.assignment_versions),
        )


def isolated_name(key: str) -> str:
    """Returns the partition name of an isolated key."""
    return f"key:{key}"


def coordinators(servers: list[Server], entries: list[Entry]) -> dict[str, str]:
    """Picks the coordinator entry of every server.

    The coordinator is chosen by rendezvous hashing among the live entries of
    the server's data centre, or among all entries if there are none.

    Returns:
        Entry id by server id; empty when there are no entries.
    """
    if not entries:
        return {}
    by_data_center: dict[str, list[str]] = {}
    for entry in entries:
        by_data_center.setdefault(entry.data_center, []).append(entry.id)
    all_ids = [entry.id for entry in entries]
    return {
        server.id: hashing.rendezvous(
            server.id, by_data_center.get(server.data_center, all_ids)
        )
        for server in servers
    }
