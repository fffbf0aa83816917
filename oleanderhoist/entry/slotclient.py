"""Acquires slots from the coordinators of servers."""

import asyncio
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import processids
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.policy import choice
from oleanderhoist.policy import slotaccess

COORDINATOR_TIMEOUT_SECONDS = 0.08
# Time after the deadline in which the refusal of a queued request may arrive.
LATE_REPLY_SECONDS = 0.05
SUSPECT_COORDINATOR_SECONDS = 0.5

# States of a slot reply.
GRANTED = "granted"
QUEUED = "queued"
REFUSED = "turned"
MOVED = "moved"
BUSY = "busy"

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without a home's permit"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """Refusal of a slot request; nothing was sent to the server.

    Attributes:
        code: Result code that states the reason.
    """

    code: codes.Code


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """The right to send one request to a server now.

    Attributes:
        server: Id of the server.
        request_id: Id of the slot request.
        coordinator: Address of the coordinator to release the slot to; empty
            if there is none.
    """

    server: str
    request_id: int
    coordinator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """A request for a slot of a server.

    Attributes:
        server: Id of the server.
        rank: Rank of the work.
        worth: Worth of the work by contract.
        expected_seconds: Time by contract that the request holds the slot.
    """

    server: str
    rank: int
    worth: float
    expected_seconds: float


class SlotClient:
    """Sends slot requests to coordinators and handles their replies.

    Args:
        own_id: Id of this entry.
        snapshot_store: Holds the current snapshot.
        transport: Transport to peers.
        clock: Time source.
        policy: Registered name of the slot access policy.
    """

    def __init__(
        self,
        *,
        own_id: str,
        snapshot_store: snapshots.SnapshotStore,
        transport: transport.Transport,
        clock: clock.Clock,
        policy: str,
    ):
        self.own_id = own_id
        self.policy = slotaccess.SLOT_ACCESS.get(policy)()
        self.busy_until: dict[str, float] = {}
        self.snapshot_store = snapshot_store
        self.transport = transport
        self.clock = clock
        self.request_ids = processids.ProcessIds()
        self.pending_replies: dict[int, asyncio.Queue[wire.SlotReply]] = {}
        self.loads: dict[str, choice.Load] = {}
        self.suspected_until: dict[str, float] = {}

    def load(self, server: str, slots: int) -> choice.Load:
        """Returns the known load of a server, with its slots updated."""
        if server not in self.loads:
            self.loads[server] = choice.Load()
        self.loads[server].slots = slots
        return self.loads[server]

    def coordinator_of(self, server: str) -> str:
        """Returns the address of a server's coordinator; empty if unknown."""
        snapshot = self.snapshot_store.snapshot
        entry = snapshot.entries.get(snapshot.coordinators.get(server, ""))
        return entry.address if entry else ""

    async def acquire(
        self, slot_request: SlotRequest, deadline: float
    ) -> SlotGrant | SlotRefusal:
        """Requests a slot until it is granted or refused.

        A coordinator that does not reply is bypassed, because slots serve
        efficiency, not safety.

        Args:
            slot_request: The requested slot.
            deadline: Deadline of the request in monotonic seconds.
        """
        request_id = self.request_ids.next()
        if not self.policy.uses_coordinator():
            return SlotGrant(
                server=slot_request.server,
                request_id=request_id,
                coordinator="",
            )
        busy_until = self.busy_until.get(slot_request.server, 0.0)
        now = self.clock.monotonic()
        stale = self.snapshot_store.is_stale()
        if not stale and self.policy.starts_before_grant(
            slot_request.rank, busy_until, now
        ):
            return self.start_before_grant(
                request_id, slot_request, deadline - now
            )
        self.pending_replies[request_id] = asyncio.Queue()
        try:
            while True:
                reply = await self.request_slot(
                    request_id, slot_request, deadline
                )
                if reply is not None:
                    return reply
        finally:
            del self.pending_replies[request_id]

    async def request_slot(
        self, request_id: int, slot_request: SlotRequest, deadline: float
    ) -> SlotGrant | SlotRefusal | None:
        """Requests a slot from the current coordinator, once.

        Returns:
            The grant or refusal; None if the coordinator has changed.
        """
        coordinator = self.coordinator_of(slot_request.server)
        now = self.clock.monotonic()
        suspected = self.suspected_until.get(coordinator, 0.0) > now
        if not coordinator or suspected:
            return self.bypass_coordinator(
                request_id, slot_request, "suspected" if coordinator else "none"
            )
        remaining = deadline - now
        if remaining <= 0:
            return SlotRefusal(code=codes.TOO_LATE)
        message = self.acquire_message(
            request_id, slot_request, remaining, started=False
        )
        if not self.transport.send(coordinator, message):
            self.suspected_until[coordinator] = (
                now + SUSPECT_COORDINATOR_SECONDS
            )
            return self.bypass_coordinator(request_id, slot_request, "unsent")
        return await self.await_grant(
            request_id, slot_request, coordinator, deadline
        )

    def acquire_message(
        self,
        request_id: int,
        slot_request: SlotRequest,
        remaining: float,
        *,
        started: bool,
    ) -> wire.Acquire:
        """Returns the message that requests a slot or reports one taken."""
        return wire.Acquire(
            entry=self.own_id,
            request=request_id,
            server=slot_request.server,
            rank=slot_request.rank,
            worth=slot_request.worth,
            remaining_ms=remaining * 1000,
            expected_ms=slot_request.expected_seconds * 1000,
            started=started,
        )

    def start_before_grant(
        self, request_id: int, slot_request: SlotRequest, remaining: float
    ) -> SlotGrant:
        """Takes a slot without asking, and reports it to the coordinator."""
        coordinator = self.coordinator_of(slot_request.server)
        if coordinator:
            message = self.acquire_message(
                request_id, slot_request, remaining, started=True
            )
            self.transport.send(coordinator, message)
        return SlotGrant(
            server=slot_request.server,
            request_id=request_id,
            coordinator=coordinator,
        )

    async def await_grant(
        self,
        request_id: int,
        slot_request: SlotRequest,
        coordinator: str,
        deadline: float,
    ) -> SlotGrant | SlotRefusal | None:
        """Waits for the coordinator's replies to one slot request.

        Returns:
            The grant or refusal; None if the coordinator has changed.
        """
        wait = COORDINATOR_TIMEOUT_SECONDS
        queue = self.pending_replies[request_id]
        try:
            while True:
                reply = await self.next_reply(
                    queue, wait, coordinator, slot_request.server
                )
                if reply is None:
                    if self.coordinator_of(slot_request.server) != coordinator:
                        return None
                    self.suspected_until[coordinator] = (
                        self.clock.monotonic() + SUSPECT_COORDINATOR_SECONDS
                    )
                    return self.bypass_coordinator(
                        request_id, slot_request, "silent"
                    )
                self.record_load(reply)
                if reply.state == GRANTED:
                    return SlotGrant(
                        server=slot_request.server,
                        request_id=request_id,
                        coordinator=coordinator,
                    )
                if reply.state == REFUSED:
                    return SlotRefusal(code=codes.REGISTRY[reply.code])
                if reply.state == MOVED:
                    await self.snapshot_store.wait_for_change(
                        COORDINATOR_TIMEOUT_SECONDS
                    )
                    return None
                wait = (
                    max(0.0, deadline - self.clock.monotonic())
                    + LATE_REPLY_SECONDS
                )
        except asyncio.CancelledError:
            self.send_release(
                slot_request.server, request_id, coordinator, None
            )
            raise

    async def next_reply(
        self,
        queue: asyncio.Queue[wire.SlotReply],
        wait: float,
        coordinator: str,
        server: str,
    ) -> wire.SlotReply | None:
        """Returns the next reply; None on timeout or coordinator change."""
        end = self.clock.monotonic() + wait
        while True:
            remaining = min(
                COORDINATOR_TIMEOUT_SECONDS, end - self.clock.monotonic()
            )
            if remaining <= 0 or self.coordinator_of(server) != coordinator:
                return None
            try:
                return await asyncio.wait_for(queue.get(), remaining)
            except TimeoutError:
                continue

    def bypass_coordinator(
        self, request_id: int, slot_request: SlotRequest, reason: str
    ) -> SlotGrant | SlotRefusal:
        """Proceeds without the coordinator unless the snapshot is stale.

        An entry that hears from neither the leader nor the coordinator may
        not know that the server is leaving.
        """
        if self.snapshot_store.is_stale():
            return SlotRefusal(code=codes.NOT_READY)
        BYPASSED.inc()
        log.write(
            events.PERMIT_BYPASSED, server=slot_request.server, reason=reason
        )
        return SlotGrant(
            server=slot_request.server, request_id=request_id, coordinator=""
        )

    def record_load(self, reply: wire.SlotReply) -> None:
        """Records the load of a server that a coordinator reports."""
        load = self.loads.get(reply.server)
        if reply.state in (BUSY, QUEUED, REFUSED):
            busy_until = self.clock.monotonic() + slotaccess.BUSY_SECONDS
            self.busy_until[reply.server] = busy_until
        if load is not None:
            load.depth = reply.depth
            load.heard_at = self.clock.monotonic()

    def receive(self, message: wire.SlotReply) -> None:
        """Passes a reply to its request; releases a slot nobody waits for."""
        if message.state == BUSY:
            self.record_load(message)
            return
        queue = self.pending_replies.get(message.request)
        if queue is not None:
            queue.put_nowait(message)
        elif message.state == GRANTED:
            coordinator = self.coordinator_of(message.server)
            self.send_release(
                message.server, message.request, coordinator, None
            )

    def release(self, grant: SlotGrant, service_seconds: float | None) -> None:
        """Releases a slot.

        Args:
            grant: The grant of the slot.
            service_seconds: Time the server took; None if unknown.
        """
        self.send_release(
            grant.server, grant.request_id, grant.coordinator, service_seconds
        )

    def send_release(
        self,
        server: str,
        request_id: int,
        coordinator: str,
        service_seconds: float | None,
    ) -> None:
        """Reports to a coordinator that a slot is free."""
        if not coordinator:
            return
        message = wire.Release(
            entry=self.own_id,
            request=request_id,
            server=server,
            took_ms=-1.0 if service_seconds is None else service_seconds * 1000,
        )
        self.transport.send(coordinator, message)
