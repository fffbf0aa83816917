"""Which entries are live, by their answers to the leader's delegations."""

import dataclasses

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.peers import wire
from oleanderhoist.policy import topology

SILENT_SECONDS = 0.35
FORGET_SECONDS = 60.0


@dataclasses.dataclass(kw_only=True)
class Member:
    """One entry as the leader sees it."""

    entry: topology.Entry
    heard_at: float
    status: wire.Status | None = None
    snapshot_sent_at: float = 0.0
    snapshot_queued: bool = False


class Membership:
    """Live entries.

    A higher `generation` means that the set of live entries has changed.
    """

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.leaving: dict[str, int] = {}
        self.removed_at: dict[str, float] = {}
        self.generation = 0

    def join(self, entry: topology.Entry, incarnation: int, now: float) -> None:
        """Counts an entry as live, unless this process said goodbye."""
        if incarnation <= self.leaving.get(entry.id, -1):
            return
        member = self.members.get(entry.id)
        if member is not None and member.entry == entry:
            return
        self.members[entry.id] = Member(entry=entry, heard_at=now)
        self.removed_at.pop(entry.id, None)
        self.generation += 1
        log.write(events.ENTRY_JOINED, entry=entry.id, address=entry.address)

    def leave(self, entry: str, incarnation: int, now: float) -> None:
        """Counts an entry as leaving."""
        self.leaving[entry] = incarnation
        self.remove(entry, now, "goodbye")

    def record_status(self, status: wire.Status, now: float) -> None:
        """Records an entry's answer."""
        member = self.members.get(status.entry)
        if member is not None:
            member.heard_at = now
            member.status = status

    def remove(self, entry: str, now: float, reason: str) -> None:
        """Counts an entry as lost."""
        if self.members.pop(entry, None) is None:
            return
        self.removed_at[entry] = now
        self.generation += 1
        log.write(events.ENTRY_LOST, entry=entry, reason=reason)

    def expire_silent(self, now: float, lag: float) -> None:
        """Removes entries that have been silent for too long.

        Args:
            now: Monotonic seconds.
            lag: This process's own recent lag, in seconds.
        """
        for id, member in list(self.members.items()):
            if now - member.heard_at > SILENT_SECONDS + lag:
                self.remove(id, now, "silent")

    def forgotten(self, now: float) -> list[str]:
        """Returns entries gone for so long that their records may go."""
        old = [
            i for i, t in self.removed_at.items() if now - t > FORGET_SECONDS
        ]
        for id in old:
            del self.removed_at[id]
        return old

    def entries(self) -> list[topology.Entry]:
        """Returns the live entries by id."""
        return [self.members[id].entry for id in sorted(self.members)]
