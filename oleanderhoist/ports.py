"""Interfaces between a router and the platform that it runs on.

The router uses only these types. A platform is a class registered in
`PLATFORMS`; it translates names, formats and calls, and makes no decisions.
"""

import dataclasses
import enum
import typing

from oleanderhoist import outcomes
from oleanderhoist.http import messages
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import registry
from oleanderhoist.policy import serverload
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras


class StoreError(Exception):
    """A call to the store failed.

    Attributes:
        maybe_applied: Whether a write may have been, or may still be, applied.
    """

    def __init__(self, text: str, *, maybe_applied: bool):
        super().__init__(text)
        self.maybe_applied = maybe_applied


class TermsError(Exception):
    """Contracts cannot be applied.

    Attributes:
        revision: Number of the revision of the rejected contracts.
    """

    def __init__(self, text: str, *, revision: int):
        super().__init__(text)
        self.revision = revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the store with its revision."""

    key: str
    value: bytes
    revision: storeeras.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnRows:
    """The routers' own rows, as read.

    Attributes:
        rows: The rows by key.
        revision: Revision of the store when they were read.
    """

    rows: dict[str, Row]
    revision: storeeras.Revision

    def revision_of(self, key: str) -> storeeras.Revision:
        """Returns the revision of a row; that of no row if there is none."""
        row = self.rows.get(key)
        if row is None:
            return storeeras.Revision(era=self.revision.era)
        return row.revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """A conditional write was applied.

    Attributes:
        revision: Revision of the written rows.
    """

    revision: storeeras.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A row had another revision; nothing was written."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerListing:
    """Servers listed in the directory.

    Attributes:
        servers: Servers by id.
        rejected: Why rows of the directory were rejected, by key.
        odd_cold_times: What servers that are listed as cold say in place of a
            time, by id.
    """

    servers: dict[str, cluster.Server]
    rejected: dict[str, str]
    odd_cold_times: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedContracts:
    """Contracts and a revision of their row in the store.

    Attributes:
        contracts: The contracts; their version tells which are newer.
        revision: Number of the revision of the contracts' row, by which
            routers of earlier builds tell which are newer.
        unknown: What in them is not known and was taken in the safest way,
            for the log.
    """

    contracts: contractset.ContractSet
    revision: int
    unknown: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContractsName:
    """Which contracts a router says that it has.

    Attributes:
        version: Their version; None from a router of an earlier build.
        revision: Their number, by which earlier builds compare them.
    """

    version: int | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContractsRead:
    """The result of reading the contracts.

    Attributes:
        versioned: The contracts; None if there are none or they were rejected.
        error: Why the contracts cannot be applied; None if they can.
        seen_revision: Revision of the store at the time of reading.
        evacuated: Data centres whose servers must get no requests.
        unusable: Rows about evacuations that can't be read, and why, by key.
    """

    versioned: VersionedContracts | None
    error: TermsError | None
    seen_revision: storeeras.Revision
    evacuated: frozenset[str] = frozenset()
    unusable: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """The head of a caller's request.

    Attributes:
        id: Request id, as given by the caller.
        host: Requested host.
        path: Path without query.
        remaining: Time until the caller times out, in seconds; None if not
            given.
        key: Key of the request; None if not given.
    """

    id: str
    host: str
    path: str
    remaining: float | None
    key: int | None


class AnswerKind(enum.StrEnum):
    """What a server's response means for the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_OWNER = "not-mine"
    UNSIGNED = "unsigned"  # A success without the server's signature.
    UNFOUNDED = "unfounded"  # A status for "not run" without its header.


class NoticeField(enum.StrEnum):
    """One of the things that a server says of itself in a response."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"
    LOAD = "load"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerNotice:
    """What a server says of itself in a response.

    Attributes:
        limit: Requests per second that it takes from all routers together;
            None if it names no limit.
        leaving: Whether it leaves and must get no new requests.
        pause: How long it wants no requests from this router, in seconds; None
            if it names no time.
        load: Its load when it answered; None if it names none.
        unreadable: What it says that can't be read, by field; nothing is
            known of these fields.
    """

    limit: float | None = None
    leaving: bool = False
    pause: float | None = None
    load: serverload.ServerLoad | None = None
    unreadable: dict[NoticeField, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """A lease on a range of keys, granted to a server.

    Attributes:
        start: First key.
        end: Last key.
        fence: Fencing token.
        lease_seconds: Length of the lease in seconds.
        handover: Handover token of the previous owner; empty without one.
    """

    start: int
    end: int
    fence: int
    lease_seconds: float
    handover: str = ""


class OrderError(Exception):
    """A lease operation was rejected or got no valid response.

    It may still take effect if there was no valid response.

    Attributes:
        server_replaced: Whether a different server responded at the address,
            so that the intended server is gone.
    """

    def __init__(self, text: str, *, server_replaced: bool = False):
        super().__init__(text)
        self.server_replaced = server_replaced


class LeaseChannel(typing.Protocol):
    """Channel for lease grants and releases to one server."""

    async def connect(self, *, allow_new: bool) -> int:
        """Ensures that the connection for grants is open.

        Args:
            allow_new: Whether a new connection may be opened.

        Returns:
            A number that increases with each new connection. While it is
            unchanged, the server's process is the same.

        Raises:
            OrderError: The server is unreachable, or there is no connection
                and none may be opened.
        """

    async def grant(self, lease_grant: LeaseGrant) -> bool:
        """Grants or renews a lease on the open connection.

        Returns:
            False if the server has seen a higher fence.

        Raises:
            OrderError: There was no valid response, or no connection.
        """

    async def release(self, start: int, end: int, fence: int) -> str:
        """Ends the lease on a range of keys; returns the handover token.

        Raises:
            OrderError: There was no valid response.
        """

    def close(self) -> None:
        """Closes all connections."""


class Platform(typing.Protocol):
    """Everything that a router uses of its platform.

    Attributes:
        ready_path: Path of the load balancer's readiness check.
        store_clock: Bounds of the store's time.
        store_eras: Eras of the store that this process has seen.
    """

    ready_path: str
    store_clock: storeclock.StoreClock
    store_eras: storeeras.StoreEras

    async def read_rows(self) -> OwnRows:
        """Returns the routers' own rows.

        Raises:
            StoreError: The store gave no valid response.
        """

    async def write_rows(
        self,
        values: dict[str, bytes],
        expected: dict[str, storeeras.Revision],
    ) -> Written | Conflict:
        """Writes the routers' own rows if rows have the expected revisions.

        Args:
            values: New values by key.
            expected: Expected revisions by key; of number 0 for a row that
                must not exist.

        Raises:
            StoreError: The store gave no valid response.
        """

    async def read_servers(self) -> ServerListing:
        """Returns the servers in the directory.

        Raises:
            StoreError: The store gave no valid response.
        """

    async def read_contracts(self) -> ContractsRead:
        """Reads the contracts.

        Raises:
            StoreError: The store gave no valid response.
        """

    async def watch_contracts(
        self, after: storeeras.Revision, seconds: float
    ) -> bool:
        """Waits for a change; returns whether there may have been one.

        Args:
            after: Revision of the store at the latest read.
            seconds: Longest time to wait, in seconds.

        Raises:
            StoreError: The store gave no valid response.
        """

    def lease_channel(self, server: cluster.Server) -> LeaseChannel:
        """Returns a new lease channel to a server."""

    def parse_request(self, request: messages.Request) -> RequestHead:
        """Parses the head of a caller's request."""

    def server_headers(
        self,
        request: messages.Request,
        server: cluster.Server,
        remaining: float,
    ) -> messages.Headers:
        """Returns the headers of a request to a server, without Host."""

    def match_request(
        self, id: str, headers: messages.Headers
    ) -> messages.Match:
        """Returns which request a response's headers name."""

    def classify(self, response: messages.Response) -> AnswerKind:
        """Classifies a server's response."""

    def server_notice(self, response: messages.Response) -> ServerNotice:
        """Returns what a server says of itself in a response."""

    def to_response(self, outcome: outcomes.Outcome) -> messages.Response:
        """Returns the response to the caller for an outcome."""


PLATFORMS: registry.Registry[typing.Callable[..., Platform]] = (
    registry.Registry(kind="platform")
)
