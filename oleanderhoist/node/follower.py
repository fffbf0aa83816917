"""Follows the leader, falls back to the store, and stands for election."""

import asyncio
import math

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import coldservers
from oleanderhoist.node import contractwatch
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import departurenews
from oleanderhoist.node import directory
from oleanderhoist.node import election
from oleanderhoist.node import forwarder
from oleanderhoist.node import freshness
from oleanderhoist.node import leader
from oleanderhoist.node import leaderstore
from oleanderhoist.node import state
from oleanderhoist.node import storereader
from oleanderhoist.node import updates
from oleanderhoist.node import wire
from oleanderhoist.policy import candidacy
from oleanderhoist.policy import cluster
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import storeeras
from oleanderhoist.policy import succession

TICK_SECONDS = 0.1
MEMBER_REPORT_INTERVAL_SECONDS = 0.5
RECORD_READ_INTERVAL_SECONDS = 0.65


class Follower:
    """Keeps the state of this router current, and leads when elected.

    Args:
        platform: Store, directory and lease channels.
        datagrams: Datagrams to the other routers.
        state: Snapshot and contracts of this router.
        clock: Time source.
        lag: Delay of this router's own timers.
        own_member: This router as a member.
        max_lease_seconds: Longest lease that servers accept, in seconds.
        propagation_seconds: Maximum age of the snapshot and the contracts, in
            seconds.
        bootstrap: Whether no caller waits yet, so that the router may wait
            for a leader; otherwise it reads the store at once.
        coordinator: Reports the service times of the servers.
        forwarder: Reports the requested keys.
        cold_terms: What holds for cold servers.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        clock: clock.Clock,
        lag: program.LoopLag,
        own_member: cluster.Member,
        max_lease_seconds: float,
        propagation_seconds: float,
        bootstrap: bool,
        coordinator: coordinator.Coordinator,
        forwarder: forwarder.Forwarder,
        cold_terms: coldservers.ColdTerms = coldservers.DEFAULT_TERMS,
    ):
        self.platform = platform
        self.datagrams = datagrams
        self.state = state
        self.clock = clock
        self.lag = lag
        self.own_member = own_member
        self.max_lease_seconds = max_lease_seconds
        self.coordinator = coordinator
        self.forwarder = forwarder
        self.cold_terms = cold_terms
        self.contract_watch = contractwatch.ContractWatch(
            platform=platform, state=state, clock=clock
        )
        self.departure_news = departurenews.DepartureNews(
            datagrams=datagrams, state=state, clock=clock
        )
        self.leader_address = ""
        self.epoch = 0
        self.freshness = freshness.Freshness(
            state=state,
            clock=clock,
            store_clock=platform.store_clock,
            lag=lag,
            own_address=own_member.address,
            propagation_seconds=propagation_seconds,
        )
        self.leader_available = False
        self.leader_resigned = False
        self.led_before = False
        self.record_watch = candidacy.RecordWatch()
        self.record_read_at = 0.0
        self.reads_immediately = not bootstrap
        self.ineligible_until = 0.0
        self.election = election.Election(
            platform=platform, clock=clock, own_address=own_member.address
        )
        self.leadership: leader.Leader | None = None
        self.stopping = False
        self.store_reader = storereader.StoreReader(
            platform=platform,
            state=state,
            clock=clock,
            contract_watch=self.contract_watch,
            on_record=self.follow_recorded_leader,
            started_at=clock.monotonic() if bootstrap else directory.NEVER,
        )
        self.updates = updates.UpdateReceiver(
            state=state,
            clock=clock,
            contract_watch=self.contract_watch,
            send_report=self.send_report,
        )
        datagrams.handlers[wire.Heartbeat] = self.on_heartbeat
        datagrams.handlers[wire.SnapshotFragment] = self.on_snapshot_fragment
        datagrams.handlers[wire.ContractsFragment] = self.on_contracts_fragment
        datagrams.handlers[wire.Delta] = self.on_delta
        datagrams.handlers[wire.MemberReport] = self.on_member_report

    def read_store_if_due(self, now: float) -> None:
        """Starts to read the store if what this router believes is too old."""
        if (
            self.freshness.store_overdue(now)
            or self.freshness.snapshot_overdue()
            or (self.reads_immediately and self.state.contracts is None)
        ):
            self.store_reader.start_read(now)
        elif self.freshness.contracts_overdue():
            self.store_reader.start_read(now, contracts_only=True)

    async def run(self) -> None:
        """Follows the leader, and leads when this router is elected."""
        tasks = [
            asyncio.create_task(program.supervise(name, run))
            for name, run in (
                ("reports", self.send_member_reports),
                ("evacuations", self.contract_watch.evacuation_news.run),
            )
        ]
        try:
            while True:
                await self.step()
                if self.stopping:
                    await self.election.withdraw()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            for task in tasks:
                task.cancel()

    async def step(self) -> None:
        """Checks for the leader once, and acts if it is unavailable."""
        now = self.clock.monotonic()
        staleness = self.freshness.staleness(now)
        self.read_store_if_due(now)
        if (
            staleness < candidacy.RECORD_CHECK_SECONDS
            and not self.leader_resigned
        ):
            return
        if (
            self.leader_available
            and staleness >= candidacy.LEADER_TIMEOUT_SECONDS
        ):
            self.leader_available = False
            log.write(
                events.LEADER_SILENT,
                leader=self.leader_address,
                silent_s=round(staleness, 2),
                age_s=round(self.freshness.announced.age, 2),
            )
        await self.campaign_if_due(now)

    async def campaign_if_due(self, now: float) -> None:
        """Tries to acquire the leadership if it is this router's turn."""
        if self.stopping or now < self.ineligible_until:
            return
        if self.store_reader.is_running() and not self.state.snapshot.members:
            return  # The roster determines the order of candidates.
        if (
            now - self.record_read_at
            < RECORD_READ_INTERVAL_SECONDS * self.store_reader.backoff_factor
        ):
            return
        members = dict(self.state.snapshot.cores_by_member)
        members.pop(self.leader_address, None)
        delay = candidacy.election_delay(
            self.own_member.address, self.own_member.cores, members, self.epoch
        )
        if self.led_before:
            delay = 0.0  # No other router can lead sooner.
        staleness = self.freshness.staleness(now)
        if (
            not self.leader_resigned
            and staleness < candidacy.RECORD_CHECK_SECONDS + delay
        ):
            return
        self.record_read_at = now
        try:
            stored = await self.platform.read_rows()
        except ports.StoreError:
            self.record_watch = candidacy.RecordWatch()
            self.store_reader.back_off()
            return
        self.store_reader.backoff_factor = 1.0
        now = self.clock.monotonic()
        record = leaderstore.leadership_of(stored.rows)
        self.record_watch.observe(self.recorded_state(stored, record), now)
        self.follow_recorded_leader(record)
        is_vacant = record.address in ("", self.own_member.address)
        if not succession.is_current(record.facts(), self.known_at(stored)):
            is_vacant = False  # The latest leader may be about to restore it.
        if not is_vacant and self.record_watch.unchanged(now) < (
            candidacy.RECORD_UNCHANGED_SECONDS
        ):
            return
        has_leader = self.freshness.staleness(self.clock.monotonic()) < (
            candidacy.LEADER_TIMEOUT_SECONDS
        )
        if has_leader and not self.leader_resigned:
            return
        await self.acquire_leadership(stored, record)

    def known_at(self, stored: ports.OwnRows) -> succession.Knowledge:
        """Returns what this router knows when it has read the rows."""
        return succession.Knowledge.at_read(
            self.platform.store_eras, epoch=self.epoch, era=stored.revision.era
        )

    def recorded_state(
        self, stored: ports.OwnRows, record: leaderstore.LeadershipRecord
    ) -> storeeras.Revision | tuple[int, str]:
        """Returns what must change if the recorded leader is in force.

        One that was replaced goes on to renew its record, if the store came
        back from a copy and knows nothing of the later leader.
        """
        if record.epoch < self.epoch:
            return record.epoch, record.address
        return stored.revision_of(leaderstore.LEADER_KEY)

    async def acquire_leadership(
        self,
        stored: ports.OwnRows,
        predecessor: leaderstore.LeadershipRecord,
    ) -> None:
        """Tries to acquire the leadership, unless this router stops."""
        if self.stopping:
            return
        facts, known = predecessor.facts(), self.known_at(stored)
        candidacy = election.Candidacy(
            predecessor=predecessor,
            replaced_revision=stored.revision_of(leaderstore.LEADER_KEY),
            epoch=succession.next_epoch(facts, known),
            is_current=succession.is_current(facts, known),
            max_lease_seconds=self.max_lease_seconds,
        )
        try:
            if not await self.election.stand(candidacy) or self.stopping:
                return
            sent_at = self.clock.boottime()
            stored = await self.platform.read_rows()
        except ports.StoreError as error:
            log.write(events.LEADERSHIP_FAILED, reason=str(error))
            return
        if self.election.is_won(candidacy, stored) and not self.stopping:
            leader_lease = self.election.leader_lease(candidacy, sent_at)
            await self.lead(stored, leader_lease, candidacy.is_current)

    async def lead(
        self,
        stored: ports.OwnRows,
        leader_lease: leaderlease.LeaderLease,
        owners_known: bool,
    ) -> None:
        """Leads until deposed or resigned."""
        log.write(
            events.LEADERSHIP_TAKEN,
            epoch=leader_lease.epoch,
            members=len(self.state.snapshot.members),
        )
        self.epoch = leader_lease.epoch
        self.election.candidacy = None
        self.leader_resigned = False
        self.leadership = leader.Leader(
            platform=self.platform,
            datagrams=self.datagrams,
            state=self.state,
            clock=self.clock,
            lag=self.lag,
            own_member=self.own_member,
            stored=stored,
            owners_known=owners_known,
            leader_lease=leader_lease,
            contract_watch=self.contract_watch,
            store_last_failure_at=self.store_reader.last_failure_at,
            departure_news=self.departure_news,
            cold_terms=self.cold_terms,
        )
        reason = ""
        try:
            await self.leadership.run()
        except* leaderstore.DeposedError as group:
            reason = str(group.exceptions[0])
        except* leader.ResignedError as group:
            reason = str(group.exceptions[0])
            self.ineligible_until = (
                self.clock.monotonic() + candidacy.INELIGIBLE_SECONDS
            )
            await self.leadership.resign()
        finally:
            self.leadership = None
            self.freshness.last_heartbeat_at = self.clock.monotonic()
            self.record_watch = candidacy.RecordWatch()
        log.write(
            events.LEADERSHIP_LOST, epoch=leader_lease.epoch, reason=reason
        )

    async def stop(self) -> None:
        """Resigns as leader, or reports to the leader that it stops."""
        self.stopping = True
        if self.leadership is not None:
            await self.leadership.resign(insist=True)
        elif self.leader_address:
            self.send_report(self.leader_address)

    def follow_recorded_leader(
        self, record: leaderstore.LeadershipRecord
    ) -> None:
        """Follows the leader that the store records, and reports to it."""
        followed = (self.epoch, self.leader_address)
        if record.epoch < self.epoch or not record.address:
            return
        self.led_before = record.address == self.own_member.address
        if self.led_before:
            return
        if (record.epoch, record.address) != followed:
            self.epoch = record.epoch
            self.leader_address = record.address
            self.send_report(record.address)

    def send_report(self, peer: str) -> None:
        """Sends a member report to a peer."""
        self.datagrams.send(peer, self.member_report())

    def member_report(self) -> wire.MemberReport:
        """Returns a member report; clears the requested keys.

        Each report of a router that stops says so: to a new leader, an ordinary
        one would make it a member again, and the first may be lost.
        """
        requested_keys = self.forwarder.seen_keys
        self.forwarder.seen_keys = {}
        return wire.MemberReport(
            data_center=self.own_member.data_center,
            cores=self.own_member.cores,
            epoch=self.state.snapshot.epoch,
            version=self.state.snapshot.version,
            keys=requested_keys,
            service_ms=self.coordinator.service_times_ms(),
            leaving=self.stopping,
            contracts_revision=self.state.contracts_revision,
            departed=self.departure_news.named(),
            contracts_version=self.state.contracts_version,
            coordination=self.own_member.coordination,
        )

    async def send_member_reports(self) -> None:
        """Reports to the leader at regular intervals."""
        while True:
            await asyncio.sleep(MEMBER_REPORT_INTERVAL_SECONDS)
            if self.leadership is not None:
                report = self.member_report()
                self.leadership.record_load(report.keys, report.service_ms)
            elif self.leader_address:
                self.send_report(self.leader_address)

    def on_member_report(self, peer: str, message: wire.MemberReport) -> None:
        """Handles a member report if this router leads."""
        if self.leadership is not None:
            self.leadership.on_member_report(peer, message)

    def on_heartbeat(self, peer: str, message: wire.Heartbeat) -> None:
        """Handles a heartbeat."""
        if self.leadership is not None:
            if message.epoch > self.epoch:
                self.leadership.deposed.set()
                if self.stopping:
                    self.send_report(peer)
            return
        if message.epoch < self.epoch:
            return
        self.leader_resigned = message.resigned
        if (message.epoch, peer) != (self.epoch, self.leader_address):
            self.epoch = message.epoch
            self.leader_address = peer
            self.send_report(peer)
        self.contract_watch.evacuation_news.hear(peer, message)
        self.freshness.hear(message)
        if (
            not self.leader_available
            and self.freshness.announced.age < candidacy.STALE_AGE_SECONDS
        ):
            self.leader_available = True
            log.write(events.LEADER_HEARD, leader=peer, epoch=message.epoch)
        named = freshness.named_contracts(message)
        is_rejected = self.state.rejected_revision is not None
        if not is_rejected and not self.state.has_contracts(named):
            self.updates.start_contracts_fetch(self.leader_address, named)

    def on_contracts_fragment(
        self, peer: str, message: wire.ContractsFragment
    ) -> None:
        """Handles a fragment of contracts.

        Requests are served from the first contracts on. A new process waits
        with them until it may know of evacuations.
        """
        if self.freshness.has_heard or not math.isinf(
            self.state.evacuations_confirmation.at
        ):
            self.updates.on_contracts_fragment(peer, message)

    def on_delta(self, peer: str, message: wire.Delta) -> None:
        """Handles a delta unless this router leads or it is outdated."""
        if self.leadership is None and message.epoch >= self.epoch:
            self.updates.on_delta(peer, message)

    def on_snapshot_fragment(
        self, peer: str, message: wire.SnapshotFragment
    ) -> None:
        """Handles a fragment of a snapshot unless this router leads."""
        if self.leadership is None:
            self.updates.on_snapshot_fragment(peer, message)
