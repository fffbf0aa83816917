"""What callers, servers and the injector of faults saw of a run."""

import collections
import dataclasses
import time

FAULT_EFFECT_SECONDS = 3.0  # Time bounds apply again after this time.
STORE = "store"  # Target of a fault.
FREEZE = "pause"  # Kind of a fault, as those below.
HOLDING_FAULTS = (FREEZE, "delay")
LINK_FAULTS = ("delay", "reset", "one-way", "back", "silent")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to one request, as its caller saw it.

    Attributes:
        id: Id of the request.
        sent_at: Start time of the request, on the monotonic clock.
        ended_at: End time of the request, on the same clock.
        router: Name of the router.
        status: HTTP status; 0 without a complete response.
        body_matches: Whether the body belongs to this request.
        repeatable: Whether the contract allows more than one execution.
        keyed: Whether only the owner of its key can execute it.
        probe_version: Contract version that added the route; 0 for others.
        reused: Whether the request was sent on an existing connection.
        error: Cause of a missing response.
        reached_router: Whether a router may have received a part of the
            request.
        deadline: When the caller and its route give up, on the same clock.
        work_seconds: How long a server works on it, in seconds.
        signature: Id and start of the server that signed the response.
    """

    id: str
    sent_at: float
    ended_at: float
    router: str
    status: int
    body_matches: bool
    repeatable: bool
    keyed: bool = True
    probe_version: int = 0
    reused: bool = False
    error: str = ""
    reached_router: bool = True
    deadline: float = float("inf")
    work_seconds: float = 0.0
    signature: str = ""


@dataclasses.dataclass(kw_only=True)
class Lease:
    """Time span in which a server has a lease of a key."""

    server: str
    begin: float
    until: float
    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """Time span in which a server names the rate of requests that it takes."""

    server: str
    rate: float
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request that a caller sent.

    Attributes:
        router: Name of the router that it was sent to.
        sent_at: Start time, on the monotonic clock.
    """

    router: str
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Life:
    """A server from its start to its end.

    Attributes:
        id: Id of the server.
        born: Its start, in milliseconds since the epoch.
    """

    id: str
    born: int = 0

    def __str__(self) -> str:
        return f"{self.id}.{self.born}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Execution:
    """Execution of a request.

    Attributes:
        server: The server that executed it.
        at: Start time, on the monotonic clock.
    """

    server: Life
    at: float

    def __repr__(self) -> str:
        return f"{self.server.id} at {self.at:.2f}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notice:
    """What a server said of itself in an answer.

    Attributes:
        id: Id of the request that it answered.
        server: The server.
        at: Time of the answer, on the monotonic clock.
        leaving: Whether it leaves.
        retry_after: For how long it wants no request, in seconds.
    """

    id: str
    server: Life
    at: float
    leaving: bool
    retry_after: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Arrival of a request at a server.

    Attributes:
        id: Id of the request.
        server: The server.
        at: Time, on the monotonic clock.
    """

    id: str
    server: Life
    at: float


@dataclasses.dataclass(kw_only=True)
class Evacuation:
    """Evacuation of a data centre.

    Attributes:
        data_center: Its name.
        servers: Ids of its servers.
        acknowledged_at: When the store had acknowledged the operator's write,
            on the monotonic clock.
        ended_at: When the operator began to take it back, on the same clock.
    """

    data_center: str
    servers: list[str]
    acknowledged_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cold:
    """Begin of a time in which a server is cold.

    Attributes:
        server: Its id.
        at: Time, on the monotonic clock.
    """

    server: str
    at: float


@dataclasses.dataclass(kw_only=True)
class Fault:
    """An injected fault.

    Attributes:
        kind: What was done.
        target: Name of the process or link that it was done to.
        begin: Its begin, on the monotonic clock.
        end: Its end; infinite while it lasts.
    """

    kind: str
    target: str = ""
    begin: float
    end: float = float("inf")

    def __str__(self) -> str:
        return f"{self.kind} {self.target}".strip()


class Record:
    """What was seen, without any judgement.

    Attributes:
        answers: Answers that callers got.
        requests: Requests that callers sent, by id.
        executions: Executions by request id.
        leases: Leases of each sampled key.
        notices: What servers said of themselves, in order.
        arrivals: Arrivals of requests at servers.
        not_owned: Number of arrivals whose key the server did not own, by id of
            the request and server.
        evacuations: Evacuations of data centres.
        colds: When servers turned cold.
        drained: Start time of the current drain of each server.
        contract_changes: Time of each change of the contracts, by version.
        stops: Router and time of each graceful stop.
        restarts: Router and time of each start but the first.
        reloads: Router and time of each reload.
        limits: Limits that servers named.
        faults: Injected faults.
    """

    def __init__(self):
        self.answers: list[Answer] = []
        self.requests: dict[str, Request] = {}
        self.executions: dict[str, list[Execution]] = collections.defaultdict(
            list
        )
        self.leases: dict[int, list[Lease]] = collections.defaultdict(list)
        self.notices: list[Notice] = []
        self.arrivals: list[Arrival] = []
        self.not_owned: collections.Counter[tuple[str, Life]] = (
            collections.Counter()
        )
        self.evacuations: list[Evacuation] = []
        self.colds: list[Cold] = []
        self.drained: dict[str, float] = {}
        self.contract_changes: dict[int, float] = {}
        self.stops: list[tuple[str, float]] = []
        self.restarts: list[tuple[str, float]] = []
        self.reloads: list[tuple[str, float]] = []
        self.limits: list[Limit] = []
        self.faults: list[Fault] = []

    def is_fault_free(
        self, begin: float, end: float, *, beside_store: bool = False
    ) -> bool:
        """Returns whether no fault affects a time span.

        Args:
            begin: Begin of the time span.
            end: Its end.
            beside_store: Whether faults of the store don't count.
        """
        return not any(
            fault.begin <= end and begin <= fault.end + FAULT_EFFECT_SECONDS
            for fault in self.faults
            if not (beside_store and fault.target == STORE)
        )

    def note_cold(self, server: str) -> None:
        """Records that a server turns cold."""
        self.colds.append(Cold(server=server, at=time.monotonic()))

    def reached(self) -> list[Arrival]:
        """Returns the arrivals, without those of keys that weren't owned."""
        not_owned = self.not_owned.copy()
        counted = []
        for arrival in self.arrivals:
            key = arrival.id, arrival.server
            if not_owned[key]:
                not_owned[key] -= 1
            else:
                counted.append(arrival)
        return counted

    def is_in_touch(self, router: str, at: float) -> bool:
        """Returns whether a router ran lately, and reached a sound store."""
        near = (router, f"{STORE}-{router[1:]}", STORE)
        return not any(
            fault.target in near
            and fault.begin <= at <= fault.end + FAULT_EFFECT_SECONDS
            for fault in self.faults
        )

    def was_held_up(self, server: str, at: float) -> bool:
        """Returns whether what arrived at a server may be older."""
        return any(
            fault.target == server
            and fault.kind in HOLDING_FAULTS
            and fault.begin <= at <= fault.end + FAULT_EFFECT_SECONDS
            for fault in self.faults
        )

    def was_frozen(self, process: str, begin: float, end: float) -> bool:
        """Returns whether a process was frozen within a time span."""
        return any(
            fault.kind == FREEZE
            and fault.target == process
            and fault.begin <= end
            and begin <= fault.end
            for fault in self.faults
        )

    def was_restarted(self, router: str, begin: float, end: float) -> bool:
        """Returns whether a router was started anew within a time span."""
        return any(
            name == router and begin <= at <= end for name, at in self.restarts
        )
