"""Answers the slot requests of other routers."""

import math

from oleanderhoist import clock
from oleanderhoist import processids
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import wire
from oleanderhoist.policy import slotrequests

MAX_REPORTED_WAIT_SECONDS = 60.0  # Sent in place of an infinite wait.


class SlotServer:
    """Passes other routers' datagrams to the slot queues that this one hosts.

    Args:
        datagrams: Datagrams to the other routers.
        coordinator: The slot queues that this router coordinates.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams.DatagramEndpoint,
        coordinator: coordinator.Coordinator,
        clock: clock.Clock,
    ):
        self.datagrams = datagrams
        self.coordinator = coordinator
        self.clock = clock
        self.processes: dict[str, int] = {}
        datagrams.handlers[wire.AcquireSlot] = self.on_acquire_slot
        datagrams.handlers[wire.ReleaseSlot] = self.on_release_slot
        datagrams.handlers[wire.CancelAcquire] = self.on_cancel_acquire
        datagrams.handlers[wire.ServerLimit] = self.on_server_limit
        datagrams.handlers[wire.ServerSilent] = self.on_server_silent

    def on_acquire_slot(self, peer: str, message: wire.AcquireSlot) -> None:
        """Handles the slot request of another router.

        A repeated one that still waits keeps its place in the queue.
        """
        self.observe_process(peer, processids.process_of(message.id))
        self.coordinator.free_ended(peer, message.ended)
        if message.retransmitted:
            remaining = self.coordinator.remaining_wait(
                message.queue, peer, message.id
            )
            if remaining is not None:
                self.report_wait(peer, message.id, remaining)
                return
            self.coordinator.drop_earlier_copy(message.queue, peer, message.id)
        now = self.clock.monotonic()
        request = slotrequests.SlotRequest(
            id=message.id,
            requester=peer,
            rank=message.rank,
            deadline=now + message.remaining_ms / 1000,
            objective=now + message.objective_ms / 1000,
            data_center=message.data_center,
            body_bytes=message.body_bytes,
            excluded=frozenset(message.excluded),
            kind=message.kind,
            age=message.age_ms / 1000,
        )
        wait = self.coordinator.submit(
            message.queue,
            request,
            lambda verdict: self.reply(peer, message.queue, verdict),
        )
        if wait:
            self.report_wait(peer, message.id, wait)

    def observe_process(self, peer: str, process: int) -> None:
        """Drops the requests of an earlier process at a router's address."""
        known = self.processes.get(peer, process)
        self.processes[peer] = process
        if known != process:
            self.coordinator.drop_process(peer, known)

    def report_wait(self, peer: str, id: int, wait: float) -> None:
        """Tells a requester that its request waits, and for how long."""
        milliseconds = round(min(wait, MAX_REPORTED_WAIT_SECONDS) * 1000)
        self.datagrams.send(peer, wire.SlotQueued(id=id, wait_ms=milliseconds))

    def reply(
        self, peer: str, queue: str, verdict: slotrequests.Verdict
    ) -> None:
        """Sends a verdict to the requester."""
        id = verdict.request.id
        if isinstance(verdict, slotrequests.Granted):
            silent_ms = 0
            if math.isfinite(verdict.silent_after):
                silent_ms = round(verdict.silent_after * 1000)
            grant = wire.SlotGranted(
                id=id,
                server=verdict.server,
                service_ms=round(verdict.service_seconds * 1000),
                silent_ms=silent_ms,
                queue=queue,
            )
            self.datagrams.send(peer, grant)
        else:
            refusal = wire.SlotRefused(
                id=id,
                retry_ms=round(verdict.retry_after * 1000),
                wait_ms=round(
                    min(verdict.expected_wait, MAX_REPORTED_WAIT_SECONDS) * 1000
                ),
            )
            self.datagrams.send(peer, refusal)

    def on_release_slot(self, peer: str, message: wire.ReleaseSlot) -> None:
        """Handles the release of a slot."""
        seconds = message.took_ms / 1000 if message.took_ms >= 0 else None
        self.coordinator.release(
            message.queue,
            peer,
            message.id,
            message.server,
            seconds=seconds,
            failed=message.failed,
            unanswered=message.unanswered,
        )

    def on_cancel_acquire(self, peer: str, message: wire.CancelAcquire) -> None:
        """Drops a slot request, and frees its slot if it was granted one."""
        if message.started:
            self.coordinator.add_started(
                message.queue, peer, message.id, message.started
            )
        else:
            self.coordinator.cancel(message.queue, peer, message.id)

    def on_server_silent(self, peer: str, message: wire.ServerSilent) -> None:
        """Counts a request that a server left unanswered."""
        self.coordinator.record_silence(message.queue, message.server)

    def on_server_limit(self, peer: str, message: wire.ServerLimit) -> None:
        """Applies a limit that a server named to another router."""
        self.coordinator.limit(
            message.queue,
            message.server,
            message.started_ms,
            message.per_second,
        )
