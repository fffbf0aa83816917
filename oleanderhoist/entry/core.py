"""The entry program, put together."""

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

HELLO_SECONDS = 0.1
SILENCE_SECONDS = 0.3
LINGER_SECONDS = 2.0
PLACERS_SECONDS = 2.0


class Entry:
    """One entry.

    Args:
        settings: Checked settings.
        clock: Time source.
        rng: Source of chance.
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
        self.membership = registration.Registration(
            table=self.table, key=registration.ENTRIES_PREFIX + settings.id
        )
        self.transport = transport.Transport(
            listen=str(settings.peer_listen),
            advertise=settings.peer_advertise,
            receiver=self.receive,
        )
        self.snapshot_store = snapshots.SnapshotStore(
            own=settings.id, clock=clock
        )
        self.contracts = contracts.Contracts(
            table=self.table, snapshot_store=self.snapshot_store, clock=clock
        )
        self.lag = program.LoopLag(clock=clock)
        self.renewer = renewer.Renewer(
            snapshot_store=self.snapshot_store, clock=clock, lag=self.lag
        )
        self.slots = coordinator.Coordinator(
            snapshot_store=self.snapshot_store,
            renewer=self.renewer,
            contracts=self.contracts,
            transport=self.transport,
            clock=clock,
            policy=settings.dispatch,
        )
        self.slot_client = slotclient.SlotClient(
            own=settings.id,
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
            address=settings.health_listen, unready_reason=self.not_ready
        )
        self.placers: list[str] = []
        self.tasks: list[asyncio.Task] = []

    def not_ready(self) -> str:
        """Returns why this entry is not ready, or an empty text."""
        if self.frontend.stopping:
            return "stopping"
        if not self.contracts.is_confirmed():
            return "the contracts are not confirmed"
        return ""

    def receive(self, sender: str, message: wire.Message) -> None:
        """Routes a peer's message."""
        match message:
            case wire.Acquire():
                self.slots.acquire(sender, message)
            case wire.SlotReply():
                self.slot_client.receive(message)
            case wire.Release():
                self.slots.release(message)
            case wire.Delegation():
                if self.snapshot_store.accept_delegation(sender, message):
                    self.contracts.confirm(message)
                    self.report(sender, message)
            case wire.Snapshot():
                self.adopt(message)
            case wire.RateAllocation(epoch=epoch) if (
                epoch >= self.snapshot_store.snapshot.epoch
            ):
                self.rate_limiter.receive(message)

    def adopt(self, message: wire.Snapshot) -> None:
        """Adopts a view and opens links to its entries."""
        if not self.snapshot_store.adopt(message):
            return
        addresses = {
            e.address for e in self.snapshot_store.snapshot.entries.values()
        }
        for address in addresses - {self.transport.address}:
            self.transport.connect(address)
        known = set(self.placers) | {self.snapshot_store.leader_address}
        for address in set(self.transport.dealers) - addresses - known:
            self.transport.forget(address)

    def report(self, sender: str, message: wire.Delegation) -> None:
        """Answers a delegation with this entry's state."""
        status = wire.Status(
            entry=self.settings.id,
            epoch=self.snapshot_store.snapshot.epoch,
            sequence=message.sequence,
            revision=self.snapshot_store.snapshot.revision,
            contracts_revision=self.contracts.revision,
            confirmed=self.contracts.is_confirmed(),
            lag_ms=round(self.lag.seconds * 1000, 2),
            servers=self.renewer.reports(),
            demands=self.rate_limiter.count(),
            hot={},
        )
        self.transport.send(sender, status)

    async def greet(self) -> None:
        """Tells the placers of this entry while no leader lends to it."""
        while True:
            silent = self.clock.monotonic() - self.snapshot_store.heard_at
            if self.frontend.stopping:
                self.tell(
                    wire.Goodbye(
                        entry=self.settings.id, incarnation=self.incarnation
                    )
                )
            elif silent > SILENCE_SECONDS:
                self.tell(
                    wire.Hello(
                        entry=self.settings.id,
                        incarnation=self.incarnation,
                        address=self.transport.address,
                        data_center=self.settings.data_center,
                        epoch=self.snapshot_store.snapshot.epoch,
                        revision=self.snapshot_store.snapshot.revision,
                    )
                )
            await asyncio.sleep(HELLO_SECONDS)

    def tell(self, message: wire.Message) -> None:
        """Sends a message to every placer."""
        for address in self.placers:
            self.transport.send(address, message)

    async def follow_placers(self) -> None:
        """Keeps the placers' addresses up to date."""
        while True:
            try:
                found = await self.table.scan(registration.PLACERS_PREFIX)
                self.placers = [record.value["address"] for record in found]
                for address in self.placers:
                    self.transport.connect(address)
                await asyncio.sleep(PLACERS_SECONDS if found else HELLO_SECONDS)
            except table.TableError:
                await asyncio.sleep(HELLO_SECONDS)

    async def register(self) -> None:
        """Keeps this entry's record in the table."""
        await self.membership.keep(
            {
                "id": self.settings.id,
                "incarnation": self.incarnation,
                "address": self.transport.address,
                "data_center": self.settings.data_center,
            }
        )

    async def start(self) -> None:
        """Opens all sockets and starts all tasks."""
        self.transport.start()
        await self.server.start()
        await self.health.server.start()
        for loop in (
            self.register,
            self.follow_placers,
            self.greet,
            self.contracts.run,
            self.renewer.run,
            self.slots.run,
            self.lag.run,
        ):
            self.tasks.append(asyncio.create_task(loop()))
        log.write(events.PROGRAM_STARTED, program="entry", id=self.settings.id)

    async def stop(self) -> None:
        """Fails readiness, ends all work in flight, hands its servers over."""
        self.frontend.stopping = True
        self.membership.leaving = True
        began = self.clock.monotonic()
        while self.clock.monotonic() < began + self.settings.stop_seconds:
            waited = self.clock.monotonic() - began
            listed = self.settings.id in self.snapshot_store.snapshot.entries
            if waited > LINGER_SECONDS and not (
                self.frontend.in_flight or listed
            ):
                break
            await asyncio.sleep(HELLO_SECONDS / 2)
        await self.server.stop(1.0)
        for task in self.tasks:
            task.cancel()
        await self.health.server.stop(0.1)
        self.transport.stop()

    async def run(self) -> None:
        """Runs until told to stop."""
        await self.start()
        await program.wait_for_stop("entry")
        await self.stop()
