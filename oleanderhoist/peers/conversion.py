"""Conversion between views on the wire and the topology's data classes."""

import dataclasses

from oleanderhoist.peers import wire
from oleanderhoist.policy import topology


def pack_entry(entry: topology.Entry) -> wire.EntryItem:
    """Returns an entry as it goes on the wire."""
    return wire.EntryItem(**dataclasses.asdict(entry))


def pack_server(server: topology.Server) -> wire.ServerItem:
    """Returns a server as it goes on the wire."""
    return wire.ServerItem(**dataclasses.asdict(server))


def pack_partition_map(
    partition_map: topology.PartitionMap,
) -> wire.PartitionMapItem:
    """Returns a partition map as it goes on the wire, owners as indexes."""
    ownerships = [
        partition_map.ownership(name)
        for name in partition_map.partition_names()
    ]
    owners = sorted({ownership.owner for ownership in ownerships})
    index = {owner: place for place, owner in enumerate(owners)}
    return wire.PartitionMapItem(
        pool=partition_map.pool,
        owners=owners,
        partitions=[
            (index[h.owner], h.fence) for h in partition_map.partitions
        ],
        isolated_keys={
            k: (index[h.owner], h.fence)
            for k, h in partition_map.isolated_keys.items()
        },
        assignment_versions=partition_map.assignment_versions,
    )


def unpack_entry(item: wire.EntryItem) -> topology.Entry:
    """Returns an entry from the wire."""
    return topology.Entry(
        id=item.id, address=item.address, data_center=item.data_center
    )


def unpack_server(item: wire.ServerItem) -> topology.Server:
    """Returns a server from the wire."""
    fields = {name: getattr(item, name) for name in item.__struct_fields__}
    fields["state"] = topology.ServerState(item.state)
    return topology.Server(**fields)


def unpack_partition_map(item: wire.PartitionMapItem) -> topology.PartitionMap:
    """Returns a partition map from the wire."""

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
