"""How requests wait for the slots of servers, and which are refused.

A lane holds the slots of one server of a keyed pool, or of all servers of a
pool without keys. One process decides for a lane, so it sees every request
that the lane's servers get.

Load pattern: for seconds more requests arrive than the servers can run. First
come, first served would make every answer late. Here a request is taken only
if it is expected to end within its objective, so those taken are served well
and the others learn at once that they are refused. Requests that are late
already use what the punctual ones leave over.
"""

import collections
import dataclasses

DEFAULT_SERVICE_SECONDS = 0.1
SERVICE_SMOOTHING = 0.08
FAILURE_SMOOTHING = 0.15
BLOCKED_FAILURES = 0.6
BLOCK_SECONDS = 0.7
EXPLORE_SECONDS = 1.5
EXPLORE_BYTES = 4_000
FAR_PENALTY = 0.3  # For each service time that the objective leaves over.
MAX_FAR_PENALTY = 2.0
PUNCTUAL_MARGIN = 1.5  # Services vary; the mean alone would miss half.
FAR_BYTES = 20_000  # A far server counts as twice as slow for such a body.
LARGE_BODY_BYTES = 20_000
NEAR_RESERVE = 2.2  # Services that must still fit when waiting near ends.
NEAR_UTILISATION = 0.75  # Above it no slot may idle while somebody waits.
MAX_PASSED = 8  # Bounds the work of one look at a queue.
RATE_WINDOW_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0
LATE_UTILISATION = 0.95
OVERLOAD = 1.2  # Demand against rate above which a burst is under way.
MIN_OCCUPIED = 0.002  # Seconds; no try is over sooner.
MIN_OWN_RATE = 0.05  # Part of the rate that any rank is expected to get.
ABANDONED_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class Ticket:
    """A request that wants a slot.

    Attributes:
        id: Unique among the tickets of `asker`.
        asker: Process that has the request.
        rank: Urgency; 0 is the most urgent.
        deadline: When its caller gives up, in seconds on the lane's clock.
        objective: Until when an answer is worth most, on the same clock.
        data_center: Where the asker runs.
        body_bytes: Size of the request's body.
        excluded: Servers that have failed it.
    """

    id: int
    asker: str
    rank: int
    deadline: float
    objective: float
    data_center: str = ""
    body_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A ticket may use a slot of a server."""

    ticket: Ticket
    server: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A ticket gets no slot.

    Attributes:
        ticket: The ticket.
        retry: Time after which a new try makes sense, in seconds.
        wait: Expected time until a slot was free, in seconds.
    """

    ticket: Ticket
    retry: float
    wait: float = 0.0


Verdict = Granted | Refused


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A ticket that has a slot.

    Attributes:
        began: When it got the slot.
        until: When it is given up.
    """

    began: float
    until: float


@dataclasses.dataclass(kw_only=True)
class Server:
    """What a lane knows of one server.

    Attributes:
        id: Id of the server.
        data_center: Where it runs.
        slots: Requests it works on at once.
        service: Smoothed time from sending to answer, in seconds.
        occupied: Smoothed time that a try keeps a slot, in seconds; below
            the service time when the server rejects at once.
        failures: Smoothed part of tries that failed.
        running: Tickets that have a slot, by asker and id.
        blocked: Until when it gets no work.
        used: When it was last given work.
    """

    id: str
    data_center: str
    slots: int
    service: float
    occupied: float | None = None
    failures: float = 0.0
    running: dict[tuple[str, int], Running] = dataclasses.field(
        default_factory=dict
    )
    blocked: float = 0.0
    used: float = 0.0

    def open(self, now: float) -> bool:
        """Tells whether it may be given another request."""
        return len(self.running) < self.slots and now >= self.blocked

    def rate(self) -> float:
        """Returns the requests per second that it can run to a good end.

        Load pattern: a server rejects half of its requests at once. The tries
        cost no time of its slots, so it runs almost as many as before.
        """
        held = max(MIN_OCCUPIED, self.held())
        return self.slots * (1.0 - self.failures) / held

    def held(self) -> float:
        """Returns the time that a try keeps a slot, in seconds."""
        return self.service if self.occupied is None else self.occupied

    def note(self, held: float, seconds: float | None, failed: bool) -> None:
        """Takes in how a try ended.

        Args:
            held: Time that it kept a slot, in seconds.
            seconds: Time it took, when it tells about the server's speed.
            failed: Whether the server failed it.
        """
        before = self.held()
        self.occupied = before + (held - before) * SERVICE_SMOOTHING
        if seconds is not None:
            self.service += (seconds - self.service) * SERVICE_SMOOTHING
        self.failures += (float(failed) - self.failures) * FAILURE_SMOOTHING


@dataclasses.dataclass(kw_only=True)
class Arrivals:
    """Recent arrivals of one rank; older ones fade out.

    Attributes:
        recent: Arrivals of the last window, as of the last one.
        last: When the last one came.
    """

    recent: float = 0.0
    last: float = 0.0

    def rate(self, now: float) -> float:
        """Returns the arrivals per second."""
        faded = max(0.0, 1.0 - (now - self.last) / RATE_WINDOW_SECONDS)
        return self.recent * faded / RATE_WINDOW_SECONDS

    def count(self, now: float) -> None:
        """Counts an arrival."""
        self.recent = self.rate(now) * RATE_WINDOW_SECONDS + 1.0
        self.last = now


class Lane:
    """Queue in front of the slots of some servers.

    Args:
        service: Expected time of one request, in seconds.
    """

    def __init__(self, *, service: float = DEFAULT_SERVICE_SECONDS):
        self.servers: dict[str, Server] = {}
        self.service = service
        self.queues: dict[int, collections.deque[Ticket]] = {}
        self.late: collections.deque[Ticket] = collections.deque()
        self.arrivals: dict[int, Arrivals] = {}

    def update(self, present: list[Server]) -> None:
        """Takes in which servers may be used, keeping what is known."""
        known = self.servers
        self.servers = {}
        for server in present:
            before = known.get(server.id)
            if before is not None:
                before.slots = server.slots
                server = before
            self.servers[server.id] = server

    def rate(self, now: float) -> float:
        """Returns the requests per second that all usable servers can run."""
        return sum(s.rate() for s in self.servers.values() if now >= s.blocked)

    def demand(self, now: float, below: int | None = None) -> float:
        """Returns the smoothed rate of punctual arrivals, per second.

        Args:
            now: Present time, in seconds.
            below: Counts only ranks that are more urgent than this one.
        """
        return sum(
            arrivals.rate(now)
            for rank, arrivals in self.arrivals.items()
            if below is None or rank < below
        )

    def ahead(self, rank: int) -> int:
        """Returns how many tickets wait that go before a new one."""
        return sum(len(q) for r, q in self.queues.items() if r <= rank)

    def wait(self, rank: int, now: float) -> float:
        """Returns the expected time until a new ticket gets a slot.

        Load pattern: the least urgent work floods in. What is more urgent
        and still to come goes first, so a queue moves at the rate that it
        leaves over, and what cannot be punctual is refused at once.
        """
        rate = self.rate(now)
        if rate <= 0:
            return float("inf")
        own = max(MIN_OWN_RATE * rate, rate - self.demand(now, below=rank))
        return (self.ahead(rank) + 1) / own

    def ask(self, ticket: Ticket, now: float) -> Verdict | None:
        """Takes a ticket.

        Returns:
            The verdict, or None while the ticket waits.
        """
        punctual = now + self.service <= ticket.objective
        if punctual:
            arrivals = self.arrivals.setdefault(ticket.rank, Arrivals())
            arrivals.count(now)
        # Whoever waits while a slot is free has no use for that slot.
        server = self.choose(ticket, now)
        if server is not None:
            return self.grant(ticket, server, now)
        wait = self.wait(ticket.rank, now)
        end = now + wait + self.service
        if now + wait + PUNCTUAL_MARGIN * self.service <= ticket.objective:
            queue = self.queues.setdefault(ticket.rank, collections.deque())
            queue.append(ticket)
            return None
        if self.leftover(now) and end <= ticket.deadline:
            return self.ask_late(ticket, now)
        return self.refuse(ticket, wait, now)

    def leftover(self, now: float) -> float:
        """Returns the rate that punctual requests leave over."""
        return max(0.0, LATE_UTILISATION * self.rate(now) - self.demand(now))

    def ask_late(self, ticket: Ticket, now: float) -> Verdict | None:
        """Takes a ticket that cannot meet its objective."""
        rate = self.leftover(now)
        wait = (len(self.late) + self.ahead(ticket.rank) + 1) / rate
        if now + wait + self.service > ticket.deadline:
            return self.refuse(ticket, wait, now)
        self.late.append(ticket)
        return None

    def refuse(self, ticket: Ticket, wait: float, now: float) -> Refused:
        """Returns a refusal that says when to come back.

        Load pattern: more arrives than can be served for seconds. Callers
        that come back soon are refused again, and few come a third time; so
        they are told to come late, when the burst may be over.
        """
        slack = max(0.0, ticket.objective - now - self.service)
        retry = max(MIN_RETRY_SECONDS, wait - slack)
        if self.demand(now) > OVERLOAD * self.rate(now):
            retry = MAX_RETRY_SECONDS
        return Refused(
            ticket=ticket, retry=min(retry, MAX_RETRY_SECONDS), wait=wait
        )

    def choose(self, ticket: Ticket, now: float) -> Server | None:
        """Returns the best server with a free slot, or None."""
        free = [s for s in self.servers.values() if s.open(now)]
        fresh = [s for s in free if s.id not in ticket.excluded]
        if self.waits_near(ticket, now):
            fresh = [s for s in fresh if s.data_center == ticket.data_center]
            if not fresh:
                return None
        if not fresh:
            only = len(self.servers) == 1 and free
            return free[0] if only else None
        idle = min(fresh, key=lambda s: s.used)
        if now - idle.used > EXPLORE_SECONDS and explores(ticket, idle):
            return idle
        return min(fresh, key=lambda s: expected(s, ticket, now))

    def waits_near(self, ticket: Ticket, now: float) -> bool:
        """Tells whether a ticket should wait for a server near to it.

        Load pattern: the near servers of a pool are busy for a moment, and a
        large body would cross data centers though a near slot is free soon.
        When the whole pool is busy, an idle slot would cost more than that.
        """
        if ticket.body_bytes < LARGE_BODY_BYTES:
            return False
        if now + NEAR_RESERVE * self.service > ticket.objective:
            return False
        if self.demand(now) > NEAR_UTILISATION * self.rate(now):
            return False
        return any(
            server.data_center == ticket.data_center
            and now >= server.blocked
            and server.id not in ticket.excluded
            for server in self.servers.values()
        )

    def grant(self, ticket: Ticket, server: Server, now: float) -> Granted:
        """Gives a ticket a slot."""
        server.running[(ticket.asker, ticket.id)] = Running(
            began=now, until=ticket.deadline + ABANDONED_SECONDS
        )
        server.used = now
        return Granted(ticket=ticket, server=server.id)

    def done(
        self,
        asker: str,
        id: int,
        server: str,
        *,
        seconds: float | None,
        failed: bool,
        now: float,
    ) -> None:
        """Frees a slot."""
        known = self.servers.get(server)
        ended = known.running.pop((asker, id), None) if known else None
        if known is None or ended is None:
            # An ask that was repeated may have been granted elsewhere, too.
            self.cancel(asker, id)
            return
        known.note(now - ended.began, seconds, failed)
        if failed and known.failures > BLOCKED_FAILURES:
            self.block(known, now)
        if seconds is not None:
            step = (seconds - self.service) * SERVICE_SMOOTHING
            self.service += step

    def block(self, server: Server, now: float) -> None:
        """Gives a failing server no work for a while.

        Most of a lane's servers stay in use, since failures of all of them
        have a cause that waiting elsewhere does not avoid.
        """
        blocked = sum(now < s.blocked for s in self.servers.values())
        if (blocked + 1) * 2 <= len(self.servers):
            server.blocked = now + BLOCK_SECONDS

    def cancel(self, asker: str, id: int) -> None:
        """Forgets a waiting ticket, and frees the slot of a running one."""
        for server in self.servers.values():
            server.running.pop((asker, id), None)
        for queue in [*self.queues.values(), self.late]:
            for ticket in queue:
                if ticket.id == id and ticket.asker == asker:
                    queue.remove(ticket)
                    return

    def next(self, now: float) -> list[Verdict]:
        """Gives free slots to waiting tickets, the most urgent first."""
        verdicts: list[Verdict] = self.expire(now)
        queues = [self.queues[rank] for rank in sorted(self.queues)]
        for queue in [*queues, self.late]:
            verdicts.extend(self.serve(queue, now))
        return verdicts

    def serve(
        self, queue: collections.deque[Ticket], now: float
    ) -> list[Verdict]:
        """Gives free slots to the tickets of one queue, in order.

        A ticket without use for the free slots does not hold up the next.
        """
        verdicts: list[Verdict] = []
        passed: list[Ticket] = []
        while queue and len(passed) < MAX_PASSED and self.has_open(now):
            ticket = queue.popleft()
            server = self.choose(ticket, now)
            if server is None:
                passed.append(ticket)
            else:
                verdicts.append(self.grant(ticket, server, now))
        queue.extendleft(reversed(passed))
        return verdicts

    def has_open(self, now: float) -> bool:
        """Tells whether any server may be given another request."""
        return any(server.open(now) for server in self.servers.values())

    def expire(self, now: float) -> list[Verdict]:
        """Refuses tickets that no longer end in time; frees lost slots."""
        refused: list[Verdict] = []
        for queue in [*self.queues.values(), self.late]:
            while queue and now + self.service / 2 > queue[0].deadline:
                refused.append(self.refuse(queue.popleft(), 0.0, now))
        for server in self.servers.values():
            for key, running in list(server.running.items()):
                if now > running.until:
                    del server.running[key]
        return refused

    def drain(self) -> list[Ticket]:
        """Removes and returns all waiting tickets."""
        waiting = [t for q in self.queues.values() for t in q]
        waiting.extend(self.late)
        self.queues.clear()
        self.late.clear()
        return waiting


def explores(ticket: Ticket, idle: Server) -> bool:
    """Tells whether a ticket may try out a server that was long idle."""
    near = idle.data_center == ticket.data_center
    return near or ticket.body_bytes < EXPLORE_BYTES


def expected(server: Server, ticket: Ticket, now: float) -> float:
    """Returns the expected time at a server, failures and distance priced.

    A request whose objective leaves time over goes to a near server even if
    a far one is faster.
    """
    far = 1.0
    if server.data_center != ticket.data_center:
        spare = (ticket.objective - now) / server.service - 1.0
        penalty = FAR_PENALTY * max(0.0, spare)
        far += min(MAX_FAR_PENALTY, penalty) + ticket.body_bytes / FAR_BYTES
    return server.service * far / max(0.1, 1.0 - server.failures)
