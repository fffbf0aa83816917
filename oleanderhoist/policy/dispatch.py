"""Dispatch of waiting requests to the free slots of a server."""

import collections
import dataclasses
from typing import Protocol

from oleanderhoist.policy import registry
from oleanderhoist.policy import slotaccess

RANKS = (1, 2, 3)
QUEUE_LIMIT = 256  # Requests per rank.
SERVICE_SMOOTHING = 0.2


@dataclasses.dataclass(kw_only=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        id: Request id.
        rank: Urgency; 1 is the most urgent.
        deadline: When the request must be complete, in monotonic seconds.
        queued_at: When it arrived, in monotonic seconds.
        worth: Worth according to the contract.
        requester: Id of the entry that sent it.
        expected_seconds: Service time according to the contract, in seconds.
    """

    id: int
    rank: int
    deadline: float
    queued_at: float
    worth: float
    requester: str
    expected_seconds: float


class Policy(Protocol):
    """Chooses which rank of one server is served next."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None if no request waits."""


DISPATCHES: registry.Registry[type[Policy]] = registry.Registry(
    kind="dispatch policy"
)


@DISPATCHES.register("guaranteed-share")
class GuaranteedShare:
    """Most urgent first, with a guaranteed share of slot time for each rank.

    Whenever a rank is served, each rank with waiting requests earns credit in
    proportion to its share, and the served rank pays for its slot time. A rank
    whose credit covers one request is behind its share and goes first.
    """

    MAX_CREDIT_REQUESTS = 8.0

    def __init__(self):
        self.credit = {rank: 0.0 for rank in RANKS}

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None if no request waits."""
        waiting = [rank for rank in RANKS if queues[rank]]
        if not waiting:
            return None
        behind = [
            rank
            for rank in waiting
            if self.credit[rank] >= queues[rank][0].expected_seconds
            and shares.get(rank, 0.0) > 0
        ]
        rank = behind[0] if behind else waiting[0]
        cost = queues[rank][0].expected_seconds
        for other in RANKS:
            if other in waiting:
                earned = self.credit[other] + shares.get(other, 0.0) * cost
                limit = (
                    self.MAX_CREDIT_REQUESTS * queues[other][0].expected_seconds
                )
                self.credit[other] = min(earned, limit)
            else:
                self.credit[other] = 0.0
        self.credit[rank] = max(0.0, self.credit[rank] - cost)
        return rank


@DISPATCHES.register("strict-priority")
class StrictPriority:
    """Baseline: the most urgent rank with waiting requests."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None if no request waits."""
        return next((rank for rank in RANKS if queues[rank]), None)


@DISPATCHES.register("first-come")
class FirstCome:
    """Baseline: the oldest request."""

    def pick(
        self,
        queues: dict[int, collections.deque[SlotRequest]],
        shares: dict[int, float],
    ) -> int | None:
        """Returns the rank to serve next, or None if no request waits."""
        waiting = [rank for rank in RANKS if queues[rank]]
        if not waiting:
            return None
        return min(waiting, key=lambda rank: queues[rank][0].queued_at)


class Dispatcher:
    """Slots and queues of one server.

    Args:
        policy: Chooses which rank is served next.
        slots: Requests that the server runs concurrently.
        shares: Guaranteed share of slot time, by rank.
    """

    def __init__(self, *, policy: Policy, slots: int, shares: dict[int, float]):
        self.policy = policy
        self.slots = slots
        self.shares = shares
        self.queues: dict[int, collections.deque[SlotRequest]] = {
            rank: collections.deque() for rank in RANKS
        }
        self.running: dict[tuple[str, int], SlotRequest] = {}
        self.service_seconds = 0.0

    def depth(self) -> int:
        """Returns how many requests are running or waiting."""
        return len(self.running) + sum(map(len, self.queues.values()))

    def expected_wait(self, request: SlotRequest) -> float:
        """Returns the expected wait of a request for a slot, in seconds."""
        ahead = sum(
            len(self.queues[rank]) for rank in RANKS if rank <= request.rank
        )
        excess = max(0, len(self.running) + ahead + 1 - self.slots)
        service = max(self.service_seconds, 0.0) or request.expected_seconds
        return excess * service / max(1, self.slots)

    def slot_seconds(self, request: SlotRequest) -> float:
        """Returns the estimated time that a request holds a slot, in seconds.

        This is the contract's service time, unless the server is slower.
        """
        return max(request.expected_seconds, self.service_seconds)

    def enqueue(self, request: SlotRequest, now: float) -> bool:
        """Queues a request.

        A rank with a guaranteed share may always have one request waiting,
        even if it is not expected to meet its deadline.

        Returns:
            False if the queue is full or the deadline cannot be met.
        """
        queue = self.queues[request.rank]
        if len(queue) >= QUEUE_LIMIT:
            return False
        guaranteed = not queue and self.shares.get(request.rank, 0.0) > 0
        end = now + self.expected_wait(request) + self.slot_seconds(request)
        if end > request.deadline and not guaranteed:
            return False
        queue.append(request)
        return True

    def add_running(self, request: SlotRequest) -> bool:
        """Adds a request that was started before it was granted a slot.

        Returns:
            Whether the server is busy.
        """
        self.running[(request.requester, request.id)] = request
        return self.depth() > self.slots * slotaccess.BUSY_FRACTION

    def fill_slots(
        self, now: float
    ) -> tuple[list[SlotRequest], list[SlotRequest]]:
        """Grants the free slots to waiting requests.

        Returns:
            The requests that were granted a slot, and those that expired.
        """
        expired = self.expire(now)
        granted = []
        while len(self.running) < self.slots:
            rank = self.policy.pick(self.queues, self.shares)
            if rank is None:
                break
            request = self.queues[rank].popleft()
            self.running[(request.requester, request.id)] = request
            granted.append(request)
        return granted, expired

    def expire(self, now: float) -> list[SlotRequest]:
        """Removes and returns requests that cannot meet their deadline."""
        expired = []
        for queue in self.queues.values():
            while (
                queue and now + self.slot_seconds(queue[0]) > queue[0].deadline
            ):
                expired.append(queue.popleft())
        return expired

    def release(self, requester: str, id: int, took: float | None) -> bool:
        """Frees the slot of a request or removes a waiting request.

        Args:
            requester: Id of the entry that sent it.
            id: Request id.
            took: Service time in seconds; None if unknown.

        Returns:
            Whether the request was known.
        """
        if self.running.pop((requester, id), None) is not None:
            if took is not None:
                step = (took - self.service_seconds) * SERVICE_SMOOTHING
                self.service_seconds = (
                    took
                    if not self.service_seconds
                    else self.service_seconds + step
                )
            return True
        for queue in self.queues.values():
            for request in queue:
                if request.id == id and request.requester == requester:
                    queue.remove(request)
                    return True
        return False

    def drop_requester(self, requester: str) -> None:
        """Removes all requests of a lost entry."""
        for key in [key for key in self.running if key[0] == requester]:
            del self.running[key]
        for queue in self.queues.values():
            for request in [r for r in queue if r.requester == requester]:
                queue.remove(request)

    def drain(self) -> list[SlotRequest]:
        """Removes and returns all waiting requests."""
        waiting = [
            request for queue in self.queues.values() for request in queue
        ]
        for queue in self.queues.values():
            queue.clear()
        return waiting
