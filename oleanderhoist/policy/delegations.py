"""How long an earlier assignment of a server may still be valid.

The leader delegates the renewal of servers' leases to entries. Every assignment
or lease that an entry sends has an absolute deadline no later than the expiry
of its delegation. A partition may move once the latest deadline that can have
been sent for the server's earlier assignment has passed, plus the clock skew.

An entry that restarts does not know what its earlier process has sent. What was
delegated to that process counts as sent up to its limit.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delegation:
    """Permission for one entry to renew the lease of one server.

    Attributes:
        version: Version of the assignment that may be renewed.
        revision: Snapshot revision under which the delegation was made.
        expires_at: Latest deadline that the entry may send, in wall-clock
            seconds.
    """

    version: int
    revision: int
    expires_at: float


class DelegationLedger:
    """Tracks delegations, and the deadlines that entries report.

    Attributes:
        delegations: Delegations by server, entry and version.
        acked: Newest snapshot revision that an entry has confirmed, by entry.
        sent_deadlines: Reported deadlines by version, for each entry and
            server.
        incarnations: Known process of each entry.
        ended_limits: Latest deadlines that ended processes may have sent, by
            server and version.
    """

    def __init__(self):
        self.incarnations: dict[str, int] = {}
        self.ended_limits: dict[str, dict[int, float]] = {}
        self.delegations: dict[str, dict[str, dict[int, Delegation]]] = {}
        self.acked: dict[str, int] = {}
        self.sent_deadlines: dict[tuple[str, str], dict[int, float]] = {}

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

    def observe_process(self, entry: str, incarnation: int) -> None:
        """Records which process of an entry is heard.

        Args:
            entry: Id of the entry.
            incarnation: Differs between its processes; 0 if it isn't told, by
                earlier versions.
        """
        known = self.incarnations.get(entry, incarnation)
        if not incarnation:
            return
        self.incarnations[entry] = incarnation
        if known != incarnation:
            self.end_process(entry)

    def end_process(self, entry: str) -> None:
        """Lets what was delegated to an ended process last to its limit."""
        self.acked.pop(entry, None)
        for server, entries in self.delegations.items():
            self.sent_deadlines.pop((entry, server), None)
            limits = self.ended_limits.setdefault(server, {})
            for version, delegation in entries.pop(entry, {}).items():
                limits[version] = max(
                    delegation.expires_at, limits.get(version, 0.0)
                )

    def acknowledge(self, entry: str, revision: int) -> None:
        """Records that an entry uses a snapshot and none before it."""
        self.acked[entry] = max(revision, self.acked.get(entry, 0))

    def report(
        self, entry: str, server: str, version: int, deadline: float
    ) -> None:
        """Records the latest deadline that an entry sent for a version."""
        deadlines = self.sent_deadlines.setdefault((entry, server), {})
        deadlines[version] = max(deadline, deadlines.get(version, 0.0))

    def earlier_assignments_expire_at(
        self, server: str, version: int, revision: int
    ) -> float:
        """Returns when the assignments before a version have expired.

        Args:
            server: The server that loses partitions.
            version: Version of its first assignment without them.
            revision: Revision of the first snapshot with this version.

        Returns:
            Wall-clock seconds, without the allowance for clock skew; 0 if no
            earlier assignment can be valid.
        """
        ended = self.ended_limits.get(server, {})
        latest = max(
            (limit for earlier, limit in ended.items() if earlier < version),
            default=0.0,
        )
        for entry, delegations in self.delegations.get(server, {}).items():
            for delegation in delegations.values():
                if delegation.version < version:
                    latest = max(
                        latest,
                        self.latest_deadline(
                            entry, server, delegation, revision
                        ),
                    )
        return latest

    def latest_deadline(
        self, entry: str, server: str, delegation: Delegation, revision: int
    ) -> float:
        """Returns the latest deadline possibly sent under a delegation.

        Relies on entries to report all earlier deadlines together with an
        acknowledgement, and to send none for earlier versions after it.
        """
        if self.acked.get(entry, 0) < revision:
            return delegation.expires_at
        deadlines = self.sent_deadlines.get((entry, server), {})
        return min(
            delegation.expires_at, deadlines.get(delegation.version, 0.0)
        )

    def prune(self, now: float) -> None:
        """Removes expired delegations."""
        for limits in self.ended_limits.values():
            for version in list(limits):
                if limits[version] < now:
                    del limits[version]
        for entries in self.delegations.values():
            for delegations in entries.values():
                for version in list(delegations):
                    if delegations[version].expires_at < now:
                        del delegations[version]
