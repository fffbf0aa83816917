"""Codec of snapshots and deltas."""

import hashlib
import itertools

import msgspec

from oleanderhoist.node import fragments
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys

# Earlier builds give every snapshot that was read from the store version -1.
MAX_CONTENT_VERSION = -2
CONTENT_DIGEST_BYTES = 8
CONTENT_VERSION_BITS = 62  # So that the version fits a signed integer.

_ENCODER = msgspec.msgpack.Encoder()


class MapItem(msgspec.Struct, array_like=True, frozen=True):
    """The owners of a pool's keys; `owners` are indexes into `servers`."""

    pool: str
    servers: list[str]
    starts: list[int]
    owners: list[int]


class SnapshotItem(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot."""

    members: list[wire.MemberItem]
    servers: list[wire.ServerItem]
    maps: list[MapItem]


_SNAPSHOTS = msgspec.msgpack.Decoder(SnapshotItem)


def member_item(member: cluster.Member) -> wire.MemberItem:
    """Encodes a member."""
    return wire.MemberItem(
        member.address, member.data_center, member.cores, member.coordination
    )


def server_item(server: cluster.Server) -> wire.ServerItem:
    """Encodes a server."""
    return wire.ServerItem(
        server.id,
        server.pool,
        server.address,
        server.data_center,
        server.slots,
        server.started_ms,
        server.leaving,
        server.cold,
    )


def to_member(item: wire.MemberItem) -> cluster.Member:
    """Decodes a member."""
    return cluster.Member(
        address=item.address,
        data_center=item.data_center,
        cores=item.cores,
        coordination=item.coordination,
    )


def to_server(item: wire.ServerItem) -> cluster.Server:
    """Decodes a server."""
    return cluster.Server(
        id=item.id,
        pool=item.pool,
        address=item.address,
        data_center=item.data_center,
        slots=item.slots,
        started_ms=item.started_ms,
        leaving=item.leaving,
        cold=item.cold,
    )


def content_version(snapshot: cluster.Snapshot) -> int:
    """Returns a version that only snapshots of the same content have.

    It is negative, and so older than every version that a leader publishes.
    """
    content = [
        sorted(
            msgspec.to_builtins(member_item(member))
            for member in snapshot.members.values()
        ),
        sorted(
            msgspec.to_builtins(server_item(server))
            for server in snapshot.servers.values()
        ),
        sorted(
            [pool, owner_changes(key_map)]
            for pool, key_map in snapshot.maps.items()
        ),
    ]
    digest = hashlib.blake2b(
        _ENCODER.encode(content), digest_size=CONTENT_DIGEST_BYTES
    ).digest()
    number = int.from_bytes(digest, "big") % (1 << CONTENT_VERSION_BITS)
    return MAX_CONTENT_VERSION - number


def owner_changes(key_map: keys.KeyMap) -> list[tuple[int, str]]:
    """Returns the first key of each owner, however its keys are divided."""
    groups = itertools.groupby(key_map.owners(), key=lambda item: item[1])
    return [next(group) for _, group in groups]


def pack(snapshot: cluster.Snapshot) -> list[wire.SnapshotFragment]:
    """Encodes a snapshot as fragments."""
    item = SnapshotItem(
        members=[member_item(m) for m in snapshot.members.values()],
        servers=[server_item(s) for s in snapshot.servers.values()],
        maps=[
            pack_map(pool, key_map) for pool, key_map in snapshot.maps.items()
        ],
    )
    pieces = fragments.split(_ENCODER.encode(item))
    return [
        wire.SnapshotFragment(
            epoch=snapshot.epoch,
            version=snapshot.version,
            index=index,
            count=len(pieces),
            data=piece,
        )
        for index, piece in enumerate(pieces)
    ]


def difference(before: cluster.Snapshot, after: cluster.Snapshot) -> wire.Delta:
    """Returns the delta between two snapshots."""
    ranges = {}
    for pool, key_map in after.maps.items():
        known_ranges = set(before.maps.get(pool, keys.unowned_map()).ranges)
        changed = [
            (one.start, one.end, one.owner)
            for one in key_map.ranges
            if one not in known_ranges
        ]
        if changed or pool not in before.maps:
            ranges[pool] = changed
    return wire.Delta(
        base_epoch=before.epoch,
        base_version=before.version,
        epoch=after.epoch,
        version=after.version,
        members=[
            member_item(member)
            for address, member in after.members.items()
            if before.members.get(address) != member
        ],
        lost_members=[m for m in before.members if m not in after.members],
        servers=[
            server_item(server)
            for id, server in after.servers.items()
            if before.servers.get(id) != server
        ],
        lost_servers=[s for s in before.servers if s not in after.servers],
        ranges=ranges,
    )


def apply(
    snapshot: cluster.Snapshot, delta: wire.Delta, *, leader: str
) -> cluster.Snapshot:
    """Returns the snapshot that results from a delta."""
    members = dict(snapshot.members)
    members.update((item.address, to_member(item)) for item in delta.members)
    for address in delta.lost_members:
        members.pop(address, None)
    servers = dict(snapshot.servers)
    servers.update((item.id, to_server(item)) for item in delta.servers)
    for id in delta.lost_servers:
        servers.pop(id, None)
    maps = dict(snapshot.maps)
    for pool, ranges in delta.ranges.items():
        key_map = maps.get(pool, keys.unowned_map())
        for start, end, owner in ranges:
            key_map = key_map.assign(start, end, owner)
        maps[pool] = key_map
    return cluster.Snapshot(
        epoch=delta.epoch,
        version=delta.version,
        leader=leader,
        members=members,
        servers=servers,
        maps=maps,
    )


def pack_map(pool: str, key_map: keys.KeyMap) -> MapItem:
    """Encodes the owners of a pool's keys."""
    servers = sorted({one.owner for one in key_map.ranges})
    index = {server: number for number, server in enumerate(servers)}
    return MapItem(
        pool,
        servers,
        key_map.starts,
        [index[one.owner] for one in key_map.ranges],
    )


def unpack(
    data: bytes, *, epoch: int, version: int, leader: str
) -> cluster.Snapshot:
    """Decodes a snapshot.

    Raises:
        wire.DecodeError: It is malformed.
    """
    try:
        item = _SNAPSHOTS.decode(data)
        maps = {one.pool: unpack_map(one) for one in item.maps}
    except (msgspec.DecodeError, IndexError) as error:
        raise wire.DecodeError(str(error)) from error
    return cluster.Snapshot(
        epoch=epoch,
        version=version,
        leader=leader,
        members={m.address: to_member(m) for m in item.members},
        servers={s.id: to_server(s) for s in item.servers},
        maps=maps,
    )


def unpack_map(item: MapItem) -> keys.KeyMap:
    """Decodes the owners of a pool's keys."""
    ends = [*[start - 1 for start in item.starts[1:]], keys.KEY_COUNT - 1]
    return keys.KeyMap(
        ranges=[
            keys.Range(start=start, end=end, owner=item.servers[owner])
            for start, end, owner in zip(
                item.starts, ends, item.owners, strict=True
            )
        ]
    )
