"""The coordinator's side: slots and queues of the servers homed here."""

import asyncio
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import codes
from oleanderhoist.entry import contracts
from oleanderhoist.entry import renewer
from oleanderhoist.entry import slotclient
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.policy import dispatch
from oleanderhoist.policy import topology

SWEEP_SECONDS = 0.02
GRANT_GRACE_SECONDS = 1.0
RAMP_SECONDS = 0.5

QUEUED = prometheus_client.Gauge(
    "oleander_queue_depth", "Requests waiting for a slot here", ["rank"]
)
RUNNING = prometheus_client.Gauge(
    "oleander_slots_in_use", "Slots granted by this home"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requester:
    """Where the answer for a request goes."""

    address: str
    server: str


class Coordinator:
    """Grants slots of the servers whose coordinator this entry is.

    Args:
        snapshot_store: The adopted snapshots.
        renewer: Tells which servers answer.
        contracts: Contracts in force, for the ranks' shares.
        transport: Transport to peers.
        clock: Time source.
        policy: Registered name of the dispatch policy.
    """

    def __init__(
        self,
        *,
        snapshot_store: snapshots.SnapshotStore,
        renewer: renewer.Renewer,
        contracts: contracts.Contracts,
        transport: transport.Transport,
        clock: clock.Clock,
        policy: str,
    ):
        self.snapshot_store = snapshot_store
        self.renewer = renewer
        self.contracts = contracts
        self.transport = transport
        self.clock = clock
        self.policy = dispatch.DISPATCHES.get(policy)
        self.dispatchers: dict[str, dispatch.Dispatcher] = {}
        self.requesters: dict[tuple[str, int], Requester] = {}

    async def run(self) -> None:
        """Expires requests and follows views until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Turns late requests away and forgets what is gone."""
        now = self.clock.monotonic()
        snapshot = self.snapshot_store.snapshot
        for id, dispatcher in list(self.dispatchers.items()):
            if snapshot.coordinators.get(id) != self.snapshot_store.own:
                self.hand_over(id)
                continue
            for holder in {holder for holder, _ in dispatcher.running}:
                if holder not in snapshot.entries:
                    dispatcher.drop_requester(holder)
            for key, request in list(dispatcher.running.items()):
                if now > request.deadline + GRANT_GRACE_SECONDS:
                    dispatcher.release(*key, None)
            self.pump(id)
        self.measure()

    def measure(self) -> None:
        """Updates the gauges."""
        everything = self.dispatchers.values()
        for rank in dispatch.RANKS:
            waiting = sum(len(d.queues[rank]) for d in everything)
            QUEUED.labels(str(rank)).set(waiting)
        RUNNING.set(sum(len(d.running) for d in everything))

    def hand_over(self, id: str) -> None:
        """Sends a server's waiting requests to its new coordinator."""
        dispatcher = self.dispatchers.pop(id)
        for request in dispatcher.drain():
            self.answer(request, slotclient.MOVED, 0, 0)

    def dispatcher(self, server: topology.Server) -> dispatch.Dispatcher:
        """Returns a server's dispatcher, with its slots brought up to date."""
        found = self.dispatchers.get(server.id)
        if found is None:
            found = dispatch.Dispatcher(
                policy=self.policy(), slots=server.slots, shares={}
            )
            self.dispatchers[server.id] = found
        found.slots = self.usable_slots(server)
        found.shares = self.shares(server.pool)
        return found

    def usable_slots(self, server: topology.Server) -> int:
        """Returns the slots to use; a server that came back ramps up."""
        watch = self.renewer.watches.get(server.id)
        if watch is None:
            return server.slots
        up = self.clock.monotonic() - watch.up_since
        return min(server.slots, 1 + int(up / RAMP_SECONDS))

    def shares(self, pool: str) -> dict[int, float]:
        """Returns each rank's least part of a pool, from worth and rate."""
        weights = {rank: 0.0 for rank in dispatch.RANKS}
        for known in self.contracts.by_credential.values():
            for work in known.work:
                if work.pool == pool:
                    weights[work.rank] += work.worth * work.rate_per_second
        total = sum(weights.values())
        if total <= 0:
            return weights
        return {rank: weight / total for rank, weight in weights.items()}

    def acquire(self, sender: str, message: wire.Acquire) -> None:
        """Takes in a request for a slot."""
        now = self.clock.monotonic()
        snapshot = self.snapshot_store.snapshot
        server = snapshot.servers.get(message.server)
        request = dispatch.SlotRequest(
            id=message.request,
            rank=message.rank,
            deadline=now + message.remaining_ms / 1000,
            queued_at=now,
            worth=message.worth,
            requester=message.entry,
            expected_seconds=message.expected_ms / 1000,
        )
        key = (request.requester, request.id)
        self.requesters[key] = Requester(address=sender, server=message.server)
        if (
            server is None
            or snapshot.coordinators.get(server.id) != self.snapshot_store.own
        ):
            self.answer(request, slotclient.MOVED, 0, 0)
            return
        if self.snapshot_store.is_stale():
            self.turn(request, codes.NOT_READY, 0)
            return
        state = self.renewer.state(server.id)
        leaving = server.state is topology.ServerState.LEAVING
        if leaving or state in (renewer.LOST, renewer.LEAVING):
            self.turn(request, codes.NO_SERVER, 0)
            return
        dispatcher = self.dispatcher(server)
        if message.started:
            self.note_started(request, dispatcher)
            return
        if not dispatcher.enqueue(request, now):
            self.turn(request, codes.OVERLOADED, dispatcher.depth())
            return
        self.pump(server.id)
        if key not in dispatcher.running and key in self.requesters:
            self.send(request, slotclient.QUEUED, 0, dispatcher.depth())

    def note_started(
        self, request: dispatch.SlotRequest, dispatcher: dispatch.Dispatcher
    ) -> None:
        """Counts a request that started before it asked."""
        if dispatcher.add_running(request):
            self.send(request, slotclient.BUSY, 0, dispatcher.depth())
        self.requesters.pop((request.requester, request.id), None)

    def release(self, message: wire.Release) -> None:
        """Takes a slot back."""
        self.requesters.pop((message.entry, message.request), None)
        dispatcher = self.dispatchers.get(message.server)
        if dispatcher is None:
            return
        took = None if message.took_ms < 0 else message.took_ms / 1000
        dispatcher.release(message.entry, message.request, took)
        self.pump(message.server)

    def pump(self, id: str) -> None:
        """Grants free slots and turns late requests away."""
        dispatcher = self.dispatchers[id]
        server = self.snapshot_store.snapshot.servers.get(id)
        if server is not None:
            dispatcher.slots = self.usable_slots(server)
        started, late = dispatcher.fill_slots(self.clock.monotonic())
        for request in started:
            self.answer(request, slotclient.GRANTED, 0, dispatcher.depth())
        for request in late:
            self.turn(request, codes.TOO_LATE, dispatcher.depth())

    def turn(
        self, request: dispatch.SlotRequest, code: codes.Code, depth: int
    ) -> None:
        """Turns a request away."""
        self.answer(request, slotclient.TURNED, code.number, depth)

    def answer(
        self, request: dispatch.SlotRequest, state: str, code: int, depth: int
    ) -> None:
        """Sends the last answer for a request."""
        self.send(request, state, code, depth)
        self.requesters.pop((request.requester, request.id), None)

    def send(
        self, request: dispatch.SlotRequest, state: str, code: int, depth: int
    ) -> None:
        """Sends one answer for a request."""
        requester = self.requesters.get((request.requester, request.id))
        if requester is None:
            return
        message = wire.SlotReply(
            request=request.id,
            server=requester.server,
            state=state,
            code=code,
            depth=depth,
        )
        self.transport.send(requester.address, message)
