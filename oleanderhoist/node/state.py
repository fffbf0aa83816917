"""What a router knows: the snapshot and the contracts in force."""

import asyncio

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset


class State:
    """The newest snapshot and contracts of one process.

    Neither ever goes back while the process lives.

    Attributes:
        snapshot: State of the system.
        contracts: Contracts in force; None before the first.
        contracts_revision: Revision up to which contracts were read.
        confirmed_at: When the snapshot was last known to be the newest, on the
            monotonic clock; None before the first time.
    """

    def __init__(self):
        self.snapshot = cluster.Snapshot()
        self.contracts: contractset.ContractSet | None = None
        self.contracts_revision = 0
        self.confirmed_at: float | None = None
        self.snapshot_listeners: list = []
        self.contract_listeners: list = []
        self.changed = asyncio.Event()
        self.contracts_changed = asyncio.Event()

    def adopt_snapshot(self, snapshot: cluster.Snapshot, source: str) -> None:
        """Takes a newer snapshot.

        Args:
            snapshot: The snapshot.
            source: Where it comes from, for the log.
        """
        before = self.snapshot
        if snapshot.epoch < before.epoch:
            return
        self.snapshot = snapshot
        self.changed.set()
        self.changed = asyncio.Event()
        log.write(
            events.PICTURE_ADOPTED,
            epoch=snapshot.epoch,
            version=snapshot.version,
            servers=len(snapshot.servers),
            members=len(snapshot.members),
            source=source,
        )
        for listener in self.snapshot_listeners:
            listener(snapshot)

    def adopt_contracts(
        self, document: ports.VersionedContracts, source: str
    ) -> None:
        """Puts newer contracts in force.

        Args:
            document: The contracts.
            source: Where they come from, for the log.
        """
        newer = document.revision > self.contracts_revision
        self.contracts_revision = max(
            self.contracts_revision, document.revision
        )
        if (
            not self.contracts
            or document.contracts.version > self.contracts.version
        ):
            self.contracts = document.contracts
            log.write(
                events.TERMS_IN_FORCE,
                version=document.contracts.version,
                revision=document.revision,
                works=sum(len(w) for w in document.contracts.works.values()),
                source=source,
            )
        if newer:
            self.notify_contract_listeners()

    def notify_contract_listeners(self) -> None:
        """Tells everyone who waits that another revision was seen."""
        self.contracts_changed.set()
        self.contracts_changed = asyncio.Event()
        for listener in self.contract_listeners:
            listener()

    def document(self) -> ports.VersionedContracts | None:
        """Returns the contracts in force as of the newest revision seen."""
        if self.contracts is None:
            return None
        return ports.VersionedContracts(
            contracts=self.contracts, revision=self.contracts_revision
        )

    async def wait_for_contracts(self, revision: int, seconds: float) -> bool:
        """Waits until a revision was seen; tells whether it was."""
        try:
            async with asyncio.timeout(seconds):
                while self.contracts_revision < revision:
                    await self.contracts_changed.wait()
        except TimeoutError:
            return False
        return True

    def reject_contracts(self, error: ports.TermsError) -> None:
        """Notes contracts that cannot be put in force, once."""
        if error.revision <= self.contracts_revision:
            return
        self.contracts_revision = max(self.contracts_revision, error.revision)
        log.write(
            events.TERMS_REFUSED, revision=error.revision, reason=str(error)
        )
        self.notify_contract_listeners()

    async def wait_for_snapshot(self, seconds: float) -> bool:
        """Waits for the next snapshot; tells whether one came."""
        changed = self.changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return False
        return True
