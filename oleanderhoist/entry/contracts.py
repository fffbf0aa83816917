"""Contracts in force on this entry, and whether that is confirmed."""

import asyncio

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import contract
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.clients import contractversions
from oleanderhoist.clients import table
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import wire

CONFIRM_SECONDS = 3.0
RETRY_SECONDS = 0.1
POLL_SECONDS = 0.05

REVISION = prometheus_client.Gauge(
    "oleander_contracts_revision", "Revision of the contracts in force here"
)
CONFIRMED = prometheus_client.Gauge(
    "oleander_contracts_confirmed", "1 while the contracts are confirmed"
)


class Contracts:
    """Loads the contracts that the leader names and confirms them.

    Args:
        table: The table client.
        snapshot_store: The adopted snapshots.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        table: table.TableClient,
        snapshot_store: snapshots.SnapshotStore,
        clock: clock.Clock,
    ):
        self.table = table
        self.snapshot_store = snapshot_store
        self.clock = clock
        self.revision = 0
        self.versions: dict[str, int] = {}
        self.by_credential: dict[str, contract.Contract] = {}
        self.confirmed_at = -CONFIRM_SECONDS
        self.admitting = False

    def confirm(self, message: wire.Delegation) -> None:
        """Counts the contracts as confirmed when the leader names them."""
        if message.contracts_revision != self.revision:
            return
        age = max(0.0, self.clock.wall() - message.sent_at)
        confirmed = self.clock.monotonic() - age
        self.confirmed_at = max(self.confirmed_at, confirmed)

    def is_confirmed(self) -> bool:
        """Tells whether requests may be admitted."""
        age = self.clock.monotonic() - self.confirmed_at
        confirmed = bool(self.by_credential) and age <= CONFIRM_SECONDS
        if confirmed != self.admitting:
            self.admitting = confirmed
            CONFIRMED.set(confirmed)
            event = events.ENTRY_WITHDRAWN
            if confirmed:
                event = events.ENTRY_READMITTED
            log.write(event, revision=self.revision, age=age)
        return confirmed

    def find(self, credential: str) -> contract.Contract | None:
        """Returns the contract of a credential."""
        return self.by_credential.get(contract.credential_hash(credential))

    async def run(self) -> None:
        """Follows the leader's word until cancelled."""
        while True:
            snapshot = self.snapshot_store.snapshot
            if snapshot.contracts_revision > self.revision:
                try:
                    await self.load(snapshot)
                except (table.TableError, contract.ContractError):
                    await asyncio.sleep(RETRY_SECONDS)
                    continue
            self.is_confirmed()
            await self.snapshot_store.wait_for_change(POLL_SECONDS)

    async def load(self, snapshot: snapshots.Snapshot) -> None:
        """Puts the contracts of a view in force, all at once.

        Raises:
            TableError: A contract could not be read.
        """
        loaded = {}
        held = {c.customer: c for c in self.by_credential.values()}
        for customer, version in snapshot.contracts.items():
            if self.versions.get(customer) == version:
                found = held[customer]
            else:
                found = await self.fetch(customer, version)
            loaded[found.credential_sha256] = found
        changed = {
            customer: version
            for customer, version in snapshot.contracts.items()
            if self.versions.get(customer) != version
        }
        self.by_credential = loaded
        self.versions = dict(snapshot.contracts)
        self.revision = snapshot.contracts_revision
        REVISION.set(self.revision)
        log.write(
            events.CONTRACT_IN_FORCE, revision=self.revision, changed=changed
        )

    async def fetch(self, customer: str, version: int) -> contract.Contract:
        """Reads one immutable contract version."""
        source = await contractversions.read(self.table, customer, version)
        if source is None:
            raise table.TableError(f"no contract {customer} {version}")
        return contract.parse(source)
