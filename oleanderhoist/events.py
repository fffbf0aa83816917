"""Numbered log events.

docs/EVENTS.md is generated from this registry and a test compares the two.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Stable number.
        name: Message type of the line.
        text: When the event is logged.
        source: Module that makes the decision.
    """

    number: int
    name: str
    text: str
    source: str


REGISTRY: dict[int, Event] = {}


def define(number: int, name: str, text: str, source: str) -> Event:
    """Adds an event to the registry.

    Raises:
        ValueError: The number is already taken.
    """
    if number in REGISTRY:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number=number, name=name, text=text, source=source)
    REGISTRY[number] = event
    return event


REQUEST_ROUTED = define(
    100,
    "request.routed",
    "A server was chosen for a request: candidates, choice and reason.",
    "oleanderhoist.entry.forwarder",
)
REQUEST_ENDED = define(
    101,
    "request.ended",
    "A request was answered: outcome, code and time taken.",
    "oleanderhoist.entry.frontend",
)
REQUEST_RETRIED = define(
    102,
    "request.retried",
    "An attempt of a request failed and is retried.",
    "oleanderhoist.entry.forwarder",
)
PERMIT_BYPASSED = define(
    103,
    "permit.bypassed",
    "No coordinator was usable; a request proceeds without a slot grant.",
    "oleanderhoist.entry.slotclient",
)
SERVER_LOST = define(
    110,
    "server.lost",
    "A server failed two lease renewals of its coordinator.",
    "oleanderhoist.entry.renewer",
)
SERVER_BACK = define(
    111,
    "server.back",
    "A server that was lost or unknown responded to its coordinator.",
    "oleanderhoist.entry.renewer",
)
VIEW_ADOPTED = define(
    120,
    "view.adopted",
    "An entry applied a newer snapshot of the cluster state from the leader.",
    "oleanderhoist.entry.snapshots",
)
CONTRACT_IN_FORCE = define(
    121,
    "contract.in_force",
    "An entry applied a contract version.",
    "oleanderhoist.entry.contracts",
)
ENTRY_WITHDRAWN = define(
    122,
    "entry.withdrawn",
    "An entry could not confirm its contracts and stopped admitting requests.",
    "oleanderhoist.entry.contracts",
)
ENTRY_READMITTED = define(
    123,
    "entry.readmitted",
    "An entry confirmed its contracts and admits requests again.",
    "oleanderhoist.entry.contracts",
)
LEADER_ELECTED = define(
    200,
    "leader.elected",
    "A placer acquired the leader lease.",
    "oleanderhoist.placer.election",
)
LEADER_LOST = define(
    201,
    "leader.lost",
    "A placer stopped leading; `reason` says why.",
    "oleanderhoist.placer.election",
)
LEADER_HOLDING = define(
    202,
    "leader.holding",
    "The leader cannot reach the table and asks for a lease extension.",
    "oleanderhoist.placer.election",
)
MOVES_BLOCKED = define(
    203,
    "leader.moves_blocked",
    "An earlier leader may still delegate renewals; no partition may move yet.",
    "oleanderhoist.placer.reconciler",
)
PARTITIONS_REVOKED = define(
    210,
    "partitions.revoked",
    "Partitions were revoked: which, and from which servers.",
    "oleanderhoist.placer.reconciler",
)
PARTITIONS_PLACED = define(
    211,
    "partitions.placed",
    "Partitions were assigned to new owners: which, and the candidates.",
    "oleanderhoist.placer.reconciler",
)
ENTRY_JOINED = define(
    220,
    "entry.joined",
    "The leader counts an entry as live.",
    "oleanderhoist.placer.membership",
)
ENTRY_LOST = define(
    221,
    "entry.lost",
    "The leader counts an entry as lost: it left or stopped answering.",
    "oleanderhoist.placer.membership",
)
INVENTORY_ENTRY_REJECTED = define(
    222,
    "inventory.entry_rejected",
    "An entry of the inventory names no server and was skipped.",
    "oleanderhoist.clients.inventory",
)
CONTRACT_ACCEPTED = define(
    230,
    "contract.accepted",
    "A contract version was accepted.",
    "oleanderhoist.placer.contractregistry",
)
CONTRACT_REFUSED = define(
    231,
    "contract.refused",
    "A contract was rejected: the code and the details.",
    "oleanderhoist.placer.contractregistry",
)
WRITE_RESOLVED = define(
    240,
    "table.write_resolved",
    "A table write whose reply was lost was resolved by reading it back.",
    "oleanderhoist.clients.table",
)
PICTURE_ADOPTED = define(
    400,
    "picture.adopted",
    "A router applied a newer snapshot: servers, members, owners.",
    "oleanderhoist.node.state",
)
TERMS_IN_FORCE = define(
    401,
    "terms.in_force",
    "A router applied a version of the contracts.",
    "oleanderhoist.node.state",
)
TERMS_REFUSED = define(
    402,
    "terms.refused",
    "Contracts were rejected as invalid; the last valid ones stay active.",
    "oleanderhoist.node.state",
)
TERMS_FEED_FAILED = define(
    403,
    "terms.feed_failed",
    "Waiting for a change of the contracts failed: reason, time taken and the "
    "age of the contracts; they are read instead.",
    "oleanderhoist.node.contractwatch",
)
TERMS_UNKNOWN = define(
    404,
    "terms.unknown_value",
    "Contracts hold values that are not known: which routes. Their requests "
    "are served and never repeated.",
    "oleanderhoist.node.state",
)
EVACUATION_CHANGED = define(
    405,
    "evacuation.changed",
    "A router learned that the evacuation of a data centre has begun or ended: "
    "the data centre, the revision of the store, and from whom.",
    "oleanderhoist.node.evacuationnews",
)
EVACUATION_UNUSABLE = define(
    406,
    "evacuation.unusable",
    "A row about an evacuation can't be read, or names a data centre that "
    "nobody has: which row, and why.",
    "oleanderhoist.node.evacuationnews",
)
SERVER_COLD = define(
    407,
    "server.cold",
    "A server counts as cold, or no longer, at the coordinator of its slot "
    "queue: `cause`, which is empty at the end.",
    "oleanderhoist.node.coldservers",
)
COLD_TIME_UNREADABLE = define(
    408,
    "entry.cold_time_unreadable",
    "A server's row in the store does not say in a valid way for how long it "
    "stays cold; it counts as cold: the beginning of the value.",
    "oleanderhoist.node.directory",
)
CALL_ENDED = define(
    410,
    "call.ended",
    "A router answered a request: code, server, time taken.",
    "oleanderhoist.node.frontend",
)
REQUEST_SENT = define(
    411,
    "request.sent",
    "A request was sent to a server: slot queue, coordinator, result; "
    "`detail` has 'not an answer' if the server sent other bytes, and 'on a "
    "kept connection' if that had carried an earlier exchange.",
    "oleanderhoist.node.forwarder",
)
HOME_SILENT = define(
    412,
    "home.silent",
    "The coordinator of a slot queue did not reply; it is avoided for a while.",
    "oleanderhoist.node.slotclient",
)
REQUEST_HEDGED = define(
    414,
    "request.hedged",
    "A repeatable request without a response is hedged by a second attempt.",
    "oleanderhoist.node.forwarder",
)
SERVER_BLOCKED = define(
    413,
    "server.blocked",
    "A server failed most requests and receives none for a while.",
    "oleanderhoist.node.coordinator",
)
SLOT_WAIT_ENDED = define(
    415,
    "slot.wait_ended",
    "A request's wait for a slot ended without one: slot queue, coordinator, "
    "time waited; `result` says how it ended.",
    "oleanderhoist.node.pendingslots",
)
SERVER_LIMITED = define(
    416,
    "server.limited",
    "A server named another rate of requests that it takes from all routers "
    "together, or none any more: `per_second`.",
    "oleanderhoist.node.servernotices",
)
REQUEST_SILENT = define(
    417,
    "request.silent",
    "A server has not answered a request for longer than it usually takes: "
    "its service time, and after which time the request counts as silent.",
    "oleanderhoist.node.silencewatch",
)
SERVER_FULL = define(
    418,
    "server.full",
    "A server left several requests unanswered in a row: it counts as full and "
    "gets one request at a time until it answers.",
    "oleanderhoist.node.coordinator",
)
SERVER_LEAVING = define(
    419,
    "server.leaving",
    "A server said in an answer that it leaves: start time of its process, and "
    "`source`: an answer to this router, or the router that passed it on.",
    "oleanderhoist.node.state",
)
STORE_LOST = define(
    420,
    "store.lost",
    "The store stopped answering this router.",
    "oleanderhoist.node.directory",
)
STORE_BACK = define(
    421,
    "store.back",
    "The store answers this router again.",
    "oleanderhoist.node.directory",
)
LEADER_SILENT = define(
    422,
    "leader.silent",
    "A router receives nothing new from its leader.",
    "oleanderhoist.node.follower",
)
LEADER_HEARD = define(
    423,
    "leader.heard",
    "A router follows a leader.",
    "oleanderhoist.node.follower",
)
ENTRY_REJECTED = define(
    424,
    "entry.rejected",
    "A server's row in the store is invalid and was skipped.",
    "oleanderhoist.node.directory",
)
NOTICE_UNREADABLE = define(
    425,
    "notice.unreadable",
    "A server said something of itself in an answer that can't be read and is "
    "ignored: the header and the begin of its value.",
    "oleanderhoist.node.servernotices",
)
SERVER_PAUSED = define(
    426,
    "server.paused",
    "A server refused a request and wants none for a time: `seconds`.",
    "oleanderhoist.node.servernotices",
)
HEARTBEAT_LATE = define(
    427,
    "heartbeat.late",
    "A heartbeat was handled late: `delay_ms` at most, of which `uncertain_ms` "
    "may be none; and which snapshot and contracts it names.",
    "oleanderhoist.node.freshness",
)
LEADERSHIP_TAKEN = define(
    430,
    "leadership.taken",
    "A router became the leader.",
    "oleanderhoist.node.follower",
)
LEADERSHIP_LOST = define(
    431,
    "leadership.lost",
    "A leader was replaced or resigned.",
    "oleanderhoist.node.follower",
)
LEADERSHIP_FAILED = define(
    432,
    "leadership.failed",
    "A router failed to become the leader.",
    "oleanderhoist.node.follower",
)
MEMBER_JOINED = define(
    433,
    "member.joined",
    "The leader counts a router as live.",
    "oleanderhoist.node.membership",
)
MEMBER_LOST = define(
    434,
    "member.lost",
    "The leader counts a router as lost.",
    "oleanderhoist.node.membership",
)
KEYS_MOVING = define(
    440,
    "keys.moving",
    "Keys are being moved: which, from and to which server, and why.",
    "oleanderhoist.node.rebalancer",
)
KEYS_MOVED = define(
    441,
    "keys.moved",
    "Keys have a new owner.",
    "oleanderhoist.node.rebalancer",
)
LEASE_FAILED = define(
    442,
    "lease.failed",
    "A lease could not be renewed.",
    "oleanderhoist.node.leasemanager",
)
LEASE_BACK = define(
    443,
    "lease.back",
    "A lease is renewed again.",
    "oleanderhoist.node.leasemanager",
)
ROW_UNREADABLE = define(
    444,
    "row.unreadable",
    "One of the system's own rows is invalid.",
    "oleanderhoist.node.leaderstore",
)
WRITE_READ_BACK = define(
    445,
    "write.read_back",
    "A write whose response was lost was found in the store.",
    "oleanderhoist.node.leaderstore",
)
STORE_RESTORED = define(
    446,
    "store.restored",
    "The store came back from an older copy; the leader wrote its record and "
    "the owners of all keys anew: the eras, its epoch and the pools.",
    "oleanderhoist.node.leaderstore",
)
OWNERS_AWAITED = define(
    447,
    "owners.awaited",
    "The store came back from an older copy, and nothing proves who owns which "
    "keys: a new leader waits so many `seconds` until all leases have expired.",
    "oleanderhoist.node.keyowners",
)
DATAGRAM_MALFORMED = define(
    450,
    "datagram.malformed",
    "A datagram could not be decoded.",
    "oleanderhoist.node.datagrams",
)
DATAGRAM_FAILED = define(
    451,
    "datagram.failed",
    "A datagram could not be sent.",
    "oleanderhoist.node.datagrams",
)
SETTINGS_RELOADED = define(
    460,
    "settings.reloaded",
    "Settings were read again.",
    "oleanderhoist.node.core",
)
TASK_FAILED = define(
    461,
    "task.failed",
    "A task of the program failed and was restarted.",
    "oleanderhoist.program",
)
PROGRAM_STARTED = define(
    300,
    "program.started",
    "A program started to serve.",
    "oleanderhoist.node.core",
)
PROGRAM_STOPPING = define(
    301,
    "program.stopping",
    "A program received a stop signal and finishes its work.",
    "oleanderhoist.program",
)
EXCHANGES_AWAITED = define(
    302,
    "stop.exchanges_awaited",
    "A stop closed a listener and awaits exchanges: connections, how many of "
    "them have a request without a response, and for how long.",
    "oleanderhoist.http.server",
)
CALLER_GIVEN_UP = define(
    305,
    "caller.given_up",
    "Memory was short: the caller for whom most was held was cut off.",
    "oleanderhoist.http.heldmemory",
)
CONNECTIONS_FULL = define(
    306,
    "connections.full",
    "Too many connections: the one longest without a whole request was closed "
    "for a new one, or the new one if `waiting` is 0.",
    "oleanderhoist.http.server",
)
REQUEST_CUT = define(
    303,
    "stop.request_cut",
    "A stop ran out of time and closed a connection whose request had no "
    "whole response: what the connection was doing.",
    "oleanderhoist.http.serverconnection",
)
HANDLER_FAILED = define(
    304,
    "request.handler_failed",
    "A program failed while it handled a request; the caller was told that "
    "the outcome is unknown.",
    "oleanderhoist.http.serverconnection",
)
