"""Asks the coordinator of a slot queue for a slot of a server."""

import asyncio
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import slotqueue

REPLY_SECONDS = 0.06
REPLY_TRIES = 2  # One datagram in a hundred or so is lost without a fault.
SUSPECT_SECONDS = 1.0
WAIT_SLACK_SECONDS = 0.15
MAX_TOLD_SECONDS = 60.0  # A wait without end is told as this.

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without asking a home"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """The right to send one request to a server.

    Attributes:
        id: Id of the slot request.
        queue: Slot queue of the slot.
        coordinator: Process that granted it; empty for a choice without a
            coordinator.
        server: Id of the server.
    """

    id: int
    queue: str
    coordinator: str
    server: str


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A slot request without a verdict.

    Attributes:
        future: Gets the verdict.
        queued: Expected waiting time once the coordinator has queued the slot
            request.
    """

    future: asyncio.Future
    queued: float | None = None


class SlotClient:
    """Gets and returns slots for this process's requests."""

    def __init__(
        self,
        *,
        datagrams: datagrams.DatagramEndpoint,
        coordinator: coordinator.Coordinator,
        state: state.State,
        clock: clock.Clock,
    ):
        self.datagrams = datagrams
        self.coordinator = coordinator
        self.state = state
        self.clock = clock
        self.pending: dict[int, Pending] = {}
        self.suspected_until: dict[str, float] = {}
        datagrams.handlers[wire.AcquireSlot] = self.on_acquire_slot
        datagrams.handlers[wire.SlotQueued] = self.on_slot_queued
        datagrams.handlers[wire.SlotGranted] = self.on_slot_granted
        datagrams.handlers[wire.SlotRefused] = self.on_slot_refused
        datagrams.handlers[wire.ReleaseSlot] = self.on_release_slot
        datagrams.handlers[wire.CancelAcquire] = self.on_cancel_acquire

    async def acquire(
        self, queue: str, request: slotqueue.SlotRequest
    ) -> SlotGrant | slotqueue.Refused:
        """Gets a slot, or a refusal.

        A coordinator that does not reply is passed over for a while; the slot
        is then chosen here, without knowledge of other processes' requests.
        """
        coordinator = self.state.snapshot.coordinator(queue)
        now = self.clock.monotonic()
        if not coordinator or self.suspected_until.get(coordinator, 0.0) > now:
            return self.bypass(queue, request)
        pending = Pending(future=asyncio.get_running_loop().create_future())
        self.pending[request.id] = pending
        try:
            self.send(coordinator, queue, request)
            return await self.verdict(coordinator, queue, request, pending)
        except asyncio.CancelledError:
            self.cancel(coordinator, queue, request.id)
            raise
        finally:
            self.pending.pop(request.id, None)

    def send(
        self,
        coordinator: str,
        queue: str,
        request: slotqueue.SlotRequest,
        *,
        again: bool = False,
    ) -> None:
        """Sends a slot request to the coordinator, or takes it here."""
        if coordinator == self.datagrams.address:
            self.coordinator.submit(queue, request, self.settle)
            return
        now = self.clock.monotonic()
        self.datagrams.send(
            coordinator,
            wire.AcquireSlot(
                queue=queue,
                id=request.id,
                rank=request.rank,
                remaining_ms=round((request.deadline - now) * 1000),
                objective_ms=round((request.objective - now) * 1000),
                data_center=request.data_center,
                body_bytes=request.body_bytes,
                excluded=list(request.excluded),
                retransmitted=again,
            ),
        )

    async def reach(
        self,
        coordinator: str,
        queue: str,
        request: slotqueue.SlotRequest,
        pending: Pending,
    ) -> None:
        """Waits for any reply of a coordinator, and asks it once more."""
        for number in range(REPLY_TRIES):
            if number:
                self.send(coordinator, queue, request, again=True)
            await asyncio.wait([pending.future], timeout=REPLY_SECONDS)
            if pending.future.done() or pending.queued is not None:
                return

    async def verdict(
        self,
        coordinator: str,
        queue: str,
        request: slotqueue.SlotRequest,
        pending: Pending,
    ) -> SlotGrant | slotqueue.Refused:
        """Waits for the verdict of a slot request."""
        future = pending.future
        local = coordinator == self.datagrams.address
        if not local:
            await self.reach(coordinator, queue, request, pending)
        remaining = request.deadline - self.clock.monotonic()
        if not future.done() and (local or pending.queued is not None):
            queued = pending.queued or 0.0
            limit = remaining if local else 2 * queued + WAIT_SLACK_SECONDS
            await asyncio.wait([future], timeout=min(remaining, limit))
        if not future.done():
            self.cancel(coordinator, queue, request.id)
            if not local:
                self.suspect(coordinator, queue)
            return self.bypass(queue, request)
        verdict = future.result()
        if isinstance(verdict, slotqueue.Refused):
            return verdict
        return SlotGrant(
            id=request.id,
            queue=queue,
            coordinator=coordinator,
            server=verdict.server,
        )

    def suspect(self, coordinator: str, queue: str) -> None:
        """Passes over a coordinator that did not reply."""
        until = self.clock.monotonic() + SUSPECT_SECONDS
        if self.suspected_until.get(coordinator, 0.0) < self.clock.monotonic():
            log.write(events.HOME_SILENT, home=coordinator, lane=queue)
        self.suspected_until[coordinator] = until

    def bypass(
        self, queue: str, request: slotqueue.SlotRequest
    ) -> SlotGrant | slotqueue.Refused:
        """Chooses a server here."""
        BYPASSED.inc()
        verdict: slotqueue.Verdict | None = None

        def keep(given: slotqueue.Verdict) -> None:
            nonlocal verdict
            verdict = given

        self.coordinator.submit(queue, request, keep)
        if isinstance(verdict, slotqueue.Granted):
            return SlotGrant(
                id=request.id,
                queue=queue,
                coordinator=self.datagrams.address,
                server=verdict.server,
            )
        self.coordinator.cancel(queue, request.requester, request.id)
        if isinstance(verdict, slotqueue.Refused):
            return verdict
        return slotqueue.Refused(
            request=request, retry_after=WAIT_SLACK_SECONDS
        )

    def release(
        self, grant: SlotGrant, *, seconds: float | None, failed: bool
    ) -> None:
        """Gives a slot back.

        Args:
            grant: The slot's grant.
            seconds: Time that the server took, when that tells its speed.
            failed: Whether the server failed the request.
        """
        if grant.coordinator == self.datagrams.address:
            self.coordinator.release(
                grant.queue,
                grant.coordinator,
                grant.id,
                grant.server,
                seconds=seconds,
                failed=failed,
            )
            return
        took = -1.0 if seconds is None else round(seconds * 1000, 1)
        self.datagrams.send(
            grant.coordinator,
            wire.ReleaseSlot(
                queue=grant.queue,
                id=grant.id,
                server=grant.server,
                took_ms=took,
                failed=failed,
            ),
        )

    def cancel(self, coordinator: str, queue: str, id: int) -> None:
        """Withdraws a slot request."""
        if coordinator == self.datagrams.address:
            self.coordinator.cancel(queue, coordinator, id)
        else:
            self.datagrams.send(
                coordinator, wire.CancelAcquire(queue=queue, id=id)
            )

    def settle(self, verdict: slotqueue.Verdict) -> None:
        """Takes the verdict of a slot request that still waits for one."""
        pending = self.pending.get(verdict.request.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(verdict)

    def on_acquire_slot(self, peer: str, message: wire.AcquireSlot) -> None:
        """Takes another process's ask."""
        now = self.clock.monotonic()
        request = slotqueue.SlotRequest(
            id=message.id,
            requester=peer,
            rank=message.rank,
            deadline=now + message.remaining_ms / 1000,
            objective=now + message.objective_ms / 1000,
            data_center=message.data_center,
            body_bytes=message.body_bytes,
            excluded=frozenset(message.excluded),
        )
        if message.retransmitted:
            self.coordinator.forget_grant(message.queue, peer, message.id)
        wait = self.coordinator.submit(
            message.queue, request, lambda verdict: self.reply(peer, verdict)
        )
        if wait:
            self.datagrams.send(
                peer,
                wire.SlotQueued(
                    id=message.id,
                    wait_ms=round(min(wait, MAX_TOLD_SECONDS) * 1000),
                ),
            )

    def reply(self, peer: str, verdict: slotqueue.Verdict) -> None:
        """Sends a verdict to the process that asked."""
        id = verdict.request.id
        if isinstance(verdict, slotqueue.Granted):
            self.datagrams.send(
                peer, wire.SlotGranted(id=id, server=verdict.server)
            )
        else:
            refusal = wire.SlotRefused(
                id=id,
                retry_ms=round(verdict.retry_after * 1000),
                wait_ms=round(
                    min(verdict.expected_wait, MAX_TOLD_SECONDS) * 1000
                ),
            )
            self.datagrams.send(peer, refusal)

    def on_slot_queued(self, peer: str, message: wire.SlotQueued) -> None:
        """Notes that a slot request is queued."""
        pending = self.pending.get(message.id)
        if pending is not None:
            pending.queued = message.wait_ms / 1000

    def on_slot_granted(self, peer: str, message: wire.SlotGranted) -> None:
        """Takes a granted slot."""
        self.settle(
            slotqueue.Granted(request=named(message.id), server=message.server)
        )

    def on_slot_refused(self, peer: str, message: wire.SlotRefused) -> None:
        """Takes a refusal."""
        self.settle(
            slotqueue.Refused(
                request=named(message.id),
                retry_after=message.retry_ms / 1000,
                expected_wait=message.wait_ms / 1000,
            )
        )

    def on_release_slot(self, peer: str, message: wire.ReleaseSlot) -> None:
        """Takes a slot back."""
        took = message.took_ms / 1000 if message.took_ms >= 0 else None
        self.coordinator.release(
            message.queue,
            peer,
            message.id,
            message.server,
            seconds=took,
            failed=message.failed,
        )

    def on_cancel_acquire(self, peer: str, message: wire.CancelAcquire) -> None:
        """Forgets a slot request, and frees its slot if it has one by now."""
        self.coordinator.cancel(message.queue, peer, message.id)


def named(id: int) -> slotqueue.SlotRequest:
    """Returns a request that only names a slot request of this process."""
    return slotqueue.SlotRequest(
        id=id, requester="", rank=0, deadline=0.0, objective=0.0
    )
