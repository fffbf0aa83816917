"""The entry's copy of the leader's snapshot, and its delegation."""

import asyncio
import dataclasses

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.peers import conversion
from oleanderhoist.peers import wire
from oleanderhoist.policy import confirmation
from oleanderhoist.policy import topology

STALE_AFTER_SECONDS = 1.2


@dataclasses.dataclass(kw_only=True)
class Snapshot:
    """An adopted snapshot of the cluster state, indexed.

    Attributes:
        epoch: Epoch of the leader that published it.
        revision: Grows with every snapshot of an epoch.
        entries: Live entries by id.
        servers: Servers by id.
        pools: Servers by pool.
        partition_maps: Partition maps by pool.
        coordinators: Id of the coordinator entry by server id.
        contracts: Active contract version by customer.
        contracts_revision: Version of the record that lists the active
            contract versions.
        assignments: Assignments computed so far, by server id.
    """

    epoch: int = 0
    revision: int = 0
    entries: dict[str, topology.Entry] = dataclasses.field(default_factory=dict)
    servers: dict[str, topology.Server] = dataclasses.field(
        default_factory=dict
    )
    pools: dict[str, list[topology.Server]] = dataclasses.field(
        default_factory=dict
    )
    partition_maps: dict[str, topology.PartitionMap] = dataclasses.field(
        default_factory=dict
    )
    coordinators: dict[str, str] = dataclasses.field(default_factory=dict)
    contracts: dict[str, int] = dataclasses.field(default_factory=dict)
    contracts_revision: int = 0
    assignments: dict[str, topology.Assignment] = dataclasses.field(
        default_factory=dict
    )

    def assignment(self, server: topology.Server) -> topology.Assignment:
        """Returns what a server owns; computed once for each snapshot."""
        assignment = self.assignments.get(server.id)
        if assignment is None:
            partition_map = self.partition_maps.get(server.pool)
            assignment = topology.Assignment()
            if partition_map is not None:
                assignment = partition_map.assignment(server.id)
            self.assignments[server.id] = assignment
        return assignment


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delegation:
    """The right to renew leases until `expires_at`, in wall-clock seconds."""

    epoch: int = 0
    sequence: int = 0
    expires_at: float = 0.0


class SnapshotStore:
    """Keeps the newest snapshot by (epoch, revision) and the delegation.

    Args:
        own_id: Id of this entry.
        clock: Time source.
    """

    def __init__(self, *, own_id: str, clock: clock.Clock):
        self.own_id = own_id
        self.clock = clock
        self.snapshot = Snapshot()
        self.delegation = Delegation()
        self.leader_address = ""
        self.leader_heard_at = 0.0
        self.confirmation = confirmation.Confirmation()
        self.changed = asyncio.Event()

    def adopt(self, message: wire.Snapshot) -> bool:
        """Adopts a snapshot if it is newer than the current one.

        Returns:
            Whether it was adopted.
        """
        version = (message.epoch, message.revision)
        if version <= (self.snapshot.epoch, self.snapshot.revision):
            return False
        self.snapshot = build(message)
        self.changed.set()
        self.changed = asyncio.Event()
        log.write(
            events.VIEW_ADOPTED,
            epoch=message.epoch,
            revision=message.revision,
            entries=len(message.entries),
            servers=len(message.servers),
        )
        return True

    def accept_delegation(self, sender: str, message: wire.Delegation) -> bool:
        """Records contact with the leader, and stores its delegation.

        The delegation is stored only if its snapshot, or a newer one, has been
        adopted.

        Returns:
            False if it comes from an earlier leader and was ignored.
        """
        if message.epoch < self.snapshot.epoch:
            return False
        self.leader_address = sender
        self.leader_heard_at = self.clock.monotonic()
        current_version = (self.snapshot.epoch, self.snapshot.revision)
        if current_version >= (message.epoch, message.revision):
            self.confirmation.confirm(self.clock.boottime())
            self.delegation = Delegation(
                epoch=message.epoch,
                sequence=message.sequence,
                expires_at=message.expires_at,
            )
        return True

    def is_stale(self) -> bool:
        """Returns whether no leader has confirmed the snapshot recently."""
        age = self.confirmation.age(self.clock.boottime())
        return age > STALE_AFTER_SECONDS

    def coordinated_servers(self) -> list[topology.Server]:
        """Returns the servers that this entry coordinates."""
        coordinators = self.snapshot.coordinators
        return [
            server
            for id, server in self.snapshot.servers.items()
            if coordinators.get(id) == self.own_id
        ]

    async def wait_for_change(self, timeout: float) -> None:
        """Waits for the next snapshot, for at most `timeout` seconds."""
        try:
            await asyncio.wait_for(self.changed.wait(), timeout)
        except TimeoutError:
            pass


def build(message: wire.Snapshot) -> Snapshot:
    """Returns an indexed snapshot built from a message."""
    entries = [conversion.unpack_entry(item) for item in message.entries]
    servers = [conversion.unpack_server(item) for item in message.servers]
    pools: dict[str, list[topology.Server]] = {}
    for server in servers:
        pools.setdefault(server.pool, []).append(server)
    partition_maps = [
        conversion.unpack_partition_map(item) for item in message.partition_maps
    ]
    return Snapshot(
        epoch=message.epoch,
        revision=message.revision,
        entries={entry.id: entry for entry in entries},
        servers={server.id: server for server in servers},
        pools=pools,
        partition_maps={
            partition_map.pool: partition_map
            for partition_map in partition_maps
        },
        coordinators=topology.coordinators(servers, entries),
        contracts=message.contracts,
        contracts_revision=message.contracts_revision,
    )
