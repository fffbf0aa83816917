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
HELLO_SECONDS = 0.5
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
        peers: Datagrams to the other routers.
        state: What this process knows.
        clock: Time source.
        lag: How late this process's own timers run.
        me: This process as a member.
        longest_hold: Longest lease that servers accept, in seconds.
        view_seconds: How old the view of servers and contracts may become.
        first_start: Whether no caller waits yet, so that a leader may be
            awaited; else this process reads the store at once.
        homes: Lanes hosted here, for their servers' speeds.
        router: Sends requests, for the keys that were asked for.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        peers: datagrams.Peers,
        state: state.State,
        clock: clock.Clock,
        lag: program.Lag,
        me: cluster.Member,
        longest_hold: float,
        view_seconds: float,
        first_start: bool,
        homes: coordinator.Homes,
        router: forwarder.Router,
    ):
        self.platform = platform
        self.peers = peers
        self.state = state
        self.clock = clock
        self.lag = lag
        self.me = me
        self.longest_hold = longest_hold
        self.homes = homes
        self.router = router
        self.terms_watch = contractwatch.TermsWatch(
            platform=platform, state=state
        )
        self.leader_address = ""
        self.epoch = 0
        # A new process has heard nobody, and need not wait to look around.
        self.heard = clock.monotonic() - candidacy.SILENCE_SECONDS
        self.age = 0.0
        self.fresh = False
        self.resigned = False
        self.led_before = False
        self.picture_parts = fragments.Assembly()
        self.terms_parts = fragments.Assembly()
        self.watch = candidacy.Watch()
        self.record_read = 0.0
        self.hurries = not first_start
        self.asked_whole = 0.0
        # Most successions are over before the last routers read by themselves.
        part = hashing.digest(me.address) / 2.0**64
        self.own_read_after = max(
            candidacy.SILENCE_SECONDS,
            view_seconds
            - OWN_READ_MARGIN_SECONDS
            + part * OWN_READ_SPREAD_SECONDS,
        )
        self.unfit_until = 0.0
        self.leading: leader.Leader | None = None
        self.stopping = False
        self.reader = storereader.Reader(
            platform=platform,
            state=state,
            clock=clock,
            terms_watch=self.terms_watch,
            meet=self.meet,
            read_at=clock.monotonic() if first_start else directory.NEVER,
        )
        self.reaching: asyncio.Task | None = None
        peers.handlers[wire.Beat] = self.on_beat
        peers.handlers[wire.Part] = self.on_part
        peers.handlers[wire.TermsPart] = self.on_terms
        peers.handlers[wire.Delta] = self.on_delta
        peers.handlers[wire.Hello] = self.on_hello

    def silent(self, now: float) -> float:
        """Returns for how long nothing fresh was heard, in seconds."""
        silence = now - self.heard - self.lag.recent()
        if self.age > candidacy.STALE_AGE_SECONDS:
            return max(silence, self.age)
        return silence

    async def run(self) -> None:
        """Follows, and leads when it is this process's turn."""
        hello = asyncio.create_task(self.say_hello())
        try:
            while True:
                await self.step()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            hello.cancel()

    async def step(self) -> None:
        """Looks once whether the leader is heard, and acts without it."""
        now = self.clock.monotonic()
        silence = self.silent(now)
        if silence < candidacy.WATCH_SECONDS and not self.resigned:
            return
        if self.fresh and silence >= candidacy.SILENCE_SECONDS:
            self.fresh = False
            log.write(
                events.LEADER_SILENT,
                leader=self.leader_address,
                silent_s=round(silence, 2),
                age_s=round(self.age, 2),
            )
        hurries = self.hurries and self.state.terms is None
        if hurries or silence > self.own_read_after:
            self.reader.read_soon(now)
        await self.consider(now)

    async def consider(self, now: float) -> None:
        """Tries to take the leadership when that is this process's turn."""
        if self.stopping or now < self.unfit_until:
            return
        if self.reader.running() and not self.state.picture.members:
            return  # The roster will tell who goes first.
        if now - self.record_read < RECORD_READ_SECONDS * self.reader.pause:
            return
        members = dict(self.state.picture.weights)
        members.pop(self.leader_address, None)
        delay = candidacy.delay(
            self.me.address, self.me.cores, members, self.epoch
        )
        if self.led_before:
            delay = 0.0  # Nobody else can lead sooner.
        silence = self.silent(now)
        if not self.resigned and silence < candidacy.WATCH_SECONDS + delay:
            return
        self.record_read = now
        try:
            rows = await self.platform.read_rows()
        except ports.StoreError:
            self.watch = candidacy.Watch()
            self.reader.back_off()
            return
        self.reader.pause = 1.0
        now = self.clock.monotonic()
        record = leaderstore.leadership_of(rows)
        row = rows.get(leaderstore.LEADER_KEY)
        self.watch.note(row.revision if row else 0, now)
        self.meet(record)
        vacant = not record.address or record.address == self.me.address
        if not vacant and self.watch.unchanged(now) < (
            candidacy.UNCHANGED_SECONDS
        ):
            return
        heard = self.silent(self.clock.monotonic()) < (
            candidacy.SILENCE_SECONDS
        )
        if heard and not self.resigned:
            return
        await self.take(rows, record)

    async def take(
        self, rows: dict[str, ports.Row], before: leaderstore.Leadership
    ) -> None:
        """Tries to take the leadership."""
        epoch = before.epoch + 1
        record = leaderstore.Leadership(epoch=epoch, address=self.me.address)
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
        right = leaderlease.Tenure(
            epoch=epoch,
            confirmed=sent,
            began=self.clock.boottime(),
            longest_hold=self.longest_hold,
        )
        if before.lapse_ms:
            now = self.clock.boottime()
            wait = self.platform.store_clock.wait(before.lapse_ms, now)
            right.lapsed = now + wait
        await self.lead(rows, right)

    async def lead(
        self, rows: dict[str, ports.Row], right: leaderlease.Tenure
    ) -> None:
        """Leads until replaced."""
        log.write(
            events.LEADERSHIP_TAKEN,
            epoch=right.epoch,
            members=len(self.state.picture.members),
        )
        self.epoch = right.epoch
        self.resigned = False
        self.leading = leader.Leader(
            platform=self.platform,
            peers=self.peers,
            state=self.state,
            clock=self.clock,
            lag=self.lag,
            me=self.me,
            rows=rows,
            tenure=right,
            terms_watch=self.terms_watch,
            store_failed=self.reader.failed,
        )
        reason = ""
        try:
            await self.leading.run()
        except* leaderstore.DeposedError as group:
            reason = str(group.exceptions[0])
        except* leader.ResignedError as group:
            reason = str(group.exceptions[0])
            self.unfit_until = self.clock.monotonic() + candidacy.UNFIT_SECONDS
            await self.leading.resign()
        finally:
            self.leading = None
            self.heard = self.clock.monotonic()
            self.watch = candidacy.Watch()
        log.write(events.LEADERSHIP_LOST, epoch=right.epoch, reason=reason)

    async def stop(self) -> None:
        """Leaves: gives up a leadership, or tells the leader."""
        self.stopping = True
        if self.leading is not None:
            await self.leading.resign()
        elif self.leader_address:
            self.peers.send(self.leader_address, self.hello(leaving=True))

    def meet(self, record: leaderstore.Leadership) -> None:
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
            self.peers.send(record.address, self.hello())

    def hello(self, *, leaving: bool = False) -> wire.Hello:
        """Returns what this process tells the leader now."""
        seen = self.router.seen_keys
        self.router.seen_keys = {}
        return wire.Hello(
            data_center=self.me.data_center,
            cores=self.me.cores,
            epoch=self.state.picture.epoch,
            version=self.state.picture.version,
            keys=seen,
            speeds=self.homes.speeds(),
            leaving=leaving,
            terms=self.state.terms_revision,
        )

    async def say_hello(self) -> None:
        """Tells the leader regularly that this process lives."""
        while True:
            await asyncio.sleep(HELLO_SECONDS)
            if self.stopping:
                return
            if self.leading is not None:
                hello = self.hello()
                self.leading.note_load(hello.keys, hello.speeds)
            elif self.leader_address:
                self.peers.send(self.leader_address, self.hello())

    def on_hello(self, peer: str, message: wire.Hello) -> None:
        """Hands a member's hello to the leadership, if there is one."""
        if self.leading is not None:
            self.leading.on_hello(peer, message)

    def on_beat(self, peer: str, message: wire.Beat) -> None:
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
            self.peers.send(peer, self.hello())
        self.heard = self.clock.monotonic()
        self.age = message.age_ms / 1000
        self.state.confirmed = self.heard - self.age
        if not self.fresh and self.age < candidacy.STALE_AGE_SECONDS:
            self.fresh = True
            log.write(events.LEADER_HEARD, leader=peer, epoch=message.epoch)
        if message.terms > self.state.terms_revision:
            self.reach(message.terms)

    def reach(self, revision: int) -> None:
        """Starts to get newer contracts."""
        if self.reaching is None or self.reaching.done():
            self.reaching = asyncio.create_task(self.get_terms(revision))

    async def get_terms(self, revision: int) -> None:
        """Gets contracts from the leader, or else from the store."""
        if await self.state.wait_terms(revision, ARRIVAL_SECONDS):
            return
        self.peers.send(self.leader_address, self.hello())
        if not await self.state.wait_terms(revision, RELAY_SECONDS):
            await self.terms_watch.reach(revision)

    def on_delta(self, peer: str, message: wire.Delta) -> None:
        """Applies a change to the picture that it is for."""
        present = self.state.picture
        if self.leading is not None or message.epoch < self.epoch:
            return
        base = (message.base_epoch, message.base_version)
        if base == (present.epoch, present.version):
            self.state.adopt(
                snapshots.apply(present, message, leader=peer), peer
            )
            return
        newer = (message.epoch, message.version)
        if newer > (present.epoch, present.version):
            self.ask_whole(peer)

    def ask_whole(self, peer: str) -> None:
        """Asks the leader for the whole picture, but not too often."""
        now = self.clock.monotonic()
        if now - self.asked_whole >= ASK_WHOLE_SECONDS:
            self.asked_whole = now
            self.peers.send(peer, self.hello())

    def on_part(self, peer: str, message: wire.Part) -> None:
        """Takes a part of a picture, and adopts it once it is whole."""
        name = (message.epoch, message.version)
        present = (self.state.picture.epoch, self.state.picture.version)
        if name <= present or self.leading is not None:
            return
        try:
            data = self.picture_parts.add(
                name, message.index, message.count, message.data
            )
            if data is None:
                return
            picture = snapshots.unpack(
                data,
                epoch=message.epoch,
                version=message.version,
                leader=peer,
            )
        except wire.DecodeError as error:
            log.write(events.DATAGRAM_MALFORMED, peer=peer, reason=str(error))
            return
        self.state.adopt(picture, peer)

    def on_terms(self, peer: str, message: wire.TermsPart) -> None:
        """Takes a part of contracts, and adopts them once they are whole."""
        if message.revision <= self.state.terms_revision:
            return
        try:
            data = self.terms_parts.add(
                (message.revision,), message.index, message.count, message.data
            )
            if data is None:
                return
            document = contractcodec.unpack(data, revision=message.revision)
        except wire.DecodeError as error:
            log.write(events.DATAGRAM_MALFORMED, peer=peer, reason=str(error))
            return
        self.state.adopt_terms(document, peer)
