"""Active contracts of this entry and their confirmation by the leader."""

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
from oleanderhoist.policy import confirmation

CONFIRMATION_VALID_SECONDS = 3.0
LOAD_RETRY_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.05

REVISION = prometheus_client.Gauge(
    "oleander_contracts_revision", "Revision of the contracts in force here"
)
CONFIRMED = prometheus_client.Gauge(
    "oleander_contracts_confirmed", "1 while the contracts are confirmed"
)


class Contracts:
    """Loads the contracts that the leader names.

    Args:
        table: The table client.
        snapshot_store: Holds the current snapshot.
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
        self.confirmation = confirmation.Confirmation()
        self.admitting = False

    def confirm(self, message: wire.Delegation) -> None:
        """Records that the leader confirmed the active contracts."""
        if message.contracts_revision != self.revision:
            return
        age = max(0.0, self.clock.wall() - message.sent_at)
        self.confirmation.confirm(self.clock.boottime() - age)

    def is_confirmed(self) -> bool:
        """Returns whether the contracts are confirmed, and logs changes."""
        now = self.clock.boottime()
        age = self.confirmation.age(now)
        confirmed = (
            bool(self.by_credential) and age <= CONFIRMATION_VALID_SECONDS
        )
        if confirmed != self.admitting:
            self.admitting = confirmed
            CONFIRMED.set(confirmed)
            event = events.ENTRY_WITHDRAWN
            if confirmed:
                event = events.ENTRY_READMITTED
            age_ms = self.confirmation.age_ms(now)
            log.write(
                event,
                revision=self.revision,
                age=None if age_ms is None else age_ms / 1000,
            )
        return confirmed

    def find(self, credential: str) -> contract.Contract | None:
        """Returns the contract with a credential, or None if there is none."""
        return self.by_credential.get(contract.credential_hash(credential))

    async def run(self) -> None:
        """Loads new contracts when the leader names them, until cancelled."""
        while True:
            snapshot = self.snapshot_store.snapshot
            if snapshot.contracts_revision > self.revision:
                try:
                    await self.load(snapshot)
                except (table.TableError, contract.ContractError):
                    await asyncio.sleep(LOAD_RETRY_SECONDS)
                    continue
            self.is_confirmed()
            await self.snapshot_store.wait_for_change(POLL_INTERVAL_SECONDS)

    async def load(self, snapshot: snapshots.Snapshot) -> None:
        """Activates the contracts of a snapshot, all at once.

        Raises:
            TableError: A contract could not be read.
            ContractError: A stored contract is not valid.
        """
        loaded = {}
        active_contracts = {c.customer: c for c in self.by_credential.values()}
        for customer, version in snapshot.contracts.items():
            if self.versions.get(customer) == version:
                customer_contract = active_contracts[customer]
            else:
                customer_contract = await self.fetch(customer, version)
            loaded[customer_contract.credential_sha256] = customer_contract
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
        """Reads one immutable contract version.

        Raises:
            TableError: The contract could not be read.
            ContractError: The stored contract is not valid.
        """
        source = await contractversions.read(self.table, customer, version)
        if source is None:
            raise table.TableError(f"no contract {customer} {version}")
        return contract.parse(source)
