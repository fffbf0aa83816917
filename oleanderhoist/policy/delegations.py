"""How long an earlier assignment of a server may still be in force.

The leader lends entries the right to renew servers' leases. Every order that
an entry sends carries an absolute deadline no later than the limit of its
delegation. A partition may move once the latest deadline that any order for the
server's earlier assignment can carry has passed, plus the clock skew.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delegation:
    """A right to renew one server, lent to one entry.

    Attributes:
        version: Assignment version the entry may state.
        revision: View revision the delegation was made under.
        expires_at: Latest deadline an order may carry, wall clock, in seconds.
    """

    version: int
    revision: int
    expires_at: float


class DelegationLedger:
    """Keeps outstanding delegations and what entries say of their orders."""

    def __init__(self):
        self.delegations: dict[str, dict[str, dict[int, Delegation]]] = {}
        self.acked: dict[str, int] = {}
        self.sent: dict[tuple[str, str], dict[int, float]] = {}

    def record(
        self,
        *,
        entry: str,
        server: str,
        version: int,
        revision: int,
        expires_at: float,
    ) -> None:
        """Records a delegation before it is sent."""
        delegations = self.delegations.setdefault(server, {}).setdefault(
            entry, {}
        )
        latest = (
            delegations[version].expires_at if version in delegations else 0.0
        )
        delegations[version] = Delegation(
            version=version,
            revision=revision,
            expires_at=max(expires_at, latest),
        )

    def acknowledge(self, entry: str, revision: int) -> None:
        """Records that an entry acts on a view, and on none before it."""
        self.acked[entry] = max(revision, self.acked.get(entry, 0))

    def report(
        self, entry: str, server: str, version: int, deadline: float
    ) -> None:
        """Records the latest deadline an entry sent for a version."""
        deadlines = self.sent.setdefault((entry, server), {})
        deadlines[version] = max(deadline, deadlines.get(version, 0.0))

    def earlier_assignments_expire_at(
        self, server: str, version: int, revision: int
    ) -> float:
        """Returns when the assignments below a version have surely lapsed.

        Args:
            server: The server that loses partitions.
            version: Its first assignment without them.
            revision: The first view that states this version.

        Returns:
            Wall-clock seconds, without the allowance for skew; 0 when no
            earlier assignment can be in force.
        """
        latest = 0.0
        for entry, delegations in self.delegations.get(server, {}).items():
            for delegation in delegations.values():
                if delegation.version < version:
                    latest = max(
                        latest, self.latest(entry, server, delegation, revision)
                    )
        return latest

    def latest(
        self, entry: str, server: str, delegation: Delegation, revision: int
    ) -> float:
        """Returns the latest deadline an entry can have sent under one."""
        if self.acked.get(entry, 0) < revision:
            return delegation.expires_at
        deadlines = self.sent.get((entry, server), {})
        return min(
            delegation.expires_at, deadlines.get(delegation.version, 0.0)
        )

    def prune(self, now: float) -> None:
        """Drops delegations whose limit has passed."""
        for entries in self.delegations.values():
            for delegations in entries.values():
                for version in list(delegations):
                    if delegations[version].expires_at < now:
                        del delegations[version]
