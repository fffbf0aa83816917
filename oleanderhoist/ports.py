"""What a node needs from the platform that it runs on.

The core speaks to these types only. A platform is a class registered in
`PLATFORMS`; it translates names, formats and calls, and decides nothing.
"""

import dataclasses
import enum
import typing

from oleanderhoist import outcomes
from oleanderhoist.http import messages
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import registry
from oleanderhoist.policy import storeclock


class StoreError(Exception):
    """A call of the store failed.

    Attributes:
        maybe_applied: Whether a write may have been or may yet be performed.
    """

    def __init__(self, text: str, *, maybe_applied: bool):
        super().__init__(text)
        self.maybe_applied = maybe_applied


class TermsError(Exception):
    """Contracts cannot be put in force.

    Attributes:
        revision: Revision of the refused document.
    """

    def __init__(self, text: str, *, revision: int):
        super().__init__(text)
        self.revision = revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the store and its revision."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """A conditional write took effect.

    Attributes:
        revision: Revision of the written rows.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A row had another revision; nothing was written."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerListing:
    """Servers that the directory lists.

    Attributes:
        servers: Servers by id.
        rejected: Why entries were passed over, by key.
    """

    servers: dict[str, cluster.Server]
    rejected: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedContracts:
    """Contracts as the store holds them.

    Attributes:
        contracts: The contracts.
        revision: Revision of the row.
    """

    contracts: contractset.ContractSet
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContractsRead:
    """The outcome of reading the contracts.

    Attributes:
        document: The contracts; None before the first, or when refused.
        error: Why they cannot be put in force; None when they can.
        seen_revision: Revision of the store at the time of reading.
    """

    document: VersionedContracts | None
    error: TermsError | None
    seen_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WatchResult:
    """The outcome of waiting for changes.

    Attributes:
        changed: Whether something may have changed.
        seen_revision: Revision up to which changes were seen.
    """

    changed: bool
    seen_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """What a caller's request head says.

    Attributes:
        id: The caller's id of the request.
        host: Host it names.
        path: Path without query.
        remaining: Time that the caller waits, in seconds; None when not said.
        key: Key that it is about; None without one.
    """

    id: str
    host: str
    path: str
    remaining: float | None
    key: int | None


class AnswerKind(enum.StrEnum):
    """What a server's answer says about the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_OWNER = "not-mine"
    UNSIGNED = "unsigned"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """An order that gives keys to a server.

    Attributes:
        start: First key.
        end: Last key.
        fence: Fencing token.
        lease_seconds: Length of the lease in seconds.
        handover: Token of the last holder; empty without one.
    """

    start: int
    end: int
    fence: int
    lease_seconds: float
    handover: str = ""


class OrderError(Exception):
    """An order got no valid answer; it may be carried out yet.

    Attributes:
        server_replaced: Whether another server answered at the address, so
            that the one that was meant has ended.
    """

    def __init__(self, text: str, *, server_replaced: bool = False):
        super().__init__(text)
        self.server_replaced = server_replaced


class LeaseChannel(typing.Protocol):
    """Orders to one server."""

    async def connect(self, *, allow_new: bool) -> int:
        """Makes sure that the connection for grants stands.

        Args:
            allow_new: Whether a new connection may be opened.

        Returns:
            A number that rises with each new connection. While it stays, the
            server's process is the same.

        Raises:
            OrderError: The server cannot be reached, or there is no
                connection and none may be opened.
        """

    async def grant(self, order: LeaseGrant) -> bool:
        """Grants or renews on the connection that stands.

        Returns:
            False when the server has seen a higher fence.

        Raises:
            OrderError: There was no valid answer, or no connection.
        """

    async def release(self, start: int, end: int, fence: int) -> str:
        """Takes keys back; returns the handover token.

        Raises:
            OrderError: There was no valid answer.
        """

    def close(self) -> None:
        """Closes all connections."""


class Platform(typing.Protocol):
    """Everything a node uses of its platform.

    Attributes:
        ready_path: Path at which the balancer asks for readiness.
        store_clock: Bounds of the store's time.
    """

    ready_path: str
    store_clock: storeclock.StoreClock

    async def read_rows(self) -> dict[str, Row]:
        """Returns the system's own rows by key.

        Raises:
            StoreError: The store did not answer.
        """

    async def write_rows(
        self, values: dict[str, bytes], expected: dict[str, int]
    ) -> Written | Conflict:
        """Writes own rows if others have the expected revisions.

        Args:
            values: New values by key.
            expected: Revisions by key; 0 for a row that must not exist.

        Raises:
            StoreError: There was no valid answer.
        """

    async def read_servers(self) -> ServerListing:
        """Returns the directory's servers.

        Raises:
            StoreError: The store did not answer.
        """

    async def read_contracts(self) -> ContractsRead:
        """Reads the contracts.

        Raises:
            StoreError: The store did not answer.
        """

    async def watch_contracts(self, after: int, seconds: float) -> WatchResult:
        """Waits until the contracts may have changed.

        Args:
            after: Revision up to which changes were seen.
            seconds: Longest time to wait.

        Raises:
            StoreError: The store did not answer.
        """

    def lease_channel(self, server: cluster.Server) -> LeaseChannel:
        """Returns a new order channel to a server."""

    def parse_request(self, request: messages.Request) -> RequestHead:
        """Reads a caller's request head."""

    def server_headers(
        self,
        request: messages.Request,
        server: cluster.Server,
        remaining: float,
    ) -> messages.Headers:
        """Returns the headers to send to a server, without Host."""

    def matches_request(self, id: str, headers: messages.Headers) -> bool:
        """Tells whether an answer's headers name this request."""

    def classify(self, response: messages.Response) -> AnswerKind:
        """Tells what a server's answer means."""

    def to_response(self, outcome: outcomes.Outcome) -> messages.Response:
        """Returns the response to a caller."""


PLATFORMS: registry.Registry[typing.Callable[..., Platform]] = (
    registry.Registry(kind="platform")
)
