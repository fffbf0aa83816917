"""Messages between the system's processes and their codec (MessagePack)."""

import msgspec


class Message(
    msgspec.Struct, tag=True, array_like=True, kw_only=True, frozen=True
):
    """Base of all messages."""


class Hello(Message):
    """An entry asks the leader to be counted as live.

    `incarnation` grows with every process of the same name. `epoch` and
    `revision` are those of the last view that reached the entry.
    """

    entry: str
    incarnation: int
    address: str
    data_center: str
    epoch: int
    revision: int


class Goodbye(Message):
    """An entry asks the leader to be counted as leaving."""

    entry: str
    incarnation: int


class EntryItem(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A live entry in a view."""

    id: str
    address: str
    data_center: str


class ServerItem(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A server in a view."""

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    connections: int
    checks_sender: bool
    keyed: bool
    state: str


class SpaceItem(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A key space in a view: owner index and fence of each partition."""

    pool: str
    owners: list[str]
    partitions: list[tuple[int, int]]
    hot: dict[str, tuple[int, int]]
    versions: dict[str, int]


class View(Message):
    """The leader's whole picture; a higher (epoch, revision) replaces it."""

    epoch: int
    revision: int
    entries: list[EntryItem]
    servers: list[ServerItem]
    spaces: list[SpaceItem]
    contracts: dict[str, int]
    contracts_revision: int


class Lend(Message):
    """The right to renew the receiver's servers, until a limit.

    `limit` and `sent_at` are wall-clock seconds.
    """

    epoch: int
    sequence: int
    revision: int
    contracts_revision: int
    sent_at: float
    limit: float


class ServerReport(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """What a home knows of one server."""

    server: str
    state: str
    acked_epoch: int
    acked_version: int
    sent: dict[int, float]


class Status(Message):
    """An entry's answer to Lend."""

    entry: str
    epoch: int
    sequence: int
    revision: int
    contracts_revision: int
    confirmed: bool
    lag_ms: float
    servers: list[ServerReport]
    demands: dict[str, float]
    hot: dict[str, dict[str, float]]


class Shares(Message):
    """The receiver's share of each limit for one window."""

    epoch: int
    window: int
    rates: dict[str, float]


class Acquire(Message):
    """Asks a server's home for a slot, or tells of one taken (`started`).

    `left_ms` is the time until the request's deadline, in milliseconds.
    """

    entry: str
    request: int
    server: str
    rank: int
    worth: float
    left_ms: float
    expected_ms: float
    started: bool


class Permit(Message):
    """A home's answer; see entry.permits for the states."""

    request: int
    server: str
    state: str
    code: int
    depth: int


class Release(Message):
    """Gives a slot back; `took_ms` is below 0 when it was not used."""

    entry: str
    request: int
    server: str
    took_ms: float


class HoldRequest(Message):
    """A leader without the table asks a placer for a promise."""

    placer: str
    epoch: int
    until: float


class HoldPromise(Message):
    """A placer that cannot reach the table promises not to be led anew."""

    placer: str
    epoch: int
    until: float
    granted: bool


class StandDown(Message):
    """A new leader asks a placer to promise nothing to earlier epochs."""

    placer: str
    epoch: int


class StoodDown(Message):
    """A placer's word: earlier leaders get no promise from it any more.

    `until` is the end of the last promise it made, wall-clock seconds.
    """

    placer: str
    epoch: int
    until: float


AnyMessage = (
    Hello
    | Goodbye
    | View
    | Lend
    | Status
    | Shares
    | Acquire
    | Permit
    | Release
    | HoldRequest
    | HoldPromise
    | StandDown
    | StoodDown
)


class Envelope(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A message with its sender's address."""

    sender: str
    body: AnyMessage


class DecodeError(Exception):
    """Bytes that are not a message."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns the bytes of an envelope."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Returns the envelope in bytes.

    Raises:
        DecodeError: The bytes are not a valid envelope.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
