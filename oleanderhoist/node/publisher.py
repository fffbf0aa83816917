"""Sends snapshots, deltas and contracts to the members."""

from collections.abc import Iterable

from oleanderhoist.node import contractcodec
from oleanderhoist.node import datagrams
from oleanderhoist.node import departurenews
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster


class Publisher:
    """Sends what the leader publishes.

    Args:
        datagrams: Datagrams to the other routers.
        state: Snapshot and contracts of this router.
        members: The members by address, kept up to date by the leader.

    Attributes:
        published: Latest snapshot that was published.
        snapshot_fragments: That snapshot as datagrams; empty until a member
            needs it whole.
        contracts_fragments: The active contracts as datagrams; empty until
            they are sent.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        members: dict[str, cluster.Member],
    ):
        self.datagrams = datagrams
        self.state = state
        self.members = members
        self.published = state.snapshot
        self.snapshot_fragments: list[bytes] = []
        self.contracts_fragments: list[bytes] = []

    def send_all(self, message: bytes) -> None:
        """Sends an encoded message to all other members."""
        for address in self.members:
            if address != self.datagrams.address:
                self.datagrams.send_raw(address, message)

    def publish(self, snapshot: cluster.Snapshot) -> None:
        """Sends the changes since the last snapshot to all members.

        A member with another snapshot requests the whole one. Deltas keep
        the traffic low on slow links.
        """
        delta = wire.encode(snapshots.difference(self.state.snapshot, snapshot))
        self.published = snapshot
        self.snapshot_fragments = []
        self.send_all(delta)

    def send_snapshot(self, address: str) -> None:
        """Sends the whole snapshot to a member."""
        if not self.snapshot_fragments:
            fragments = snapshots.pack(self.published)
            self.snapshot_fragments = [wire.encode(one) for one in fragments]
        for fragment in self.snapshot_fragments:
            self.datagrams.send_raw(address, fragment)

    def send_departures(
        self, incarnations: Iterable[cluster.Incarnation]
    ) -> None:
        """Tells all members which servers have said that they leave."""
        for incarnation in incarnations:
            message = departurenews.to_message(incarnation)
            self.send_all(wire.encode(message))

    def send_contracts_to_all(self) -> None:
        """Sends new contracts to all members.

        Otherwise all members would read them from the store at once.
        """
        self.contracts_fragments = []
        for fragment in self.encoded_contracts():
            self.send_all(fragment)

    def send_contracts(self, address: str) -> None:
        """Sends the contracts to one member."""
        for fragment in self.encoded_contracts():
            self.datagrams.send_raw(address, fragment)

    def encoded_contracts(self) -> list[bytes]:
        """Returns the active contracts as datagrams; empty without any."""
        versioned = self.state.versioned_contracts()
        if versioned is not None and not self.contracts_fragments:
            fragments = contractcodec.pack(versioned)
            self.contracts_fragments = [wire.encode(one) for one in fragments]
        return self.contracts_fragments
