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
        self.table = table.Table(address=settings.table)
        self.membership = registration.Membership(
            table=self.table, key=registration.ENTRIES_PREFIX + settings.id
        )
        self.link = transport.Link(
            listen=str(settings.peer_listen),
            advertise=settings.peer_advertise,
            receiver=self.receive,
        )
        self.views = snapshots.Views(own=settings.id, clock=clock)
        self.contracts = contracts.Contracts(
            table=self.table, views=self.views, clock=clock
        )
        self.lag = program.Lag(clock=clock)
        self.renewer = renewer.Renewer(
            views=self.views, clock=clock, lag=self.lag
        )
        self.slots = coordinator.Slots(
            views=self.views,
            renewer=self.renewer,
            contracts=self.contracts,
            link=self.link,
            clock=clock,
            policy=settings.dispatch,
        )
        self.permits = slotclient.Permits(
            own=settings.id,
            views=self.views,
            link=self.link,
            clock=clock,
            policy=settings.permits,
        )
        self.claims = claims.Claims(table=self.table, clock=clock)
        self.admission = ratelimiter.Admission(views=self.views, clock=clock)
        self.router = forwarder.Router(
            views=self.views,
            permits=self.permits,
            claims=self.claims,
            clock=clock,
            policy=settings.choice,
            rng=rng,
        )
        self.front = frontend.Front(
            contracts=self.contracts,
            admission=self.admission,
            router=self.router,
            claims=self.claims,
            clock=clock,
        )
        self.server = server.Server(
            handler=self.front.handle,
            host=settings.listen.host,
            port=settings.listen.port,
        )
        self.health = program.Health(
            address=settings.health_listen, ready=self.not_ready
        )
        self.placers: list[str] = []
        self.tasks: list[asyncio.Task] = []

    def not_ready(self) -> str:
        """Returns why this entry is not ready, or an empty text."""
        if self.front.stopping:
            return "stopping"
        if not self.contracts.is_confirmed():
            return "the contracts are not confirmed"
        return ""

    def receive(self, sender: str, message: wire.Message) -> None:
        """Routes a peer's message."""
        match message:
            case wire.Acquire():
                self.slots.acquire(sender, message)
            case wire.Permit():
                self.permits.receive(message)
            case wire.Release():
                self.slots.release(message)
            case wire.Lend():
                if self.views.take_loan(sender, message):
                    self.contracts.confirm(message)
                    self.report(sender, message)
            case wire.View():
                self.adopt(message)
            case wire.Shares(epoch=epoch) if epoch >= self.views.picture.epoch:
                self.admission.receive(message)

    def adopt(self, message: wire.View) -> None:
        """Adopts a view and opens links to its entries."""
        if not self.views.adopt(message):
            return
        addresses = {e.address for e in self.views.picture.entries.values()}
        for address in addresses - {self.link.address}:
            self.link.connect(address)
        known = set(self.placers) | {self.views.leader_address}
        for address in set(self.link.dealers) - addresses - known:
            self.link.forget(address)

    def report(self, sender: str, message: wire.Lend) -> None:
        """Answers a loan with this entry's state."""
        status = wire.Status(
            entry=self.settings.id,
            epoch=self.views.picture.epoch,
            sequence=message.sequence,
            revision=self.views.picture.revision,
            contracts_revision=self.contracts.revision,
            confirmed=self.contracts.is_confirmed(),
            lag_ms=round(self.lag.seconds * 1000, 2),
            servers=self.renewer.reports(),
            demands=self.admission.count(),
            hot={},
        )
        self.link.send(sender, status)

    async def greet(self) -> None:
        """Tells the placers of this entry while no leader lends to it."""
        while True:
            silent = self.clock.monotonic() - self.views.heard_at
            if self.front.stopping:
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
                        address=self.link.address,
                        data_center=self.settings.data_center,
                        epoch=self.views.picture.epoch,
                        revision=self.views.picture.revision,
                    )
                )
            await asyncio.sleep(HELLO_SECONDS)

    def tell(self, message: wire.Message) -> None:
        """Sends a message to every placer."""
        for address in self.placers:
            self.link.send(address, message)

    async def follow_placers(self) -> None:
        """Keeps the placers' addresses up to date."""
        while True:
            try:
                found = await self.table.scan(registration.PLACERS_PREFIX)
                self.placers = [record.value["address"] for record in found]
                for address in self.placers:
                    self.link.connect(address)
                await asyncio.sleep(PLACERS_SECONDS if found else HELLO_SECONDS)
            except table.TableError:
                await asyncio.sleep(HELLO_SECONDS)

    async def register(self) -> None:
        """Keeps this entry's record in the table."""
        await self.membership.keep(
            {
                "id": self.settings.id,
                "incarnation": self.incarnation,
                "address": self.link.address,
                "data_center": self.settings.data_center,
            }
        )

    async def start(self) -> None:
        """Opens all sockets and starts all tasks."""
        self.link.start()
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
        """Fails readiness, ends all work in flight, hands homes over."""
        self.front.stopping = True
        self.membership.leaving = True
        began = self.clock.monotonic()
        while self.clock.monotonic() < began + self.settings.stop_seconds:
            waited = self.clock.monotonic() - began
            listed = self.settings.id in self.views.picture.entries
            if waited > LINGER_SECONDS and not (self.front.in_flight or listed):
                break
            await asyncio.sleep(HELLO_SECONDS / 2)
        await self.server.stop(1.0)
        for task in self.tasks:
            task.cancel()
        await self.health.server.stop(0.1)
        self.link.stop()

    async def run(self) -> None:
        """Runs until told to stop."""
        await self.start()
        await program.wait_for_stop("entry")
        await self.stop()
