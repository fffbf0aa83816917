"""Baseline policies that the slot queue is compared with.

They differ in how requests wait, when they are refused and how servers are
chosen. The registered names are printed by bench.lanes.
"""

import collections
from collections.abc import Callable
import random

from oleanderhoist.policy import registry
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests

MAX_QUEUED = 12  # Requests that wait for one server before more are refused.
RETRY_SECONDS = 0.05
MAX_REPORT_AGE_SECONDS = 0.4  # As old as load reports of 28 routers get.
ALL_RANKS = 99  # Greater than any rank.

POLICIES: registry.Registry[Callable[..., slotqueue.SlotQueue]] = (
    registry.Registry(kind="slot queue policy")
)
# The slot queue is "lane" in the printed tables and in the tests.
POLICIES.register("lane")(slotqueue.SlotQueue)


@POLICIES.register("first-come")
class FirstCome(slotqueue.SlotQueue):
    """First come, first served, in one bounded queue."""

    def rank_of(self, request: slotrequests.SlotRequest) -> int:
        """Returns the rank by which a request is queued."""
        return 0

    def submit(
        self, request: slotrequests.SlotRequest, now: float
    ) -> slotrequests.Verdict | None:
        """Grants or queues a request unless the queue is full."""
        server = (
            None if self.queued_ahead(ALL_RANKS) else self.choose(request, now)
        )
        if server is not None:
            return self.grant(request, server, now)
        if self.queued_ahead(ALL_RANKS) >= MAX_QUEUED * len(self.servers):
            return slotrequests.Refused(
                request=request, retry_after=RETRY_SECONDS
            )
        queue = self.queues.setdefault(
            self.rank_of(request), collections.deque()
        )
        queue.append(request)
        return None


@POLICIES.register("strict")
class StrictPriority(FirstCome):
    """Strict priority: the most urgent rank first, whatever its objective."""

    def rank_of(self, request: slotrequests.SlotRequest) -> int:
        """Returns the rank by which a request is queued."""
        return request.rank


@POLICIES.register("two-choices")
class TwoChoices(slotqueue.SlotQueue):
    """Power of two choices: the less loaded of two random servers.

    Each server has its own bounded queue; there is no coordinator.
    """

    def __init__(
        self, *, service_seconds: float = slotqueue.DEFAULT_SERVICE_SECONDS
    ):
        super().__init__(service_seconds=service_seconds)
        self.rng = random.Random(1)
        self.queues_by_server: dict[
            str, collections.deque[slotrequests.SlotRequest]
        ] = collections.defaultdict(collections.deque)

    def load(self, server: serverslots.ServerSlots, now: float) -> int:
        """Returns a server's load, as requests that run or wait."""
        return len(server.running) + len(self.queues_by_server[server.id])

    def candidates(self) -> list[serverslots.ServerSlots]:
        """Returns two random servers to choose from."""
        servers = list(self.servers.values())
        return self.rng.sample(servers, min(2, len(servers)))

    def submit(
        self, request: slotrequests.SlotRequest, now: float
    ) -> slotrequests.Verdict | None:
        """Sends a request to a server, or refuses it if its queue is full."""
        server = min(self.candidates(), key=lambda s: self.load(s, now))
        if len(server.running) < server.slots:
            return self.grant(request, server, now)
        if len(self.queues_by_server[server.id]) >= MAX_QUEUED:
            return slotrequests.Refused(
                request=request, retry_after=RETRY_SECONDS
            )
        self.queues_by_server[server.id].append(request)
        return None

    def grant_waiting(self, now: float) -> list[slotrequests.Verdict]:
        """Grants each server's free slots to the requests in its queue."""
        verdicts: list[slotrequests.Verdict] = list(self.expire(now))
        for server in self.servers.values():
            queue = self.queues_by_server[server.id]
            while queue and len(server.running) < server.slots:
                request = queue.popleft()
                if now > request.deadline:
                    verdicts.append(self.refuse(request, 0.0, now))
                else:
                    verdicts.append(self.grant(request, server, now))
        return verdicts


@POLICIES.register("reports")
class LeastReportedLoad(TwoChoices):
    """Chooses the server with the least load in its last, outdated report."""

    def __init__(
        self, *, service_seconds: float = slotqueue.DEFAULT_SERVICE_SECONDS
    ):
        super().__init__(service_seconds=service_seconds)
        self.reported_loads: dict[str, int] = {}
        self.reported_at = float("-inf")

    def candidates(self) -> list[serverslots.ServerSlots]:
        """Returns all servers in random order, so that ties are random."""
        servers = list(self.servers.values())
        self.rng.shuffle(servers)
        return servers

    def load(self, server: serverslots.ServerSlots, now: float) -> int:
        """Returns the load that the server last reported."""
        if now - self.reported_at > MAX_REPORT_AGE_SECONDS:
            self.reported_at = now
            self.reported_loads = {
                s.id: super(LeastReportedLoad, self).load(s, now)
                for s in self.servers.values()
            }
        return self.reported_loads.get(server.id, 0)
