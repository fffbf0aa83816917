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

LEND_SECONDS = 0.1
RESEND_SECONDS = 0.1

LIVE_ENTRIES = prometheus_client.Gauge(
    "oleander_live_entries", "Entries the leader counts as live"
)


@dataclasses.dataclass(kw_only=True)
class Picture:
    """What the leader publishes.

    Attributes:
        servers: All servers, with the leader's view of their state.
        spaces: Ownership by pool.
        contracts: Version in force by customer.
        contracts_revision: Version of the record that names them.
    """

    servers: list[topology.Server] = dataclasses.field(default_factory=list)
    spaces: dict[str, topology.SpaceMap] = dataclasses.field(
        default_factory=dict
    )
    contracts: dict[str, int] = dataclasses.field(default_factory=dict)
    contracts_revision: int = 0


class Lender:
    """The leader's side of loans and views.

    Args:
        election: This placer's leadership.
        link: Link to peers.
        clock: Time source.
        lag: This process's own lag, which excuses missing answers.
    """

    def __init__(
        self,
        *,
        election: election.Election,
        link: transport.Link,
        clock: clock.Clock,
        lag: program.Lag,
    ):
        self.lag = lag
        self.election = election
        self.link = link
        self.clock = clock
        self.epoch = election.epoch
        self.roster = membership.Roster()
        self.book = delegations.LoanBook()
        self.picture = Picture()
        self.revision = 0
        self.sequence = 0
        self.generation = -1
        self.homes: dict[str, str] = {}
        self.view: wire.View | None = None
        self.reports: dict[str, wire.ServerReport] = {}

    def publish(self) -> int:
        """Publishes the present picture as a new view.

        Returns:
            The view's revision.
        """
        self.revision += 1
        self.generation = self.roster.generation
        entries = self.roster.entries()
        self.homes = topology.homes(self.picture.servers, entries)
        LIVE_ENTRIES.set(len(entries))
        self.view = wire.View(
            epoch=self.epoch,
            revision=self.revision,
            entries=[conversion.pack_entry(entry) for entry in entries],
            servers=[conversion.pack_server(s) for s in self.picture.servers],
            spaces=[
                conversion.pack_space(s) for s in self.picture.spaces.values()
            ],
            contracts=self.picture.contracts,
            contracts_revision=self.picture.contracts_revision,
        )
        self.record_loans(self.election.lent_until)
        for member in self.roster.members.values():
            self.send_view(member)
        self.lend()
        return self.revision

    def send_view(self, member: membership.Member) -> None:
        """Sends the present view to one entry."""
        member.view_sent_at = self.clock.monotonic()
        member.view_queued = self.link.send(member.entry.address, self.view)

    def show_view(self, address: str) -> None:
        """Sends the present view to an entry that is not in it."""
        if self.generation != self.roster.generation:
            self.publish()
        self.link.send(address, self.view)

    def tick(self) -> None:
        """Drops silent entries, then lends."""
        self.roster.sweep(self.clock.monotonic(), self.lag.recent())
        if self.view is None or self.generation != self.roster.generation:
            self.publish()
            return
        self.lend()

    def lend(self) -> None:
        """Lends every live entry the right to renew its servers."""
        now = self.clock.wall()
        limit = min(self.election.authority(), now + leadership.LEASE_SECONDS)
        if limit <= now:
            return
        self.election.lent_until = max(self.election.lent_until, limit)
        self.record_loans(limit)
        self.sequence += 1
        message = wire.Lend(
            epoch=self.epoch,
            sequence=self.sequence,
            revision=self.revision,
            contracts_revision=self.picture.contracts_revision,
            sent_at=now,
            limit=limit,
        )
        for member in self.roster.members.values():
            if not member.view_queued:
                self.send_view(member)
            self.link.send(member.entry.address, message)
        self.book.forget_before(now - self.election.max_skew)

    def record_loans(self, limit: float) -> None:
        """Notes what is about to be lent."""
        for server in self.picture.servers:
            entry = self.homes.get(server.id)
            if entry is not None and server.keyed:
                self.book.lend(
                    entry=entry,
                    server=server.id,
                    version=self.version(server),
                    revision=self.revision,
                    limit=limit,
                )

    def version(self, server: topology.Server) -> int:
        """Returns the version of a server's assignment."""
        space = self.picture.spaces.get(server.pool)
        return space.versions.get(server.id, 0) if space else 0

    def hear(self, status: wire.Status) -> None:
        """Takes in an entry's answer."""
        self.roster.hear(status, self.clock.monotonic())
        if status.epoch == self.epoch:
            self.take_in(status)
        self.bring_up_to_date(status)

    def take_in(self, status: wire.Status) -> None:
        """Notes what an entry that acts on this reign's views says."""
        self.book.acknowledge(status.entry, status.revision)
        for report in status.servers:
            for version, deadline in report.sent.items():
                self.book.report(status.entry, report.server, version, deadline)
            if self.homes.get(report.server) == status.entry:
                self.reports[report.server] = report

    def bring_up_to_date(self, status: wire.Status) -> None:
        """Sends the view again to an entry that has not adopted it."""
        member = self.roster.members.get(status.entry)
        stamp = (status.epoch, status.revision)
        if member is None or stamp >= (self.epoch, self.revision):
            return
        if self.clock.monotonic() - member.view_sent_at > RESEND_SECONDS:
            self.send_view(member)

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
        bound = self.book.bound(server.id, version, revision)
        return self.clock.wall() > bound + self.election.max_skew
