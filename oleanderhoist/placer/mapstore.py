"""The ownership maps as records of the table."""

import dataclasses

from oleanderhoist.clients import table
from oleanderhoist.policy import topology

MAPS_PREFIX = "maps/"


class MapConflictError(Exception):
    """Another leader wrote the map."""


@dataclasses.dataclass(kw_only=True)
class StoredMap:
    """A map and the version of its record; None before the first write."""

    space: topology.SpaceMap
    version: int | None


class Maps:
    """Reads and writes the maps for one leader.

    Args:
        table: The table client.
        epoch: The leader's epoch, written into every record.
    """

    def __init__(self, *, table: table.Table, epoch: int):
        self.table = table
        self.epoch = epoch
        self.stored: dict[str, StoredMap] = {}

    async def claim(self) -> None:
        """Reads all maps and rewrites each under this epoch.

        The rewrite makes every delayed write of an earlier leader fail.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader writes too.
        """
        for record in await self.table.scan(MAPS_PREFIX):
            space = from_value(record.value)
            self.stored[space.pool] = StoredMap(
                space=space, version=record.version
            )
            await self.write(space)

    def add(self, pool: str, partitions: int) -> None:
        """Adds an empty map for a new key space."""
        space = topology.SpaceMap(
            pool=pool,
            partitions=[topology.Holding() for _ in range(partitions)],
        )
        self.stored[pool] = StoredMap(space=space, version=None)

    async def write(self, space: topology.SpaceMap) -> None:
        """Writes a map; returns only when it surely took effect.

        Raises:
            TableError: It is not known whether the write took effect.
            MapConflictError: Another leader wrote the map.
        """
        stored = self.stored[space.pool]
        outcome = await self.table.put(
            MAPS_PREFIX + space.pool,
            to_value(space, self.epoch),
            expected=stored.version,
        )
        match outcome:
            case table.Written(version=version):
                stored.space = space
                stored.version = version
            case table.Conflict():
                raise MapConflictError(space.pool)
            case table.Unresolved():
                raise table.TableError("the map write is unresolved")


def to_value(space: topology.SpaceMap, epoch: int) -> dict:
    """Returns a map as a record's value."""
    return {
        "epoch": epoch,
        "pool": space.pool,
        "partitions": [[h.owner, h.fence] for h in space.partitions],
        "hot": {key: [h.owner, h.fence] for key, h in space.hot.items()},
        "versions": space.versions,
    }


def from_value(value: dict) -> topology.SpaceMap:
    """Returns a map from a record's value."""

    def holding(pair: list) -> topology.Holding:
        return topology.Holding(owner=pair[0], fence=pair[1])

    return topology.SpaceMap(
        pool=value["pool"],
        partitions=[holding(pair) for pair in value["partitions"]],
        hot={key: holding(pair) for key, pair in value["hot"].items()},
        versions=value["versions"],
    )
