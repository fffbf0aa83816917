"""Follows the leader, reads the store itself without one, and succeeds it."""

import asyncio

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import contractcodec
from oleanderhoist.node import contractwatch
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import directory
from oleanderhoist.node import forwarder
from oleanderhoist.node import fragments
from oleanderhoist.node import leader
from oleanderhoist.node import leaderstore
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import storereader
from oleanderhoist.node import wire
from oleanderhoist.policy import candidacy
from oleanderhoist.policy import cluster
from oleanderhoist.policy import hashing
from oleanderhoist.policy import leaderlease

TICK_SECONDS = 0.1
MEMBER_REPORT_SECONDS = 0.5
OWN_READ_MARGIN_SECONDS = 0.75  # To read, and for what was missed before.
OWN_READ_SPREAD_SECONDS = 0.35
RECORD_READ_SECONDS = 0.65
ASK_WHOLE_SECONDS = 0.2
ARRIVAL_SECONDS = 0.03  # For contracts that were sent beside a beat.
RELAY_SECONDS = 0.15  # Until contracts that were asked for must be here.


class Follower:
    """Keeps this process's state fresh, and its leadership when it has one.

    Args:
        platform: Store, directory and orders.
        datagrams: Datagrams to the other routers.
        state: What this process knows.
        clock: Time source.
        lag: How late this process's own timers run.
        me: This process as a member.
        max_lease_seconds: Longest lease that servers accept, in seconds.
        propagation_seconds: How old the snapshot and the contracts may
            become, in seconds.
        bootstrap: Whether no caller waits yet, so that a leader may be
            awaited; else this process reads the store at once.
        coordinator: Slot queues hosted here, for their servers' speeds.
        forwarder: Sends requests, for the keys that were asked for.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        clock: clock.Clock,
        lag: program.LoopLag,
        me: cluster.Member,
        max_lease_seconds: float,
        propagation_seconds: float,
        bootstrap: bool,
        coordinator: coordinator.Coordinator,
        forwarder: forwarder.Forwarder,
    ):
        self.platform = platform
        self.datagrams = datagrams
        self.state = state
        self.clock = clock
        self.lag = lag
        self.me = me
        self.max_lease_seconds = max_lease_seconds
        self.coordinator = coordinator
        self.forwarder = forwarder
        self.contract_watch = contractwatch.ContractWatch(
            platform=platform, state=state
        )
        self.leader_address = ""
        self.epoch = 0
        # A new process has heard nobody, and need not wait to look around.
        self.heard = clock.monotonic() - candidacy.LEADER_TIMEOUT_SECONDS
        self.age = 0.0
        self.fresh = False
        self.resigned = False
        self.led_before = False
        self.snapshot_fragments = fragments.Reassembler()
        self.contracts_fragments = fragments.Reassembler()
        self.watch = candidacy.RecordWatch()
        self.record_read = 0.0
        self.hurries = not bootstrap
        self.asked_whole = 0.0
        # Most successions are over before the last routers read by themselves.
        part = hashing.digest(me.address) / 2.0**64
        self.own_read_after = max(
            candidacy.LEADER_TIMEOUT_SECONDS,
            propagation_seconds
            - OWN_READ_MARGIN_SECONDS
            + part * OWN_READ_SPREAD_SECONDS,
        )
        self.ineligible_until = 0.0
        self.leading: leader.Leader | None = None
        self.stopping = False
        self.reader = storereader.StoreReader(
            platform=platform,
            state=state,
            clock=clock,
            contract_watch=self.contract_watch,
            meet=self.meet,
            read_at=clock.monotonic() if bootstrap else directory.NEVER,
        )
        self.reaching: asyncio.Task | None = None
        datagrams.handlers[wire.Heartbeat] = self.on_heartbeat
        datagrams.handlers[wire.SnapshotFragment] = self.on_snapshot_fragment
        datagrams.handlers[wire.ContractsFragment] = self.on_contracts_fragment
        datagrams.handlers[wire.Delta] = self.on_delta
        datagrams.handlers[wire.MemberReport] = self.on_member_report

    def silent(self, now: float) -> float:
        """Returns for how long nothing fresh was heard, in seconds."""
        silence = now - self.heard - self.lag.recent_max()
        if self.age > candidacy.STALE_AGE_SECONDS:
            return max(silence, self.age)
        return silence

    async def run(self) -> None:
        """Follows, and leads when it is this process's turn."""
        reporting = asyncio.create_task(self.send_member_report())
        try:
            while True:
                await self.step()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            reporting.cancel()

    async def step(self) -> None:
        """Looks once whether the leader is heard, and acts without it."""
        now = self.clock.monotonic()
        silence = self.silent(now)
        if silence < candidacy.RECORD_CHECK_SECONDS and not self.resigned:
            return
        if self.fresh and silence >= candidacy.LEADER_TIMEOUT_SECONDS:
            self.fresh = False
            log.write(
                events.LEADER_SILENT,
                leader=self.leader_address,
                silent_s=round(silence, 2),
                age_s=round(self.age, 2),
            )
        hurries = self.hurries and self.state.contracts is None
        if hurries or silence > self.own_read_after:
            self.reader.read_soon(now)
        await self.consider(now)

    async def consider(self, now: float) -> None:
        """Tries to take the leadership when that is this process's turn."""
        if self.stopping or now < self.ineligible_until:
            return
        if self.reader.running() and not self.state.snapshot.members:
            return  # The roster will tell who goes first.
        if now - self.record_read < RECORD_READ_SECONDS * self.reader.pause:
            return
        members = dict(self.state.snapshot.weights)
        members.pop(self.leader_address, None)
        delay = candidacy.election_delay(
            self.me.address, self.me.cores, members, self.epoch
        )
        if self.led_before:
            delay = 0.0  # Nobody else can lead sooner.
        silence = self.silent(now)
        if (
            not self.resigned
            and silence < candidacy.RECORD_CHECK_SECONDS + delay
        ):
            return
        self.record_read = now
        try:
            rows = await self.platform.read_rows()
        except ports.StoreError:
            self.watch = candidacy.RecordWatch()
            self.reader.back_off()
            return
        self.reader.pause = 1.0
        now = self.clock.monotonic()
        record = leaderstore.leadership_of(rows)
        row = rows.get(leaderstore.LEADER_KEY)
        self.watch.observe(row.revision if row else 0, now)
        self.meet(record)
        vacant = not record.address or record.address == self.me.address
        if not vacant and self.watch.unchanged(now) < (
            candidacy.UNCHANGED_SECONDS
        ):
            return
        heard = self.silent(self.clock.monotonic()) < (
            candidacy.LEADER_TIMEOUT_SECONDS
        )
        if heard and not self.resigned:
            return
        await self.take(rows, record)

    async def take(
        self, rows: dict[str, ports.Row], before: leaderstore.LeadershipRecord
    ) -> None:
        """Tries to take the leadership."""
        epoch = before.epoch + 1
        record = leaderstore.LeadershipRecord(
            epoch=epoch, address=self.me.address
        )
        row = rows.get(leaderstore.LEADER_KEY)
        try:
            result = await self.platform.write_rows(
                {leaderstore.LEADER_KEY: leaderstore.encode_leadership(record)},
                {leaderstore.LEADER_KEY: row.revision if row else 0},
            )
            if isinstance(result, ports.Conflict):
                log.write(events.LEADERSHIP_FAILED, reason="conflict")
                return
            sent = self.clock.boottime()
            rows = await self.platform.read_rows()
        except ports.StoreError as error:
            log.write(events.LEADERSHIP_FAILED, reason=str(error))
            return
        if leaderstore.leadership_of(rows).epoch != epoch:
            return
        leader_lease = leaderlease.LeaderLease(
            epoch=epoch,
            confirmed_at=sent,
            began_at=self.clock.boottime(),
            max_lease_seconds=self.max_lease_seconds,
        )
        if before.lapse_ms:
            now = self.clock.boottime()
            wait = self.platform.store_clock.seconds_until(before.lapse_ms, now)
            leader_lease.predecessors_expired_at = now + wait
        await self.lead(rows, leader_lease)

    async def lead(
        self, rows: dict[str, ports.Row], leader_lease: leaderlease.LeaderLease
    ) -> None:
        """Leads until replaced."""
        log.write(
            events.LEADERSHIP_TAKEN,
            epoch=leader_lease.epoch,
            members=len(self.state.snapshot.members),
        )
        self.epoch = leader_lease.epoch
        self.resigned = False
        self.leading = leader.Leader(
            platform=self.platform,
            datagrams=self.datagrams,
            state=self.state,
            clock=self.clock,
            lag=self.lag,
            me=self.me,
            rows=rows,
            leader_lease=leader_lease,
            contract_watch=self.contract_watch,
            store_failed=self.reader.failed,
        )
        reason = ""
        try:
            await self.leading.run()
        except* leaderstore.DeposedError as group:
            reason = str(group.exceptions[0])
        except* leader.ResignedError as group:
            reason = str(group.exceptions[0])
            self.ineligible_until = (
                self.clock.monotonic() + candidacy.INELIGIBLE_SECONDS
            )
            await self.leading.resign()
        finally:
            self.leading = None
            self.heard = self.clock.monotonic()
            self.watch = candidacy.RecordWatch()
        log.write(
            events.LEADERSHIP_LOST, epoch=leader_lease.epoch, reason=reason
        )

    async def stop(self) -> None:
        """Leaves: gives up a leadership, or tells the leader."""
        self.stopping = True
        if self.leading is not None:
            await self.leading.resign()
        elif self.leader_address:
            self.datagrams.send(
                self.leader_address, self.member_report(leaving=True)
            )

    def meet(self, record: leaderstore.LeadershipRecord) -> None:
        """Greets the leader that the store names, unless it is known."""
        known = (self.epoch, self.leader_address)
        if record.epoch < self.epoch or not record.address:
            return
        self.led_before = record.address == self.me.address
        if self.led_before:
            return
        if (record.epoch, record.address) != known:
            self.epoch = record.epoch
            self.leader_address = record.address
            self.datagrams.send(record.address, self.member_report())

    def member_report(self, *, leaving: bool = False) -> wire.MemberReport:
        """Returns what this process tells the leader now."""
        seen = self.forwarder.seen_keys
        self.forwarder.seen_keys = {}
        return wire.MemberReport(
            data_center=self.me.data_center,
            cores=self.me.cores,
            epoch=self.state.snapshot.epoch,
            version=self.state.snapshot.version,
            keys=seen,
            service_ms=self.coordinator.service_times_ms(),
            leaving=leaving,
            contracts_revision=self.state.contracts_revision,
        )

    async def send_member_report(self) -> None:
        """Tells the leader regularly that this process lives."""
        while True:
            await asyncio.sleep(MEMBER_REPORT_SECONDS)
            if self.stopping:
                return
            if self.leading is not None:
                report = self.member_report()
                self.leading.note_load(report.keys, report.service_ms)
            elif self.leader_address:
                self.datagrams.send(self.leader_address, self.member_report())

    def on_member_report(self, peer: str, message: wire.MemberReport) -> None:
        """Hands a member's report to the leadership, if there is one."""
        if self.leading is not None:
            self.leading.on_member_report(peer, message)

    def on_heartbeat(self, peer: str, message: wire.Heartbeat) -> None:
        """Takes in that a leader lives."""
        if self.leading is not None:
            if message.epoch > self.epoch:
                self.leading.deposed.set()
            return
        if message.epoch < self.epoch:
            return
        self.resigned = message.resigned
        if (message.epoch, peer) != (self.epoch, self.leader_address):
            self.epoch = message.epoch
            self.leader_address = peer
            self.datagrams.send(peer, self.member_report())
        self.heard = self.clock.monotonic()
        self.age = message.age_ms / 1000
        self.state.confirmed_at = self.heard - self.age
        if not self.fresh and self.age < candidacy.STALE_AGE_SECONDS:
            self.fresh = True
            log.write(events.LEADER_HEARD, leader=peer, epoch=message.epoch)
        if message.contracts_revision > self.state.contracts_revision:
            self.reach(message.contracts_revision)

    def reach(self, revision: int) -> None:
        """Starts to get newer contracts."""
        if self.reaching is None or self.reaching.done():
            self.reaching = asyncio.create_task(self.get_contracts(revision))

    async def get_contracts(self, revision: int) -> None:
        """Gets contracts from the leader, or else from the store."""
        if await self.state.wait_for_contracts(revision, ARRIVAL_SECONDS):
            return
        self.datagrams.send(self.leader_address, self.member_report())
        if not await self.state.wait_for_contracts(revision, RELAY_SECONDS):
            await self.contract_watch.reach(revision)

    def on_delta(self, peer: str, message: wire.Delta) -> None:
        """Applies a change to the snapshot that it is for."""
        present = self.state.snapshot
        if self.leading is not None or message.epoch < self.epoch:
            return
        base = (message.base_epoch, message.base_version)
        if base == (present.epoch, present.version):
            self.state.adopt_snapshot(
                snapshots.apply(present, message, leader=peer), peer
            )
            return
        newer = (message.epoch, message.version)
        if newer > (present.epoch, present.version):
            self.ask_whole(peer)

    def ask_whole(self, peer: str) -> None:
        """Asks the leader for the whole snapshot, but not too often."""
        now = self.clock.monotonic()
        if now - self.asked_whole >= ASK_WHOLE_SECONDS:
            self.asked_whole = now
            self.datagrams.send(peer, self.member_report())

    def on_snapshot_fragment(
        self, peer: str, message: wire.SnapshotFragment
    ) -> None:
        """Takes a part of a snapshot, and adopts it once it is whole."""
        name = (message.epoch, message.version)
        present = (self.state.snapshot.epoch, self.state.snapshot.version)
        if name <= present or self.leading is not None:
            return
        try:
            data = self.snapshot_fragments.add(
                name, message.index, message.count, message.data
            )
            if data is None:
                return
            snapshot = snapshots.unpack(
                data,
                epoch=message.epoch,
                version=message.version,
                leader=peer,
            )
        except wire.DecodeError as error:
            log.write(events.DATAGRAM_MALFORMED, peer=peer, reason=str(error))
            return
        self.state.adopt_snapshot(snapshot, peer)

    def on_contracts_fragment(
        self, peer: str, message: wire.ContractsFragment
    ) -> None:
        """Takes a part of contracts, and adopts them once they are whole."""
        if message.revision <= self.state.contracts_revision:
            return
        try:
            data = self.contracts_fragments.add(
                (message.revision,), message.index, message.count, message.data
            )
            if data is None:
                return
            document = contractcodec.unpack(data, revision=message.revision)
        except wire.DecodeError as error:
            log.write(events.DATAGRAM_MALFORMED, peer=peer, reason=str(error))
            return
        self.state.adopt_contracts(document, peer)
