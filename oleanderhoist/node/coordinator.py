"""Slot queues whose coordinator is this router."""

import asyncio
from collections.abc import Callable
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import processids
from oleanderhoist.node import coldservers
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coordination
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests
from oleanderhoist.policy import transits

TICK_SECONDS = 0.05  # For what no release brings about, as an expiry.
NO_SERVER_RETRY_SECONDS = 0.1

VERDICTS = prometheus_client.Counter(
    "oleander_lane_verdicts", "Asks by verdict", ["verdict"]
)

STARTED = prometheus_client.Counter(
    "oleander_requests_started",
    "Requests of other routers that were sent to a server without a grant",
)

FREED = prometheus_client.Counter(
    "oleander_ended_slots_freed", "Slots whose release was lost on the way"
)

Reply = Callable[[slotrequests.Verdict], None]


def queue_name(pool: str, server: cluster.Server | None) -> str:
    """Returns the name of the slot queue for a pool or a keyed server."""
    if server is None:
        return coordination.POOL_PREFIX + pool
    return coordination.KEYED_PREFIX + server.id


def is_in_queue(queue: str, pool: str, server: cluster.Server) -> bool:
    """Returns whether a server of a pool belongs to a slot queue."""
    names = (queue_name(pool, None), queue_name(pool, server))
    return server.pool == pool and queue in names


@dataclasses.dataclass(kw_only=True)
class HostedQueue:
    """A slot queue and the callbacks for its verdicts.

    Attributes:
        queue: The slot queue.
        replies: Callbacks by requester and id of the slot request.
    """

    queue: slotqueue.SlotQueue
    replies: dict[tuple[str, int], Reply] = dataclasses.field(
        default_factory=dict
    )


class Coordinator:
    """Runs the slot queues whose coordinator is this router.

    Args:
        state: Current snapshot and contracts.
        clock: Time source.
        cold_terms: What holds for cold servers.
    """

    def __init__(
        self,
        *,
        state: state.State,
        clock: clock.Clock,
        cold_terms: coldservers.ColdTerms = coldservers.DEFAULT_TERMS,
    ):
        self.state = state
        self.clock = clock
        self.cold_servers = coldservers.ColdServers(
            state=state,
            clock=clock,
            terms=cold_terms,
        )
        self.hosted: dict[str, HostedQueue] = {}
        self.transits = transits.Transits()
        self.wake = asyncio.Event()
        state.snapshot_listeners.append(self.update)

    def servers_of(self, name: str) -> list[cluster.Server]:
        """Returns the usable servers of a slot queue."""
        snapshot = self.state.snapshot
        if name.startswith(coordination.KEYED_PREFIX):
            server = snapshot.usable_server(
                name.removeprefix(coordination.KEYED_PREFIX)
            )
            return [server] if server else []
        return list(
            snapshot.usable.get(name.removeprefix(coordination.POOL_PREFIX), ())
        )

    def get(self, name: str) -> HostedQueue:
        """Returns a slot queue, creating it on first use."""
        hosted = self.hosted.get(name)
        if hosted is None:
            hosted = HostedQueue(queue=slotqueue.SlotQueue())
            hosted.queue.transits = self.transits
            self.hosted[name] = hosted
            self.refresh(name, hosted)
        return hosted

    def update(self, snapshot: cluster.Snapshot) -> None:
        """Applies a new snapshot to all slot queues."""
        for name, hosted in list(self.hosted.items()):
            self.refresh(name, hosted)
            if not hosted.queue.servers:
                self.refuse_waiting(hosted)
                if name.startswith(coordination.KEYED_PREFIX):
                    del self.hosted[name]

    def refresh(self, name: str, hosted: HostedQueue) -> None:
        """Updates the servers of a slot queue."""
        hosted.queue.update(
            [
                serverslots.ServerSlots(
                    id=server.id,
                    data_center=server.data_center,
                    slots=server.slots,
                    service_seconds=hosted.queue.service_seconds,
                    started_ms=server.started_ms,
                )
                for server in self.servers_of(name)
            ]
        )
        self.cold_servers.update(hosted.queue)

    def refuse_waiting(self, hosted: HostedQueue) -> None:
        """Refuses all waiting requests of a slot queue without servers."""
        for request in hosted.queue.drain():
            self.deliver(
                hosted,
                slotrequests.Refused(
                    request=request, retry_after=NO_SERVER_RETRY_SECONDS
                ),
            )

    def submit(
        self, name: str, request: slotrequests.SlotRequest, reply: Reply
    ) -> float:
        """Submits a request; `reply` is called with the verdict.

        Returns:
            Expected wait in seconds; 0 when the verdict was delivered.
        """
        hosted = self.get(name)
        self.cold_servers.update_if_due(hosted.queue)
        now = self.clock.monotonic()
        hosted.replies[(request.requester, request.id)] = reply
        verdict = hosted.queue.submit(request, now)
        if verdict is not None:
            self.deliver(hosted, verdict)
            return 0.0
        self.wake.set()
        return hosted.queue.expected_wait(request, now)

    def bypass(
        self, name: str, request: slotrequests.SlotRequest, reply: Reply
    ) -> float:
        """Submits a request that does not reach its coordinator.

        Returns:
            As `submit`.
        """
        queue = self.get(name).queue
        with self.cold_servers.bypassed(queue):
            return self.submit(name, request, reply)

    def deliver(
        self, hosted: HostedQueue, verdict: slotrequests.Verdict
    ) -> None:
        """Delivers a verdict to the requester."""
        request = verdict.request
        VERDICTS.labels(type(verdict).__name__).inc()
        reply = hosted.replies.pop((request.requester, request.id), None)
        if reply is not None:
            reply(verdict)

    def release(
        self,
        name: str,
        requester: str,
        id: int,
        server: str,
        *,
        seconds: float | None,
        failed: bool,
        unanswered: bool = False,
    ) -> None:
        """Frees a slot and grants it to the next request.

        Args:
            name: Name of the slot queue.
            requester: Address of the router that releases it.
            id: Id of the slot request.
            server: Id of the server.
            seconds: Service time in seconds; None when it does not indicate
                the server's speed.
            failed: Whether the server failed the request.
            unanswered: Whether nothing at its address answered.
        """
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        now = self.clock.monotonic()
        server_slots = hosted.queue.servers.get(server)
        if unanswered:
            self.cold_servers.record_failure(hosted.queue, server)
        elif seconds is not None:
            self.cold_servers.record_answer(hosted.queue, server)
        blocked_until = server_slots.blocked_until if server_slots else 0.0
        hosted.queue.release(
            requester, id, server, seconds=seconds, failed=failed, now=now
        )
        if server_slots and server_slots.blocked_until > blocked_until:
            log.write(
                events.SERVER_BLOCKED,
                server=server,
                failures=round(server_slots.failure_rate, 2),
                service_ms=round(server_slots.service_seconds * 1000),
            )
        self.advance(hosted, now)

    def limit(
        self,
        name: str,
        server: str,
        started_ms: int,
        limit: float | None,
        *,
        routers: int = 1,
    ) -> None:
        """Paces the requests to a server of a slot queue.

        Args:
            name: Name of the slot queue.
            server: Id of the server.
            started_ms: Start time of the process that named the limit; what it
                said does not hold for a later one.
            limit: Requests per second from all routers; None ends the limit.
            routers: Number of routers that share the limit equally.
        """
        hosted = self.get(name)
        known = hosted.queue.servers.get(server)
        if known is None or known.started_ms != started_ms:
            return
        now = self.clock.monotonic()
        known.limit(limit, now, routers=routers)
        self.advance(hosted, now)

    def record_silence(self, name: str, server: str) -> None:
        """Counts a request that a server has not answered as it usually does.

        Its slots and its queue may be full of requests that this router does
        not know of.
        """
        hosted = self.hosted.get(name)
        known = hosted.queue.servers.get(server) if hosted else None
        if known is None:
            return
        known.silent.record(self.clock.monotonic(), known.service_seconds)
        known.absence.record_silence(self.clock.monotonic())
        if known.silent.is_full:
            log.write_limited(
                events.SERVER_FULL,
                server=server,
                silent=known.silent.requests,
                service_ms=round(known.service_seconds * 1000),
            )

    def cancel(self, name: str, requester: str, id: int) -> None:
        """Drops a request, and frees its slot if it was granted one."""
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        hosted.replies.pop((requester, id), None)
        hosted.queue.cancel(requester, id)
        self.advance(hosted, self.clock.monotonic())

    def remaining_wait(
        self, name: str, requester: str, id: int
    ) -> float | None:
        """Returns the expected wait of a queued request, in seconds.

        Returns:
            The time, or None if the request does not wait.
        """
        hosted = self.hosted.get(name)
        if hosted is None:
            return None
        now = self.clock.monotonic()
        return hosted.queue.remaining_wait(requester, id, now)

    def add_started(
        self, name: str, requester: str, id: int, server: str
    ) -> None:
        """Counts a request that its router sent to a server without a grant.

        Its slot request no longer waits.
        """
        STARTED.inc()
        hosted = self.get(name)
        hosted.replies.pop((requester, id), None)
        now = self.clock.monotonic()
        hosted.queue.add_started((requester, id), server, now)
        self.advance(hosted, now)

    def drop_earlier_copy(self, name: str, requester: str, id: int) -> None:
        """Drops the earlier copy of a retransmitted slot request.

        The requester uses only one of the two replies, so the slot request must
        hold only one slot.
        """
        hosted = self.hosted.get(name)
        if hosted is not None:
            hosted.replies.pop((requester, id), None)
            hosted.queue.cancel(requester, id)

    def free_ended(self, requester: str, ids: list[int]) -> None:
        """Frees the slots of ended requests whose release was lost."""
        for hosted in self.hosted.values():
            lost = [id for id in ids if hosted.queue.has(requester, id)]
            for id in lost:
                hosted.replies.pop((requester, id), None)
                hosted.queue.cancel(requester, id)
            if lost:
                FREED.inc(len(lost))
                self.advance(hosted, self.clock.monotonic())

    def drop_process(self, requester: str, process: int) -> None:
        """Drops the requests of a router's ended process; frees their slots."""

        def has_ended(key: slotrequests.RequestKey) -> bool:
            address, id = key
            return address == requester and processids.process_of(id) == process

        now = self.clock.monotonic()
        for hosted in self.hosted.values():
            for key in [key for key in hosted.replies if has_ended(key)]:
                del hosted.replies[key]
            hosted.queue.drop(has_ended)
            self.advance(hosted, now)

    def advance(self, hosted: HostedQueue, now: float) -> None:
        """Grants free slots to waiting requests."""
        self.cold_servers.update_if_due(hosted.queue)
        for verdict in hosted.queue.grant_waiting(now):
            self.deliver(hosted, verdict)

    def has_waiting(self) -> bool:
        """Returns whether any request waits."""
        return any(hosted.replies for hosted in self.hosted.values())

    async def run(self) -> None:
        """Advances slot queues while requests wait, until cancelled."""
        while True:
            await self.wake.wait()
            while self.has_waiting():
                await asyncio.sleep(TICK_SECONDS)
                now = self.clock.monotonic()
                for hosted in list(self.hosted.values()):
                    if hosted.replies:
                        self.advance(hosted, now)
            self.wake.clear()

    def service_times_ms(self) -> dict[str, float]:
        """Returns service times in milliseconds, by server, of keyed queues.

        A server whose rate is limited seems slower, as its slots allow less.
        """
        return {
            server.id: round(server.seconds_per_slot() * 1000, 1)
            for name, hosted in self.hosted.items()
            if name.startswith(coordination.KEYED_PREFIX)
            for server in hosted.queue.servers.values()
            if server.answers >= serverslots.MIN_ANSWERS or server.is_paced
        }
