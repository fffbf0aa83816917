"""Assembles the components of the entry program."""

import asyncio
import random

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import program
from oleanderhoist import settings
from oleanderhoist.clients import registration
from oleanderhoist.clients import table
from oleanderhoist.entry import claims
from oleanderhoist.entry import contracts
from oleanderhoist.entry import coordinator
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import frontend
from oleanderhoist.entry import ratelimiter
from oleanderhoist.entry import renewer
from oleanderhoist.entry import slotclient
from oleanderhoist.entry import snapshots
from oleanderhoist.http import server
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire

HELLO_INTERVAL_SECONDS = 0.1
LEADER_TIMEOUT_SECONDS = 0.3
MIN_DRAIN_SECONDS = 2.0
STOP_POLL_SECONDS = HELLO_INTERVAL_SECONDS / 2
# Part of the stop time in which requests may wait for a slot; the rest is for
# the servers' work.
SLOT_FRACTION = 0.5
# Part of the stop time, up to a limit, that is reserved for writing the last
# responses and closing connections; until then servers' responses are awaited.
EXIT_FRACTION = 0.2
MAX_EXIT_SECONDS = 1.0
PLACERS_POLL_SECONDS = 2.0


class Entry:
    """The entry program.

    Args:
        settings: Validated settings.
        clock: Time source.
        rng: Random number generator.
    """

    def __init__(
        self,
        *,
        settings: settings.EntrySettings,
        clock: clock.Clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.incarnation = round(clock.wall() * 1000)
        self.table = table.TableClient(address=settings.table)
        self.registration = registration.Registration(
            table=self.table, key=registration.ENTRIES_PREFIX + settings.id
        )
        self.transport = transport.Transport(
            listen=str(settings.peer_listen),
            advertise=settings.peer_advertise,
            receiver=self.receive,
        )
        self.snapshot_store = snapshots.SnapshotStore(
            own_id=settings.id, clock=clock
        )
        self.contracts = contracts.Contracts(
            table=self.table, snapshot_store=self.snapshot_store, clock=clock
        )
        self.lag = program.LoopLag(clock=clock)
        self.renewer = renewer.Renewer(
            snapshot_store=self.snapshot_store, clock=clock, lag=self.lag
        )
        self.coordinator = coordinator.Coordinator(
            snapshot_store=self.snapshot_store,
            renewer=self.renewer,
            contracts=self.contracts,
            transport=self.transport,
            clock=clock,
            policy=settings.dispatch,
        )
        self.slot_client = slotclient.SlotClient(
            own_id=settings.id,
            snapshot_store=self.snapshot_store,
            transport=self.transport,
            clock=clock,
            policy=settings.permits,
        )
        self.claims = claims.Claims(table=self.table, clock=clock)
        self.rate_limiter = ratelimiter.RateLimiter(
            snapshot_store=self.snapshot_store, clock=clock
        )
        self.forwarder = forwarder.Forwarder(
            snapshot_store=self.snapshot_store,
            slot_client=self.slot_client,
            claims=self.claims,
            clock=clock,
            policy=settings.choice,
            rng=rng,
        )
        self.frontend = frontend.Frontend(
            contracts=self.contracts,
            rate_limiter=self.rate_limiter,
            forwarder=self.forwarder,
            claims=self.claims,
            clock=clock,
        )
        self.server = server.Server(
            handler=self.frontend.handle,
            host=settings.listen.host,
            port=settings.listen.port,
        )
        self.health = program.HealthServer(
            address=settings.health_listen, unready_reason=self.unready_reason
        )
        self.placer_addresses: list[str] = []
        self.tasks: list[asyncio.Task] = []

    def unready_reason(self) -> str:
        """Returns why this entry is not ready; empty if it is ready."""
        if self.frontend.stopping:
            return "stopping"
        if not self.contracts.is_confirmed():
            return "the contracts are not confirmed"
        return ""

    def receive(self, sender: str, message: wire.Message) -> None:
        """Passes a peer's message to the component that handles it."""
        match message:
            case wire.Acquire():
                self.coordinator.acquire(sender, message)
            case wire.SlotReply():
                self.slot_client.receive(message)
            case wire.Release():
                self.coordinator.release(message)
            case wire.Delegation():
                if self.snapshot_store.accept_delegation(sender, message):
                    self.contracts.confirm(message)
                    self.send_status(sender, message)
            case wire.Snapshot():
                self.adopt_snapshot(message)
            case wire.RateAllocation(epoch=epoch) if (
                epoch >= self.snapshot_store.snapshot.epoch
            ):
                self.rate_limiter.receive(message)

    def adopt_snapshot(self, message: wire.Snapshot) -> None:
        """Adopts a snapshot and opens connections to its entries."""
        if not self.snapshot_store.adopt(message):
            return
        addresses = {
            e.address for e in self.snapshot_store.snapshot.entries.values()
        }
        for address in addresses - {self.transport.address}:
            self.transport.connect(address)
        known = set(self.placer_addresses) | {
            self.snapshot_store.leader_address
        }
        for address in set(self.transport.dealers) - addresses - known:
            self.transport.disconnect(address)
        servers = self.snapshot_store.snapshot.servers.values()
        listed = {(server.address, server.id) for server in servers}
        self.forwarder.sender.clients.retain(listed)
        self.renewer.clients.retain(listed)

    def send_status(self, sender: str, message: wire.Delegation) -> None:
        """Replies to a delegation with this entry's status."""
        status = wire.Status(
            entry=self.settings.id,
            epoch=self.snapshot_store.snapshot.epoch,
            sequence=message.sequence,
            revision=self.snapshot_store.snapshot.revision,
            contracts_revision=self.contracts.revision,
            confirmed=self.contracts.is_confirmed(),
            lag_ms=round(self.lag.seconds * 1000, 2),
            servers=self.renewer.reports(),
            demands=self.rate_limiter.measure_demands(),
            hot={},
            incarnation=self.incarnation,
        )
        self.transport.send(sender, status)

    async def send_hellos(self) -> None:
        """Announces this entry to the placers while no leader delegates to it.

        A stopping entry announces that it is leaving instead.
        """
        while True:
            leader_silent_seconds = (
                self.clock.monotonic() - self.snapshot_store.leader_heard_at
            )
            if self.frontend.stopping:
                self.broadcast(
                    wire.Goodbye(
                        entry=self.settings.id, incarnation=self.incarnation
                    )
                )
            elif leader_silent_seconds > LEADER_TIMEOUT_SECONDS:
                self.broadcast(
                    wire.Hello(
                        entry=self.settings.id,
                        incarnation=self.incarnation,
                        address=self.transport.address,
                        data_center=self.settings.data_center,
                        epoch=self.snapshot_store.snapshot.epoch,
                        revision=self.snapshot_store.snapshot.revision,
                    )
                )
            await asyncio.sleep(HELLO_INTERVAL_SECONDS)

    def broadcast(self, message: wire.Message) -> None:
        """Sends a message to every placer."""
        for address in self.placer_addresses:
            self.transport.send(address, message)

    async def discover_placers(self) -> None:
        """Keeps the addresses of the placers updated."""
        while True:
            try:
                records = await self.table.scan(registration.PLACERS_PREFIX)
                self.placer_addresses = [
                    record.value["address"] for record in records
                ]
                for address in self.placer_addresses:
                    self.transport.connect(address)
                await asyncio.sleep(
                    PLACERS_POLL_SECONDS if records else HELLO_INTERVAL_SECONDS
                )
            except table.TableError:
                await asyncio.sleep(HELLO_INTERVAL_SECONDS)

    async def register(self) -> None:
        """Keeps this entry registered in the table."""
        await self.registration.keep(
            {
                "id": self.settings.id,
                "incarnation": self.incarnation,
                "address": self.transport.address,
                "data_center": self.settings.data_center,
            }
        )

    async def start(self) -> None:
        """Opens the sockets and starts the tasks."""
        self.transport.start()
        await self.server.start()
        await self.health.server.start()
        for name, run in (
            ("registration", self.register),
            ("placers", self.discover_placers),
            ("hellos", self.send_hellos),
            ("contracts", self.contracts.run),
            ("leases", self.renewer.run),
            ("coordinator", self.coordinator.run),
            ("lag", self.lag.run),
        ):
            self.tasks.append(asyncio.create_task(program.supervise(name, run)))
        log.write(events.PROGRAM_STARTED, program="entry", id=self.settings.id)

    async def stop(self) -> None:
        """Stops gracefully.

        Fails readiness, announces that the entry is leaving and waits until no
        request is in flight and the leader has removed the entry from the
        snapshot, so that other entries coordinate its servers. The wait takes
        at least MIN_DRAIN_SECONDS, unless `stop_seconds` is shorter. Every
        request has its answer, and the stop ends, within `stop_seconds`.
        """
        stop_began = self.clock.monotonic()
        stop_end = stop_began + self.settings.stop_seconds
        answers_due = stop_end - exit_seconds(self.settings.stop_seconds)
        self.set_deadlines(answers_due)
        self.frontend.stopping = True
        self.registration.leaving = True
        while self.clock.monotonic() < answers_due:
            waited_seconds = self.clock.monotonic() - stop_began
            listed = self.settings.id in self.snapshot_store.snapshot.entries
            if waited_seconds > MIN_DRAIN_SECONDS and not (
                self.frontend.in_flight or listed
            ):
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        remaining_seconds = stop_end - self.clock.monotonic()
        await self.server.stop(max(0.0, remaining_seconds))
        remaining_seconds = stop_end - self.clock.monotonic()
        await self.claims.wait_for_cleanups(max(0.0, remaining_seconds))
        for task in self.tasks:
            task.cancel()
        await self.health.server.stop(0.0)
        self.transport.stop()

    def set_deadlines(self, answers_due: float) -> None:
        """Sets when the waits of all requests end.

        Args:
            answers_due: When every request gets its answer, in monotonic
                seconds.
        """
        now = self.clock.monotonic()
        loop_offset = asyncio.get_running_loop().time() - now
        slots_due = now + SLOT_FRACTION * self.settings.stop_seconds
        self.forwarder.slots_due.set(slots_due + loop_offset)
        self.frontend.answers_due.set(answers_due + loop_offset)

    async def run(self) -> None:
        """Runs until a stop signal."""
        await self.start()
        await program.wait_for_stop("entry")
        await self.stop()


def exit_seconds(stop_seconds: float) -> float:
    """Returns the end of the stop time in which no response is awaited.

    Args:
        stop_seconds: Longest graceful stop, in seconds.
    """
    return min(MAX_EXIT_SECONDS, EXIT_FRACTION * stop_seconds)
