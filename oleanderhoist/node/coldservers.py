"""Paces the requests to the cold servers of slot queues.

A server counts as cold by what the directory says, and by what attempts show.
Both are known where its slots are granted, so each coordinator decides for its
own queues and nothing is sent for it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import weakref

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import settings
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coldpace
from oleanderhoist.policy import coldstarts
from oleanderhoist.policy import contractset
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue

# For changes that no message announces, as the end of a presumption.
CHECK_INTERVAL_SECONDS = 0.1

COLD = prometheus_client.Gauge(
    "oleander_cold_servers",
    "Servers that count as cold at the slot queues of this router",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdTerms:
    """What holds for the cold servers of all pools.

    Attributes:
        directory_seconds: Interval at which servers write their entries, in
            seconds.
        factor: Factor on the rate that cold servers stand, up to which they
            get requests in any second.
        slack: Requests that they may get in a second beyond that.
    """

    directory_seconds: float = 1.0
    factor: float = 1.0
    slack: float = 0.0


DEFAULT_TERMS = ColdTerms()


def terms_of(router_settings: settings.RouterSettings) -> ColdTerms:
    """Returns the terms that a router's settings name."""
    return ColdTerms(
        directory_seconds=router_settings.directory_seconds,
        factor=router_settings.cold_factor,
        slack=router_settings.cold_slack,
    )


def ended_evacuations(known: state.State) -> Mapping[str, float]:
    """Returns when evacuations were taken back, in seconds, by data centre."""
    return known.evacuations.ended_at


def belief_of(
    known: state.State, time: clock.Clock, terms: ColdTerms
) -> coldstarts.Belief:
    """Returns what a router knows of the directory."""
    age = known.snapshot_confirmation.age(time.boottime())
    return coldstarts.Belief(
        directory_seconds=terms.directory_seconds,
        confirmed_at=time.monotonic() - age,
        ended_evacuations=ended_evacuations(known),
    )


def mark_returned(
    servers: Mapping[str, cluster.Server],
    pool: contractset.Pool,
    belief: coldstarts.Belief,
    now: float,
) -> dict[str, cluster.Server]:
    """Returns servers of a pool of which those presumed cold are cold.

    Args:
        servers: The servers by id.
        pool: Their pool.
        belief: What this router knows of the directory.
        now: Current time, in seconds.
    """
    marked = dict(servers)
    for id, server in servers.items():
        cause = coldstarts.find_cause(
            published=server.cold,
            absence=coldstarts.Absence(),
            data_center=server.data_center,
            cold_seconds=pool.cold_seconds,
            belief=belief,
            now=now,
        )
        if cause is not None and not server.cold:
            marked[id] = dataclasses.replace(server, cold=True)
    return marked


class ColdServers:
    """Decides which servers of slot queues count as cold, and paces these.

    Args:
        state: Current snapshot and contracts.
        clock: Time source.
        terms: What holds for cold servers.

    Attributes:
        checked_at: When each slot queue was last checked, in seconds.
        causes: Why servers count as cold, by id.
    """

    def __init__(
        self, *, state: state.State, clock: clock.Clock, terms: ColdTerms
    ):
        self.state = state
        self.clock = clock
        self.terms = terms
        self.checked_at: weakref.WeakKeyDictionary[
            slotqueue.SlotQueue, float
        ] = weakref.WeakKeyDictionary()
        self.causes: dict[str, coldstarts.Cause] = {}

    def update_if_due(self, queue: slotqueue.SlotQueue) -> None:
        """Decides again, unless it was done recently."""
        now = self.clock.monotonic()
        checked_at = self.checked_at.get(queue, now - CHECK_INTERVAL_SECONDS)
        if now - checked_at >= CHECK_INTERVAL_SECONDS:
            self.update(queue)

    def update(self, queue: slotqueue.SlotQueue) -> None:
        """Decides which servers of a slot queue count as cold now."""
        now = self.clock.monotonic()
        self.checked_at[queue] = now
        if not self.is_needed():
            return
        belief = belief_of(self.state, self.clock, self.terms)
        for server in queue.servers.values():
            self.update_server(server, belief, now)
        for id in self.causes.keys() - self.state.snapshot.servers.keys():
            self.note(id, None)
        COLD.set(len(self.causes))

    def is_needed(self) -> bool:
        """Returns whether any server counts as cold or may do so."""
        if self.causes:
            return True
        contracts = self.state.contracts
        return contracts is not None and any(
            pool.cold_rate > 0 for pool in contracts.pools.values()
        )

    def pool_of(
        self, server: serverslots.ServerSlots
    ) -> contractset.Pool | None:
        """Returns a server's pool if its cold servers are limited."""
        listed = self.state.snapshot.servers.get(server.id)
        if listed is None or self.state.contracts is None:
            return None
        pool = self.state.contracts.pools.get(listed.pool)
        return pool if pool and pool.cold_rate > 0 else None

    def update_server(
        self,
        server: serverslots.ServerSlots,
        belief: coldstarts.Belief,
        now: float,
    ) -> None:
        """Decides whether a server counts as cold now."""
        pool = self.pool_of(server)
        cause = None
        if pool is not None:
            cause = coldstarts.find_cause(
                published=self.state.snapshot.servers[server.id].cold,
                absence=server.absence,
                data_center=server.data_center,
                cold_seconds=pool.cold_seconds,
                belief=belief,
                now=now,
            )
        if pool is not None and cause is not None:
            self.pace(server, pool, now)
        elif server.cold is not None:
            server.set_cold(None)
        self.note(server.id, cause)

    def pace(
        self,
        server: serverslots.ServerSlots,
        pool: contractset.Pool,
        now: float,
    ) -> None:
        """Paces the requests to a server."""
        bound = coldpace.Bound(
            rate=pool.cold_rate,
            most=pool.cold_rate * self.terms.factor + self.terms.slack,
        )
        routers = len(self.state.snapshot.members)
        if server.cold is None:
            server.set_cold(
                coldpace.ColdPace(bound=bound, routers=routers, now=now)
            )
        else:
            server.cold.change(bound, routers, now)

    def note(self, server: str, cause: coldstarts.Cause | None) -> None:
        """Logs whether and why a server counts as cold, if that changed."""
        before = self.causes.pop(server, None)
        if cause is not None:
            self.causes[server] = cause
        if cause is not before:
            log.write_limited(
                events.SERVER_COLD,
                server=server,
                cause="" if cause is None else cause.value,
            )

    @contextlib.contextmanager
    def bypassed(self, queue: slotqueue.SlotQueue) -> Iterator[None]:
        """Lets a request use only this router's share of cold servers."""
        self.update(queue)
        paces = [s.cold for s in queue.servers.values() if s.cold is not None]
        for pace in paces:
            pace.is_bypass = True
        try:
            yield
        finally:
            for pace in paces:
                pace.is_bypass = False

    def record_failure(self, queue: slotqueue.SlotQueue, server: str) -> None:
        """Counts an attempt that nothing at a server's address answered."""
        known = queue.servers.get(server)
        if known is not None:
            known.absence.record_failure()
            self.update(queue)

    def record_answer(self, queue: slotqueue.SlotQueue, server: str) -> None:
        """Records that a server answered."""
        known = queue.servers.get(server)
        if known is not None:
            known.absence.record_answer(self.clock.monotonic())
