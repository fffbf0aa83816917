"""Messages of entries and placers, and their MessagePack codec."""

import msgspec


class Message(
    msgspec.Struct, tag=True, array_like=True, kw_only=True, frozen=True
):
    """Base of all messages."""


class Hello(Message):
    """An entry announces to the leader that it is live.

    `incarnation` grows with every process of the same entry id. `epoch` and
    `revision` are those of the snapshot that the entry has adopted.
    """

    entry: str
    incarnation: int
    address: str
    data_center: str
    epoch: int
    revision: int


class Goodbye(Message):
    """An entry announces to the leader that it is leaving."""

    entry: str
    incarnation: int


class EntryItem(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A live entry in a snapshot."""

    id: str
    address: str
    data_center: str


class ServerItem(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A server in a snapshot."""

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
    """A partition map in a snapshot.

    Partitions and isolated keys have an index into `owners`, and a fence.
    """

    pool: str
    owners: list[str]
    partitions: list[tuple[int, int]]
    isolated_keys: dict[str, tuple[int, int]]
    assignment_versions: dict[str, int]


class Snapshot(Message, tag="View"):
    """The leader's full snapshot; a higher (epoch, revision) replaces it."""

    epoch: int
    revision: int
    entries: list[EntryItem]
    servers: list[ServerItem]
    partition_maps: list[PartitionMapItem]
    contracts: dict[str, int]
    contracts_revision: int


class Delegation(Message, tag="Lend"):
    """Delegates lease renewal to the receiver until `expires_at`.

    It applies to the servers that the receiver coordinates. `sequence` counts
    the delegations of this leader. `expires_at` and `sent_at` are wall-clock
    seconds.
    """

    epoch: int
    sequence: int
    revision: int
    contracts_revision: int
    sent_at: float
    expires_at: float


class ServerReport(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """State of a server, as its coordinator reports it.

    `sent` is the latest lease deadline sent for each assignment version, in
    wall-clock seconds.
    """

    server: str
    state: str
    acked_epoch: int
    acked_version: int
    sent: dict[int, float]


class Status(Message):
    """An entry's reply to a Delegation, with the same `sequence`.

    `demands` are requests per second by "customer/work". `hot` is reserved and
    always empty. `incarnation` is that of `Hello`; 0 from earlier versions.
    """

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
    incarnation: int = 0


class RateAllocation(Message, tag="Shares"):
    """The receiver's allocation of each rate limit for one window.

    `rates` are requests per second by "customer/work".
    """

    epoch: int
    window: int
    rates: dict[str, float]


class Acquire(Message):
    """Requests a slot, or reports one already taken if `started` is set.

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
    """A coordinator's reply; entry.slotclient defines the states.

    `depth` is the number of requests that run on the server or wait for it; it
    is 0 in a reply that was given without a look at the queue.
    """

    request: int
    server: str
    state: str
    code: int
    depth: int


class Release(Message):
    """Releases a slot; `took_ms` is negative if no time was measured."""

    entry: str
    request: int
    server: str
    took_ms: float


class ExtensionRequest(Message, tag="HoldRequest"):
    """A leader that cannot reach the table requests a promise.

    The promise extends its lease; `until` is in wall-clock seconds.
    """

    placer: str
    epoch: int
    until: float


class ExtensionPromise(Message, tag="HoldPromise"):
    """A placer's reply to an ExtensionRequest.

    If `granted`, the placer cannot reach the table either and promises not to
    become leader before `until`, in wall-clock seconds.
    """

    placer: str
    epoch: int
    until: float
    granted: bool


class FenceEpochs(Message, tag="StandDown"):
    """A new leader asks a placer to promise nothing more to earlier epochs."""

    placer: str
    epoch: int


class EpochsFenced(Message, tag="StoodDown"):
    """A placer confirms that it promises nothing more to earlier epochs.

    `until` is the end of its last promise, in wall-clock seconds.
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
    """A message and its sender's address."""

    sender: str
    body: AnyMessage


class DecodeError(Exception):
    """The bytes are not a valid message."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decodes an envelope.

    Raises:
        DecodeError: The bytes are not a valid envelope.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
