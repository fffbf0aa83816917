"""Reads the store directly while no leader is available."""

import asyncio
from collections.abc import Callable
import dataclasses

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.node import contractwatch
from oleanderhoist.node import directory
from oleanderhoist.node import leaderstore
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import succession

READ_INTERVAL_SECONDS = 0.9
BACKOFF_GROWTH = 1.5
MAX_BACKOFF_FACTOR = 3.0  # A store that is back is read within 3 s.


class StoreReader:
    """Reads contracts, servers and owners.

    The interval between two reads grows while the directory cannot be read; a
    follower that cannot read the leadership record lengthens it as well.

    Args:
        platform: The store and the directory.
        state: Receives what was read.
        clock: Time source.
        contract_watch: Reads the contracts.
        on_record: Called with the leadership record that was read.
        started_at: When the last read started, on the monotonic clock; the
            next is due an interval later.

    Attributes:
        backoff_factor: Factor on the interval between two reads.
        last_failure_at: When a read last lengthened the interval, on the
            monotonic clock. Other failed calls are not recorded.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        state: state.State,
        clock: clock.Clock,
        contract_watch: contractwatch.ContractWatch,
        on_record: Callable[[leaderstore.LeadershipRecord], None],
        started_at: float,
    ):
        self.platform = platform
        self.state = state
        self.clock = clock
        self.contract_watch = contract_watch
        self.on_record = on_record
        self.started_at = started_at
        self.backoff_factor = 1.0
        self.last_failure_at = directory.NEVER
        self.task: asyncio.Task | None = None

    def start_read(self, now: float, *, contracts_only: bool = False) -> None:
        """Starts a read unless one is running or was started recently.

        Args:
            now: Current time, on the monotonic clock.
            contracts_only: Whether servers and owners need no read.
        """
        if (
            self.is_running()
            or now - self.started_at
            < READ_INTERVAL_SECONDS * self.backoff_factor
        ):
            return
        self.started_at = now
        read = self.contract_watch.read if contracts_only else self.read
        self.task = asyncio.create_task(read())

    def is_running(self) -> bool:
        """Returns whether a read is running."""
        return self.task is not None and not self.task.done()

    def back_off(self) -> None:
        """Increases the interval between reads after a failure."""
        self.last_failure_at = self.clock.monotonic()
        self.backoff_factor = min(
            MAX_BACKOFF_FACTOR, self.backoff_factor * BACKOFF_GROWTH
        )

    def is_current(self, stored: ports.OwnRows) -> bool:
        """Returns whether rows are those of the latest leader known."""
        known = succession.Knowledge.at_read(
            self.platform.store_eras,
            epoch=self.state.snapshot.epoch,
            era=stored.revision.era,
        )
        record = leaderstore.leadership_of(stored.rows)
        return succession.is_current(record.facts(), known)

    async def read(self) -> None:
        """Reads contracts, servers and owners from the store."""
        await self.contract_watch.read()
        before = self.state.snapshot
        # Rows that expired during a store outage may return.
        server_directory = directory.Directory(
            platform=self.platform,
            clock=self.clock,
            servers=before.servers,
            last_failure_at=self.last_failure_at,
        )
        await server_directory.read()
        if server_directory.store_unavailable:
            self.back_off()
            return
        self.backoff_factor = 1.0
        try:
            stored = await self.platform.read_rows()
        except ports.StoreError as error:
            server_directory.record_failure(error)
            return
        self.state.snapshot_confirmation.confirm(
            server_directory.confirmation.at
        )
        record = leaderstore.leadership_of(stored.rows)
        self.on_record(record)
        current = self.state.snapshot
        if current.name != before.name:
            return
        self.adopt(before, server_directory.servers, stored)

    def adopt(
        self,
        before: cluster.Snapshot,
        servers: dict[str, cluster.Server],
        stored: ports.OwnRows,
    ) -> None:
        """Adopts servers and owners that differ from the current snapshot.

        Owners are adopted from the latest leader only; the store may have come
        back from an older copy.

        Equal content keeps its version, so that the next delta applies to it,
        and different content never has the same version.
        A restarted router takes the members from the roster, so that few of
        the routers that restart together try to lead.
        """
        maps = before.maps
        if not maps or self.is_current(stored):
            maps = leaderstore.maps_of(stored.rows)
        if servers == before.servers and same_owners(maps, before.maps):
            return
        snapshot = cluster.Snapshot(
            epoch=before.epoch,
            leader=before.leader,
            members=before.members or leaderstore.roster_of(stored.rows),
            servers=servers,
            maps=maps,
        )
        version = snapshots.content_version(snapshot)
        self.state.retain_departures()
        self.state.adopt_snapshot(
            dataclasses.replace(snapshot, version=version), "store"
        )


def same_owners(
    one: dict[str, keys.KeyMap], other: dict[str, keys.KeyMap]
) -> bool:
    """Returns whether two sets of maps give every key the same owner."""
    if one.keys() != other.keys():
        return False
    return all(one[pool].owners() == other[pool].owners() for pool in one)
