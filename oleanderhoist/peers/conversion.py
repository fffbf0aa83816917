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


def pack_space(space: topology.SpaceMap) -> wire.SpaceItem:
    """Returns a key space as it goes on the wire, owners as indexes."""
    holdings = [space.holding(name) for name in space.names()]
    owners = sorted({holding.owner for holding in holdings})
    index = {owner: place for place, owner in enumerate(owners)}
    return wire.SpaceItem(
        pool=space.pool,
        owners=owners,
        partitions=[(index[h.owner], h.fence) for h in space.partitions],
        hot={k: (index[h.owner], h.fence) for k, h in space.hot.items()},
        versions=space.versions,
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


def unpack_space(item: wire.SpaceItem) -> topology.SpaceMap:
    """Returns a key space from the wire."""

    def holding(pair: tuple[int, int]) -> topology.Holding:
        return topology.Holding(owner=item.owners[pair[0]], fence=pair[1])

    return topology.SpaceMap(
        pool=item.pool,
        partitions=[holding(pair) for pair in item.partitions],
        hot={key: holding(pair) for key, pair in item.hot.items()},
        versions=dict(item.versions),
    )
