"""Receives snapshots, deltas and contracts from the leader."""

import asyncio
from collections.abc import Callable

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import contractcodec
from oleanderhoist.node import contractwatch
from oleanderhoist.node import fragments
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import wire

SNAPSHOT_REQUEST_INTERVAL_SECONDS = 0.2
# For contracts that were sent before the heartbeat that names their revision.
CONTRACTS_ARRIVAL_SECONDS = 0.03
CONTRACTS_REPLY_SECONDS = 0.15  # After that, they are read from the store.


class UpdateReceiver:
    """Brings the state up to date with what the leader sends.

    Args:
        state: Receives snapshots and contracts.
        clock: Time source.
        contract_watch: Reads contracts from the store if the leader's reply
            does not arrive.
        send_report: Sends a member report to a peer, which replies with what
            the report shows to be missing.
    """

    def __init__(
        self,
        *,
        state: state.State,
        clock: clock.Clock,
        contract_watch: contractwatch.ContractWatch,
        send_report: Callable[[str], None],
    ):
        self.state = state
        self.clock = clock
        self.contract_watch = contract_watch
        self.send_report = send_report
        self.snapshot_reassembler = fragments.Reassembler()
        self.contracts_reassembler = fragments.Reassembler()
        self.snapshot_requested_at = 0.0
        self.contracts_task: asyncio.Task | None = None

    def on_delta(self, peer: str, message: wire.Delta) -> None:
        """Applies a delta to the snapshot that it is based on."""
        current = self.state.snapshot
        base = (message.base_epoch, message.base_version)
        if base == current.name:
            self.state.adopt_snapshot(
                snapshots.apply(current, message, leader=peer), peer
            )
            return
        newer = (message.epoch, message.version)
        if newer > current.name:
            self.request_snapshot(peer)

    def request_snapshot(self, peer: str) -> None:
        """Requests the whole snapshot, at a limited rate."""
        now = self.clock.monotonic()
        if (
            now - self.snapshot_requested_at
            >= SNAPSHOT_REQUEST_INTERVAL_SECONDS
        ):
            self.snapshot_requested_at = now
            self.send_report(peer)

    def on_snapshot_fragment(
        self, peer: str, message: wire.SnapshotFragment
    ) -> None:
        """Handles a fragment; adopts the snapshot once it is complete."""
        version = (message.epoch, message.version)
        current = self.state.snapshot.name
        if version <= current:
            return
        try:
            data = self.snapshot_reassembler.add(
                version, message.index, message.count, message.data
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
        """Handles a fragment; adopts the contracts once they are complete."""
        named = ports.ContractsName(
            version=message.version, revision=message.revision
        )
        if self.state.has_contracts(named):
            return
        try:
            data = self.contracts_reassembler.add(
                (message.version or 0, message.revision),
                message.index,
                message.count,
                message.data,
            )
            if data is None:
                return
            versioned = contractcodec.unpack(data, revision=message.revision)
        except wire.DecodeError as error:
            log.write(events.DATAGRAM_MALFORMED, peer=peer, reason=str(error))
            return
        self.state.adopt_contracts(versioned, peer)

    def start_contracts_fetch(
        self, leader: str, named: ports.ContractsName
    ) -> None:
        """Starts to fetch newer contracts, unless that is running."""
        if self.contracts_task is None or self.contracts_task.done():
            self.contracts_task = asyncio.create_task(
                self.fetch_contracts(leader, named)
            )

    async def fetch_contracts(
        self, leader: str, named: ports.ContractsName
    ) -> None:
        """Fetches contracts from the leader, or else from the store."""
        if await self.state.wait_for_contracts(
            named, CONTRACTS_ARRIVAL_SECONDS
        ):
            return
        self.send_report(leader)
        if not await self.state.wait_for_contracts(
            named, CONTRACTS_REPLY_SECONDS
        ):
            await self.contract_watch.read_until(named)
