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
POLL_INTERVAL_SECONDS = 0.1
EXPIRY_POLL_SECONDS = POLL_INTERVAL_SECONDS / 2
VOTERS_INTERVAL_SECONDS = 0.5
PLACER_TIMEOUT_SECONDS = 60.0
STANDBY_SECONDS = 3.0
TABLE_DOWN_AFTER_SECONDS = 0.4

TABLE_UP = prometheus_client.Gauge(
    "oleander_table_up", "1 while the table answers this placer"
)
LEADING = prometheus_client.Gauge(
    "oleander_leading", "1 while this placer leads"
)


class Election:
    """Runs the leader election on behalf of one placer.

    Args:
        own_id: Id of this placer.
        api_address: Address of this placer's administration API.
        table: The table client.
        transport: Transport to peers.
        clock: Time source.
        max_skew: Largest clock difference between processes, in seconds.
        max_extension: Longest extension past the end of a lease, in
            seconds.
        on_change: Called with True when leadership begins, with False when
            it ends.
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
        self.table_lease_expires_at = 0.0
        self.delegated_until = 0.0
        self.extension: leadership.LeaseExtension | None = None
        self.takeover: leadership.Takeover | None = None
        self.promises = leadership.Promises(started_at=clock.wall())
        self.table_seen_at = clock.monotonic()
        self.attempted_record: leadership.LeaderRecord | None = None
        self.voters: dict[str, str] = {}
        self.heard_at: dict[str, float] = {}
        self.standby_until = 0.0
        self.stopping = False
        self.lock = asyncio.Lock()  # For writes of the lease.

    @property
    def epoch(self) -> int:
        """Epoch of the last known leader record."""
        return self.record.epoch if self.record else 0

    def leadership_expires_at(self) -> float:
        """Returns the latest expiry this placer may give to a delegation.

        Returns:
            Wall-clock seconds; 0 when this placer may not delegate.
        """
        if not self.leading or self.stopping:
            return 0.0
        if self.extension is None:
            return self.table_lease_expires_at
        limit = self.table_lease_expires_at + self.max_extension
        return max(
            self.table_lease_expires_at, min(self.extension.until(), limit)
        )

    def on_standby(self) -> bool:
        """Returns whether this placer leaves the leadership to others."""
        return self.clock.monotonic() < self.standby_until

    def table_down(self) -> bool:
        """Returns whether the table has stopped answering this placer."""
        silent_seconds = self.clock.monotonic() - self.table_seen_at
        return silent_seconds > TABLE_DOWN_AFTER_SECONDS

    async def run(self) -> None:
        """Acquires and renews the leader lease until cancelled."""
        while True:
            try:
                async with self.lock:
                    delay = await self.step()
                await asyncio.sleep(delay)
            except table.TableError:
                TABLE_UP.set(0)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def step(self) -> float:
        """Acquires, renews or gives up the lease as is due now.

        Returns:
            Delay until the next step, in seconds.

        Raises:
            TableError: The table did not answer.
        """
        if not self.leading:
            await self.try_takeover()
            return POLL_INTERVAL_SECONDS
        if self.on_standby():
            self.step_down("no entry answers")
            await self.expire_lease()
            return 0.0
        await self.renew_lease()
        return leadership.RENEW_SECONDS

    async def watch_expiry(self) -> None:
        """Ends leadership as soon as the lease and its extension expire."""
        while True:
            await asyncio.sleep(EXPIRY_POLL_SECONDS)
            if not self.leading:
                continue
            if self.table_down():
                self.request_extension()
            if self.clock.wall() > self.leadership_expires_at():
                self.step_down("lease expired")

    async def refresh_voters(self) -> None:
        """Refreshes the list of voters while leading, until cancelled."""
        while True:
            await asyncio.sleep(VOTERS_INTERVAL_SECONDS)
            if not self.leading:
                continue
            try:
                await self.read_voters()
                await self.delete_stale_records()
            except table.TableError:
                TABLE_UP.set(0)

    async def read_voters(self) -> None:
        """Reads the voters from the placers' records.

        Raises:
            TableError: The table did not answer.
        """
        found = await self.table.scan(registration.PLACERS_PREFIX)
        self.record_table_response()
        self.voters = {r.value["id"]: r.value["address"] for r in found}
        self.voters[self.own_id] = self.transport.address

    async def delete_stale_records(self) -> None:
        """Probes all placers and deletes the records of unresponsive ones.

        Raises:
            TableError: The table did not answer.
        """
        now = self.clock.monotonic()
        probe = wire.FenceEpochs(placer=self.own_id, epoch=self.epoch)
        for placer, address in self.voters.items():
            heard_at = self.heard_at.setdefault(placer, now)
            if now - heard_at > PLACER_TIMEOUT_SECONDS:
                record = await self.table.get(
                    registration.PLACERS_PREFIX + placer
                )
                if record is not None:
                    await self.table.delete(record.key, expected=record.version)
            self.transport.send(address, probe)

    def record_table_response(self) -> None:
        """Records that the table answered."""
        self.table_seen_at = self.clock.monotonic()
        TABLE_UP.set(1)

    async def try_takeover(self) -> None:
        """Reads the leader record and takes over when it has expired.

        Raises:
            TableError: The table did not answer.
        """
        found = await self.table.get(LEADER_KEY)
        self.record_table_response()
        self.record = parse_record(found.value) if found else None
        self.version = found.version if found else None
        now = self.clock.wall()
        if self.stopping or self.on_standby():
            return
        if not self.promises.may_lead(now, self.max_skew):
            return
        if self.record and now <= self.record.expires_at + self.max_skew:
            return
        await self.acquire_lease(self.record)

    async def acquire_lease(
        self, previous: leadership.LeaderRecord | None
    ) -> None:
        """Tries to acquire the leader lease.

        Args:
            previous: The record to replace; None when there is none.

        Raises:
            TableError: The table did not answer.
        """
        await self.read_voters()
        if self.stopping:
            return
        record = leadership.LeaderRecord(
            epoch=previous.epoch + 1 if previous else 1,
            holder=self.own_id,
            peer_address=self.transport.address,
            api_address=self.api_address,
            expires_at=self.clock.wall() + leadership.LEASE_SECONDS,
            lent_until=previous.lent_until if previous else 0.0,
            roster=self.voters,
        )
        if not await self.write_record(record) or self.stopping:
            return
        self.leading = True
        self.extension = None
        self.heard_at = {}
        self.delegated_until = record.lent_until
        self.takeover = leadership.Takeover(
            previous=previous,
            max_skew=self.max_skew,
            max_extension=self.max_extension,
        )
        self.fence_earlier_epochs()
        LEADING.set(1)
        log.write(events.LEADER_ELECTED, placer=self.own_id, epoch=self.epoch)
        self.on_change(True)

    async def renew_lease(self) -> None:
        """Renews the lease; steps down when another placer holds it.

        Raises:
            TableError: The table did not answer.
        """
        self.fence_earlier_epochs()
        record = dataclasses.replace(
            self.record,
            expires_at=self.clock.wall() + leadership.LEASE_SECONDS,
            lent_until=self.delegated_until,
        )
        if self.predecessors_expired():
            record = dataclasses.replace(record, roster=self.voters)
        if await self.write_record(record):
            self.extension = None
        elif self.leading and not await self.reread_record():
            self.step_down("lease was taken")

    async def reread_record(self) -> bool:
        """Adopts the version of an own write whose reply was lost.

        Returns:
            False when another placer holds the lease.

        Raises:
            TableError: The table did not answer.
        """
        found = await self.table.get(LEADER_KEY)
        if found is None:
            return False
        record = parse_record(found.value)
        if (record.holder, record.epoch) != (self.own_id, self.epoch):
            return False
        self.version = found.version
        return True

    def predecessors_expired(self) -> bool:
        """Returns whether every earlier leader has definitely stopped."""
        return self.clock.wall() > self.takeover.moves_allowed_after()

    async def write_record(self, record: leadership.LeaderRecord) -> bool:
        """Writes the leader record conditionally.

        Returns:
            False when another placer wrote the record in the meantime.

        Raises:
            TableError: It is not known whether the write took effect.
        """
        self.attempted_record = record
        outcome = await self.table.put(
            LEADER_KEY, dataclasses.asdict(record), expected=self.version
        )
        match outcome:
            case table.Written(version=version):
                self.record_table_response()
                self.version = version
                self.record = record
                self.table_lease_expires_at = record.expires_at
                return True
            case table.Conflict():
                self.record_table_response()
                return False
        raise table.TableError("the leader record is unresolved")

    def fence_earlier_epochs(self) -> None:
        """Asks the previous voters to refuse extensions to earlier epochs."""
        message = wire.FenceEpochs(placer=self.own_id, epoch=self.epoch)
        for address in self.takeover.unfenced().values():
            self.transport.send(address, message)

    def request_extension(self) -> None:
        """Asks the voters to extend the lease while the table is down."""
        if not self.leading:
            return
        if self.extension is None:
            rosters = [self.record.roster, self.attempted_record.roster]
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

    async def resign(self) -> None:
        """Releases the lease for a graceful stop.

        Awaits a write of the lease that is under way, which might otherwise
        take effect after the release.
        """
        self.stopping = True
        if self.leading:
            self.step_down("stopping")
        async with self.lock:
            await self.expire_lease()

    def enter_standby(self) -> None:
        """Requests the release of the lease and leaves it to others.

        Lasts for STANDBY_SECONDS.
        """
        self.standby_until = self.clock.monotonic() + STANDBY_SECONDS

    async def expire_lease(self) -> None:
        """Expires the lease in the table if this placer holds it.

        Reads the record first, since the answer to an earlier write of it may
        have been lost.
        """
        try:
            found = await self.table.get(LEADER_KEY)
            held = parse_record(found.value) if found else None
            if held is None or not self.has_written(held):
                return
            self.version = found.version
            record = dataclasses.replace(
                held,
                expires_at=self.clock.wall() - self.max_skew,
                lent_until=max(self.delegated_until, held.lent_until),
            )
            await self.write_record(record)
        except table.TableError:
            pass

    def has_written(self, record: leadership.LeaderRecord) -> bool:
        """Returns whether a record is of this process's latest leadership."""
        own = self.attempted_record
        return own is not None and (own.holder, own.epoch) == (
            record.holder,
            record.epoch,
        )

    def receive(self, sender: str, message: wire.Message) -> None:
        """Handles the leadership messages of other placers."""
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
                self.heard_at[message.placer] = self.clock.monotonic()
                if self.takeover is not None:
                    self.takeover.record_fenced(message.placer, message.until)


def parse_record(value: dict) -> leadership.LeaderRecord:
    """Converts a stored value to a leader record."""
    fields = {
        field.name: value[field.name]
        for field in dataclasses.fields(leadership.LeaderRecord)
    }
    return leadership.LeaderRecord(**fields)
