"""Grants slots of the servers that this entry coordinates."""

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

SWEEP_INTERVAL_SECONDS = 0.02
# A slot that is still held this long after the deadline is freed.
GRANT_GRACE_SECONDS = 1.0
RAMP_SECONDS_PER_SLOT = 0.5

QUEUE_DEPTH = prometheus_client.Gauge(
    "oleander_queue_depth", "Requests waiting for a slot here", ["rank"]
)
SLOTS_IN_USE = prometheus_client.Gauge(
    "oleander_slots_in_use", "Slots granted by this home"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requester:
    """Requester of a slot.

    Attributes:
        address: Peer address to send replies to.
        server: Id of the server that the slot belongs to.
    """

    address: str
    server: str


class Coordinator:
    """Queues slot requests and grants the slots of servers.

    Args:
        snapshot_store: Holds the current snapshot.
        renewer: Knows which servers are available.
        contracts: Active contracts, which determine the shares of the ranks.
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
        """Expires requests and applies snapshots until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Expires requests and removes those of lost entries and servers."""
        now = self.clock.monotonic()
        snapshot = self.snapshot_store.snapshot
        for id, dispatcher in list(self.dispatchers.items()):
            if snapshot.coordinators.get(id) != self.snapshot_store.own_id:
                self.redirect_waiting(id)
                continue
            for requester in {requester for requester, _ in dispatcher.running}:
                if requester not in snapshot.entries:
                    dispatcher.drop_requester(requester)
            for request_key, request in list(dispatcher.running.items()):
                if now > request.deadline + GRANT_GRACE_SECONDS:
                    dispatcher.release(*request_key, None)
            self.grant_slots(id)
        self.update_gauges()

    def update_gauges(self) -> None:
        """Updates the gauges."""
        dispatchers = self.dispatchers.values()
        for rank in dispatch.RANKS:
            waiting = sum(len(d.queues[rank]) for d in dispatchers)
            QUEUE_DEPTH.labels(str(rank)).set(waiting)
        SLOTS_IN_USE.set(sum(len(d.running) for d in dispatchers))

    def redirect_waiting(self, id: str) -> None:
        """Redirects a server's waiting requests to its new coordinator."""
        dispatcher = self.dispatchers.pop(id)
        for request in dispatcher.drain():
            self.send_final_reply(request, slotclient.MOVED, 0, 0)

    def dispatcher(self, server: topology.Server) -> dispatch.Dispatcher:
        """Returns a server's dispatcher, with updated slots and shares."""
        dispatcher = self.dispatchers.get(server.id)
        if dispatcher is None:
            dispatcher = dispatch.Dispatcher(
                policy=self.policy(), slots=server.slots, shares={}
            )
            self.dispatchers[server.id] = dispatcher
        dispatcher.slots = self.usable_slots(server)
        dispatcher.shares = self.rank_shares(server.pool)
        return dispatcher

    def usable_slots(self, server: topology.Server) -> int:
        """Returns the slots to use; they ramp up after a server returns."""
        renewal = self.renewer.renewals.get(server.id)
        if renewal is None:
            return server.slots
        up_seconds = self.clock.monotonic() - renewal.up_since
        return min(server.slots, 1 + int(up_seconds / RAMP_SECONDS_PER_SLOT))

    def rank_shares(self, pool: str) -> dict[int, float]:
        """Returns each rank's guaranteed share of a pool's slots.

        Shares are in proportion to the sum of worth times rate of the rank's
        work in all contracts.
        """
        weights = {rank: 0.0 for rank in dispatch.RANKS}
        for contract in self.contracts.by_credential.values():
            for work in contract.work:
                if work.pool == pool:
                    weights[work.rank] += work.worth * work.rate_per_second
        total = sum(weights.values())
        if total <= 0:
            return weights
        return {rank: weight / total for rank, weight in weights.items()}

    def acquire(self, sender: str, message: wire.Acquire) -> None:
        """Handles a slot request."""
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
        request_key = (request.requester, request.id)
        self.requesters[request_key] = Requester(
            address=sender, server=message.server
        )
        if (
            server is None
            or snapshot.coordinators.get(server.id)
            != self.snapshot_store.own_id
        ):
            self.send_final_reply(request, slotclient.MOVED, 0, 0)
            return
        if self.snapshot_store.is_stale():
            self.refuse(request, codes.NOT_READY, 0)
            return
        state = self.renewer.state(server.id)
        leaving = server.state is topology.ServerState.LEAVING
        if leaving or state in (renewer.LOST, renewer.LEAVING):
            self.refuse(request, codes.NO_SERVER, 0)
            return
        dispatcher = self.dispatcher(server)
        if message.started:
            self.record_started(request, dispatcher)
            return
        if not dispatcher.enqueue(request, now):
            self.refuse(request, codes.OVERLOADED, dispatcher.depth())
            return
        self.grant_slots(server.id)
        if (
            request_key not in dispatcher.running
            and request_key in self.requesters
        ):
            self.send_reply(request, slotclient.QUEUED, 0, dispatcher.depth())

    def record_started(
        self, request: dispatch.SlotRequest, dispatcher: dispatch.Dispatcher
    ) -> None:
        """Records a request that started before its slot was granted."""
        if dispatcher.add_running(request):
            self.send_reply(request, slotclient.BUSY, 0, dispatcher.depth())
        self.requesters.pop((request.requester, request.id), None)

    def release(self, message: wire.Release) -> None:
        """Handles the release of a slot."""
        self.requesters.pop((message.entry, message.request), None)
        dispatcher = self.dispatchers.get(message.server)
        if dispatcher is None:
            return
        service_seconds = (
            None if message.took_ms < 0 else message.took_ms / 1000
        )
        dispatcher.release(message.entry, message.request, service_seconds)
        self.grant_slots(message.server)

    def grant_slots(self, id: str) -> None:
        """Grants free slots and refuses requests that are too late."""
        dispatcher = self.dispatchers[id]
        server = self.snapshot_store.snapshot.servers.get(id)
        if server is not None:
            dispatcher.slots = self.usable_slots(server)
        started, late = dispatcher.fill_slots(self.clock.monotonic())
        for request in started:
            self.send_final_reply(
                request, slotclient.GRANTED, 0, dispatcher.depth()
            )
        for request in late:
            self.refuse(request, codes.TOO_LATE, dispatcher.depth())

    def refuse(
        self, request: dispatch.SlotRequest, code: codes.Code, depth: int
    ) -> None:
        """Refuses a request."""
        self.send_final_reply(request, slotclient.REFUSED, code.number, depth)

    def send_final_reply(
        self, request: dispatch.SlotRequest, state: str, code: int, depth: int
    ) -> None:
        """Sends the final reply to a request and forgets its requester."""
        self.send_reply(request, state, code, depth)
        self.requesters.pop((request.requester, request.id), None)

    def send_reply(
        self, request: dispatch.SlotRequest, state: str, code: int, depth: int
    ) -> None:
        """Sends a reply to a request."""
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
