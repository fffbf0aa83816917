"""Datagrams between routers and their codec (MessagePack)."""

import msgspec


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
        leaving: Whether it ends.
        terms: Revision of the contracts it has.
    """

    data_center: str
    cores: float
    epoch: int
    version: int
    keys: dict[str, list[int]]
    speeds: dict[str, float]
    leaving: bool = False
    terms: int = 0


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


class TermsPart(Message):
    """A part of the encoded contracts of a revision."""

    revision: int
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
    """A router asks a lane's home for a slot.

    Attributes:
        lane: Lane of the slot.
        id: Unique among the asks of its sender.
        rank: Urgency; 0 is the most urgent.
        left_ms: Time until the request's deadline.
        objective_ms: Time until an answer is worth less.
        data_center: Where the router runs.
        body_bytes: Size of the request's body.
        excluded: Servers that have failed the request.
        again: Whether it repeats an ask that got no reply.
    """

    lane: str
    id: int
    rank: int
    left_ms: int
    objective_ms: int
    data_center: str
    body_bytes: int
    excluded: list[str]
    again: bool = False


class Waiting(Message):
    """The home has queued an ask."""

    id: int
    wait_ms: int


class Slot(Message):
    """The home grants a slot."""

    id: int
    server: str


class Refusal(Message):
    """The home refuses an ask.

    Attributes:
        id: Id of the ask.
        retry_ms: Time after which a new try makes sense.
        wait_ms: Expected time until a slot was free.
    """

    id: int
    retry_ms: int
    wait_ms: int = 0


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
    Hello
    | Beat
    | Part
    | TermsPart
    | Delta
    | Ask
    | Waiting
    | Slot
    | Refusal
    | Done
    | Cancel
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


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
