"""Datagrams between routers and their codec (MessagePack)."""

import msgspec


class Message(
    msgspec.Struct, tag=True, array_like=True, kw_only=True, frozen=True
):
    """Base of all datagrams."""


class MemberReport(Message, tag="Hello"):
    """A router reports its state and load to the leader.

    Attributes:
        data_center: Where it runs.
        cores: Processor cores that it may use.
        epoch: Epoch of its snapshot.
        version: Version of its snapshot.
        keys: Keys requested since the last member report, by pool.
        service_ms: Measured service time by server, in milliseconds.
        leaving: Whether it is stopping.
        contracts_revision: Number of its contracts, for earlier versions.
        departed: Ids and start times of the listed servers that have said that
            they leave; None from earlier versions.
        contracts_version: Version of its contracts; None from earlier versions.
        coordination: Rule by which it finds coordinators; 0 from earlier
            versions.
    """

    data_center: str
    cores: float
    epoch: int
    version: int
    keys: dict[str, list[int]]
    service_ms: dict[str, float]
    leaving: bool = False
    contracts_revision: int = 0
    departed: list[tuple[str, int]] | None = None
    contracts_version: int | None = None
    coordination: int = 0


class Heartbeat(Message, tag="Beat"):
    """The leader announces its state.

    Attributes:
        epoch: Its epoch.
        version: Version of its snapshot.
        contracts_revision: Number of its contracts, for earlier versions.
        age_ms: Time since it last knew that its directory and its contracts
            were current, in milliseconds.
        record: Revision of its leadership record.
        resigned: Whether it resigns.
        evacuated: Evacuated data centres; None from earlier versions.
        evacuated_revision: Number of the revision of the store at which they
            were read.
        contracts_version: Version of its contracts; None from earlier versions.
        evacuated_era: Era of that revision; None from earlier versions.
        known_ms: Store's time at which its directory and its contracts were
            current, in milliseconds; None from earlier versions, or if that is
            not known.
        known_era: Era of the store of that time; None as `known_ms`.
    """

    epoch: int
    version: int
    contracts_revision: int
    age_ms: int
    record: int
    resigned: bool = False
    evacuated: list[str] | None = None
    evacuated_revision: int = 0
    contracts_version: int | None = None
    evacuated_era: int | None = None
    known_ms: int | None = None
    known_era: int | None = None


class SnapshotFragment(Message, tag="Part"):
    """A fragment of an encoded snapshot."""

    epoch: int
    version: int
    index: int
    count: int
    data: bytes


class ContractsFragment(Message, tag="TermsPart"):
    """A fragment of encoded contracts.

    Attributes:
        revision: Number of the contracts, for earlier versions.
        index: Position of the fragment.
        count: Number of fragments.
        data: The fragment.
        version: Version of the contracts; None from earlier versions.
    """

    revision: int
    index: int
    count: int
    data: bytes
    version: int | None = None


class MemberItem(msgspec.Struct, array_like=True, frozen=True):
    """A member in a snapshot."""

    address: str
    data_center: str
    cores: float
    coordination: int = 0


class ServerItem(msgspec.Struct, array_like=True, frozen=True):
    """A server in a snapshot."""

    id: str
    pool: str
    address: str
    data_center: str
    slots: int
    started_ms: int
    leaving: bool
    cold: bool = False


class Delta(Message):
    """The difference between two snapshots.

    Attributes:
        base_epoch: Epoch of the earlier snapshot.
        base_version: Version of the earlier snapshot.
        epoch: Epoch of the new snapshot.
        version: Version of the new snapshot.
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


class AcquireSlot(Message, tag="Ask"):
    """A router requests a slot from the coordinator of a slot queue.

    Attributes:
        queue: Name of the slot queue.
        id: Id that is unique among the slot requests of its sender and of all
            earlier processes at the sender's address.
        rank: Urgency; 0 is the most urgent.
        remaining_ms: Time until the request's deadline, in milliseconds.
        objective_ms: Time until an answer is worth less, in milliseconds.
        data_center: Where the router runs.
        body_bytes: Size of the request's body, in bytes.
        excluded: Ids of servers that the request was already sent to.
        retransmitted: Whether the message repeats one that got no reply.
        ended: Ids of the sender's slot requests at this coordinator that have
            ended, in case it was not told.
        kind: Kind of work; empty from earlier versions.
        age_ms: Time from the caller's first attempt to this one, in
            milliseconds.
    """

    queue: str
    id: int
    rank: int
    remaining_ms: int
    objective_ms: int
    data_center: str
    body_bytes: int
    excluded: list[str]
    retransmitted: bool = False
    ended: list[int] = []
    kind: str = ""
    age_ms: int = 0


class SlotQueued(Message, tag="Waiting"):
    """The coordinator has queued a slot request."""

    id: int
    wait_ms: int


class SlotGranted(Message, tag="Slot"):
    """The coordinator grants a slot.

    Attributes:
        id: Id of the slot request.
        server: Id of the server.
        service_ms: Mean service time of the server, in milliseconds.
        silent_ms: Time after which an unanswered request counts as silent, in
            milliseconds; 0 if it is not known.
        queue: Slot queue of the slot; empty from earlier versions.
    """

    id: int
    server: str
    service_ms: int = 0
    silent_ms: int = 0
    queue: str = ""


class SlotRefused(Message, tag="Refusal"):
    """The coordinator refuses a slot request.

    Attributes:
        id: Id of the slot request.
        retry_ms: Time before the next attempt, in milliseconds.
        wait_ms: Expected time until a slot is free, in milliseconds.
    """

    id: int
    retry_ms: int
    wait_ms: int = 0


class ReleaseSlot(Message, tag="Done"):
    """A router releases a slot.

    Attributes:
        queue: Slot queue of the slot.
        id: Id of the slot request.
        server: Id of the server.
        took_ms: Service time in milliseconds; negative when unknown.
        failed: Whether the attempt failed.
        load: Requests running and waiting, slots, and the slowdown in percent
            that the server named in its answer; None if it named no load.
            The slowdown is 0 if it did not name one.
        unanswered: Whether nothing at the server's address answered.
    """

    queue: str
    id: int
    server: str
    took_ms: float
    failed: bool
    load: tuple[int, int, int, int] | None = None
    unanswered: bool = False


class CancelAcquire(Message, tag="Cancel"):
    """A router cancels a slot request.

    Attributes:
        queue: Slot queue of the slot.
        id: Id of the slot request.
        started: Id of the server that the request is sent to without a grant;
            empty if it is not.
    """

    queue: str
    id: int
    started: str = ""


class ServerLimit(Message, tag="Limit"):
    """A router tells a coordinator what rate a server named in an answer.

    Attributes:
        queue: Slot queue of the server.
        server: Id of the server.
        started_ms: Start time of its process, in milliseconds since the epoch.
        per_second: Requests per second that it takes from all routers
            together; None when it names no limit any more.
    """

    queue: str
    server: str
    started_ms: int
    per_second: float | None


class ServerLeaving(Message, tag="Leaving"):
    """A router passes on that a server said in an answer that it leaves.

    Attributes:
        server: Id of the server.
        started_ms: Start time of its process, in milliseconds since the epoch.
    """

    server: str
    started_ms: int


class ServerSilent(Message, tag="Silent"):
    """A router tells a coordinator that a server left a request unanswered.

    Attributes:
        queue: Slot queue of the server.
        server: Id of the server.
    """

    queue: str
    server: str


AnyMessage = (
    MemberReport
    | Heartbeat
    | SnapshotFragment
    | ContractsFragment
    | Delta
    | AcquireSlot
    | SlotQueued
    | SlotGranted
    | SlotRefused
    | ReleaseSlot
    | CancelAcquire
    | ServerLimit
    | ServerLeaving
    | ServerSilent
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
