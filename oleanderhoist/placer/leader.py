"""Runs one leadership: loads the cluster state and keeps it current."""

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
RECONCILE_INTERVAL_SECONDS = 0.05
INVENTORY_INTERVAL_SECONDS = 0.5
NO_ENTRIES_TIMEOUT_SECONDS = 1.0


class Leader:
    """Runs the leader's tasks during one leadership.

    Args:
        election: Leader election of this placer.
        transport: Transport to peers.
        table: The table client.
        inventory: Client of the platform's list of servers.
        clock: Time source.
        lag: Event loop lag of this process.
        policy: The placement policy.
        partitions: Number of partitions of a new partition map.
        deadlines: Deadlines of a stop.
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
        deadlines: contractregistry.Deadlines,
    ):
        self.election = election
        self.table = table
        self.inventory = inventory
        self.clock = clock
        self.publisher = publisher.Publisher(
            election=election, transport=transport, clock=clock, lag=lag
        )
        self.map_store = mapstore.MapStore(table=table, epoch=election.epoch)
        self.contract_registry = contractregistry.ContractRegistry(
            table=table, deadlines=deadlines
        )
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
        self.tasks.append(
            asyncio.create_task(program.supervise("leading", self.run))
        )

    def stop(self) -> None:
        """Ends the leadership."""
        for task in self.tasks:
            task.cancel()

    async def run(self) -> None:
        """Loads the cluster state, then starts the loops."""
        while not self.loaded:
            try:
                await self.load()
            except (
                table.TableError,
                mapstore.MapConflictError,
                inventory.InventoryError,
            ):
                await asyncio.sleep(LOAD_RETRY_SECONDS)
        for name, run in (
            ("delegations", self.delegate_loop),
            ("maps", self.reconcile_loop),
            ("inventory", self.inventory_loop),
            ("rates", self.rate_allocator.run),
        ):
            self.tasks.append(asyncio.create_task(program.supervise(name, run)))

    async def load(self) -> None:
        """Loads the cluster state from the table and the inventory alone.

        Raises:
            TableError: The table did not answer.
            MapConflictError: Another leader wrote a map.
            InventoryError: The list of servers could not be read.
        """
        await self.map_store.fence_and_load()
        await self.contract_registry.load()
        cluster_state = self.publisher.cluster_state
        cluster_state.servers = await self.inventory.servers()
        cluster_state.partition_maps = {
            pool: stored.partition_map
            for pool, stored in self.map_store.stored.items()
        }
        self.update_contracts()
        self.reconciler.add_partition_maps()
        now = self.clock.monotonic()
        for record in await self.table.scan(registration.ENTRIES_PREFIX):
            value = record.value
            self.join(parse_entry(value), value["incarnation"], now)
        self.loaded = True

    def update_contracts(self) -> None:
        """Updates the cluster state and the rate limits from the registry."""
        self.publisher.cluster_state.contracts = (
            self.contract_registry.head.versions
        )
        self.publisher.cluster_state.contracts_revision = (
            self.contract_registry.head.revision
        )
        self.rate_allocator.limits = {
            f"{customer}/{work.name}": work.rate_per_second
            for (
                customer,
                version,
            ), accepted in self.contract_registry.contracts.items()
            if self.contract_registry.head.versions.get(customer) == version
            for work in accepted.work
        }

    async def delegate_loop(self) -> None:
        """Delegates periodically; steps down when no entry answers."""
        members_seen_at = self.clock.monotonic()
        while True:
            self.publisher.tick()
            now = self.clock.monotonic()
            if (
                self.publisher.membership.members
                or not self.publisher.membership.removed_at
            ):
                members_seen_at = now
            if now - members_seen_at > NO_ENTRIES_TIMEOUT_SECONDS:
                self.election.enter_standby()
                return
            await asyncio.sleep(publisher.DELEGATION_INTERVAL_SECONDS)

    async def reconcile_loop(self) -> None:
        """Reconciles the partition maps periodically."""
        reload_needed = False
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            try:
                if reload_needed:
                    await self.reconciler.reload_partition_maps()
                    reload_needed = False
                for pool in sorted(self.map_store.stored):
                    await self.reconciler.reconcile(pool)
            except (table.TableError, mapstore.MapConflictError):
                reload_needed = True

    async def inventory_loop(self) -> None:
        """Refreshes the servers and deletes the records of removed entries."""
        while True:
            await asyncio.sleep(INVENTORY_INTERVAL_SECONDS)
            try:
                await self.refresh_servers()
                for id in self.publisher.membership.pop_expired(
                    self.clock.monotonic()
                ):
                    await self.delete_entry_record(
                        registration.ENTRIES_PREFIX + id
                    )
            except (inventory.InventoryError, table.TableError):
                continue

    async def delete_entry_record(self, key: str) -> None:
        """Deletes the record of a removed entry.

        Raises:
            TableError: The table did not answer.
        """
        record = await self.table.get(key)
        if record is not None:
            await self.table.delete(key, expected=record.version)

    async def refresh_servers(self) -> None:
        """Reads the list of servers and publishes it when it has changed.

        Raises:
            InventoryError: The list of servers could not be read.
        """
        listed = await self.inventory.servers()
        servers = [self.with_reported_state(server) for server in listed]
        if servers == self.publisher.cluster_state.servers:
            return
        self.publisher.cluster_state.servers = servers
        self.reconciler.add_partition_maps()
        self.publisher.publish()

    def with_reported_state(self, server: topology.Server) -> topology.Server:
        """Returns a server marked as leaving if it reports that state."""
        report = self.publisher.reports.get(server.id)
        if report is None or report.state != "leaving":
            return server
        return dataclasses.replace(server, state=topology.ServerState.LEAVING)

    async def apply(
        self, source: str, base: int
    ) -> contractregistry.Accepted | contractregistry.Rejection:
        """Accepts or rejects a contract, then publishes the cluster state."""
        outcome = await self.contract_registry.apply(
            source, base, self.publisher.cluster_state.servers
        )
        self.update_contracts()
        self.publisher.publish()
        return outcome

    def receive(self, sender: str, message: wire.Message) -> None:
        """Handles the messages of entries."""
        if not self.loaded:
            return
        membership = self.publisher.membership
        match message:
            case wire.Hello():
                self.receive_hello(message)
            case wire.Goodbye():
                now = self.clock.monotonic()
                membership.leave(message.entry, message.incarnation, now)
                self.publisher.send_snapshot_to(sender)
            case wire.Status():
                self.publisher.receive_status(message)

    def receive_hello(self, message: wire.Hello) -> None:
        """Adds an entry to the members once a snapshot has reached it.

        An entry that can send but not receive would otherwise join, time out
        and join again endlessly.
        """
        current = (self.publisher.epoch, self.publisher.revision)
        if (message.epoch, message.revision) != current:
            self.publisher.send_snapshot_to(message.address)
            return
        entry = topology.Entry(
            id=message.entry,
            address=message.address,
            data_center=message.data_center,
        )
        now = self.clock.monotonic()
        self.join(entry, message.incarnation, now)

    def join(self, entry: topology.Entry, incarnation: int, now: float) -> None:
        """Adds a process of an entry to the members."""
        self.publisher.ledger.observe_process(entry.id, incarnation)
        self.publisher.membership.join(entry, incarnation, now)


def parse_entry(value: dict) -> topology.Entry:
    """Converts a stored member record to an entry."""
    return topology.Entry(
        id=value["id"],
        address=value["address"],
        data_center=value["data_center"],
    )
