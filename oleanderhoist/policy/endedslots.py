"""Slots that ended, told again in case the release was lost.

Load answered: a busy link drops datagrams. A slot whose release is lost would
count as taken until the deadline of its request, so that a coordinator takes
servers that idle for full. Each slot request therefore names slots at the same
coordinator that ended a moment ago.
"""

import collections
import dataclasses

KEPT_SECONDS = 5.0  # Later, the coordinator has freed most of them itself.
TIMES_TOLD = 2
MAX_NAMED = 16  # In one slot request.


@dataclasses.dataclass(kw_only=True)
class EndedSlot:
    """A slot that ended.

    Attributes:
        id: Id of the slot request.
        ended_at: When it ended, in seconds.
        told: How often it was named since.
    """

    id: int
    ended_at: float
    told: int = 0


class EndedSlots:
    """Slots of this router's requests that ended, by coordinator."""

    def __init__(self):
        self.by_coordinator: dict[str, collections.deque[EndedSlot]] = {}

    def add(self, coordinator: str, id: int, now: float) -> None:
        """Adds a slot whose release or cancellation is sent now."""
        ended = self.by_coordinator.setdefault(
            coordinator, collections.deque(maxlen=MAX_NAMED)
        )
        ended.append(EndedSlot(id=id, ended_at=now))

    def discard(self, coordinator: str, id: int) -> None:
        """Drops a slot request that is sent to the coordinator again."""
        ended = self.by_coordinator.get(coordinator, ())
        again = [slot for slot in ended if slot.id == id]
        for slot in again:
            ended.remove(slot)

    def name(self, coordinator: str, now: float) -> list[int]:
        """Returns the ids to name in a slot request to a coordinator."""
        ended = self.by_coordinator.get(coordinator)
        if not ended:
            return []
        while ended and ended[0].ended_at < now - KEPT_SECONDS:
            ended.popleft()
        ids = [slot.id for slot in ended]
        for slot in ended:
            slot.told += 1
        while ended and ended[0].told >= TIMES_TOLD:
            ended.popleft()
        return ids
