"""Datagrams between routers and their codec (MessagePack)."""

import zlib

import msgspec

from oleanderhoist.policy import fleet
from oleanderhoist.policy import keys

PART_BYTES = 1200


class Message(
    msgspec.Struct, tag=True, array_like=True, kw_only=True, frozen=True
):
    """Base of all datagrams."""


class Hello(Message):
    """A router tells the leader that it lives, and what it saw.

    Attributes:
        data_center: Where it runs.
        cores: Its share of a processor.
        epoch: Epoch of the picture it has.
        version: Version of the picture it has.
        keys: Keys requested since the last hello, by pool.
        speeds: Measured service time by server, in milliseconds.
    """

    data_center: str
    cores: float
    epoch: int
    version: int
    keys: dict[str, list[int]]
    speeds: dict[str, float]
    leaving: bool = False


class Beat(Message):
    """The leader tells that it lives, and what is newest.

    Attributes:
        epoch: Its epoch.
        version: Version of its picture.
        terms: Revision of the newest contracts it knows of.
        age_ms: Age of its view of the directory.
        record: Revision of its leadership record.
        resigned: Whether it gives up its leadership.
    """

    epoch: int
    version: int
    terms: int
    age_ms: int
    record: int
    resigned: bool = False


class Part(Message):
    """A part of an encoded picture."""

    epoch: int
    version: int
    index: int
    count: int
    data: bytes


class MemberItem(msgspec.Struct, array_like=True, frozen=True):
    """A member in a picture."""

    address: str
    data_center: str
    cores: float


class ServerItem(msgspec.Struct, array_like=True, frozen=True):
    """A server in a picture."""

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    life: int
    leaving: bool


class Delta(Message):
    """What differs between two pictures.

    Attributes:
        base_epoch: Epoch of the earlier picture.
        base_version: Version of the earlier picture.
        epoch: Epoch of the new picture.
        version: Version of the new picture.
        members: Members that are new or changed.
        lost_members: Addresses of members that are gone.
        servers: Servers that are new or changed.
        lost_servers: Ids of servers that are gone.
        ranges: First key, last key and owner of each changed range, by pool.
    """

    base_epoch: int
    base_version: int
    epoch: int
    version: int
    members: list[MemberItem]
    lost_members: list[str]
    servers: list[ServerItem]
    lost_servers: list[str]
    ranges: dict[str, list[tuple[int, int, str]]]


class Ask(Message):
    """A router asks a lane's home for a slot."""

    lane: str
    id: int
    rank: int
    left_ms: int
    objective_ms: int
    data_center: str
    body_bytes: int
    excluded: list[str]


class Waiting(Message):
    """The home has queued an ask."""

    id: int
    wait_ms: int


class Slot(Message):
    """The home grants a slot."""

    id: int
    server: str


class Refusal(Message):
    """The home refuses an ask."""

    id: int
    retry_ms: int


class Done(Message):
    """A router gives a slot back; `took_ms` is below 0 when unknown."""

    lane: str
    id: int
    server: str
    took_ms: float
    failed: bool


class Cancel(Message):
    """A router no longer needs a slot that it waits for."""

    lane: str
    id: int


AnyMessage = (
    Hello | Beat | Part | Delta | Ask | Waiting | Slot | Refusal | Done | Cancel
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class MapItem(msgspec.Struct, array_like=True, frozen=True):
    """The owners of a pool's keys; `owners` refers to `servers`."""

    pool: str
    servers: list[str]
    starts: list[int]
    owners: list[int]


class PictureItem(msgspec.Struct, array_like=True, frozen=True):
    """A picture."""

    members: list[MemberItem]
    servers: list[ServerItem]
    maps: list[MapItem]


_PICTURES = msgspec.msgpack.Decoder(PictureItem)


class DecodeError(Exception):
    """A datagram is malformed."""


def encode(message: Message) -> bytes:
    """Encodes a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decodes a datagram.

    Raises:
        DecodeError: It is malformed.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise DecodeError(str(error)) from error


def member_item(member: fleet.Member) -> MemberItem:
    """Encodes a member."""
    return MemberItem(member.address, member.data_center, member.cores)


def server_item(server: fleet.Server) -> ServerItem:
    """Encodes a server."""
    return ServerItem(
        server.id,
        server.pool,
        server.address,
        server.data_center,
        server.slots,
        server.life,
        server.leaving,
    )


def to_member(item: MemberItem) -> fleet.Member:
    """Decodes a member."""
    return fleet.Member(
        address=item.address, data_center=item.data_center, cores=item.cores
    )


def to_server(item: ServerItem) -> fleet.Server:
    """Decodes a server."""
    return fleet.Server(
        id=item.id,
        pool=item.pool,
        address=item.address,
        data_center=item.data_center,
        slots=item.slots,
        life=item.life,
        leaving=item.leaving,
    )


def pack(picture: fleet.Picture) -> list[Part]:
    """Encodes a picture as parts that each fit into a datagram."""
    item = PictureItem(
        members=[member_item(m) for m in picture.members.values()],
        servers=[server_item(s) for s in picture.servers.values()],
        maps=[pack_map(pool, found) for pool, found in picture.maps.items()],
    )
    data = zlib.compress(_ENCODER.encode(item), 1)
    pieces = [
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    ]
    return [
        Part(
            epoch=picture.epoch,
            version=picture.version,
            index=index,
            count=len(pieces),
            data=piece,
        )
        for index, piece in enumerate(pieces)
    ]


def difference(before: fleet.Picture, after: fleet.Picture) -> Delta:
    """Returns what changed between two pictures."""
    ranges = {}
    for pool, key_map in after.maps.items():
        known = set(before.maps.get(pool, keys.unowned()).ranges)
        changed = [
            (one.start, one.end, one.owner)
            for one in key_map.ranges
            if one not in known
        ]
        if changed or pool not in before.maps:
            ranges[pool] = changed
    return Delta(
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
    picture: fleet.Picture, delta: Delta, *, leader: str
) -> fleet.Picture:
    """Returns the picture after a change."""
    members = dict(picture.members)
    members.update((item.address, to_member(item)) for item in delta.members)
    for address in delta.lost_members:
        members.pop(address, None)
    servers = dict(picture.servers)
    servers.update((item.id, to_server(item)) for item in delta.servers)
    for id in delta.lost_servers:
        servers.pop(id, None)
    maps = dict(picture.maps)
    for pool, ranges in delta.ranges.items():
        changed = maps.get(pool, keys.unowned())
        for start, end, owner in ranges:
            changed = changed.assign(start, end, owner)
        maps[pool] = changed
    return fleet.Picture(
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
) -> fleet.Picture:
    """Decodes a picture.

    Raises:
        DecodeError: It is malformed.
    """
    try:
        item = _PICTURES.decode(zlib.decompress(data))
        maps = {one.pool: unpack_map(one) for one in item.maps}
    except (zlib.error, msgspec.DecodeError, IndexError) as error:
        raise DecodeError(str(error)) from error
    return fleet.Picture(
        epoch=epoch,
        version=version,
        leader=leader,
        members={m.address: to_member(m) for m in item.members},
        servers={s.id: to_server(s) for s in item.servers},
        maps=maps,
    )


def unpack_map(item: MapItem) -> keys.KeyMap:
    """Decodes the owners of a pool's keys."""
    ends = [*[start - 1 for start in item.starts[1:]], keys.KEYS - 1]
    return keys.KeyMap(
        ranges=[
            keys.Range(start=start, end=end, owner=item.servers[owner])
            for start, end, owner in zip(
                item.starts, ends, item.owners, strict=True
            )
        ]
    )
