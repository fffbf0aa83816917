"""Which waiting request a server's free slot goes to."""

import collections
import dataclasses
from typing import Protocol

from oleanderhoist.policy import registry
from oleanderhoist.policy import slotaccess

RANKS = (1, 2, 3)
QUEUE_LIMIT = 256
SERVICE_SMOOTHING = 0.2


@dataclasses.dataclass(kw_only=True)
class SlotRequest:
    """A request that waits for a slot.

    Attributes:
        id: Request id.
        rank: 1 is the most urgent.
        deadline: Latest useful end, monotonic seconds.
        queued_at: When it came, monotonic seconds.
        worth: Worth by contract.
        requester: Entry that asked.
        expected: Time it will hold a slot by its contract, in seconds.
    """

    id: int
    rank: int
    deadline: float
    queued_at: float
    worth: float
    requester: str
    expected: float


class Policy(Protocol):
    """Orders the waiting requests of one server."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None when nothing waits."""


DISPATCHES: registry.Registry[type[Policy]] = registry.Registry(
    kind="dispatch policy"
)


@DISPATCHES.register("guaranteed-share")
class GuaranteedShare:
    """Most urgent first, but no rank below its share of the slots' time.

    Each rank that waits earns credit in proportion to its share whenever any
    rank is served, and pays with the slot time it uses. A rank whose credit
    has reached one service is behind its share and goes first.
    """

    CREDIT_LIMIT = 8.0

    def __init__(self):
        self.credit = {rank: 0.0 for rank in RANKS}

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None when nothing waits."""
        waiting = [rank for rank in RANKS if queues[rank]]
        if not waiting:
            return None
        behind = [
            rank
            for rank in waiting
            if self.credit[rank] >= queues[rank][0].expected
            and shares.get(rank, 0.0) > 0
        ]
        rank = behind[0] if behind else waiting[0]
        cost = queues[rank][0].expected
        for other in RANKS:
            if other in waiting:
                earned = self.credit[other] + shares.get(other, 0.0) * cost
                limit = self.CREDIT_LIMIT * queues[other][0].expected
                self.credit[other] = min(earned, limit)
            else:
                self.credit[other] = 0.0
        self.credit[rank] = max(0.0, self.credit[rank] - cost)
        return rank


@DISPATCHES.register("strict-priority")
class StrictPriority:
    """Baseline: the most urgent rank that waits."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None when nothing waits."""
        return next((rank for rank in RANKS if queues[rank]), None)


@DISPATCHES.register("first-come")
class FirstCome:
    """Baseline: the oldest request."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None when nothing waits."""
        waiting = [rank for rank in RANKS if queues[rank]]
        if not waiting:
            return None
        return min(waiting, key=lambda rank: queues[rank][0].queued_at)


class Dispatcher:
    """Slots and queue of one server.

    Args:
        policy: Orders the waiting requests.
        slots: Requests the server works on at once.
        shares: Least part of the slots' time by rank.
    """

    def __init__(self, *, policy: Policy, slots: int, shares: dict[int, float]):
        self.policy = policy
        self.slots = slots
        self.shares = shares
        self.queues: dict[int, collections.deque[SlotRequest]] = {
            rank: collections.deque() for rank in RANKS
        }
        self.running: dict[tuple[str, int], SlotRequest] = {}
        self.service = 0.0

    def depth(self) -> int:
        """Returns how many requests run or wait."""
        return len(self.running) + sum(map(len, self.queues.values()))

    def wait(self, request: SlotRequest) -> float:
        """Estimates the time until a request would get a slot, in seconds."""
        ahead = sum(
            len(self.queues[rank]) for rank in RANKS if rank <= request.rank
        )
        busy = max(0, len(self.running) + ahead + 1 - self.slots)
        service = max(self.service, 0.0) or request.expected
        return busy * service / max(1, self.slots)

    def needed(self, request: SlotRequest) -> float:
        """Returns the time a request will hold a slot, in seconds.

        The contract's word counts until the server proves slower.
        """
        return max(request.expected, self.service)

    def offer(self, request: SlotRequest, now: float) -> bool:
        """Queues a request.

        Returns:
            False when the queue is full or the deadline cannot be met.
        """
        queue = self.queues[request.rank]
        if len(queue) >= QUEUE_LIMIT:
            return False
        guaranteed = not queue and self.shares.get(request.rank, 0.0) > 0
        end = now + self.wait(request) + self.needed(request)
        if end > request.deadline and not guaranteed:
            return False
        queue.append(request)
        return True

    def start(self, request: SlotRequest) -> bool:
        """Counts a request that took a slot without asking.

        Returns:
            Whether the server is busy.
        """
        self.running[(request.requester, request.id)] = request
        return self.depth() > self.slots * slotaccess.BUSY_FRACTION

    def next(self, now: float) -> tuple[list[SlotRequest], list[SlotRequest]]:
        """Fills free slots.

        Returns:
            The requests that got a slot, and those that waited too long.
        """
        late = self.expire(now)
        started = []
        while len(self.running) < self.slots:
            rank = self.policy.pick(self.queues, self.shares)
            if rank is None:
                break
            request = self.queues[rank].popleft()
            self.running[(request.requester, request.id)] = request
            started.append(request)
        return started, late

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes requests that can no longer end in time."""
        late = []
        for queue in self.queues.values():
            while queue and now + self.needed(queue[0]) > queue[0].deadline:
                late.append(queue.popleft())
        return late

    def release(self, requester: str, id: int, took: float | None) -> bool:
        """Frees a slot or forgets a waiting request.

        Args:
            requester: Entry that asked.
            id: Request id.
            took: Time the server worked on it, in seconds, when known.

        Returns:
            Whether the request was known.
        """
        if self.running.pop((requester, id), None) is not None:
            if took is not None:
                step = (took - self.service) * SERVICE_SMOOTHING
                self.service = took if not self.service else self.service + step
            return True
        for queue in self.queues.values():
            for request in queue:
                if request.id == id and request.requester == requester:
                    queue.remove(request)
                    return True
        return False

    def drop_requester(self, requester: str) -> None:
        """Forgets all requests of an entry that was lost."""
        for key in [key for key in self.running if key[0] == requester]:
            del self.running[key]
        for queue in self.queues.values():
            for request in [t for t in queue if t.requester == requester]:
                queue.remove(request)

    def drain(self) -> list[SlotRequest]:
        """Removes and returns everything that waits."""
        waiting = [t for queue in self.queues.values() for t in queue]
        for queue in self.queues.values():
            queue.clear()
        return waiting
