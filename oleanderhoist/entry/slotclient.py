"""Asks servers' coordinators for slots."""

import asyncio
import dataclasses
import itertools

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.policy import choice
from oleanderhoist.policy import slotaccess

COORDINATOR_SECONDS = 0.08
SUSPECT_SECONDS = 0.5

GRANTED = "granted"
QUEUED = "queued"
TURNED = "turned"
MOVED = "moved"
BUSY = "busy"

BYPASSED = prometheus_client.Counter(
    "oleander_permits_bypassed", "Requests sent without a home's permit"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Turned:
    """A coordinator turned a request away before it was sent."""

    code: codes.Code


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """The right to send one request to a server now.

    Attributes:
        server: The server.
        request: Number under which it was asked for.
        coordinator: Address of the coordinator; empty when it was bypassed.
    """

    server: str
    request: int
    coordinator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """What is asked of a coordinator; times in seconds."""

    server: str
    rank: int
    worth: float
    expected: float


class SlotClient:
    """Keeps the requests that wait for a coordinator's answer.

    Args:
        own: Id of this entry.
        snapshot_store: The adopted snapshots.
        transport: Transport to peers.
        clock: Time source.
        policy: Registered name of the permit policy.
    """

    def __init__(
        self,
        *,
        own: str,
        snapshot_store: snapshots.SnapshotStore,
        transport: transport.Transport,
        clock: clock.Clock,
        policy: str,
    ):
        self.own = own
        self.policy = slotaccess.SLOT_ACCESS.get(policy)()
        self.busy_until: dict[str, float] = {}
        self.snapshot_store = snapshot_store
        self.transport = transport
        self.clock = clock
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Queue[wire.SlotReply]] = {}
        self.loads: dict[str, choice.Load] = {}
        self.suspected_until: dict[str, float] = {}

    def load(self, server: str, slots: int) -> choice.Load:
        """Returns what is known of a server's load."""
        if server not in self.loads:
            self.loads[server] = choice.Load()
        self.loads[server].slots = slots
        return self.loads[server]

    def coordinator(self, server: str) -> str:
        """Returns the address of a server's coordinator; empty without one."""
        snapshot = self.snapshot_store.snapshot
        entry = snapshot.entries.get(snapshot.coordinators.get(server, ""))
        return entry.address if entry else ""

    async def acquire(
        self, slot_request: SlotRequest, deadline: float
    ) -> SlotGrant | Turned:
        """Asks for a slot until it is granted or turned away.

        A coordinator that stays silent is passed by: slots serve efficiency,
        not safety.

        Args:
            slot_request: What is asked for.
            deadline: Monotonic seconds.
        """
        number = next(self.numbers)
        if not self.policy.uses_coordinator():
            return SlotGrant(
                server=slot_request.server, request=number, coordinator=""
            )
        busy_until = self.busy_until.get(slot_request.server, 0.0)
        now = self.clock.monotonic()
        stale = self.snapshot_store.is_stale()
        if not stale and self.policy.starts_before_grant(
            slot_request.rank, busy_until, now
        ):
            return self.start(number, slot_request, deadline - now)
        self.waiting[number] = asyncio.Queue()
        try:
            while True:
                answer = await self.ask(number, slot_request, deadline)
                if answer is not None:
                    return answer
        finally:
            del self.waiting[number]

    async def ask(
        self, number: int, slot_request: SlotRequest, deadline: float
    ) -> SlotGrant | Turned | None:
        """Asks the present coordinator once; None when it has changed."""
        coordinator = self.coordinator(slot_request.server)
        now = self.clock.monotonic()
        suspected = self.suspected_until.get(coordinator, 0.0) > now
        if not coordinator or suspected:
            return self.bypass(
                number, slot_request, "suspected" if coordinator else "none"
            )
        remaining = deadline - now
        if remaining <= 0:
            return Turned(code=codes.TOO_LATE)
        message = self.question(number, slot_request, remaining, started=False)
        if not self.transport.send(coordinator, message):
            self.suspected_until[coordinator] = now + SUSPECT_SECONDS
            return self.bypass(number, slot_request, "unsent")
        return await self.follow(number, slot_request, coordinator, deadline)

    def question(
        self,
        number: int,
        slot_request: SlotRequest,
        remaining: float,
        *,
        started: bool,
    ) -> wire.Acquire:
        """Returns the message that asks for a slot or tells of one taken."""
        return wire.Acquire(
            entry=self.own,
            request=number,
            server=slot_request.server,
            rank=slot_request.rank,
            worth=slot_request.worth,
            remaining_ms=remaining * 1000,
            expected_ms=slot_request.expected * 1000,
            started=started,
        )

    def start(
        self, number: int, slot_request: SlotRequest, remaining: float
    ) -> SlotGrant:
        """Takes a slot and lets the coordinator know."""
        coordinator = self.coordinator(slot_request.server)
        if coordinator:
            message = self.question(
                number, slot_request, remaining, started=True
            )
            self.transport.send(coordinator, message)
        return SlotGrant(
            server=slot_request.server, request=number, coordinator=coordinator
        )

    async def follow(
        self,
        number: int,
        slot_request: SlotRequest,
        coordinator: str,
        deadline: float,
    ) -> SlotGrant | Turned | None:
        """Waits for the coordinator's answers to one question."""
        wait = COORDINATOR_SECONDS
        queue = self.waiting[number]
        try:
            while True:
                answer = await self.next(
                    queue, wait, coordinator, slot_request.server
                )
                if answer is None:
                    if self.coordinator(slot_request.server) != coordinator:
                        return None
                    self.suspected_until[coordinator] = (
                        self.clock.monotonic() + SUSPECT_SECONDS
                    )
                    return self.bypass(number, slot_request, "silent")
                self.note(answer)
                if answer.state == GRANTED:
                    return SlotGrant(
                        server=slot_request.server,
                        request=number,
                        coordinator=coordinator,
                    )
                if answer.state == TURNED:
                    return Turned(code=codes.REGISTRY[answer.code])
                if answer.state == MOVED:
                    await self.snapshot_store.wait_for_change(
                        COORDINATOR_SECONDS
                    )
                    return None
                wait = max(0.0, deadline - self.clock.monotonic()) + 0.05
        except asyncio.CancelledError:
            self.give_back(slot_request.server, number, coordinator, None)
            raise

    async def next(
        self,
        queue: asyncio.Queue[wire.SlotReply],
        wait: float,
        coordinator: str,
        server: str,
    ) -> wire.SlotReply | None:
        """Returns the next answer, or None on silence or a new coordinator."""
        end = self.clock.monotonic() + wait
        while True:
            remaining = min(COORDINATOR_SECONDS, end - self.clock.monotonic())
            if remaining <= 0 or self.coordinator(server) != coordinator:
                return None
            try:
                return await asyncio.wait_for(queue.get(), remaining)
            except TimeoutError:
                continue

    def bypass(
        self, number: int, slot_request: SlotRequest, reason: str
    ) -> SlotGrant | Turned:
        """Goes without a permit, unless the view itself is in doubt.

        An entry that hears neither the leader nor the coordinator may have
        missed that the server is leaving.
        """
        if self.snapshot_store.is_stale():
            return Turned(code=codes.NOT_READY)
        BYPASSED.inc()
        log.write(
            events.PERMIT_BYPASSED, server=slot_request.server, reason=reason
        )
        return SlotGrant(
            server=slot_request.server, request=number, coordinator=""
        )

    def note(self, answer: wire.SlotReply) -> None:
        """Takes in a coordinator's word on a server's load."""
        load = self.loads.get(answer.server)
        if answer.state in (BUSY, QUEUED, TURNED):
            busy_until = self.clock.monotonic() + slotaccess.BUSY_SECONDS
            self.busy_until[answer.server] = busy_until
        if load is not None:
            load.depth = answer.depth
            load.heard_at = self.clock.monotonic()

    def receive(self, message: wire.SlotReply) -> None:
        """Hands an answer to the request that waits, or gives it back."""
        if message.state == BUSY:
            self.note(message)
            return
        queue = self.waiting.get(message.request)
        if queue is not None:
            queue.put_nowait(message)
        elif message.state == GRANTED:
            coordinator = self.coordinator(message.server)
            self.give_back(message.server, message.request, coordinator, None)

    def release(self, grant: SlotGrant, took: float | None) -> None:
        """Gives a slot back; `took` is seconds at the server, if known."""
        self.give_back(grant.server, grant.request, grant.coordinator, took)

    def give_back(
        self, server: str, number: int, coordinator: str, took: float | None
    ) -> None:
        """Tells a coordinator that a slot is free."""
        if not coordinator:
            return
        message = wire.Release(
            entry=self.own,
            request=number,
            server=server,
            took_ms=-1.0 if took is None else took * 1000,
        )
        self.transport.send(coordinator, message)
