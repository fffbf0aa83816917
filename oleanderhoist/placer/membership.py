"""Tracks live entries by their answers to the leader's delegations."""

import dataclasses

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.peers import wire
from oleanderhoist.policy import topology

ENTRY_TIMEOUT_SECONDS = 0.35
REMOVED_ENTRY_RETENTION_SECONDS = 60.0


@dataclasses.dataclass(kw_only=True)
class Member:
    """One live entry as the leader sees it.

    Attributes:
        entry: Identity and address.
        heard_at: Time of the last answer, in monotonic seconds.
        status: The last answer; None before the first.
        snapshot_sent_at: When a snapshot was last sent, in monotonic seconds.
        snapshot_queued: Whether the transport accepted that snapshot.
    """

    entry: topology.Entry
    heard_at: float
    status: wire.Status | None = None
    snapshot_sent_at: float = 0.0
    snapshot_queued: bool = False


class Membership:
    """The set of live entries.

    Attributes:
        members: Live entries by id.
        left_incarnations: Incarnation of the process that left, by entry id.
        removed_at: Time of removal in monotonic seconds, by entry id.
        generation: Grows with every change of the set of live entries.
    """

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.left_incarnations: dict[str, int] = {}
        self.removed_at: dict[str, float] = {}
        self.generation = 0

    def join(self, entry: topology.Entry, incarnation: int, now: float) -> None:
        """Adds an entry unless this incarnation of it has left."""
        if incarnation <= self.left_incarnations.get(entry.id, -1):
            return
        member = self.members.get(entry.id)
        if member is not None and member.entry == entry:
            return
        self.members[entry.id] = Member(entry=entry, heard_at=now)
        self.removed_at.pop(entry.id, None)
        self.generation += 1
        log.write(events.ENTRY_JOINED, entry=entry.id, address=entry.address)

    def leave(self, entry: str, incarnation: int, now: float) -> None:
        """Removes an entry that announced its stop."""
        self.left_incarnations[entry] = incarnation
        self.remove(entry, now, "goodbye")

    def record_status(self, status: wire.Status, now: float) -> None:
        """Records an entry's answer."""
        member = self.members.get(status.entry)
        if member is not None:
            member.heard_at = now
            member.status = status

    def remove(self, entry: str, now: float, reason: str) -> None:
        """Removes an entry from the live ones."""
        if self.members.pop(entry, None) is None:
            return
        self.removed_at[entry] = now
        self.generation += 1
        log.write(events.ENTRY_LOST, entry=entry, reason=reason)

    def remove_unresponsive(self, now: float, lag: float) -> None:
        """Removes entries that have not answered in time.

        Args:
            now: Current time, in monotonic seconds.
            lag: Recent event loop lag of this process, in seconds.
        """
        for id, member in list(self.members.items()):
            if now - member.heard_at > ENTRY_TIMEOUT_SECONDS + lag:
                self.remove(id, now, "silent")

    def pop_expired(self, now: float) -> list[str]:
        """Removes and returns the ids of entries whose retention has passed."""
        expired = [
            id
            for id, removed_at in self.removed_at.items()
            if now - removed_at > REMOVED_ENTRY_RETENTION_SECONDS
        ]
        for id in expired:
            del self.removed_at[id]
        return expired

    def entries(self) -> list[topology.Entry]:
        """Returns the live entries, sorted by id."""
        return [self.members[id].entry for id in sorted(self.members)]
