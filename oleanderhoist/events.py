"""Numbered log events.

docs/EVENTS.md is generated from this registry and a test compares the two.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One kind of log line.

    Attributes:
        number: Stable number.
        name: Eliot message type.
        text: When it is written.
        source: Module in which the decision is made.
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
    "A repeatable request is sent a second time.",
    "oleanderhoist.entry.forwarder",
)
PERMIT_BYPASSED = define(
    103,
    "permit.bypassed",
    "A home did not answer, so the request went without its permit.",
    "oleanderhoist.entry.slotclient",
)
SERVER_LOST = define(
    110,
    "server.lost",
    "A home saw its server fail two renewals.",
    "oleanderhoist.entry.renewer",
)
SERVER_BACK = define(
    111,
    "server.back",
    "A home renewed a server that had been lost.",
    "oleanderhoist.entry.renewer",
)
VIEW_ADOPTED = define(
    120,
    "view.adopted",
    "An entry adopted a newer view from the leader.",
    "oleanderhoist.entry.snapshots",
)
CONTRACT_IN_FORCE = define(
    121,
    "contract.in_force",
    "An entry put a contract version in force.",
    "oleanderhoist.entry.contracts",
)
ENTRY_WITHDRAWN = define(
    122,
    "entry.withdrawn",
    "An entry could not confirm its contracts and stopped admitting.",
    "oleanderhoist.entry.contracts",
)
ENTRY_READMITTED = define(
    123,
    "entry.readmitted",
    "An entry confirmed its contracts and admits again.",
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
    "A placer stopped leading: its lease lapsed or was taken.",
    "oleanderhoist.placer.election",
)
LEADER_HOLDING = define(
    202,
    "leader.holding",
    "The table is down for most placers; present owners keep their leases.",
    "oleanderhoist.placer.election",
)
MOVES_BLOCKED = define(
    203,
    "leader.moves_blocked",
    "An earlier leader may still lend, so no partition may move yet.",
    "oleanderhoist.placer.election",
)
PARTITIONS_REVOKED = define(
    210,
    "partitions.revoked",
    "Partitions were taken from servers: which, and why.",
    "oleanderhoist.placer.reconciler",
)
PARTITIONS_PLACED = define(
    211,
    "partitions.placed",
    "Partitions were given to new owners: which, candidates, and why.",
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
CONTRACT_ACCEPTED = define(
    230,
    "contract.accepted",
    "A contract version was accepted.",
    "oleanderhoist.placer.contractregistry",
)
CONTRACT_REFUSED = define(
    231,
    "contract.refused",
    "A contract was refused: the code and the shortfall.",
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
    "A router took over a newer picture: servers, members, owners.",
    "oleanderhoist.node.state",
)
TERMS_IN_FORCE = define(
    401,
    "terms.in_force",
    "A router put a version of the contracts in force.",
    "oleanderhoist.node.state",
)
TERMS_REFUSED = define(
    402,
    "terms.refused",
    "Contracts cannot be honoured; the last good ones stay.",
    "oleanderhoist.node.state",
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
    "A request was sent to a server: lane, home, result.",
    "oleanderhoist.node.forwarder",
)
HOME_SILENT = define(
    412,
    "home.silent",
    "The home of a lane did not reply; it is passed over.",
    "oleanderhoist.node.slotclient",
)
REQUEST_HEDGED = define(
    414,
    "request.hedged",
    "A repeatable request without an answer is sent once more beside it.",
    "oleanderhoist.node.forwarder",
)
SERVER_BLOCKED = define(
    413,
    "server.blocked",
    "A server failed most requests and gets none for a while.",
    "oleanderhoist.node.coordinator",
)
STORE_LOST = define(
    420,
    "store.lost",
    "The store stopped answering this process.",
    "oleanderhoist.node.follower",
)
STORE_BACK = define(
    421,
    "store.back",
    "The store answers this process again.",
    "oleanderhoist.node.follower",
)
LEADER_SILENT = define(
    422,
    "leader.silent",
    "A router hears nothing fresh from its leader.",
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
    "An entry of the directory cannot be read and is passed over.",
    "oleanderhoist.node.directory",
)
LEADERSHIP_TAKEN = define(
    430,
    "leadership.taken",
    "A router became the leader.",
    "oleanderhoist.node.leader",
)
LEADERSHIP_LOST = define(
    431,
    "leadership.lost",
    "A leader was replaced, or gave up its leadership.",
    "oleanderhoist.node.leader",
)
LEADERSHIP_FAILED = define(
    432,
    "leadership.failed",
    "A router tried to become the leader in vain.",
    "oleanderhoist.node.follower",
)
MEMBER_JOINED = define(
    433,
    "member.joined",
    "The leader counts a router as live.",
    "oleanderhoist.node.leader",
)
MEMBER_LOST = define(
    434,
    "member.lost",
    "The leader counts a router as lost.",
    "oleanderhoist.node.leader",
)
KEYS_MOVING = define(
    440,
    "keys.moving",
    "Keys are taken from a server: which, to whom, why.",
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
    "oleanderhoist.node.rebalancer",
)
LEASE_BACK = define(
    443,
    "lease.back",
    "A lease is renewed again.",
    "oleanderhoist.node.rebalancer",
)
ROW_UNREADABLE = define(
    444,
    "row.unreadable",
    "A row of the system's own cannot be read.",
    "oleanderhoist.node.leaderstore",
)
WRITE_READ_BACK = define(
    445,
    "write.read_back",
    "A write whose answer was lost was found in the store.",
    "oleanderhoist.node.leaderstore",
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
    "A task of the program failed and was started again.",
    "oleanderhoist.node.core",
)
PROGRAM_STARTED = define(
    300, "program.started", "A program serves.", "oleanderhoist.program"
)
PROGRAM_STOPPING = define(
    301,
    "program.stopping",
    "A program was told to stop and finishes its work.",
    "oleanderhoist.program",
)
