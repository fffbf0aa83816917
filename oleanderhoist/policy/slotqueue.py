"""How requests wait for the slots of servers, and which are refused.

A slot queue holds the slots of one server of a keyed pool, or of all servers of
a pool without keys. One process decides for a slot queue, so it sees every
request that the slot queue's servers get.

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
class SlotRequest:
    """A request that wants a slot.

    Attributes:
        id: Unique among the requests of `requester`.
        requester: Process that has the request.
        rank: Urgency; 0 is the most urgent.
        deadline: When its caller gives up, in seconds on the slot queue's
            clock.
        objective: Until when an answer is worth most, on the same clock.
        data_center: Where the requester runs.
        body_bytes: Size of the request's body.
        excluded: Servers that have failed it.
    """

    id: int
    requester: str
    rank: int
    deadline: float
    objective: float
    data_center: str = ""
    body_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A request may use a slot of a server."""

    request: SlotRequest
    server: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A request gets no slot.

    Attributes:
        request: The request.
        retry_after: Time after which a new try makes sense, in seconds.
        expected_wait: Expected time until a slot was free, in seconds.
    """

    request: SlotRequest
    retry_after: float
    expected_wait: float = 0.0


Verdict = Granted | Refused


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """A request that has a slot.

    Attributes:
        began_at: When it got the slot.
        reclaim_at: When it is given up.
    """

    began_at: float
    reclaim_at: float


@dataclasses.dataclass(kw_only=True)
class ServerSlots:
    """What a slot queue knows of one server.

    Attributes:
        id: Id of the server.
        data_center: Where it runs.
        slots: Requests it works on at once.
        service_seconds: Smoothed time from sending to answer, in seconds.
        occupied_seconds: Smoothed time that a try keeps a slot, in seconds;
            below the service time when the server rejects at once.
        failure_rate: Smoothed part of tries that failed.
        running: Requests that have a slot, by requester and id.
        blocked_until: Until when it gets no work.
        last_used_at: When it was last given work.
    """

    id: str
    data_center: str
    slots: int
    service_seconds: float
    occupied_seconds: float | None = None
    failure_rate: float = 0.0
    running: dict[tuple[str, int], Running] = dataclasses.field(
        default_factory=dict
    )
    blocked_until: float = 0.0
    last_used_at: float = 0.0

    def open(self, now: float) -> bool:
        """Tells whether it may be given another request."""
        return len(self.running) < self.slots and now >= self.blocked_until

    def service_rate(self) -> float:
        """Returns the requests per second that it can run to a good end.

        Load pattern: a server rejects half of its requests at once. The tries
        cost no time of its slots, so it runs almost as many as before.
        """
        held = max(MIN_OCCUPIED, self.slot_seconds())
        return self.slots * (1.0 - self.failure_rate) / held

    def slot_seconds(self) -> float:
        """Returns the time that a try keeps a slot, in seconds."""
        return (
            self.service_seconds
            if self.occupied_seconds is None
            else self.occupied_seconds
        )

    def note(self, held: float, seconds: float | None, failed: bool) -> None:
        """Takes in how a try ended.

        Args:
            held: Time that it kept a slot, in seconds.
            seconds: Time it took, when it tells about the server's speed.
            failed: Whether the server failed it.
        """
        before = self.slot_seconds()
        self.occupied_seconds = before + (held - before) * SERVICE_SMOOTHING
        if seconds is not None:
            self.service_seconds += (
                seconds - self.service_seconds
            ) * SERVICE_SMOOTHING
        self.failure_rate += (
            float(failed) - self.failure_rate
        ) * FAILURE_SMOOTHING


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


class SlotQueue:
    """Queue in front of the slots of some servers.

    Args:
        service_seconds: Expected time of one request, in seconds.
    """

    def __init__(self, *, service_seconds: float = DEFAULT_SERVICE_SECONDS):
        self.servers: dict[str, ServerSlots] = {}
        self.service_seconds = service_seconds
        self.queues: dict[int, collections.deque[SlotRequest]] = {}
        self.overdue: collections.deque[SlotRequest] = collections.deque()
        self.arrivals: dict[int, Arrivals] = {}

    def update(self, present: list[ServerSlots]) -> None:
        """Takes in which servers may be used, keeping what is known."""
        known = self.servers
        self.servers = {}
        for server in present:
            before = known.get(server.id)
            if before is not None:
                before.slots = server.slots
                server = before
            self.servers[server.id] = server

    def service_rate(self, now: float) -> float:
        """Returns the requests per second that all usable servers can run."""
        return sum(
            s.service_rate()
            for s in self.servers.values()
            if now >= s.blocked_until
        )

    def arrival_rate(self, now: float, below: int | None = None) -> float:
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

    def queued_ahead(self, rank: int) -> int:
        """Returns how many requests wait that go before a new one."""
        return sum(len(q) for r, q in self.queues.items() if r <= rank)

    def expected_wait(self, rank: int, now: float) -> float:
        """Returns the expected time until a new request gets a slot.

        Load pattern: the least urgent work floods in. What is more urgent
        and still to come goes first, so a queue moves at the rate that it
        leaves over, and what cannot be punctual is refused at once.
        """
        rate = self.service_rate(now)
        if rate <= 0:
            return float("inf")
        own = max(
            MIN_OWN_RATE * rate, rate - self.arrival_rate(now, below=rank)
        )
        return (self.queued_ahead(rank) + 1) / own

    def submit(self, request: SlotRequest, now: float) -> Verdict | None:
        """Takes a request.

        Returns:
            The verdict, or None while the request waits.
        """
        punctual = now + self.service_seconds <= request.objective
        if punctual:
            arrivals = self.arrivals.setdefault(request.rank, Arrivals())
            arrivals.count(now)
        # Whoever waits while a slot is free has no use for that slot.
        server = self.choose(request, now)
        if server is not None:
            return self.grant(request, server, now)
        wait = self.expected_wait(request.rank, now)
        end = now + wait + self.service_seconds
        if (
            now + wait + PUNCTUAL_MARGIN * self.service_seconds
            <= request.objective
        ):
            queue = self.queues.setdefault(request.rank, collections.deque())
            queue.append(request)
            return None
        if self.spare_rate(now) and end <= request.deadline:
            return self.submit_overdue(request, now)
        return self.refuse(request, wait, now)

    def spare_rate(self, now: float) -> float:
        """Returns the rate that punctual requests leave over."""
        return max(
            0.0,
            LATE_UTILISATION * self.service_rate(now) - self.arrival_rate(now),
        )

    def submit_overdue(
        self, request: SlotRequest, now: float
    ) -> Verdict | None:
        """Takes a request that cannot meet its objective."""
        rate = self.spare_rate(now)
        wait = (len(self.overdue) + self.queued_ahead(request.rank) + 1) / rate
        if now + wait + self.service_seconds > request.deadline:
            return self.refuse(request, wait, now)
        self.overdue.append(request)
        return None

    def refuse(self, request: SlotRequest, wait: float, now: float) -> Refused:
        """Returns a refusal that says when to come back.

        Load pattern: more arrives than can be served for seconds. Callers
        that come back soon are refused again, and few come a third time; so
        they are told to come late, when the burst may be over.
        """
        slack = max(0.0, request.objective - now - self.service_seconds)
        retry = max(MIN_RETRY_SECONDS, wait - slack)
        if self.arrival_rate(now) > OVERLOAD * self.service_rate(now):
            retry = MAX_RETRY_SECONDS
        return Refused(
            request=request,
            retry_after=min(retry, MAX_RETRY_SECONDS),
            expected_wait=wait,
        )

    def choose(self, request: SlotRequest, now: float) -> ServerSlots | None:
        """Returns the best server with a free slot, or None."""
        free = [s for s in self.servers.values() if s.open(now)]
        fresh = [s for s in free if s.id not in request.excluded]
        if self.waits_near(request, now):
            fresh = [s for s in fresh if s.data_center == request.data_center]
            if not fresh:
                return None
        if not fresh:
            only = len(self.servers) == 1 and free
            return free[0] if only else None
        idle = min(fresh, key=lambda s: s.last_used_at)
        if now - idle.last_used_at > EXPLORE_SECONDS and explores(
            request, idle
        ):
            return idle
        return min(fresh, key=lambda s: expected(s, request, now))

    def waits_near(self, request: SlotRequest, now: float) -> bool:
        """Tells whether a request should wait for a server near to it.

        Load pattern: the near servers of a pool are busy for a moment, and a
        large body would cross data centers though a near slot is free soon.
        When the whole pool is busy, an idle slot would cost more than that.
        """
        if request.body_bytes < LARGE_BODY_BYTES:
            return False
        if now + NEAR_RESERVE * self.service_seconds > request.objective:
            return False
        if self.arrival_rate(now) > NEAR_UTILISATION * self.service_rate(now):
            return False
        return any(
            server.data_center == request.data_center
            and now >= server.blocked_until
            and server.id not in request.excluded
            for server in self.servers.values()
        )

    def grant(
        self, request: SlotRequest, server: ServerSlots, now: float
    ) -> Granted:
        """Gives a request a slot."""
        server.running[(request.requester, request.id)] = Running(
            began_at=now, reclaim_at=request.deadline + ABANDONED_SECONDS
        )
        server.last_used_at = now
        return Granted(request=request, server=server.id)

    def release(
        self,
        requester: str,
        id: int,
        server: str,
        *,
        seconds: float | None,
        failed: bool,
        now: float,
    ) -> None:
        """Frees a slot."""
        known = self.servers.get(server)
        ended = known.running.pop((requester, id), None) if known else None
        if known is None or ended is None:
            # A repeated slot request may have been granted elsewhere, too.
            self.cancel(requester, id)
            return
        known.note(now - ended.began_at, seconds, failed)
        if failed and known.failure_rate > BLOCKED_FAILURES:
            self.block(known, now)
        if seconds is not None:
            step = (seconds - self.service_seconds) * SERVICE_SMOOTHING
            self.service_seconds += step

    def block(self, server: ServerSlots, now: float) -> None:
        """Gives a failing server no work for a while.

        Most of a slot queue's servers stay in use, since failures of all of
        them have a cause that waiting elsewhere does not avoid.
        """
        blocked = sum(now < s.blocked_until for s in self.servers.values())
        if (blocked + 1) * 2 <= len(self.servers):
            server.blocked_until = now + BLOCK_SECONDS

    def cancel(self, requester: str, id: int) -> None:
        """Forgets a waiting request, and frees the slot of a running one."""
        for server in self.servers.values():
            server.running.pop((requester, id), None)
        for queue in [*self.queues.values(), self.overdue]:
            for request in queue:
                if request.id == id and request.requester == requester:
                    queue.remove(request)
                    return

    def grant_waiting(self, now: float) -> list[Verdict]:
        """Gives free slots to waiting requests, the most urgent first."""
        verdicts: list[Verdict] = self.expire(now)
        queues = [self.queues[rank] for rank in sorted(self.queues)]
        for queue in [*queues, self.overdue]:
            verdicts.extend(self.serve(queue, now))
        return verdicts

    def serve(
        self, queue: collections.deque[SlotRequest], now: float
    ) -> list[Verdict]:
        """Gives free slots to the requests of one queue, in order.

        A request without use for the free slots does not hold up the next.
        """
        verdicts: list[Verdict] = []
        passed: list[SlotRequest] = []
        while queue and len(passed) < MAX_PASSED and self.has_open(now):
            request = queue.popleft()
            server = self.choose(request, now)
            if server is None:
                passed.append(request)
            else:
                verdicts.append(self.grant(request, server, now))
        queue.extendleft(reversed(passed))
        return verdicts

    def has_open(self, now: float) -> bool:
        """Tells whether any server may be given another request."""
        return any(server.open(now) for server in self.servers.values())

    def expire(self, now: float) -> list[Verdict]:
        """Refuses requests that no longer end in time; frees lost slots."""
        refused: list[Verdict] = []
        for queue in [*self.queues.values(), self.overdue]:
            while queue and now + self.service_seconds / 2 > queue[0].deadline:
                refused.append(self.refuse(queue.popleft(), 0.0, now))
        for server in self.servers.values():
            for key, running in list(server.running.items()):
                if now > running.reclaim_at:
                    del server.running[key]
        return refused

    def drain(self) -> list[SlotRequest]:
        """Removes and returns all waiting requests."""
        waiting = [t for q in self.queues.values() for t in q]
        waiting.extend(self.overdue)
        self.queues.clear()
        self.overdue.clear()
        return waiting


def explores(request: SlotRequest, idle: ServerSlots) -> bool:
    """Tells whether a request may try out a server that was long idle."""
    near = idle.data_center == request.data_center
    return near or request.body_bytes < EXPLORE_BYTES


def expected(server: ServerSlots, request: SlotRequest, now: float) -> float:
    """Returns the expected time at a server, failures and distance priced.

    A request whose objective leaves time over goes to a near server even if
    a far one is faster.
    """
    far = 1.0
    if server.data_center != request.data_center:
        spare = (request.objective - now) / server.service_seconds - 1.0
        penalty = FAR_PENALTY * max(0.0, spare)
        far += min(MAX_FAR_PENALTY, penalty) + request.body_bytes / FAR_BYTES
    return server.service_seconds * far / max(0.1, 1.0 - server.failure_rate)
