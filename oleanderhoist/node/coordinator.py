"""Slot queues that this process decides for."""

import asyncio
from collections.abc import Callable
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import slotqueue

TICK_SECONDS = 0.02
KEYED_PREFIX = "server/"
POOL_PREFIX = "pool/"

VERDICTS = prometheus_client.Counter(
    "oleander_lane_verdicts", "Asks by verdict", ["verdict"]
)

Reply = Callable[[slotqueue.Verdict], None]


def queue_name(pool: str, server: cluster.Server | None) -> str:
    """Returns the name of the slot queue for a pool or a keyed server."""
    if server is None:
        return POOL_PREFIX + pool
    return KEYED_PREFIX + server.id


@dataclasses.dataclass(kw_only=True)
class HostedQueue:
    """A slot queue and whom to tell its verdicts."""

    queue: slotqueue.SlotQueue
    replies: dict[tuple[str, int], Reply] = dataclasses.field(
        default_factory=dict
    )


class Coordinator:
    """Runs the slot queues whose coordinator is this process."""

    def __init__(self, *, state: state.State, clock: clock.Clock):
        self.state = state
        self.clock = clock
        self.hosted: dict[str, HostedQueue] = {}
        self.wake = asyncio.Event()
        state.snapshot_listeners.append(self.update)

    def members_of(self, name: str) -> list[cluster.Server]:
        """Returns the usable servers of a slot queue."""
        snapshot = self.state.snapshot
        if name.startswith(KEYED_PREFIX):
            server = snapshot.servers.get(name.removeprefix(KEYED_PREFIX))
            return [server] if server and not server.leaving else []
        return list(snapshot.usable.get(name.removeprefix(POOL_PREFIX), ()))

    def get(self, name: str) -> HostedQueue:
        """Returns a slot queue, made at its first use."""
        hosted = self.hosted.get(name)
        if hosted is None:
            hosted = HostedQueue(queue=slotqueue.SlotQueue())
            self.hosted[name] = hosted
            self.refresh(name, hosted)
        return hosted

    def update(self, snapshot: cluster.Snapshot) -> None:
        """Takes in which servers may be used now."""
        for name, hosted in list(self.hosted.items()):
            self.refresh(name, hosted)
            if not hosted.queue.servers:
                self.empty(hosted)
                if name.startswith(KEYED_PREFIX):
                    del self.hosted[name]

    def refresh(self, name: str, hosted: HostedQueue) -> None:
        """Gives a slot queue its present servers."""
        hosted.queue.update(
            [
                slotqueue.ServerSlots(
                    id=server.id,
                    data_center=server.data_center,
                    slots=server.slots,
                    service_seconds=hosted.queue.service_seconds,
                )
                for server in self.members_of(name)
            ]
        )

    def empty(self, hosted: HostedQueue) -> None:
        """Refuses all requests of a slot queue without servers."""
        for request in hosted.queue.drain():
            self.deliver(
                hosted, slotqueue.Refused(request=request, retry_after=0.1)
            )

    def submit(
        self, name: str, request: slotqueue.SlotRequest, reply: Reply
    ) -> float:
        """Takes a request; `reply` is called with the verdict.

        Returns:
            Expected waiting time in seconds; 0 when the verdict was given.
        """
        hosted = self.get(name)
        now = self.clock.monotonic()
        hosted.replies[(request.requester, request.id)] = reply
        verdict = hosted.queue.submit(request, now)
        if verdict is not None:
            self.deliver(hosted, verdict)
            return 0.0
        self.wake.set()
        return hosted.queue.expected_wait(request.rank, now)

    def deliver(self, hosted: HostedQueue, verdict: slotqueue.Verdict) -> None:
        """Tells a verdict to whoever asked."""
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
    ) -> None:
        """Frees a slot and gives it to the next request."""
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        now = self.clock.monotonic()
        known = hosted.queue.servers.get(server)
        before = known.blocked_until if known else 0.0
        hosted.queue.release(
            requester, id, server, seconds=seconds, failed=failed, now=now
        )
        if known and known.blocked_until > before:
            log.write(
                events.SERVER_BLOCKED,
                server=server,
                failures=round(known.failure_rate, 2),
                service_ms=round(known.service_seconds * 1000),
            )
        self.advance(hosted, now)

    def cancel(self, name: str, requester: str, id: int) -> None:
        """Forgets a request, and frees its slot if it has one by now."""
        hosted = self.hosted.get(name)
        if hosted is None:
            return
        hosted.replies.pop((requester, id), None)
        hosted.queue.cancel(requester, id)
        self.advance(hosted, self.clock.monotonic())

    def forget_grant(self, name: str, requester: str, id: int) -> None:
        """Undoes what is known of a slot request that its requester repeats.

        Only one of the two replies is used, so that the slot request keeps one
        slot.
        """
        hosted = self.hosted.get(name)
        if hosted is not None:
            hosted.replies.pop((requester, id), None)
            hosted.queue.cancel(requester, id)

    def advance(self, hosted: HostedQueue, now: float) -> None:
        """Gives free slots to waiting requests."""
        for verdict in hosted.queue.grant_waiting(now):
            self.deliver(hosted, verdict)

    def waiting(self) -> bool:
        """Tells whether any request waits."""
        return any(hosted.replies for hosted in self.hosted.values())

    async def run(self) -> None:
        """Advances slot queues in which requests wait, until cancelled."""
        while True:
            await self.wake.wait()
            while self.waiting():
                await asyncio.sleep(TICK_SECONDS)
                now = self.clock.monotonic()
                for hosted in list(self.hosted.values()):
                    self.advance(hosted, now)
            self.wake.clear()

    def service_times_ms(self) -> dict[str, float]:
        """Returns the service time of hosted owners of keys, in ms."""
        return {
            server.id: round(server.service_seconds * 1000, 1)
            for name, hosted in self.hosted.items()
            if name.startswith(KEYED_PREFIX)
            for server in hosted.queue.servers.values()
            if server.last_used_at
        }
