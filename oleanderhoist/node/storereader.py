"""Reads the store for one process alone, when no leader is heard."""

import asyncio
from collections.abc import Callable

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.node import contractwatch
from oleanderhoist.node import directory
from oleanderhoist.node import leaderstore
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys

READ_SECONDS = 0.9
PAUSE_GROWTH = 1.5
MAX_PAUSE = 4.0


class StoreReader:
    """Reads contracts, servers and owners, less often while that fails.

    Args:
        platform: The store and the directory.
        state: Gets what was read.
        clock: Time source.
        contract_watch: Reads the contracts.
        meet: Called with the leadership record that was read.
        read_at: When the store was last read, on the monotonic clock.

    Attributes:
        pause: Factor on the time between two reads.
        failed: When the store last failed, on the monotonic clock.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        state: state.State,
        clock: clock.Clock,
        contract_watch: contractwatch.ContractWatch,
        meet: Callable[[leaderstore.LeadershipRecord], None],
        read_at: float,
    ):
        self.platform = platform
        self.state = state
        self.clock = clock
        self.contract_watch = contract_watch
        self.meet = meet
        self.read_at = read_at
        self.pause = 1.0
        self.failed = directory.NEVER
        self.task: asyncio.Task | None = None

    def read_soon(self, now: float) -> None:
        """Starts to read, unless that was done a moment ago."""
        if self.running() or now - self.read_at < READ_SECONDS * self.pause:
            return
        self.read_at = now
        self.task = asyncio.create_task(self.read())

    def running(self) -> bool:
        """Tells whether a read is under way."""
        return self.task is not None and not self.task.done()

    def back_off(self) -> None:
        """Reads less often while the store does not answer."""
        self.failed = self.clock.monotonic()
        self.pause = min(MAX_PAUSE, self.pause * PAUSE_GROWTH)

    async def read(self) -> None:
        """Reads contracts, servers and owners from the store."""
        await self.contract_watch.read()
        before = self.state.snapshot
        # Entries that lapsed while the store was away may come back.
        found = directory.Directory(
            platform=self.platform,
            clock=self.clock,
            servers=before.servers,
            last_failure_at=self.failed,
        )
        await found.read()
        if found.lost:
            self.back_off()
            return
        self.pause = 1.0
        try:
            rows = await self.platform.read_rows()
        except ports.StoreError as error:
            found.note(error)
            return
        self.state.confirmed_at = found.read_at
        record = leaderstore.leadership_of(rows)
        self.meet(record)
        if self.state.snapshot is not before or record.epoch < before.epoch:
            return
        self.adopt(before, found.servers, rows)

    def adopt(
        self,
        before: cluster.Snapshot,
        servers: dict[str, cluster.Server],
        rows: dict[str, ports.Row],
    ) -> None:
        """Adopts what was read if it differs from what is known.

        The same content keeps its version, to which the next change applies.
        A process that was started again takes the members from the roster,
        so that few of those that restart together try to lead.
        """
        maps = leaderstore.maps_of(rows)
        if servers == before.servers and same_owners(maps, before.maps):
            return
        snapshot = cluster.Snapshot(
            epoch=before.epoch,
            version=-1,
            leader=before.leader,
            members=before.members or leaderstore.roster_of(rows),
            servers=servers,
            maps=maps,
        )
        self.state.adopt_snapshot(snapshot, "store")


def same_owners(
    one: dict[str, keys.KeyMap], other: dict[str, keys.KeyMap]
) -> bool:
    """Tells whether two sets of maps give every key the same owner."""
    if one.keys() != other.keys():
        return False
    return all(one[pool].owners() == other[pool].owners() for pool in one)
