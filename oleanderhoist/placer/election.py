"""Acquires, renews and gives up the leader lease in the table."""

import asyncio
from collections.abc import Callable
import dataclasses

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.clients import registration
from oleanderhoist.clients import table
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.policy import leadership

LEADER_KEY = "leader"
POLL_SECONDS = 0.1
ROSTER_SECONDS = 0.5
FORGET_SECONDS = 60.0
STANDBY_SECONDS = 3.0
TABLE_DOWN_SECONDS = 0.4

TABLE_UP = prometheus_client.Gauge(
    "oleander_table_up", "1 while the table answers this placer"
)
LEADING = prometheus_client.Gauge(
    "oleander_leading", "1 while this placer leads"
)


class Election:
    """Keeps one placer's part in the leadership.

    Args:
        own_id: Id of this placer.
        api_address: Where operators reach this placer.
        table: The table client.
        transport: Transport to peers.
        clock: Time source.
        max_skew: Greatest difference of clocks, in seconds.
        max_extension: Longest extension after a lease's end, in seconds.
        on_change: Called when leadership begins (True) or ends (False).
    """

    def __init__(
        self,
        *,
        own_id: str,
        api_address: str,
        table: table.TableClient,
        transport: transport.Transport,
        clock: clock.Clock,
        max_skew: float,
        max_extension: float,
        on_change: Callable[[bool], None],
    ):
        self.own_id = own_id
        self.api_address = api_address
        self.table = table
        self.transport = transport
        self.clock = clock
        self.max_skew = max_skew
        self.max_extension = max_extension
        self.on_change = on_change
        self.leading = False
        self.record: leadership.LeaderRecord | None = None
        self.version: int | None = None
        self.table_until = 0.0
        self.lent_until = 0.0
        self.extension: leadership.LeaseExtension | None = None
        self.takeover: leadership.Takeover | None = None
        self.promises = leadership.Promises(started_at=clock.wall())
        self.table_seen_at = clock.monotonic()
        self.attempted: leadership.LeaderRecord | None = None
        self.roster: dict[str, str] = {}
        self.heard: dict[str, float] = {}
        self.standby_until = 0.0
        self.stopping = False

    @property
    def epoch(self) -> int:
        """Epoch of the last known leader record."""
        return self.record.epoch if self.record else 0

    def authority(self) -> float:
        """Returns until when this placer may lend, wall-clock seconds."""
        if not self.leading or self.stopping:
            return 0.0
        if self.extension is None:
            return self.table_until
        limit = self.table_until + self.max_extension
        return max(self.table_until, min(self.extension.until(), limit))

    def on_standby(self) -> bool:
        """Tells whether this placer leaves the lead to others for a while."""
        return self.clock.monotonic() < self.standby_until

    def table_down(self) -> bool:
        """Tells whether the table has not answered this placer of late."""
        silent = self.clock.monotonic() - self.table_seen_at
        return silent > TABLE_DOWN_SECONDS

    async def run(self) -> None:
        """Takes part in the leadership until cancelled."""
        while True:
            try:
                if self.leading and self.on_standby():
                    await self.release("no entry answers")
                elif self.leading:
                    await self.renew()
                    await asyncio.sleep(leadership.RENEW_SECONDS)
                else:
                    await self.follow()
                    await asyncio.sleep(POLL_SECONDS)
            except table.TableError:
                TABLE_UP.set(0)
                await asyncio.sleep(POLL_SECONDS)

    async def watch_authority(self) -> None:
        """Ends leadership as soon as the authority has lapsed."""
        while True:
            await asyncio.sleep(POLL_SECONDS / 2)
            if not self.leading:
                continue
            if self.table_down():
                self.request_extension()
            if self.clock.wall() > self.authority():
                self.step_down("lease lapsed")

    async def refresh_roster(self) -> None:
        """While leading, follows the placers' records until cancelled."""
        while True:
            await asyncio.sleep(ROSTER_SECONDS)
            if not self.leading:
                continue
            try:
                await self.read_roster()
                await self.forget_silent()
            except table.TableError:
                TABLE_UP.set(0)

    async def read_roster(self) -> None:
        """Reads the placers' records.

        Raises:
            TableError: The table did not answer.
        """
        found = await self.table.scan(registration.PLACERS_PREFIX)
        self.seen()
        self.roster = {r.value["id"]: r.value["address"] for r in found}
        self.roster[self.own_id] = self.transport.address

    async def forget_silent(self) -> None:
        """Deletes the records of placers that have been silent for long.

        Raises:
            TableError: The table did not answer.
        """
        now = self.clock.monotonic()
        question = wire.FenceEpochs(placer=self.own_id, epoch=self.epoch)
        for placer, address in self.roster.items():
            heard = self.heard.setdefault(placer, now)
            if now - heard > FORGET_SECONDS:
                record = await self.table.get(
                    registration.PLACERS_PREFIX + placer
                )
                if record is not None:
                    await self.table.delete(record.key, expected=record.version)
            self.transport.send(address, question)

    def seen(self) -> None:
        """Notes that the table answered."""
        self.table_seen_at = self.clock.monotonic()
        TABLE_UP.set(1)

    async def follow(self) -> None:
        """Reads the leader record and takes over when it has lapsed."""
        found = await self.table.get(LEADER_KEY)
        self.seen()
        self.record = to_record(found.value) if found else None
        self.version = found.version if found else None
        now = self.clock.wall()
        if self.stopping or self.on_standby():
            return
        if not self.promises.may_lead(now, self.max_skew):
            return
        if self.record and now <= self.record.expires_at + self.max_skew:
            return
        await self.acquire(self.record)

    async def acquire(self, previous: leadership.LeaderRecord | None) -> None:
        """Tries to become leader."""
        await self.read_roster()
        record = leadership.LeaderRecord(
            epoch=previous.epoch + 1 if previous else 1,
            holder=self.own_id,
            peer_address=self.transport.address,
            api_address=self.api_address,
            expires_at=self.clock.wall() + leadership.LEASE_SECONDS,
            lent_until=previous.lent_until if previous else 0.0,
            roster=self.roster,
        )
        if not await self.write(record):
            return
        self.leading = True
        self.extension = None
        self.heard = {}
        self.lent_until = record.lent_until
        self.takeover = leadership.Takeover(
            previous=previous,
            max_skew=self.max_skew,
            max_extension=self.max_extension,
        )
        self.fence_earlier_epochs()
        LEADING.set(1)
        log.write(events.LEADER_ELECTED, placer=self.own_id, epoch=self.epoch)
        self.on_change(True)

    async def renew(self) -> None:
        """Extends the lease, or asks for a hold when the table is down."""
        self.fence_earlier_epochs()
        record = dataclasses.replace(
            self.record,
            expires_at=self.clock.wall() + leadership.LEASE_SECONDS,
            lent_until=self.lent_until,
        )
        if self.predecessors_expired():
            record = dataclasses.replace(record, roster=self.roster)
        if await self.write(record):
            self.extension = None
        elif self.leading and not await self.reread():
            self.step_down("lease was taken")

    async def reread(self) -> bool:
        """Adopts the version of an own write whose reply had been lost.

        Returns:
            False when another placer holds the lease.
        """
        found = await self.table.get(LEADER_KEY)
        if found is None:
            return False
        record = to_record(found.value)
        if (record.holder, record.epoch) != (self.own_id, self.epoch):
            return False
        self.version = found.version
        return True

    def predecessors_expired(self) -> bool:
        """Tells whether every earlier leader has surely stopped."""
        return self.clock.wall() > self.takeover.moves_allowed_after()

    async def write(self, record: leadership.LeaderRecord) -> bool:
        """Writes the leader record conditionally.

        Returns:
            False when another placer wrote it meanwhile.

        Raises:
            TableError: The table did not answer; the write stays unresolved.
        """
        self.attempted = record
        outcome = await self.table.put(
            LEADER_KEY, dataclasses.asdict(record), expected=self.version
        )
        match outcome:
            case table.Written(version=version):
                self.seen()
                self.version = version
                self.record = record
                self.table_until = record.expires_at
                return True
            case table.Conflict():
                self.seen()
                return False
        raise table.TableError("the leader record is unresolved")

    def fence_earlier_epochs(self) -> None:
        """Asks the earlier leader's roster to promise it nothing more."""
        message = wire.FenceEpochs(placer=self.own_id, epoch=self.epoch)
        for address in self.takeover.unfenced().values():
            self.transport.send(address, message)

    def request_extension(self) -> None:
        """Asks the roster for promises while the table is down."""
        if not self.leading:
            return
        if self.extension is None:
            rosters = [self.record.roster, self.attempted.roster]
            self.extension = leadership.LeaseExtension(rosters=rosters)
            log.write(events.LEADER_HOLDING, epoch=self.epoch)
        until = self.clock.wall() + leadership.PROMISE_SECONDS
        message = wire.ExtensionRequest(
            placer=self.own_id, epoch=self.epoch, until=until
        )
        for address in self.extension.addresses():
            self.transport.send(address, message)

    def step_down(self, reason: str) -> None:
        """Stops leading."""
        self.leading = False
        self.extension = None
        LEADING.set(0)
        log.write(events.LEADER_LOST, epoch=self.epoch, reason=reason)
        self.on_change(False)

    async def give_up(self) -> None:
        """Releases the lease at a graceful stop."""
        self.stopping = True
        await self.release("stopping")

    def retire(self) -> None:
        """Lets the lease be released, and others lead for a while."""
        self.standby_until = self.clock.monotonic() + STANDBY_SECONDS

    async def release(self, reason: str) -> None:
        """Stops leading and says so in the table."""
        if not self.leading:
            return
        self.step_down(reason)
        record = dataclasses.replace(
            self.record,
            expires_at=self.clock.wall() - self.max_skew,
            lent_until=max(self.lent_until, self.record.lent_until),
        )
        try:
            await self.write(record)
        except table.TableError:
            pass

    def receive(self, sender: str, message: wire.Message) -> None:
        """Answers the leadership messages of other placers."""
        now = self.clock.wall()
        match message:
            case wire.ExtensionRequest(epoch=epoch, until=until):
                granted = self.promises.request(
                    epoch, until, now, self.table_down()
                )
                answer = wire.ExtensionPromise(
                    placer=self.own_id,
                    epoch=epoch,
                    until=until,
                    granted=granted,
                )
                self.transport.send(sender, answer)
            case wire.ExtensionPromise(granted=True) if (
                self.extension is not None
            ):
                if message.epoch == self.epoch:
                    self.extension.promise(message.placer, message.until)
            case wire.FenceEpochs(epoch=epoch):
                until = self.promises.fence_epochs(epoch)
                answer = wire.EpochsFenced(
                    placer=self.own_id, epoch=epoch, until=until
                )
                self.transport.send(sender, answer)
            case wire.EpochsFenced() if message.epoch == self.epoch:
                self.heard[message.placer] = self.clock.monotonic()
                if self.takeover is not None:
                    self.takeover.record_fenced(message.placer, message.until)


def to_record(value: dict) -> leadership.LeaderRecord:
    """Converts a stored value."""
    fields = {
        field.name: value[field.name]
        for field in dataclasses.fields(leadership.LeaderRecord)
    }
    return leadership.LeaderRecord(**fields)
