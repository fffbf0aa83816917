"""The snapshot and the active contracts of a router."""

import asyncio
from collections.abc import Iterable

import prometheus_client

from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster
from oleanderhoist.policy import confirmation
from oleanderhoist.policy import contractset
from oleanderhoist.policy import departures
from oleanderhoist.policy import evacuations
from oleanderhoist.policy import pauses

NO_VERSION = -1

LEAVING = prometheus_client.Gauge(
    "oleander_leaving_servers",
    "Listed servers that said in an answer that they leave, as known here",
)


class State:
    """The newest snapshot and contracts of one router.

    The epoch of the snapshot and the version of the contracts never decrease
    while the router runs.

    Args:
        evacuation_seconds: Time within which an evacuation must be applied,
            in seconds.

    Attributes:
        snapshot: Cluster state.
        departures: Servers that have said in an answer that they leave.
        pauses: Servers that want no requests from this router for a while.
        evacuations: Data centres whose servers must get no requests.
        contracts: Active contracts; None before the first.
        contracts_revision: Number of the newest contracts that were adopted,
            for routers of earlier builds, which compare it: it rises with every
            version, also after the store has come back from a copy.
        rejected_revision: Number of the revision of the contracts that the
            latest read rejected; None if it rejected none.
        contracts_confirmation: When the contracts were last known to be the
            newest.
        snapshot_confirmation: When the snapshot was last known to be current.
        evacuations_confirmation: When the evacuations were last known to be
            the newest.
    """

    def __init__(
        self, *, evacuation_seconds: float = evacuations.DEFAULT_SECONDS
    ):
        self.snapshot = cluster.Snapshot()
        self.departures = departures.Departures()
        self.pauses = pauses.Pauses()
        self.evacuations = evacuations.Evacuations(seconds=evacuation_seconds)
        self.contracts: contractset.ContractSet | None = None
        self.contracts_revision = 0
        self.rejected_revision: int | None = None
        self.contracts_confirmation = confirmation.Confirmation()
        self.snapshot_confirmation = confirmation.Confirmation()
        self.evacuations_confirmation = confirmation.Confirmation()
        self.snapshot_listeners: list = []
        self.contract_listeners: list = []
        self.departure_listeners: list = []
        self.snapshot_changed = asyncio.Event()
        self.contracts_changed = asyncio.Event()

    def adopt_snapshot(self, snapshot: cluster.Snapshot, source: str) -> None:
        """Replaces the snapshot, unless the new one has an earlier epoch.

        Args:
            snapshot: The snapshot.
            source: Origin of the snapshot, for the log.
        """
        before = self.snapshot
        if snapshot.epoch < before.epoch:
            return
        self.snapshot = self.overlay(snapshot)
        self.snapshot.reuse_coordinators(before)
        log.write(
            events.PICTURE_ADOPTED,
            epoch=snapshot.epoch,
            version=snapshot.version,
            servers=len(snapshot.servers),
            members=len(snapshot.members),
            source=source,
        )
        self.notify_snapshot_listeners()

    def notify_snapshot_listeners(self) -> None:
        """Notifies waiting tasks and listeners of a change of the snapshot."""
        LEAVING.set(len(self.snapshot.departed))
        self.snapshot_changed.set()
        self.snapshot_changed = asyncio.Event()
        for listener in self.snapshot_listeners:
            listener(self.snapshot)

    def overlay(self, snapshot: cluster.Snapshot) -> cluster.Snapshot:
        """Returns a snapshot with what only this router's process keeps."""
        departed = self.departures.overlay(snapshot)
        return self.evacuations.overlay(departed)

    def apply_overlays(self) -> None:
        """Applies changed departures and evacuations to the snapshot."""
        before = self.snapshot
        self.snapshot = self.overlay(before)
        if self.snapshot is not before:
            self.snapshot.reuse_coordinators(before)
            self.notify_snapshot_listeners()

    def learn_departures(
        self, incarnations: Iterable[cluster.Incarnation], source: str
    ) -> None:
        """Stops using servers that have said that they leave.

        Args:
            incarnations: The processes of the servers.
            source: From whom it was learned, for the log.
        """
        new = [one for one in incarnations if self.departures.add(one)]
        if not new:
            return
        for incarnation in new:
            log.write_limited(
                events.SERVER_LEAVING,
                server=incarnation.id,
                started_ms=incarnation.started_ms,
                source=source,
            )
        self.apply_overlays()
        for listener in self.departure_listeners:
            listener(new)

    def retain_departures(self) -> None:
        """Keeps in mind which servers the snapshot lists as leaving.

        For a change to what the directory says: a server may say in its
        answers that it leaves, and in the directory that it is ready.
        """
        leaving = [
            server.incarnation
            for server in self.snapshot.servers.values()
            if server.leaving
        ]
        self.learn_departures(leaving, self.snapshot.leader)

    def adopt_contracts(
        self, versioned: ports.VersionedContracts, source: str
    ) -> None:
        """Activates contracts of a newer version.

        Args:
            versioned: The contracts.
            source: Origin of the contracts, for the log.
        """
        self.rejected_revision = None
        number = max(self.contracts_revision, versioned.revision)
        if (
            not self.contracts
            or versioned.contracts.version > self.contracts.version
        ):
            number = max(number, self.contracts_revision + 1)
            self.contracts = versioned.contracts
            log.write(
                events.TERMS_IN_FORCE,
                version=versioned.contracts.version,
                revision=versioned.revision,
                works=sum(len(w) for w in versioned.contracts.works.values()),
                source=source,
            )
            if versioned.unknown:
                log.write(events.TERMS_UNKNOWN, values=versioned.unknown)
        if number > self.contracts_revision:
            self.contracts_revision = number
            self.notify_contract_listeners()

    def notify_contract_listeners(self) -> None:
        """Notifies waiting tasks and listeners of newer contracts."""
        self.contracts_changed.set()
        self.contracts_changed = asyncio.Event()
        for listener in self.contract_listeners:
            listener()

    def versioned_contracts(self) -> ports.VersionedContracts | None:
        """Returns the active contracts with their revision."""
        if self.contracts is None:
            return None
        return ports.VersionedContracts(
            contracts=self.contracts, revision=self.contracts_revision
        )

    @property
    def contracts_version(self) -> int:
        """Version of the active contracts; `NO_VERSION` without any."""
        return self.contracts.version if self.contracts else NO_VERSION

    def has_contracts(self, named: ports.ContractsName) -> bool:
        """Returns whether this router has named contracts, or newer ones."""
        if named.version is None:
            return self.contracts_revision >= named.revision
        return self.contracts_version >= named.version

    async def wait_for_contracts(
        self, named: ports.ContractsName, seconds: float
    ) -> bool:
        """Waits until named contracts were adopted; returns whether so."""
        try:
            async with deadline.CatchUpTimeout(
                asyncio.get_running_loop().time() + seconds
            ):
                while not self.has_contracts(named):
                    await self.contracts_changed.wait()
        except TimeoutError:
            return False
        return True

    def reject_contracts(self, error: ports.TermsError) -> None:
        """Logs contracts that cannot be activated, once per revision."""
        if error.revision == self.rejected_revision:
            return
        self.rejected_revision = error.revision
        log.write(
            events.TERMS_REFUSED, revision=error.revision, reason=str(error)
        )

    async def wait_for_snapshot(self, seconds: float) -> bool:
        """Waits for the next snapshot; returns whether one came."""
        changed = self.snapshot_changed
        try:
            async with deadline.CatchUpTimeout(
                asyncio.get_running_loop().time() + seconds
            ):
                await changed.wait()
        except TimeoutError:
            return False
        return True
