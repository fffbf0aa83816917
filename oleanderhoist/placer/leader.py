"""One reign of a leader: loads the picture, then keeps it true."""

import asyncio
import dataclasses

from oleanderhoist import clock
from oleanderhoist import program
from oleanderhoist.clients import inventory
from oleanderhoist.clients import registration
from oleanderhoist.clients import table
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.placer import contractregistry
from oleanderhoist.placer import election
from oleanderhoist.placer import mapstore
from oleanderhoist.placer import publisher
from oleanderhoist.placer import rateallocator
from oleanderhoist.placer import reconciler
from oleanderhoist.policy import placement as placement_policy
from oleanderhoist.policy import topology

LOAD_RETRY_SECONDS = 0.05
RECONCILE_SECONDS = 0.05
INVENTORY_SECONDS = 0.5
DEAF_SECONDS = 1.0


class Leader:
    """Runs the leader's tasks during one reign.

    Args:
        election: This placer's leadership.
        link: Link to peers.
        table: The table client.
        inventory: The platform's list of servers.
        clock: Time source.
        lag: This process's own lag.
        policy: The placement policy.
        partitions: Partitions of a new key space.
    """

    def __init__(
        self,
        *,
        election: election.Election,
        link: transport.Link,
        table: table.Table,
        inventory: inventory.Inventory,
        clock: clock.Clock,
        lag: program.Lag,
        policy: placement_policy.Policy,
        partitions: int,
    ):
        self.election = election
        self.table = table
        self.inventory = inventory
        self.clock = clock
        self.lender = publisher.Lender(
            election=election, link=link, clock=clock, lag=lag
        )
        self.maps = mapstore.Maps(table=table, epoch=election.epoch)
        self.activation = contractregistry.Activation(table=table)
        self.placement = reconciler.Placement(
            lender=self.lender,
            maps=self.maps,
            policy=policy,
            partitions=partitions,
        )
        self.shares = rateallocator.Shares(lender=self.lender)
        self.loaded = False
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the reign."""
        self.tasks.append(asyncio.create_task(self.run()))

    def stop(self) -> None:
        """Ends the reign."""
        for task in self.tasks:
            task.cancel()

    async def run(self) -> None:
        """Loads the picture, then starts the loops."""
        while not self.loaded:
            try:
                await self.load()
            except (
                table.TableError,
                mapstore.MapConflictError,
                inventory.InventoryError,
            ):
                await asyncio.sleep(LOAD_RETRY_SECONDS)
        for loop in (
            self.lend_loop,
            self.reconcile_loop,
            self.inventory_loop,
            self.shares.run,
        ):
            self.tasks.append(asyncio.create_task(loop()))

    async def load(self) -> None:
        """Rebuilds the whole picture from the platform alone."""
        await self.maps.claim()
        await self.activation.load()
        picture = self.lender.picture
        picture.servers = await self.inventory.servers()
        picture.spaces = {p: s.space for p, s in self.maps.stored.items()}
        self.note_contracts()
        self.placement.add_spaces()
        now = self.clock.monotonic()
        for record in await self.table.scan(registration.ENTRIES_PREFIX):
            value = record.value
            self.lender.roster.join(to_entry(value), value["incarnation"], now)
        self.loaded = True

    def note_contracts(self) -> None:
        """Takes the versions in force into the picture."""
        self.lender.picture.contracts = self.activation.head.versions
        self.lender.picture.contracts_revision = self.activation.head.revision
        self.shares.limits = {
            f"{customer}/{work.name}": work.rate_per_second
            for (customer, version), known in self.activation.known.items()
            if self.activation.head.versions.get(customer) == version
            for work in known.work
        }

    async def lend_loop(self) -> None:
        """Lends at a steady pace, and abdicates when no entry answers."""
        heard_at = self.clock.monotonic()
        while True:
            self.lender.tick()
            now = self.clock.monotonic()
            if self.lender.roster.members or not self.lender.roster.gone:
                heard_at = now
            if now - heard_at > DEAF_SECONDS:
                self.election.retire()
                return
            await asyncio.sleep(publisher.LEND_SECONDS)

    async def reconcile_loop(self) -> None:
        """Brings ownership to what is wanted, again and again."""
        lost_write = False
        while True:
            await asyncio.sleep(RECONCILE_SECONDS)
            try:
                if lost_write:
                    await self.placement.reclaim()
                    lost_write = False
                for pool in sorted(self.maps.stored):
                    await self.placement.reconcile(pool)
            except (table.TableError, mapstore.MapConflictError):
                lost_write = True

    async def inventory_loop(self) -> None:
        """Follows the platform's list and forgets entries long gone."""
        while True:
            await asyncio.sleep(INVENTORY_SECONDS)
            try:
                await self.follow_inventory()
                for id in self.lender.roster.forgotten(self.clock.monotonic()):
                    await self.forget_entry(registration.ENTRIES_PREFIX + id)
            except (inventory.InventoryError, table.TableError):
                continue

    async def forget_entry(self, key: str) -> None:
        """Deletes the record of an entry that is gone."""
        record = await self.table.get(key)
        if record is not None:
            await self.table.delete(key, expected=record.version)

    async def follow_inventory(self) -> None:
        """Publishes a changed list."""
        listed = await self.inventory.servers()
        servers = [self.with_drain(server) for server in listed]
        if servers == self.lender.picture.servers:
            return
        self.lender.picture.servers = servers
        self.placement.add_spaces()
        self.lender.publish()

    def with_drain(self, server: topology.Server) -> topology.Server:
        """Adds what a server says of its own leaving."""
        report = self.lender.reports.get(server.id)
        if report is None or report.state != "leaving":
            return server
        return dataclasses.replace(server, state=topology.ServerState.LEAVING)

    async def apply(
        self, source: str, base: int
    ) -> contractregistry.Accepted | contractregistry.Refused:
        """Accepts or refuses a contract and publishes an accepted one."""
        outcome = await self.activation.apply(
            source, base, self.lender.picture.servers
        )
        self.note_contracts()
        self.lender.publish()
        return outcome

    def receive(self, sender: str, message: wire.Message) -> None:
        """Takes in what entries say."""
        if not self.loaded:
            return
        roster = self.lender.roster
        match message:
            case wire.Hello():
                self.greet(message)
            case wire.Goodbye():
                now = self.clock.monotonic()
                roster.leave(message.entry, message.incarnation, now)
                self.lender.show_view(sender)
            case wire.Status():
                self.lender.hear(message)

    def greet(self, message: wire.Hello) -> None:
        """Counts an entry as live once it shows that views reach it.

        An entry that can speak but not hear would otherwise join, fall
        silent and join again without end.
        """
        present = (self.lender.epoch, self.lender.revision)
        if (message.epoch, message.revision) != present:
            self.lender.show_view(message.address)
            return
        entry = topology.Entry(
            id=message.entry,
            address=message.address,
            data_center=message.data_center,
        )
        now = self.clock.monotonic()
        self.lender.roster.join(entry, message.incarnation, now)


def to_entry(value: dict) -> topology.Entry:
    """Converts a stored member record."""
    return topology.Entry(
        id=value["id"],
        address=value["address"],
        data_center=value["data_center"],
    )
