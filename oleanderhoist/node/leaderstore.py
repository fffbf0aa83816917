"""The leader's rows in the store: its leadership, and who owns which keys.

Every write is conditional on the leadership record, so a leader that was
replaced can change nothing any more. A write whose answer was lost is read
back, and repeated under the same conditions, before anything relies on it.
"""

import asyncio
from collections.abc import Callable
import json

import msgspec

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import snapshots
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease

LEADER_KEY = "leader"
MAP_PREFIX = "map/"
ROSTER_KEY = "roster"
RETRY_SECONDS = 0.15
GATHER_SECONDS = 0.02  # Moves that end within this time share one write.


class LeadershipRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The leadership record.

    Attributes:
        epoch: Rises with every change of the leader.
        address: Who leads; empty after a resignation.
        beat: Differs in every write.
        lapse_ms: After a resignation, when all grants of this and earlier
            leaders have lapsed, in the store's milliseconds.
    """

    epoch: int
    address: str
    beat: int = 0
    lapse_ms: int = 0


class DeposedError(Exception):
    """Another process has taken over the leadership."""


def leadership_of(rows: dict[str, ports.Row]) -> LeadershipRecord:
    """Returns the leadership record; epoch 0 when there is none."""
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
    """Encodes the members that a leader knows."""
    return msgspec.json.encode(
        [
            snapshots.member_item(member)
            for member in sorted(members.values(), key=lambda m: m.address)
        ]
    )


def roster_of(rows: dict[str, ports.Row]) -> dict[str, cluster.Member]:
    """Returns the members that the last leader knew; none without a row."""
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
    """Returns the owners of keys by pool."""
    maps = {}
    for key, row in rows.items():
        if key.startswith(MAP_PREFIX):
            ranges = [
                keys.Range(
                    start=start,
                    end=end,
                    owner=owner,
                    lease_expires_at_ms=free_at,
                )
                for start, end, owner, free_at in json.loads(row.value)[
                    "ranges"
                ]
            ]
            maps[key.removeprefix(MAP_PREFIX)] = keys.KeyMap(ranges=ranges)
    return maps


class LeaderStore:
    """Writes a leader's rows.

    Attributes:
        rows: The rows as last read or written.
        leader_lease: The leader lease; confirmed by every answer.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        clock: clock.Clock,
        rows: dict[str, ports.Row],
        leader_lease: leaderlease.LeaderLease,
        address: str,
    ):
        self.platform = platform
        self.clock = clock
        self.rows = rows
        self.leader_lease = leader_lease
        self.address = address
        self.lock = asyncio.Lock()
        self.gathering: dict[str, asyncio.Future] = {}
        self.beats = 0

    async def renew(self, *, lapse_ms: int | None = None) -> None:
        """Writes the leadership record again, unless it was given up.

        Args:
            lapse_ms: Resigns: when all grants have lapsed.

        Raises:
            DeposedError: Another process leads.
            ports.StoreError: The store did not take the write.
        """
        if self.leader_lease.resigned and lapse_ms is None:
            return
        self.beats += 1
        record = LeadershipRecord(
            epoch=self.leader_lease.epoch,
            address=self.address if lapse_ms is None else "",
            beat=self.beats,
            lapse_ms=lapse_ms or 0,
        )
        value = encode_leadership(record)
        await self.write(LEADER_KEY, lambda: value)

    async def write_roster(self, members: dict[str, cluster.Member]) -> None:
        """Writes the members down, unless they stand there already.

        Raises:
            DeposedError: Another process leads.
            ports.StoreError: The store did not take the write.
        """
        value = encode_roster(members)
        known = self.rows.get(ROSTER_KEY)
        if known is None or known.value != value:
            await self.write(ROSTER_KEY, lambda: value)

    async def write_map(
        self, pool: str, newest: Callable[[], keys.KeyMap]
    ) -> None:
        """Writes the owners of a pool's keys; returns once they stand.

        Moves that end together share a write: whoever comes before a write
        begins is part of it.

        Args:
            pool: Name of the pool.
            newest: Returns the owners at the time of each try, so that a
                repeated write never brings back an older state.

        Raises:
            DeposedError: Another process leads.
        """
        shared = self.gathering.get(pool)
        if shared is not None:
            await asyncio.shield(shared)
            return
        done = asyncio.get_running_loop().create_future()
        self.gathering[pool] = done
        try:
            await asyncio.sleep(GATHER_SECONDS)
            await self.put_map(pool, newest)
            done.set_result(None)
        finally:
            if self.gathering.get(pool) is done:
                del self.gathering[pool]
            done.cancel()

    async def put_map(
        self, pool: str, newest: Callable[[], keys.KeyMap]
    ) -> None:
        """Writes the owners of a pool's keys until they stand.

        Raises:
            DeposedError: Another process leads.
        """

        def make() -> bytes:
            self.gathering.pop(pool, None)
            return self.encode(newest())

        while True:
            try:
                await self.write(MAP_PREFIX + pool, make)
                return
            except ports.StoreError:
                await asyncio.sleep(RETRY_SECONDS)

    def encode(self, key_map: keys.KeyMap) -> bytes:
        """Encodes the owners of a pool's keys; no two results are equal."""
        self.beats += 1
        ranges = [
            [r.start, r.end, r.owner, r.lease_expires_at_ms]
            for r in key_map.ranges
        ]
        nonce = [self.leader_lease.epoch, self.beats]
        return json.dumps({"ranges": ranges, "nonce": nonce}).encode()

    async def write(self, key: str, make: Callable[[], bytes]) -> None:
        """Writes one row under the leadership's condition.

        Args:
            key: Key of the row.
            make: Returns the value of each try.

        Raises:
            DeposedError: Another process leads.
            ports.StoreError: The store surely did not take the write.
        """
        async with self.lock:
            while not await self.try_write(key, value := make()):
                await self.read_back()
                found = self.rows.get(key)
                if found is not None and found.value == value:
                    log.write(events.WRITE_READ_BACK, key=key)
                    return

    async def try_write(self, key: str, value: bytes) -> bool:
        """Writes once; False when it is not known how that ended.

        Raises:
            ports.StoreError: The store surely did not take the write.
        """
        sent = self.clock.boottime()
        expected = {LEADER_KEY: self.rows[LEADER_KEY].revision}
        known = self.rows.get(key)
        expected[key] = known.revision if known else 0
        try:
            result = await self.platform.write_rows({key: value}, expected)
        except ports.StoreError as error:
            if not error.maybe_applied:
                raise
            return False
        if isinstance(result, ports.Conflict):
            return False
        self.rows[key] = ports.Row(
            key=key, value=value, revision=result.revision
        )
        self.leader_lease.confirmed_at = sent
        return True

    async def read_back(self) -> None:
        """Reads the rows until the store answers.

        Raises:
            DeposedError: Another process leads.
        """
        while True:
            sent = self.clock.boottime()
            try:
                rows = await self.platform.read_rows()
                break
            except ports.StoreError:
                await asyncio.sleep(RETRY_SECONDS)
        record = leadership_of(rows)
        if record.epoch != self.leader_lease.epoch:
            raise DeposedError(f"epoch {record.epoch} of {record.address}")
        self.rows = rows
        self.leader_lease.confirmed_at = sent
