"""Stores the partition maps in the table."""

import dataclasses

from oleanderhoist.clients import table
from oleanderhoist.policy import topology

MAPS_PREFIX = "maps/"


class MapConflictError(Exception):
    """Another leader wrote the map."""


@dataclasses.dataclass(kw_only=True)
class StoredMap:
    """A partition map and its record.

    Attributes:
        partition_map: The map.
        version: Version of the record; None before the first write.
    """

    partition_map: topology.PartitionMap
    version: int | None


class MapStore:
    """Reads and writes the partition maps for one leader.

    Args:
        table: The table client.
        epoch: The leader's epoch, written into every record.
    """

    def __init__(self, *, table: table.TableClient, epoch: int):
        self.table = table
        self.epoch = epoch
        self.stored: dict[str, StoredMap] = {}

    async def fence_and_load(self) -> None:
        """Reads all maps and rewrites each under this epoch.

        The rewrite changes the version of each record, so that delayed writes
        of an earlier leader fail.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader wrote a map.
        """
        for record in await self.table.scan(MAPS_PREFIX):
            partition_map = from_value(record.value)
            self.stored[partition_map.pool] = StoredMap(
                partition_map=partition_map, version=record.version
            )
            await self.write(partition_map)

    def add(self, pool: str, partitions: int) -> None:
        """Adds a map whose partitions have no owner yet."""
        partition_map = topology.PartitionMap(
            pool=pool,
            partitions=[topology.Ownership() for _ in range(partitions)],
        )
        self.stored[pool] = StoredMap(partition_map=partition_map, version=None)

    async def write(self, partition_map: topology.PartitionMap) -> None:
        """Writes a map; returns only after the write took effect.

        Raises:
            TableError: It is not known whether the write took effect.
            MapConflictError: Another leader wrote the map.
        """
        stored = self.stored[partition_map.pool]
        outcome = await self.table.put(
            MAPS_PREFIX + partition_map.pool,
            to_value(partition_map, self.epoch),
            expected=stored.version,
        )
        match outcome:
            case table.Written(version=version):
                stored.partition_map = partition_map
                stored.version = version
            case table.Conflict():
                raise MapConflictError(partition_map.pool)
            case table.Unresolved():
                raise table.TableError("the map write is unresolved")


def to_value(partition_map: topology.PartitionMap, epoch: int) -> dict:
    """Converts a partition map to a record's value."""
    return {
        "epoch": epoch,
        "pool": partition_map.pool,
        "partitions": [
            [ownership.owner, ownership.fence]
            for ownership in partition_map.partitions
        ],
        "hot": {
            key: [ownership.owner, ownership.fence]
            for key, ownership in partition_map.isolated_keys.items()
        },
        "versions": partition_map.assignment_versions,
    }


def from_value(value: dict) -> topology.PartitionMap:
    """Converts a record's value to a partition map."""

    def to_ownership(pair: list) -> topology.Ownership:
        return topology.Ownership(owner=pair[0], fence=pair[1])

    return topology.PartitionMap(
        pool=value["pool"],
        partitions=[to_ownership(pair) for pair in value["partitions"]],
        isolated_keys={
            key: to_ownership(pair) for key, pair in value["hot"].items()
        },
        assignment_versions=value["versions"],
    )
