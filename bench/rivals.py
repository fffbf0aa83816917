"""Rivals of the lane: other ways to wait, to refuse and to choose servers."""

import collections
from collections.abc import Callable
import random

from oleanderhoist.policy import registry
from oleanderhoist.policy import slotqueue

QUEUE = 12  # Requests that wait for one server before more are refused.
RETRY_SECONDS = 0.05
REPORT_SECONDS = 0.4  # Age of load reports among 28 routers.

POLICIES: registry.Registry[Callable[..., slotqueue.SlotQueue]] = (
    registry.Registry(kind="lane policy")
)
POLICIES.register("lane")(slotqueue.SlotQueue)


@POLICIES.register("first-come")
class FirstCome(slotqueue.SlotQueue):
    """Queues everything in order, in one bounded queue."""

    def rank_of(self, request: slotqueue.SlotRequest) -> int:
        """Returns the queue that a ticket waits in."""
        return 0

    def submit(
        self, request: slotqueue.SlotRequest, now: float
    ) -> slotqueue.Verdict | None:
        """Takes a ticket while there is room."""
        server = None if self.queued_ahead(99) else self.choose(request, now)
        if server is not None:
            return self.grant(request, server, now)
        if self.queued_ahead(99) >= QUEUE * len(self.servers):
            return slotqueue.Refused(request=request, retry_after=RETRY_SECONDS)
        queue = self.queues.setdefault(
            self.rank_of(request), collections.deque()
        )
        queue.append(request)
        return None


@POLICIES.register("strict")
class Strict(FirstCome):
    """Queues by rank, the most urgent first, without a look at the time."""

    def rank_of(self, request: slotqueue.SlotRequest) -> int:
        """Returns the queue that a ticket waits in."""
        return request.rank


@POLICIES.register("two-choices")
class TwoChoices(slotqueue.SlotQueue):
    """Takes the shorter queue of two drawn servers; knows no home."""

    def __init__(
        self, *, service_seconds: float = slotqueue.DEFAULT_SERVICE_SECONDS
    ):
        super().__init__(service_seconds=service_seconds)
        self.rng = random.Random(1)
        self.waiting: dict[str, collections.deque[slotqueue.SlotRequest]] = (
            collections.defaultdict(collections.deque)
        )

    def load(self, server: slotqueue.ServerSlots, now: float) -> int:
        """Returns what is known of a server's load."""
        return len(server.running) + len(self.waiting[server.id])

    def drawn(self) -> list[slotqueue.ServerSlots]:
        """Returns the servers to choose from."""
        servers = list(self.servers.values())
        return self.rng.sample(servers, min(2, len(servers)))

    def submit(
        self, request: slotqueue.SlotRequest, now: float
    ) -> slotqueue.Verdict | None:
        """Sends a ticket to a server, whose queue may be full."""
        server = min(self.drawn(), key=lambda s: self.load(s, now))
        if len(server.running) < server.slots:
            return self.grant(request, server, now)
        if len(self.waiting[server.id]) >= QUEUE:
            return slotqueue.Refused(request=request, retry_after=RETRY_SECONDS)
        self.waiting[server.id].append(request)
        return None

    def grant_waiting(self, now: float) -> list[slotqueue.Verdict]:
        """Lets each server go on with its own queue."""
        verdicts: list[slotqueue.Verdict] = list(self.expire(now))
        for server in self.servers.values():
            queue = self.waiting[server.id]
            while queue and len(server.running) < server.slots:
                request = queue.popleft()
                if now > request.deadline:
                    verdicts.append(self.refuse(request, 0.0, now))
                else:
                    verdicts.append(self.grant(request, server, now))
        return verdicts


@POLICIES.register("reports")
class Reports(TwoChoices):
    """Takes the server that last reported the least load."""

    def __init__(
        self, *, service_seconds: float = slotqueue.DEFAULT_SERVICE_SECONDS
    ):
        super().__init__(service_seconds=service_seconds)
        self.reported: dict[str, int] = {}
        self.reported_at = float("-inf")

    def drawn(self) -> list[slotqueue.ServerSlots]:
        """Returns the servers to choose from, in a drawn order."""
        servers = list(self.servers.values())
        self.rng.shuffle(servers)
        return servers

    def load(self, server: slotqueue.ServerSlots, now: float) -> int:
        """Returns what the server reported."""
        if now - self.reported_at > REPORT_SECONDS:
            self.reported_at = now
            self.reported = {
                s.id: super(Reports, self).load(s, now)
                for s in self.servers.values()
            }
        return self.reported.get(server.id, 0)
