"""Conversion between snapshot items and the data classes of topology."""

import dataclasses

from oleanderhoist.peers import wire
from oleanderhoist.policy import topology


def pack_entry(entry: topology.Entry) -> wire.EntryItem:
    """Returns the wire format of an entry."""
    return wire.EntryItem(**dataclasses.asdict(entry))


def pack_server(server: topology.Server) -> wire.ServerItem:
    """Returns the wire format of a server."""
    return wire.ServerItem(**dataclasses.asdict(server))


def pack_partition_map(
    partition_map: topology.PartitionMap,
) -> wire.PartitionMapItem:
    """Returns the wire format of a partition map, with owners as indexes."""
    ownerships = [
        partition_map.ownership(name)
        for name in partition_map.partition_names()
    ]
    owners = sorted({ownership.owner for ownership in ownerships})
    index_by_owner = {owner: index for index, owner in enumerate(owners)}
    return wire.PartitionMapItem(
        pool=partition_map.pool,
        owners=owners,
        partitions=[
            (index_by_owner[ownership.owner], ownership.fence)
            for ownership in partition_map.partitions
        ],
        isolated_keys={
            key: (index_by_owner[ownership.owner], ownership.fence)
            for key, ownership in partition_map.isolated_keys.items()
        },
        assignment_versions=partition_map.assignment_versions,
    )


def unpack_entry(item: wire.EntryItem) -> topology.Entry:
    """Returns an entry from its wire format."""
    return topology.Entry(
        id=item.id, address=item.address, data_center=item.data_center
    )


def unpack_server(item: wire.ServerItem) -> topology.Server:
    """Returns a server from its wire format."""
    fields = {name: getattr(item, name) for name in item.__struct_fields__}
    fields["state"] = topology.ServerState(item.state)
    return topology.Server(**fields)


def unpack_partition_map(item: wire.PartitionMapItem) -> topology.PartitionMap:
    """Returns a partition map from its wire format."""

    def to_ownership(pair: tuple[int, int]) -> topology.Ownership:
        return topology.Ownership(owner=item.owners[pair[0]], fence=pair[1])

    return topology.PartitionMap(
        pool=item.pool,
        partitions=[to_ownership(pair) for pair in item.partitions],
        isolated_keys={
            key: to_ownership(pair) for key, pair in item.isolated_keys.items()
        },
        assignment_versions=dict(item.assignment_versions),
    )
