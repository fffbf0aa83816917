"""Acquires slots of servers from the coordinators of slot queues."""

import asyncio

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import processids
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import pendingslots
from oleanderhoist.node import servernotices
from oleanderhoist.node import slotgrants
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coordination
from oleanderhoist.policy import endedslots
from oleanderhoist.policy import roundtrip
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests

REPLY_ATTEMPTS = 2  # About 1 % of datagrams are lost even without a fault.
SUSPECT_SECONDS = 1.0
WAIT_FACTOR = 2  # On the expected wait, before a coordinator is suspected.
WAIT_SLACK_SECONDS = 0.15
BYPASS_RETRY_SECONDS = 0.15
MOVES_PER_BATCH = 20
MOVE_INTERVAL_SECONDS = 0.01

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without asking a home"
)


class SlotClient:
    """Acquires and releases slots for the requests of this router.

    Attributes:
        ids: Ids of the slot requests of this process.
        pending: Slot requests without a verdict, by id.
        suspected_until: Until when coordinators are bypassed, by address.
        coordination: What determines the coordinators of the pending requests.
        slots_due: Until when requests may wait for a slot; set by a stop. The
            caller of `acquire` cancels it then.
        ended: Slots that ended, in case a release is lost.
        reply_times: How long coordinators' replies take to reach this router.
        notices: What servers say of themselves in their answers.
    """

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
        self.ids = processids.ProcessIds()
        self.pending: dict[int, pendingslots.PendingSlotRequest] = {}
        self.suspected_until: dict[str, float] = {}
        self.coordination: coordination.Basis | None = None
        self.reply_times = roundtrip.RoundTrip()
        self.ended = endedslots.EndedSlots()
        self.slots_due = deadline.SharedDeadline()
        self.notices = servernotices.ServerNotices(
            datagrams=datagrams,
            coordinator=coordinator,
            state=state,
            clock=clock,
        )
        state.snapshot_listeners.append(self.end_moved_waits)
        datagrams.handlers[wire.SlotQueued] = self.on_slot_queued
        datagrams.handlers[wire.SlotGranted] = self.on_slot_granted
        datagrams.handlers[wire.SlotRefused] = self.on_slot_refused

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Acquires a slot.

        A coordinator that does not reply is suspected for a while. The slot is
        then chosen locally, without knowledge of other routers' requests. When
        the coordinator changes, the request waits at the new one instead.

        Returns:
            The grant, or a refusal.
        """
        moved = False
        while not (moved and self.clock.monotonic() >= request.deadline):
            coordinator_address = self.state.snapshot.coordinator(queue)
            now = self.clock.monotonic()
            if (
                not coordinator_address
                or self.suspected_until.get(coordinator_address, 0.0) > now
            ):
                break
            result = await self.request_slot(
                coordinator_address, queue, request, retransmitted=moved
            )
            if result is not None:
                return result
            moved = True
        return self.bypass(queue, request)

    async def request_slot(
        self,
        coordinator_address: str,
        queue: str,
        request: slotrequests.SlotRequest,
        *,
        retransmitted: bool,
    ) -> slotgrants.SlotGrant | slotrequests.Refused | None:
        """Requests a slot from one coordinator.

        Args:
            coordinator_address: Address of the coordinator.
            queue: Slot queue of the slot.
            request: The slot request.
            retransmitted: Whether the coordinator may hold an earlier copy, if
                its cancellation was lost.

        Returns:
            The grant or a refusal; None if the coordinator has changed. The
            request is then cancelled there.
        """
        pending = pendingslots.PendingSlotRequest(
            request=request,
            queue=queue,
            coordinator=coordinator_address,
            started_at=self.clock.monotonic(),
            future=asyncio.get_running_loop().create_future(),
        )
        self.pending[request.id] = pending
        try:
            self.send(
                coordinator_address, queue, request, retransmitted=retransmitted
            )
            return await self.wait_for_verdict(
                coordinator_address, queue, request, pending
            )
        except asyncio.CancelledError:
            self.cancel(coordinator_address, queue, request.id)
            result = pendingslots.WaitResult.GONE
            if self.slots_due.passed:
                result = pendingslots.WaitResult.STOPPED
            pending.log_end(result, self.clock.monotonic())
            raise
        finally:
            self.pending.pop(request.id, None)

    def end_moved_waits(self, snapshot: cluster.Snapshot) -> None:
        """Ends the waits at routers that no longer coordinate the queue.

        They could last until the deadline: such a router has stopped, or does
        not learn of the slots that the new coordinator's requests use or free.
        The waits end in the order in which they began, so the requests reach
        the new coordinator in this order; and in batches, as it would lose
        datagrams of all at once. Other waits are not woken up.
        """
        if snapshot.coordination == self.coordination:
            return
        self.coordination = snapshot.coordination
        moved = [p for p in self.pending.values() if self.has_moved(p)]
        self.end_waits(moved[:MOVES_PER_BATCH])
        for start in range(MOVES_PER_BATCH, len(moved), MOVES_PER_BATCH):
            asyncio.get_running_loop().call_later(
                start / MOVES_PER_BATCH * MOVE_INTERVAL_SECONDS,
                self.end_waits,
                moved[start : start + MOVES_PER_BATCH],
            )

    def end_waits(self, batch: list[pendingslots.PendingSlotRequest]) -> None:
        """Ends the waits that are still at an earlier coordinator."""
        for pending in batch:
            if not pending.future.done() and self.has_moved(pending):
                pending.future.set_result(None)

    def has_moved(self, pending: pendingslots.PendingSlotRequest) -> bool:
        """Returns whether another router coordinates the queue by now."""
        address = self.state.snapshot.coordinator(pending.queue)
        return bool(address) and address != pending.coordinator

    def send(
        self,
        coordinator_address: str,
        queue: str,
        request: slotrequests.SlotRequest,
        *,
        retransmitted: bool = False,
    ) -> None:
        """Sends a slot request, or submits it locally."""
        if coordinator_address == self.datagrams.address:
            self.coordinator.submit(
                queue,
                request,
                lambda verdict: self.resolve(coordinator_address, verdict),
            )
            return
        now = self.clock.monotonic()
        self.ended.discard(coordinator_address, request.id)
        self.datagrams.send(
            coordinator_address,
            wire.AcquireSlot(
                queue=queue,
                id=request.id,
                rank=request.rank,
                remaining_ms=round((request.deadline - now) * 1000),
                objective_ms=round((request.objective - now) * 1000),
                data_center=request.data_center,
                body_bytes=request.body_bytes,
                excluded=list(request.excluded),
                retransmitted=retransmitted,
                ended=self.ended.name(coordinator_address, now),
                kind=request.kind,
                age_ms=round(request.age * 1000),
            ),
        )

    async def wait_for_reply(
        self, pending: pendingslots.PendingSlotRequest, *, asked: bool
    ) -> bool:
        """Waits for any reply of a coordinator; asks again without one.

        Args:
            pending: The slot request.
            asked: Whether it has just been sent.

        Returns:
            Whether there was one.
        """
        pending.expected_wait = None
        asked_at = self.clock.monotonic()
        for attempt in range(REPLY_ATTEMPTS):
            if attempt or not asked:
                self.send(
                    pending.coordinator,
                    pending.queue,
                    pending.request,
                    retransmitted=True,
                )
            timeout = self.reply_times.patience(
                pending.request.objective - asked_at
            )
            await asyncio.wait([pending.future], timeout=timeout)
            if pending.future.done() or pending.expected_wait is not None:
                # Which of several requests was replied to is not known.
                if not attempt and pending.replied_at is not None:
                    self.reply_times.record(pending.replied_at - asked_at)
                return True
        self.reply_times.record_loss()
        return False

    async def wait_in_queue(
        self, pending: pendingslots.PendingSlotRequest
    ) -> bool:
        """Waits for the verdict of a coordinator that replies.

        A wait that lasts longer than expected shows that an estimate was wrong;
        only a coordinator that no longer replies is not waited for.

        Returns:
            Whether it replied to the end.
        """
        asked = True
        while await self.wait_for_reply(pending, asked=asked):
            expected = pending.expected_wait or 0.0
            remaining = pending.request.deadline - self.clock.monotonic()
            limit = WAIT_FACTOR * expected + WAIT_SLACK_SECONDS
            if not pending.future.done() and remaining > 0:
                await asyncio.wait(
                    [pending.future], timeout=min(remaining, limit)
                )
            if pending.future.done() or remaining <= limit:
                return True
            asked = False
        return False

    async def wait_for_verdict(
        self,
        coordinator_address: str,
        queue: str,
        request: slotrequests.SlotRequest,
        pending: pendingslots.PendingSlotRequest,
    ) -> slotgrants.SlotGrant | slotrequests.Refused | None:
        """Waits for the verdict of a slot request.

        Returns:
            The grant or a refusal; None if the coordinator has changed.
        """
        future = pending.future
        replied = True
        if coordinator_address == self.datagrams.address:
            remaining = request.deadline - self.clock.monotonic()
            await asyncio.wait([future], timeout=max(0.0, remaining))
        else:
            replied = await self.wait_in_queue(pending)
        if not future.done():
            self.cancel(coordinator_address, queue, request.id)
            result = pendingslots.WaitResult.DEADLINE
            if not replied:
                self.suspect(coordinator_address, queue)
                result = pendingslots.WaitResult.SILENT
            pending.log_end(result, self.clock.monotonic())
            return self.bypass(queue, request)
        verdict = future.result()
        if verdict is None:
            self.cancel(coordinator_address, queue, request.id)
            pending.log_end(
                pendingslots.WaitResult.MOVED, self.clock.monotonic()
            )
            return None
        if isinstance(verdict, slotrequests.Refused):
            pending.log_end(
                pendingslots.WaitResult.REFUSED, self.clock.monotonic()
            )
            return verdict
        return slotgrants.to_grant(queue, coordinator_address, verdict)

    def suspect(self, coordinator_address: str, queue: str) -> None:
        """Bypasses a coordinator for a while, since it did not reply."""
        until = self.clock.monotonic() + SUSPECT_SECONDS
        if (
            self.suspected_until.get(coordinator_address, 0.0)
            < self.clock.monotonic()
        ):
            log.write(events.HOME_SILENT, home=coordinator_address, lane=queue)
        self.suspected_until[coordinator_address] = until

    def bypass(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant | slotrequests.Refused:
        """Chooses a server locally, without the coordinator."""
        BYPASSED.inc()
        verdict: slotrequests.Verdict | None = None

        def record(result: slotrequests.Verdict) -> None:
            nonlocal verdict
            verdict = result

        self.notices.apply_shares(queue)
        wait = self.coordinator.bypass(queue, request, record)
        if isinstance(verdict, slotrequests.Granted):
            self.tell_started(queue, request.id, verdict.server)
            return slotgrants.to_grant(queue, self.datagrams.address, verdict)
        self.coordinator.cancel(queue, request.requester, request.id)
        if isinstance(verdict, slotrequests.Refused):
            return verdict
        return slotrequests.Refused(
            request=request,
            retry_after=min(
                max(BYPASS_RETRY_SECONDS, wait), slotqueue.MAX_RETRY_SECONDS
            ),
        )

    def tell_started(self, queue: str, id: int, server: str) -> None:
        """Tells the coordinator of a request that does not wait for it.

        It may be late only, and would grant the slot to others.
        """
        address = self.state.snapshot.coordinator(queue)
        if address in ("", self.datagrams.address):
            return
        self.ended.discard(address, id)
        self.datagrams.send(
            address, wire.CancelAcquire(queue=queue, id=id, started=server)
        )

    def release(
        self,
        grant: slotgrants.SlotGrant,
        *,
        seconds: float | None,
        failed: bool,
        unanswered: bool = False,
    ) -> None:
        """Releases a slot.

        Args:
            grant: The slot's grant.
            seconds: Service time of the request; None when it does not
                indicate the server's speed.
            failed: Whether the server failed the request.
            unanswered: Whether nothing at its address answered.
        """
        if grant.coordinator == self.datagrams.address:
            self.coordinator.release(
                grant.queue,
                grant.coordinator,
                grant.id,
                grant.server,
                seconds=seconds,
                failed=failed,
                unanswered=unanswered,
            )
            return
        took_ms = -1.0 if seconds is None else round(seconds * 1000, 1)
        self.ended.add(grant.coordinator, grant.id, self.clock.monotonic())
        self.datagrams.send(
            grant.coordinator,
            wire.ReleaseSlot(
                queue=grant.queue,
                id=grant.id,
                server=grant.server,
                took_ms=took_ms,
                failed=failed,
                unanswered=unanswered,
            ),
        )

    def report_silence(self, grant: slotgrants.SlotGrant) -> None:
        """Tells the coordinator that a server leaves a request unanswered."""
        if grant.coordinator == self.datagrams.address:
            self.coordinator.record_silence(grant.queue, grant.server)
        else:
            self.datagrams.send(
                grant.coordinator,
                wire.ServerSilent(queue=grant.queue, server=grant.server),
            )

    def cancel(self, coordinator_address: str, queue: str, id: int) -> None:
        """Cancels a slot request."""
        if coordinator_address == self.datagrams.address:
            self.coordinator.cancel(queue, coordinator_address, id)
            return
        self.ended.add(coordinator_address, id, self.clock.monotonic())
        self.datagrams.send(
            coordinator_address, wire.CancelAcquire(queue=queue, id=id)
        )

    def resolve(
        self, coordinator_address: str, verdict: slotrequests.Verdict
    ) -> None:
        """Delivers a coordinator's verdict to the pending slot request.

        A grant for a request that has moved to another coordinator is late: the
        slot is given back.
        """
        id = verdict.request.id
        pending = self.pending.get(id)
        if pending is None:
            return
        if pending.coordinator != coordinator_address:
            if isinstance(verdict, slotrequests.Granted):
                self.cancel(coordinator_address, pending.queue, id)
        elif not pending.future.done():
            pending.replied_at = self.clock.monotonic()
            pending.future.set_result(verdict)

    def on_slot_queued(self, peer: str, message: wire.SlotQueued) -> None:
        """Records that a slot request is queued."""
        pending = self.pending.get(message.id)
        if pending is not None and pending.coordinator == peer:
            pending.expected_wait = message.wait_ms / 1000
            pending.replied_at = self.clock.monotonic()

    def on_slot_granted(self, peer: str, message: wire.SlotGranted) -> None:
        """Handles a slot grant.

        One for a request of an earlier process at this address is given back.
        """
        if message.id not in self.pending and not self.ids.owns(message.id):
            if message.queue:
                self.cancel(peer, message.queue, message.id)
            return
        self.resolve(peer, slotgrants.granted(message))

    def on_slot_refused(self, peer: str, message: wire.SlotRefused) -> None:
        """Handles the refusal of a slot request."""
        self.resolve(peer, slotgrants.refused(message))
