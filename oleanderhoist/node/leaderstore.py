"""The routers' own rows in the store: leadership, key maps and roster.

Every write is conditional on the leadership record, so a deposed leader cannot
change anything. If the answer to a write is lost, the leader reads the rows
back, and repeats the write under the same conditions if it was not applied,
before anything relies on it. If the store came back from an older copy, it
writes its record and all key maps anew before anything else.
"""

import asyncio
from collections.abc import Callable
import json

import msgspec
import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import snapshots
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import storeeras
from oleanderhoist.policy import succession

LEADER_KEY = "leader"
MAP_PREFIX = "map/"
ROSTER_KEY = "roster"
RETRY_SECONDS = 0.15
MAP_BATCH_SECONDS = 0.02  # Moves that end within this time share one write.

RESTORES = prometheus_client.Counter(
    "oleander_store_restores",
    "Times that this router, as leader, wrote its rows anew after the store "
    "came back from an older copy",
)


class LeadershipRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The leadership record.

    Attributes:
        epoch: Increases with every change of the leader.
        address: Address of the leader; empty after a resignation.
        beat: Differs in every write.
        lapse_ms: After a resignation, when all leases granted by this and
            earlier leaders have expired, in the store's milliseconds.
        era: Era of the store in which it was written; unset by earlier builds.
        owners_known: Whether the stored key maps are those of this leader;
            unset by earlier builds.
    """

    epoch: int
    address: str
    beat: int = 0
    lapse_ms: int = 0
    era: int | msgspec.UnsetType = msgspec.UNSET
    owners_known: bool | msgspec.UnsetType = msgspec.UNSET

    def facts(self) -> succession.Record:
        """Returns what it says of who led and who knew the owners."""
        return succession.Record(
            epoch=self.epoch,
            address=self.address,
            era=None if self.era is msgspec.UNSET else self.era,
            owners_known=self.owners_known is not False,
        )


class DeposedError(Exception):
    """Another router has taken over the leadership."""


def leadership_of(rows: dict[str, ports.Row]) -> LeadershipRecord:
    """Returns the leadership record; epoch 0 without a readable row."""
    row = rows.get(LEADER_KEY)
    if row is None:
        return LeadershipRecord(epoch=0, address="")
    try:
        return msgspec.json.decode(row.value, type=LeadershipRecord)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log.write(events.ROW_UNREADABLE, key=LEADER_KEY, reason=str(error))
        return LeadershipRecord(epoch=0, address="")


def encode_leadership(record: LeadershipRecord) -> bytes:
    """Encodes the leadership record."""
    return msgspec.json.encode(record)


def encode_roster(members: dict[str, cluster.Member]) -> bytes:
    """Encodes the known members."""
    return msgspec.json.encode(
        [
            snapshots.member_item(member)
            for member in sorted(members.values(), key=lambda m: m.address)
        ]
    )


def roster_of(rows: dict[str, ports.Row]) -> dict[str, cluster.Member]:
    """Returns the recorded members; empty without a readable row."""
    row = rows.get(ROSTER_KEY)
    if row is None:
        return {}
    try:
        items = msgspec.json.decode(row.value, type=list[wire.MemberItem])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log.write(events.ROW_UNREADABLE, key=ROSTER_KEY, reason=str(error))
        return {}
    return {item.address: snapshots.to_member(item) for item in items}


def maps_of(rows: dict[str, ports.Row]) -> dict[str, keys.KeyMap]:
    """Returns the recorded key maps by pool."""
    maps = {}
    for key, row in rows.items():
        if key.startswith(MAP_PREFIX):
            ranges = [
                keys.Range(
                    start=start,
                    end=end,
                    owner=owner,
                    lease_expires_at_ms=expires_at_ms,
                )
                for start, end, owner, expires_at_ms in json.loads(row.value)[
                    "ranges"
                ]
            ]
            maps[key.removeprefix(MAP_PREFIX)] = keys.KeyMap(ranges=ranges)
    return maps


class LeaderStore:
    """Writes a leader's rows.

    Args:
        stored: The rows, read after the leadership was acquired.
        owners_known: Whether the stored key maps may be believed.

    Attributes:
        rows: The rows as last read or written.
        era: Era of the store in which they were read or written.
        leader_lease: The leader lease; every answer confirms it.
        owners_known: Whether the stored key maps are those of this leader.
        key_maps: Returns the key maps of this leader by pool.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        clock: clock.Clock,
        stored: ports.OwnRows,
        leader_lease: leaderlease.LeaderLease,
        address: str,
        owners_known: bool = True,
    ):
        self.platform = platform
        self.clock = clock
        self.owners_known = owners_known
        self.key_maps: Callable[[], dict[str, keys.KeyMap]] = dict
        self.rows = stored.rows
        self.era = stored.revision.era
        self.leader_lease = leader_lease
        self.address = address
        self.lock = asyncio.Lock()
        self.pending_map_writes: dict[str, asyncio.Future] = {}
        self.write_count = 0

    async def renew(self, *, lapse_ms: int | None = None) -> None:
        """Renews the leadership record, unless the leader has resigned.

        Args:
            lapse_ms: Set to resign: when all leases have expired, in the
                store's milliseconds.

        Raises:
            DeposedError: Another router leads.
            ports.StoreError: The store did not apply the write.
        """
        if self.leader_lease.resigned and lapse_ms is None:
            return
        await self.write(
            LEADER_KEY, lambda: self.encode_record(self.era, lapse_ms)
        )

    def encode_record(self, era: int, lapse_ms: int | None = None) -> bytes:
        """Encodes this leader's record; each result is unique.

        Args:
            era: Era of the store.
            lapse_ms: As of `renew`.
        """
        self.write_count += 1
        return encode_leadership(
            LeadershipRecord(
                epoch=self.leader_lease.epoch,
                address=self.address if lapse_ms is None else "",
                beat=self.write_count,
                lapse_ms=lapse_ms or 0,
                era=era,
                owners_known=self.owners_known,
            )
        )

    async def write_roster(self, members: dict[str, cluster.Member]) -> None:
        """Writes the roster if it has changed.

        Raises:
            DeposedError: Another router leads.
            ports.StoreError: The store did not apply the write.
        """
        value = encode_roster(members)
        current_row = self.rows.get(ROSTER_KEY)
        if current_row is None or current_row.value != value:
            await self.write(ROSTER_KEY, lambda: value)

    async def write_map(
        self, pool: str, current_map: Callable[[], keys.KeyMap]
    ) -> None:
        """Writes the owners of a pool's keys; returns once they are stored.

        Concurrent calls share a write until it starts.

        Args:
            pool: Name of the pool.
            current_map: Returns the owners at the time of each attempt, so
                that a retry never restores an older state.

        Raises:
            DeposedError: Another router leads.
        """
        pending = self.pending_map_writes.get(pool)
        if pending is not None:
            await asyncio.shield(pending)
            return
        write_done = asyncio.get_running_loop().create_future()
        self.pending_map_writes[pool] = write_done
        try:
            await asyncio.sleep(MAP_BATCH_SECONDS)
            await self.put_map(pool, current_map)
            write_done.set_result(None)
        finally:
            if self.pending_map_writes.get(pool) is write_done:
                del self.pending_map_writes[pool]
            write_done.cancel()

    async def put_map(
        self, pool: str, current_map: Callable[[], keys.KeyMap]
    ) -> None:
        """Writes the owners of a pool's keys, with retries.

        Raises:
            DeposedError: Another router leads.
        """

        def make_value() -> bytes:
            self.pending_map_writes.pop(pool, None)
            return self.encode_map(current_map())

        while True:
            try:
                await self.write(MAP_PREFIX + pool, make_value)
                return
            except ports.StoreError:
                await asyncio.sleep(RETRY_SECONDS)

    def encode_map(self, key_map: keys.KeyMap) -> bytes:
        """Encodes the owners of a pool's keys; each result is unique."""
        self.write_count += 1
        ranges = [
            [r.start, r.end, r.owner, r.lease_expires_at_ms]
            for r in key_map.ranges
        ]
        nonce = [self.leader_lease.epoch, self.write_count]
        return json.dumps({"ranges": ranges, "nonce": nonce}).encode()

    async def vouch(self) -> None:
        """Stores the key maps of this leader, for successors to believe.

        Raises:
            DeposedError: Another router leads.
        """
        async with self.lock:
            self.owners_known = True
            while True:
                try:
                    if await self.try_write_rows(self.own_rows(self.era)):
                        return
                except ports.StoreError:
                    await asyncio.sleep(RETRY_SECONDS)
                    continue
                await self.read_back()

    def own_rows(self, era: int) -> dict[str, bytes]:
        """Returns this leader's rows, encoded for an era.

        These are its record and, if it knows the owners, the key maps.
        """
        maps = self.key_maps() if self.owners_known else {}
        encoded = {
            MAP_PREFIX + pool: self.encode_map(key_map)
            for pool, key_map in maps.items()
        }
        return {LEADER_KEY: self.encode_record(era), **encoded}

    async def write(self, key: str, make_value: Callable[[], bytes]) -> None:
        """Writes one row if the leadership record is unchanged.

        Args:
            key: Key of the row.
            make_value: Returns the value for each attempt.

        Raises:
            DeposedError: Another router leads.
            ports.StoreError: The store definitely did not apply the write.
        """
        async with self.lock:
            while not await self.try_write(key, value := make_value()):
                await self.read_back()
                stored_row = self.rows.get(key)
                if stored_row is not None and stored_row.value == value:
                    log.write(events.WRITE_READ_BACK, key=key)
                    return

    async def try_write(self, key: str, value: bytes) -> bool:
        """Writes one row once; returns whether the write was confirmed.

        Raises:
            ports.StoreError: The store definitely did not apply the write.
        """
        return await self.try_write_rows({key: value})

    async def try_write_rows(
        self,
        values: dict[str, bytes],
        stored: ports.OwnRows | None = None,
    ) -> bool:
        """Writes rows once; returns whether the write was confirmed.

        Args:
            values: The new values by key.
            stored: The rows to replace; None for those that were last read.

        Raises:
            ports.StoreError: The store definitely did not apply the write.
        """
        sent_at = self.clock.boottime()
        if stored is None:
            revision = storeeras.Revision(era=self.era)
            stored = ports.OwnRows(rows=self.rows, revision=revision)
        expected = {
            key: stored.revision_of(key) for key in (LEADER_KEY, *values)
        }
        try:
            result = await self.platform.write_rows(values, expected)
        except ports.StoreError as error:
            if not error.maybe_applied:
                raise
            return False
        if isinstance(result, ports.Conflict):
            return False
        written = {
            key: ports.Row(key=key, value=value, revision=result.revision)
            for key, value in values.items()
        }
        self.rows = {**stored.rows, **written}
        self.era = result.revision.era
        self.leader_lease.confirmed_at = sent_at
        return True

    async def read_back(self) -> None:
        """Reads the rows, with retries until the store answers.

        Writes this leader's rows anew if the store came back from a copy.

        Raises:
            DeposedError: Another router leads.
        """
        while not await self.try_read_back():
            await asyncio.sleep(RETRY_SECONDS)

    async def try_read_back(self) -> bool:
        """Reads the rows once; returns whether they are this leader's.

        Raises:
            DeposedError: Another router leads.
        """
        sent_at = self.clock.boottime()
        try:
            stored = await self.platform.read_rows()
        except ports.StoreError:
            return False
        record = leadership_of(stored.rows)
        verdict = succession.judge(
            record.facts(), stored.revision.era, self.claim()
        )
        if verdict is succession.Verdict.STEP_DOWN:
            raise DeposedError(
                f"leadership record has epoch {record.epoch}, "
                f"address {record.address}, in era {stored.revision.era}"
            )
        if verdict is succession.Verdict.RESTORE:
            return await self.restore(stored)
        self.rows = stored.rows
        self.era = stored.revision.era
        self.leader_lease.confirmed_at = sent_at
        return True

    def claim(self) -> succession.Claim:
        """Returns what this leader holds against the record."""
        return succession.Claim(
            epoch=self.leader_lease.epoch,
            address=self.address,
            era=self.era,
            may_restore=self.leader_lease.may_restore(self.clock.boottime()),
        )

    async def restore(self, stored: ports.OwnRows) -> bool:
        """Writes this leader's rows anew; returns whether they are stored.

        Args:
            stored: The rows of the copy from which the store came back.
        """
        before = self.era
        era = stored.revision.era
        try:
            if not await self.try_write_rows(self.own_rows(era), stored):
                return False
        except ports.StoreError:
            return False
        self.leader_lease.record_restore(self.clock.boottime())
        RESTORES.inc()
        log.write(
            events.STORE_RESTORED,
            before=before,
            era=era,
            epoch=self.leader_lease.epoch,
            pools=sorted(self.key_maps()) if self.owners_known else [],
        )
        return True
