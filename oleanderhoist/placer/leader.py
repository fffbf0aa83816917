"""One leadership: loads the cluster state, then keeps it true."""

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
    """Runs the leader's tasks during one leadership.

    Args:
        election: This placer's leadership.
        transport: Transport to peers.
        table: The table client.
        inventory: The platform's list of servers.
        clock: Time source.
        lag: This process's own lag.
        policy: The placement policy.
        partitions: Partitions of a new partition map.
    """

    def __init__(
        self,
        *,
        election: election.Election,
        transport: transport.Transport,
        table: table.TableClient,
        inventory: inventory.InventoryClient,
        clock: clock.Clock,
        lag: program.LoopLag,
        policy: placement_policy.Policy,
        partitions: int,
    ):
        self.election = election
        self.table = table
        self.inventory = inventory
        self.clock = clock
        self.publisher = publisher.Publisher(
            election=election, transport=transport, clock=clock, lag=lag
        )
        self.map_store = mapstore.MapStore(table=table, epoch=election.epoch)
        self.contract_registry = contractregistry.ContractRegistry(table=table)
        self.reconciler = reconciler.Reconciler(
            publisher=self.publisher,
            map_store=self.map_store,
            policy=policy,
            partitions=partitions,
        )
        self.rate_allocator = rateallocator.RateAllocator(
            publisher=self.publisher
        )
        self.loaded = False
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the leadership."""
        self.tasks.append(asyncio.create_task(self.run()))

    def stop(self) -> None:
        """Ends the leadership."""
        for task in self.tasks:
            task.cancel()

    async def run(self) -> None:
        """Loads the snapshot, then starts the loops."""
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
            self.delegate_loop,
            self.reconcile_loop,
            self.inventory_loop,
            self.rate_allocator.run,
        ):
            self.tasks.append(asyncio.create_task(loop()))

    async def load(self) -> None:
        """Rebuilds the whole snapshot from the platform alone."""
        await self.map_store.fence_and_load()
        await self.contract_registry.load()
        snapshot = self.publisher.state
        snapshot.servers = await self.inventory.servers()
        snapshot.partition_maps = {
            p: s.partition_map for p, s in self.map_store.stored.items()
        }
        self.note_contracts()
        self.reconciler.add_partition_maps()
        now = self.clock.monotonic()
        for record in await self.table.scan(registration.ENTRIES_PREFIX):
            value = record.value
            self.publisher.membership.join(
                to_entry(value), value["incarnation"], now
            )
        self.loaded = True

    def note_contracts(self) -> None:
        """Takes the versions in force into the snapshot."""
        self.publisher.state.contracts = self.contract_registry.head.versions
        self.publisher.state.contracts_revision = (
            self.contract_registry.head.revision
        )
        self.rate_allocator.limits = {
            f"{customer}/{work.name}": work.rate_per_second
            for (
                customer,
                version,
            ), known in self.contract_registry.known.items()
            if self.contract_registry.head.versions.get(customer) == version
            for work in known.work
        }

    async def delegate_loop(self) -> None:
        """Lends at a steady pace, and abdicates when no entry answers."""
        heard_at = self.clock.monotonic()
        while True:
            self.publisher.tick()
            now = self.clock.monotonic()
            if (
                self.publisher.membership.members
                or not self.publisher.membership.removed_at
            ):
                heard_at = now
            if now - heard_at > DEAF_SECONDS:
                self.election.retire()
                return
            await asyncio.sleep(publisher.DELEGATE_SECONDS)

    async def reconcile_loop(self) -> None:
        """Brings ownership to what is wanted, again and again."""
        lost_write = False
        while True:
            await asyncio.sleep(RECONCILE_SECONDS)
            try:
                if lost_write:
                    await self.reconciler.reclaim()
                    lost_write = False
                for pool in sorted(self.map_store.stored):
                    await self.reconciler.reconcile(pool)
            except (table.TableError, mapstore.MapConflictError):
                lost_write = True

    async def inventory_loop(self) -> None:
        """Follows the platform's list and forgets entries long gone."""
        while True:
            await asyncio.sleep(INVENTORY_SECONDS)
            try:
                await self.follow_inventory()
                for id in self.publisher.membership.forgotten(
                    self.clock.monotonic()
                ):
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
        if servers == self.publisher.state.servers:
            return
        self.publisher.state.servers = servers
        self.reconciler.add_partition_maps()
        self.publisher.publish()

    def with_drain(self, server: topology.Server) -> topology.Server:
        """Adds what a server says of its own leaving."""
        report = self.publisher.reports.get(server.id)
        if report is None or report.state != "leaving":
            return server
        return dataclasses.replace(server, state=topology.ServerState.LEAVING)

    async def apply(
        self, source: str, base: int
    ) -> contractregistry.Accepted | contractregistry.Rejection:
        """Accepts or refuses a contract and publishes an accepted one."""
        outcome = await self.contract_registry.apply(
            source, base, self.publisher.state.servers
        )
        self.note_contracts()
        self.publisher.publish()
        return outcome

    def receive(self, sender: str, message: wire.Message) -> None:
        """Takes in what entries say."""
        if not self.loaded:
            return
        membership = self.publisher.membership
        match message:
            case wire.Hello():
                self.greet(message)
            case wire.Goodbye():
                now = self.clock.monotonic()
                membership.leave(message.entry, message.incarnation, now)
                self.publisher.show_snapshot(sender)
            case wire.Status():
                self.publisher.receive_status(message)

    def greet(self, message: wire.Hello) -> None:
        """Counts an entry as live once it shows that views reach it.

        An entry that can speak but not hear would otherwise join, fall
        silent and join again without end.
        """
        present = (self.publisher.epoch, self.publisher.revision)
        if (message.epoch, message.revision) != present:
            self.publisher.show_snapshot(message.address)
            return
        entry = topology.Entry(
            id=message.entry,
            address=message.address,
            data_center=message.data_center,
        )
        now = self.clock.monotonic()
        self.publisher.membership.join(entry, message.incarnation, now)


def to_entry(value: dict) -> topology.Entry:
    """Converts a stored member record."""
    return topology.Entry(
        id=value["id"],
        address=value["address"],
        data_center=value["data_center"],
    )
