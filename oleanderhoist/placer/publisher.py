"""Lends entries the right to renew leases and publishes views to them."""

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

DELEGATE_SECONDS = 0.1
RESEND_SECONDS = 0.1

LIVE_ENTRIES = prometheus_client.Gauge(
    "oleander_live_entries", "Entries the leader counts as live"
)


@dataclasses.dataclass(kw_only=True)
class ClusterState:
    """What the leader publishes.

    Attributes:
        servers: All servers, with the leader's view of their state.
        partition_maps: Ownership by pool.
        contracts: Version in force by customer.
        contracts_revision: Version of the record that names them.
    """

    servers: list[topology.Server] = dataclasses.field(default_factory=list)
    partition_maps: dict[str, topology.PartitionMap] = dataclasses.field(
        default_factory=dict
    )
    contracts: dict[str, int] = dataclasses.field(default_factory=dict)
    contracts_revision: int = 0


class Publisher:
    """The leader's side of delegations and views.

    Args:
        election: This placer's leadership.
        transport: Transport to peers.
        clock: Time source.
        lag: This process's own lag, which excuses missing answers.
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
        self.state = ClusterState()
        self.revision = 0
        self.sequence = 0
        self.generation = -1
        self.coordinators: dict[str, str] = {}
        self.snapshot: wire.Snapshot | None = None
        self.reports: dict[str, wire.ServerReport] = {}

    def publish(self) -> int:
        """Publishes the present state as a new snapshot.

        Returns:
            The view's revision.
        """
        self.revision += 1
        self.generation = self.membership.generation
        entries = self.membership.entries()
        self.coordinators = topology.coordinators(self.state.servers, entries)
        LIVE_ENTRIES.set(len(entries))
        self.snapshot = wire.Snapshot(
            epoch=self.epoch,
            revision=self.revision,
            entries=[conversion.pack_entry(entry) for entry in entries],
            servers=[conversion.pack_server(s) for s in self.state.servers],
            partition_maps=[
                conversion.pack_partition_map(s)
                for s in self.state.partition_maps.values()
            ],
            contracts=self.state.contracts,
            contracts_revision=self.state.contracts_revision,
        )
        self.record_delegations(self.election.lent_until)
        for member in self.membership.members.values():
            self.send_snapshot(member)
        self.delegate()
        return self.revision

    def send_snapshot(self, member: membership.Member) -> None:
        """Sends the present view to one entry."""
        member.snapshot_sent_at = self.clock.monotonic()
        member.snapshot_queued = self.transport.send(
            member.entry.address, self.snapshot
        )

    def show_snapshot(self, address: str) -> None:
        """Sends the present view to an entry that is not in it."""
        if self.generation != self.membership.generation:
            self.publish()
        self.transport.send(address, self.snapshot)

    def tick(self) -> None:
        """Drops silent entries, then lends."""
        self.membership.expire_silent(
            self.clock.monotonic(), self.lag.recent_max()
        )
        if (
            self.snapshot is None
            or self.generation != self.membership.generation
        ):
            self.publish()
            return
        self.delegate()

    def delegate(self) -> None:
        """Lends every live entry the right to renew its servers."""
        now = self.clock.wall()
        limit = min(self.election.authority(), now + leadership.LEASE_SECONDS)
        if limit <= now:
            return
        self.election.lent_until = max(self.election.lent_until, limit)
        self.record_delegations(limit)
        self.sequence += 1
        message = wire.Delegation(
            epoch=self.epoch,
            sequence=self.sequence,
            revision=self.revision,
            contracts_revision=self.state.contracts_revision,
            sent_at=now,
            expires_at=limit,
        )
        for member in self.membership.members.values():
            if not member.snapshot_queued:
                self.send_snapshot(member)
            self.transport.send(member.entry.address, message)
        self.ledger.prune(now - self.election.max_skew)

    def record_delegations(self, expires_at: float) -> None:
        """Notes what is about to be lent."""
        for server in self.state.servers:
            entry = self.coordinators.get(server.id)
            if entry is not None and server.keyed:
                self.ledger.record(
                    entry=entry,
                    server=server.id,
                    version=self.version(server),
                    revision=self.revision,
                    expires_at=expires_at,
                )

    def version(self, server: topology.Server) -> int:
        """Returns the version of a server's assignment."""
        partition_map = self.state.partition_maps.get(server.pool)
        return (
            partition_map.assignment_versions.get(server.id, 0)
            if partition_map
            else 0
        )

    def receive_status(self, status: wire.Status) -> None:
        """Takes in an entry's answer."""
        self.membership.record_status(status, self.clock.monotonic())
        if status.epoch == self.epoch:
            self.take_in(status)
        self.bring_up_to_date(status)

    def take_in(self, status: wire.Status) -> None:
        """Notes what an entry that acts on this leadership's views says."""
        self.ledger.acknowledge(status.entry, status.revision)
        for report in status.servers:
            for version, deadline in report.sent.items():
                self.ledger.report(
                    status.entry, report.server, version, deadline
                )
            if self.coordinators.get(report.server) == status.entry:
                self.reports[report.server] = report

    def bring_up_to_date(self, status: wire.Status) -> None:
        """Sends the view again to an entry that has not adopted it."""
        member = self.membership.members.get(status.entry)
        stamp = (status.epoch, status.revision)
        if member is None or stamp >= (self.epoch, self.revision):
            return
        if self.clock.monotonic() - member.snapshot_sent_at > RESEND_SECONDS:
            self.send_snapshot(member)

    def released(
        self, server: topology.Server, version: int, revision: int
    ) -> bool:
        """Tells whether a server surely dropped what a version took away.

        Args:
            server: The server that loses partitions.
            version: Its first assignment without them.
            revision: The first view that states this version.
        """
        report = self.reports.get(server.id)
        if server.checks_sender and report is not None:
            acked = (report.acked_epoch, report.acked_version)
            if acked >= (self.epoch, version):
                return True
        bound = self.ledger.earlier_assignments_expire_at(
            server.id, version, revision
        )
        return self.clock.wall() > bound + self.election.max_skew
