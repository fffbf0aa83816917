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


class PartitionMapItem(
    msgspec.Struct, array_like=True, kw_only=True, frozen=True
):
    """A partition map in a view: owner index and fence of each partition."""

    pool: str
    owners: list[str]
    partitions: list[tuple[int, int]]
    isolated_keys: dict[str, tuple[int, int]]
    assignment_versions: dict[str, int]


class Snapshot(Message, tag="View"):
    """The leader's whole snapshot; a higher (epoch, revision) replaces it."""

    epoch: int
    revision: int
    entries: list[EntryItem]
    servers: list[ServerItem]
    partition_maps: list[PartitionMapItem]
    contracts: dict[str, int]
    contracts_revision: int


class Delegation(Message, tag="Lend"):
    """The right to renew the receiver's servers, until a limit.

    `expires_at` and `sent_at` are wall-clock seconds.
    """

    epoch: int
    sequence: int
    revision: int
    contracts_revision: int
    sent_at: float
    expires_at: float


class ServerReport(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """What a coordinator knows of one server."""

    server: str
    state: str
    acked_epoch: int
    acked_version: int
    sent: dict[int, float]


class Status(Message):
    """An entry's answer to a Delegation."""

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


class RateAllocation(Message, tag="Shares"):
    """The receiver's share of each limit for one window."""

    epoch: int
    window: int
    rates: dict[str, float]


class Acquire(Message):
    """Asks a coordinator for a slot, or tells of one taken (`started`).

    `remaining_ms` is the time until the request's deadline, in milliseconds.
    """

    entry: str
    request: int
    server: str
    rank: int
    worth: float
    remaining_ms: float
    expected_ms: float
    started: bool


class SlotReply(Message, tag="Permit"):
    """A coordinator's answer; see entry.slotclient for the states."""

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


class ExtensionRequest(Message, tag="HoldRequest"):
    """A leader without the table asks a placer for a promise."""

    placer: str
    epoch: int
    until: float


class ExtensionPromise(Message, tag="HoldPromise"):
    """A placer that cannot reach the table promises not to be led anew."""

    placer: str
    epoch: int
    until: float
    granted: bool


class FenceEpochs(Message, tag="StandDown"):
    """A new leader asks a placer to promise nothing to earlier epochs."""

    placer: str
    epoch: int


class EpochsFenced(Message, tag="StoodDown"):
    """A placer's word: earlier leaders get no promise from it any more.

    `until` is the end of the last promise it made, wall-clock seconds.
    """

    placer: str
    epoch: int
    until: float


AnyMessage = (
    Hello
    | Goodbye
    | Snapshot
    | Delegation
    | Status
    | RateAllocation
    | Acquire
    | SlotReply
    | Release
    | ExtensionRequest
    | ExtensionPromise
    | FenceEpochs
    | EpochsFenced
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
