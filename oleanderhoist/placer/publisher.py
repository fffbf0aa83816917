"""Delegates lease renewal to entries and sends them cluster snapshots."""

import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import program
from oleanderhoist.peers import conversion
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.placer import election
from oleanderhoist.placer import membership
from oleanderhoist.policy import delegations
from oleanderhoist.policy import leadership
from oleanderhoist.policy import topology

DELEGATION_INTERVAL_SECONDS = 0.1
SNAPSHOT_RESEND_SECONDS = 0.1

LIVE_ENTRIES = prometheus_client.Gauge(
    "oleander_live_entries", "Entries the leader counts as live"
)


@dataclasses.dataclass(kw_only=True)
class ClusterState:
    """The state of the cluster that the leader publishes.

    Attributes:
        servers: All servers, with their state as the leader sees it.
        partition_maps: Partition map by pool.
        contracts: Active contract version by customer.
        contracts_revision: Version of the record that lists the active
            contract versions.
    """

    servers: list[topology.Server] = dataclasses.field(default_factory=list)
    partition_maps: dict[str, topology.PartitionMap] = dataclasses.field(
        default_factory=dict
    )
    contracts: dict[str, int] = dataclasses.field(default_factory=dict)
    contracts_revision: int = 0


class Publisher:
    """Sends delegations and snapshots to the entries and tracks their state.

    Args:
        election: Leader election of this placer.
        transport: Transport to peers.
        clock: Time source.
        lag: Event loop lag of this process; it extends the time that
            entries have to answer.
    """

    def __init__(
        self,
        *,
        election: election.Election,
        transport: transport.Transport,
        clock: clock.Clock,
        lag: program.LoopLag,
    ):
        self.lag = lag
        self.election = election
        self.transport = transport
        self.clock = clock
        self.epoch = election.epoch
        self.membership = membership.Membership()
        self.ledger = delegations.DelegationLedger()
        self.cluster_state = ClusterState()
        self.revision = 0
        self.sequence = 0
        self.published_generation = -1
        self.coordinators: dict[str, str] = {}
        self.snapshot: wire.Snapshot | None = None
        self.reports: dict[str, wire.ServerReport] = {}

    def publish(self) -> int:
        """Publishes the current state as a new snapshot.

        Returns:
            The snapshot's revision.
        """
        self.revision += 1
        self.published_generation = self.membership.generation
        entries = self.membership.entries()
        self.coordinators = topology.coordinators(
            self.cluster_state.servers, entries
        )
        LIVE_ENTRIES.set(len(entries))
        self.snapshot = wire.Snapshot(
            epoch=self.epoch,
            revision=self.revision,
            entries=[conversion.pack_entry(entry) for entry in entries],
            servers=[
                conversion.pack_server(s) for s in self.cluster_state.servers
            ],
            partition_maps=[
                conversion.pack_partition_map(partition_map)
                for partition_map in self.cluster_state.partition_maps.values()
            ],
            contracts=self.cluster_state.contracts,
            contracts_revision=self.cluster_state.contracts_revision,
        )
        # An entry may combine this snapshot with a delegation sent before it.
        self.record_delegations(self.election.delegated_until)
        for member in self.membership.members.values():
            self.send_snapshot(member)
        self.delegate()
        return self.revision

    def send_snapshot(self, member: membership.Member) -> None:
        """Sends the current snapshot to one member."""
        member.snapshot_sent_at = self.clock.monotonic()
        member.snapshot_queued = self.transport.send(
            member.entry.address, self.snapshot
        )

    def send_snapshot_to(self, address: str) -> None:
        """Sends the current snapshot to an entry that is not a member."""
        if self.published_generation != self.membership.generation:
            self.publish()
        self.transport.send(address, self.snapshot)

    def tick(self) -> None:
        """Removes unresponsive entries, then delegates lease renewal."""
        self.membership.remove_unresponsive(
            self.clock.monotonic(), self.lag.recent_max()
        )
        if (
            self.snapshot is None
            or self.published_generation != self.membership.generation
        ):
            self.publish()
            return
        self.delegate()

    def delegate(self) -> None:
        """Delegates to every live entry the renewal of its servers' leases."""
        now = self.clock.wall()
        expires_at = min(
            self.election.leadership_expires_at(),
            now + leadership.LEASE_SECONDS,
        )
        if expires_at <= now:
            return
        self.election.delegated_until = max(
            self.election.delegated_until, expires_at
        )
        self.record_delegations(expires_at)
        self.sequence += 1
        message = wire.Delegation(
            epoch=self.epoch,
            sequence=self.sequence,
            revision=self.revision,
            contracts_revision=self.cluster_state.contracts_revision,
            sent_at=now,
            expires_at=expires_at,
        )
        for member in self.membership.members.values():
            if not member.snapshot_queued:
                self.send_snapshot(member)
            self.transport.send(member.entry.address, message)
        self.ledger.prune(now - self.election.max_skew)

    def record_delegations(self, expires_at: float) -> None:
        """Records the delegations that are about to be sent.

        Args:
            expires_at: Expiry of the delegations, in wall-clock seconds.
        """
        for server in self.cluster_state.servers:
            entry = self.coordinators.get(server.id)
            if entry is not None and server.keyed:
                self.ledger.record(
                    entry=entry,
                    server=server.id,
                    version=self.assignment_version(server),
                    revision=self.revision,
                    expires_at=expires_at,
                )

    def assignment_version(self, server: topology.Server) -> int:
        """Returns the version of a server's assignment."""
        partition_map = self.cluster_state.partition_maps.get(server.pool)
        return (
            partition_map.assignment_versions.get(server.id, 0)
            if partition_map
            else 0
        )

    def receive_status(self, status: wire.Status) -> None:
        """Handles an entry's answer to a delegation."""
        self.membership.record_status(status, self.clock.monotonic())
        if status.epoch == self.epoch:
            self.record_reports(status)
        self.resend_snapshot(status)

    def record_reports(self, status: wire.Status) -> None:
        """Records the reports of an entry that follows this leader."""
        self.ledger.observe_process(status.entry, status.incarnation)
        self.ledger.acknowledge(status.entry, status.revision)
        for report in status.servers:
            for version, deadline in report.sent.items():
                self.ledger.report(
                    status.entry, report.server, version, deadline
                )
            if self.coordinators.get(report.server) == status.entry:
                self.reports[report.server] = report

    def resend_snapshot(self, status: wire.Status) -> None:
        """Resends the snapshot to an entry that has not adopted it."""
        member = self.membership.members.get(status.entry)
        adopted = (status.epoch, status.revision)
        if member is None or adopted >= (self.epoch, self.revision):
            return
        if (
            self.clock.monotonic() - member.snapshot_sent_at
            > SNAPSHOT_RESEND_SECONDS
        ):
            self.send_snapshot(member)

    def is_released(
        self, server: topology.Server, version: int, revision: int
    ) -> bool:
        """Returns whether a server has definitely released revoked partitions.

        Args:
            server: The server that the partitions were revoked from.
            version: Version of its first assignment without them.
            revision: Revision of the first snapshot with this version.
        """
        report = self.reports.get(server.id)
        if server.checks_sender and report is not None:
            acked = (report.acked_epoch, report.acked_version)
            if acked >= (self.epoch, version):
                return True
        expires_at = self.ledger.earlier_assignments_expire_at(
            server.id, version, revision
        )
        return self.clock.wall() > expires_at + self.election.max_skew
