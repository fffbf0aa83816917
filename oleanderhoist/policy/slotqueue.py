"""Queueing and admission control for the slots of servers.

A slot queue manages the slots of one server of a keyed pool, or of all servers
of a pool without keys. A single router coordinates each slot queue, so it sees
every request to the servers of that queue.

During a burst more requests arrive than the servers can run, and first come,
first served would make every response late. A request is therefore queued only
if it is expected to complete within its objective; others are refused
immediately. Requests that cannot be expected to meet their objective are called
overdue, and use the capacity that the others leave.
"""

import collections
from collections.abc import Callable

from oleanderhoist.policy import admission
from oleanderhoist.policy import demand
from oleanderhoist.policy import serverchoice
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotrequests
from oleanderhoist.policy import transits

DEFAULT_SERVICE_SECONDS = 0.1
# Of the objective of the first request; assumed before the first answer.
ASSUMED_SERVICE_FRACTION = 0.25
MAX_ASSUMED_SECONDS = 2.0
BLOCK_FAILURE_RATE = 0.6
BLOCK_SECONDS = 0.7
OBJECTIVE_MARGIN = 1.5  # Service times; at 1, about half would be late.
LOCAL_UTILISATION = 0.75  # Above this no slot may idle while requests wait.
MAX_SKIPPED = 8  # Bounds the work of one scan of a queue.
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0
RETRY_FRACTION = 1 / 3  # Of the time left; the rest is for waiting and work.
MAX_UTILISATION = 0.95  # Above this no overdue request is queued.
OVERLOAD_RATIO = 1.2  # Ratio of demand to service rate that indicates a burst.
EXPIRY_FRACTION = 0.5  # Of the service time; must remain to the deadline.
MIN_RATE_FRACTION = 0.05  # Of the service rate; assumed for every rank.
MIN_RATE = 1e-3  # Requests per second; assumed if no server is usable.
RECLAIM_DELAY_SECONDS = 0.5
STARVED_RANK = -1  # Queue of kinds that are served too seldom.
BURST_RETURN_FRACTION = 0.7  # Of the latest return; earlier, all is full.


class SlotQueue:
    """Priority queue of requests for the slots of a group of servers.

    Args:
        service_seconds: Initial estimate of the service time, in seconds.
    """

    def __init__(self, *, service_seconds: float = DEFAULT_SERVICE_SECONDS):
        self.servers: dict[str, serverslots.ServerSlots] = {}
        self.service_seconds = service_seconds
        self.initial_seconds = service_seconds
        self.is_assumed = False
        self.answers = 0
        self.queues: dict[int, collections.deque[slotrequests.SlotRequest]] = {}
        self.overdue: collections.deque[slotrequests.SlotRequest] = (
            collections.deque()
        )
        self.demand = demand.Demand()
        self.transits = transits.Transits()
        self.admission = admission.Admission()

    def update(self, servers: list[serverslots.ServerSlots]) -> None:
        """Replaces the usable servers, keeping the state of known ones.

        A server that has started again is not the one that was known.
        """
        known = self.servers
        self.servers = {}
        for server in servers:
            before = known.get(server.id)
            if before is not None and before.started_ms == server.started_ms:
                before.slots = server.slots
                server = before
            self.servers[server.id] = server

    def service_rate(
        self, now: float, excluded: frozenset[str] = frozenset()
    ) -> float:
        """Returns the requests per second that the servers can complete.

        Args:
            now: Current time, in seconds.
            excluded: Ids of servers that are left out.
        """
        return sum(
            s.service_rate()
            for s in self.servers.values()
            if now >= s.blocked_until and s.id not in excluded
        )

    def excluded_from(
        self, request: slotrequests.SlotRequest
    ) -> frozenset[str]:
        """Returns the servers that a request is not granted a slot of.

        A queue's only server is granted to all requests.
        """
        return request.excluded if len(self.servers) > 1 else frozenset()

    def queued_ahead(self, rank: int) -> int:
        """Returns how many waiting requests precede a new one of a rank."""
        return sum(len(q) for r, q in self.queues.items() if r <= rank)

    def expected_wait(
        self, request: slotrequests.SlotRequest, now: float
    ) -> float:
        """Returns the expected wait of a new request for a slot, in seconds.

        Future arrivals of more urgent ranks also go first, so a rank is
        served at the rate that those leave. Without this, a flood of the
        least urgent work would be queued although it cannot be served in time.
        """
        excluded = self.excluded_from(request)
        if self.service_rate(now, excluded) <= 0:
            return float("inf")
        rate = self.rate_for(request.rank, now, excluded)
        return (self.queued_ahead(request.rank) + 1) / rate

    def rate_for(
        self, rank: int, now: float, excluded: frozenset[str] = frozenset()
    ) -> float:
        """Returns the requests per second that more urgent ranks leave."""
        rate = self.service_rate(now, excluded)
        left = rate - self.demand.rate(now, below=rank)
        return max(self.minimum_rate(now), left)

    def minimum_rate(self, now: float) -> float:
        """Returns the requests per second that every rank counts on."""
        return max(MIN_RATE, MIN_RATE_FRACTION * self.service_rate(now))

    def remaining_wait(
        self, requester: str, id: int, now: float
    ) -> float | None:
        """Returns the expected wait of a queued request, in seconds.

        Returns:
            The time, or None if the request does not wait.
        """
        for rank, queue in self.queues.items():
            for position, request in enumerate(queue):
                if request.id == id and request.requester == requester:
                    behind = len(queue) - position - 1
                    ahead = self.queued_ahead(rank) - behind
                    return ahead / self.rate_for(rank, now)
        for position, request in enumerate(self.overdue):
            if request.id == id and request.requester == requester:
                rate = max(self.spare_rate(now), self.minimum_rate(now))
                return (position + 1) / rate
        return None

    def submit(
        self, request: slotrequests.SlotRequest, now: float
    ) -> slotrequests.Verdict | None:
        """Grants, queues or refuses a request.

        Returns:
            The verdict, or None if the request was queued.
        """
        if not self.answers:
            self.assume_service(request, now)
        self.admission.arrive(request, now)
        if now + self.service_seconds <= request.objective:
            self.demand.count(request.rank, now, self.service_seconds)
        # A free slot suits no queued request, so taking it overtakes none.
        server = self.choose(request, now)
        if server is not None:
            return self.grant(request, server, now)
        wait = self.expected_wait(request, now)
        end = now + wait + self.service_seconds
        rank = self.queue_rank(request, wait, now)
        if rank is not None:
            self.queues.setdefault(rank, collections.deque()).append(request)
            return None
        spare_rate = self.spare_rate(now, self.excluded_from(request))
        if spare_rate and end <= request.deadline:
            return self.submit_overdue(request, spare_rate, now)
        return self.refuse(request, wait, now)

    def queue_rank(
        self, request: slotrequests.SlotRequest, wait: float, now: float
    ) -> int | None:
        """Returns the rank with which a request is queued, or None.

        One of a starved kind is queued ahead of all ranks if it can meet its
        deadline. Others must meet their objective, and wait no longer than
        the refused kinds of their rank could.

        Args:
            request: The request.
            wait: Its expected wait, in seconds.
            now: Current time, in seconds.
        """
        if self.is_queued_as_starved(request, now):
            return STARVED_RANK
        margin = OBJECTIVE_MARGIN * self.service_seconds
        least = self.admission.least_objective(request, now)
        max_wait = max(least - margin, self.service_seconds)
        if wait <= min(max_wait, request.objective - now - margin):
            return request.rank
        return None

    def is_queued_as_starved(
        self, request: slotrequests.SlotRequest, now: float
    ) -> bool:
        """Returns whether a request goes ahead of all ranks."""
        ahead = self.queued_ahead(STARVED_RANK)
        wait = (ahead + 1) / max(MIN_RATE, self.service_rate(now))
        in_time = now + wait + self.service_seconds <= request.deadline
        return in_time and self.admission.is_starved(request, ahead, now)

    def assume_service(
        self, request: slotrequests.SlotRequest, now: float
    ) -> None:
        """Assumes a service time, as callers set objectives in view of it.

        It is that of the shortest objective: a request that is queued in vain
        waits, but one that is refused in vain is lost.
        """
        assumed = ASSUMED_SERVICE_FRACTION * (request.objective - now)
        assumed = max(self.initial_seconds, min(assumed, MAX_ASSUMED_SECONDS))
        if self.is_assumed:
            assumed = min(assumed, self.service_seconds)
        self.is_assumed = True
        self.service_seconds = assumed
        self.inform_unmeasured()

    def inform_unmeasured(self) -> None:
        """Lets servers without an answer count as fast as the others."""
        for server in self.servers.values():
            if not server.answers:
                server.service_seconds = self.service_seconds

    def spare_rate(
        self, now: float, excluded: frozenset[str] = frozenset()
    ) -> float:
        """Returns the service rate that requests on time leave unused."""
        rate = self.service_rate(now, excluded)
        return max(0.0, MAX_UTILISATION * rate - self.demand.rate(now))

    def submit_overdue(
        self, request: slotrequests.SlotRequest, spare_rate: float, now: float
    ) -> slotrequests.Verdict | None:
        """Queues or refuses a request that cannot meet its objective."""
        ahead = len(self.overdue) + self.queued_ahead(request.rank)
        wait = (ahead + 1) / spare_rate
        if now + wait + self.service_seconds > request.deadline:
            return self.refuse(request, wait, now)
        self.overdue.append(request)
        return None

    def refuse(
        self, request: slotrequests.SlotRequest, wait: float, now: float
    ) -> slotrequests.Refused:
        """Returns a refusal with the delay before a retry.

        Callers that retry during a burst are refused again, and few retry a
        second time, so during a burst they are told to retry late, when it
        may be over. They return as fast as there is room for them.
        """
        latest = RETRY_FRACTION * (request.deadline - now)
        latest = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, latest))
        slack = max(0.0, request.objective - now - self.service_seconds)
        earliest = max(MIN_RETRY_SECONDS, wait - slack)
        if self.demand.surely_exceeds(
            OVERLOAD_RATIO * self.service_rate(now), now
        ):
            earliest = max(earliest, BURST_RETURN_FRACTION * latest)
        rate = max(self.spare_rate(now), self.minimum_rate(now))
        retry = self.admission.return_after(earliest, latest, rate, now)
        self.admission.refuse(request, now)
        return slotrequests.Refused(
            request=request, retry_after=retry, expected_wait=wait
        )

    def choose(
        self, request: slotrequests.SlotRequest, now: float
    ) -> serverslots.ServerSlots | None:
        """Returns the best server with a free slot, or None if none suits.

        When the whole pool is busy, leaving a remote slot idle would cost more
        than sending a large body there.
        """
        servers = list(self.servers.values())
        local_only = serverchoice.may_wait_for_local(
            servers, request, now, self.service_seconds
        ) and self.demand.rate(now) <= LOCAL_UTILISATION * self.service_rate(
            now
        )
        return serverchoice.choose(servers, request, now, local_only=local_only)

    def choose_busy(
        self, request: slotrequests.SlotRequest, now: float
    ) -> serverslots.ServerSlots | None:
        """Returns a busy server at which a waiting request may queue, or None.

        Only the one server of a queue: elsewhere a slot may become free sooner.
        """
        if len(self.servers) != 1:
            return None
        (server,) = self.servers.values()
        if server.id in request.excluded or not server.may_queue(now):
            return None
        return server

    def grant(
        self,
        request: slotrequests.SlotRequest,
        server: serverslots.ServerSlots,
        now: float,
    ) -> slotrequests.Granted:
        """Grants a request a slot."""
        self.admission.serve(request, now)
        server.grant(
            (request.requester, request.id),
            now,
            request.deadline + RECLAIM_DELAY_SECONDS,
            share=self.transits.share(request.requester, server.slot_seconds()),
        )
        return slotrequests.Granted(
            request=request,
            server=server.id,
            service_seconds=server.service_seconds,
            silent_after=server.silent_after(),
        )

    def add_started(
        self, key: slotrequests.RequestKey, server: str, now: float
    ) -> None:
        """Counts a request that was sent to a server without a grant.

        It takes a slot there all the same, for as long as others do. When it
        ends is not told: that would pass the link that made the grant late.
        """
        for queue in [*self.queues.values(), self.overdue]:
            for request in queue:
                if request.key == key:
                    self.admission.serve(request, now)
        self.cancel(*key)
        known = self.servers.get(server)
        if known is not None:
            known.grant(key, now, now + known.slot_seconds())

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
        """Frees a slot and records how the attempt ended."""
        known = self.servers.get(server)
        ended = known.running.pop((requester, id), None) if known else None
        if known is None or ended is None:
            # A retransmitted slot request may hold a slot of another server.
            self.cancel(requester, id)
            return
        # A request that waited at the server took longer than its work.
        share = min(1.0, known.slots / ended.position)
        held = now - ended.granted_at
        if seconds is not None:
            self.transits.record(requester, held, seconds)
        occupied = share * self.transits.time_at_server(requester, held)
        if seconds is not None:
            seconds *= share
        known.record_attempt(occupied, seconds, failed)
        if failed and known.failure_rate > BLOCK_FAILURE_RATE:
            self.block(known, now)
        if seconds is not None:
            self.answers += 1
            step = serverslots.weight(
                self.answers, serverslots.SERVICE_SMOOTHING
            )
            self.service_seconds += (seconds - self.service_seconds) * step
            self.inform_unmeasured()

    def block(self, server: serverslots.ServerSlots, now: float) -> None:
        """Stops sending requests to a failing server for a while.

        At least half of the servers stay in use: if all of them fail, the
        cause is one that choosing another server does not avoid.
        """
        blocked = sum(now < s.blocked_until for s in self.servers.values())
        if (blocked + 1) * 2 <= len(self.servers):
            server.blocked_until = now + BLOCK_SECONDS

    def has(self, requester: str, id: int) -> bool:
        """Returns whether a request waits or holds a slot."""
        key = (requester, id)
        queues = [*self.queues.values(), self.overdue]
        return any(key in s.running for s in self.servers.values()) or any(
            one.key == key for queue in queues for one in queue
        )

    def cancel(self, requester: str, id: int) -> None:
        """Removes a waiting request, or frees the slot that it holds."""
        for server in self.servers.values():
            server.running.pop((requester, id), None)
        for queue in [*self.queues.values(), self.overdue]:
            for request in queue:
                if request.id == id and request.requester == requester:
                    queue.remove(request)
                    return

    def drop(
        self, is_dropped: Callable[[slotrequests.RequestKey], bool]
    ) -> None:
        """Removes all requests of some keys; frees the slots that they hold."""
        for server in self.servers.values():
            for key in [key for key in server.running if is_dropped(key)]:
                del server.running[key]
        for queue in [*self.queues.values(), self.overdue]:
            kept = [one for one in queue if not is_dropped(one.key)]
            queue.clear()
            queue.extend(kept)

    def grant_waiting(self, now: float) -> list[slotrequests.Verdict]:
        """Grants free slots to waiting requests, the most urgent first."""
        verdicts: list[slotrequests.Verdict] = self.expire(now)
        queues = [self.queues[rank] for rank in sorted(self.queues)]
        for queue in [*queues, self.overdue]:
            verdicts.extend(self.grant_from(queue, now))
        return verdicts

    def grant_from(
        self, queue: collections.deque[slotrequests.SlotRequest], now: float
    ) -> list[slotrequests.Verdict]:
        """Grants free slots to the requests of one queue, in order.

        A request that cannot use any free slot does not block the next.
        """
        verdicts: list[slotrequests.Verdict] = []
        skipped: list[slotrequests.SlotRequest] = []
        while queue and len(skipped) < MAX_SKIPPED and self.has_available(now):
            request = queue.popleft()
            server = self.choose(request, now) or self.choose_busy(request, now)
            if server is None:
                skipped.append(request)
            else:
                verdicts.append(self.grant(request, server, now))
        queue.extendleft(reversed(skipped))
        return verdicts

    def has_available(self, now: float) -> bool:
        """Returns whether any server can take another request."""
        return any(
            server.available(now) or server.may_queue(now)
            for server in self.servers.values()
        )

    def expire(self, now: float) -> list[slotrequests.Verdict]:
        """Refuses requests that cannot meet their deadline; reclaims slots."""
        refused: list[slotrequests.Verdict] = []
        required = EXPIRY_FRACTION * self.service_seconds
        for queue in [*self.queues.values(), self.overdue]:
            while queue and now + required > queue[0].deadline:
                refused.append(self.refuse(queue.popleft(), 0.0, now))
        refused.extend(self.refuse_unreachable(now))
        for server in self.servers.values():
            server.end_lapsed_limit(now)
            for key, running in list(server.running.items()):
                if now > running.reclaim_at:
                    del server.running[key]
        return refused

    def refuse_unreachable(self, now: float) -> list[slotrequests.Verdict]:
        """Refuses overdue requests that are not reached in time any more.

        What requests on time leave may have become less since they came, and
        a caller that waits to the end has no time left to return.
        """
        if not self.overdue:
            return []
        rate = max(self.spare_rate(now), self.minimum_rate(now))
        kept: list[slotrequests.SlotRequest] = []
        refused: list[slotrequests.Verdict] = []
        for request in self.overdue:
            wait = (len(kept) + 1) / rate
            if now + wait + self.service_seconds > request.deadline:
                refused.append(self.refuse(request, wait, now))
            else:
                kept.append(request)
        self.overdue = collections.deque(kept)
        return refused

    def drain(self) -> list[slotrequests.SlotRequest]:
        """Removes and returns all waiting requests."""
        waiting = [request for q in self.queues.values() for request in q]
        waiting.extend(self.overdue)
        self.queues.clear()
        self.overdue.clear()
        return waiting
