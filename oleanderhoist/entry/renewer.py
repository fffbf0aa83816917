"""Renews the leases of the servers whose coordinator this entry is."""

import asyncio
import dataclasses
import json

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import program
from oleanderhoist.entry import snapshots
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.peers import wire
from oleanderhoist.policy import hashing
from oleanderhoist.policy import topology

LEASE_SECONDS = 0.5
RENEW_SECONDS = 0.1
PROBE_SECONDS = 0.2
ORDER_SECONDS = 0.15
FAILURES_TO_LOSE = 2
EXCUSED_LAG_SECONDS = 0.05
REPORT_SECONDS = 2.0

UNKNOWN = "unknown"
UP = "up"
LOST = "lost"
LEAVING = "leaving"


@dataclasses.dataclass(kw_only=True)
class Watch:
    """What this entry knows of one server.

    Attributes:
        state: Whether it answers orders.
        failures: Orders in a row without an answer.
        acked: Epoch and version of the last order it followed.
        sent: Latest deadline sent, by assignment version, wall seconds.
        up_since: When it last became usable, monotonic seconds.
        coordinated_until: When this entry was last its coordinator, monotonic
            seconds.
    """

    state: str = UNKNOWN
    failures: int = 0
    acked: tuple[int, int] = (0, -1)
    sent: dict[int, float] = dataclasses.field(default_factory=dict)
    up_since: float = 0.0
    coordinated_until: float = 0.0
    task: asyncio.Task | None = None


class Renewer:
    """Sends leases and assignments within the leader's delegations.

    Every order carries an absolute deadline no later than the delegation's
    limit, and the deadline is recorded before the order leaves.

    Args:
        snapshot_store: The adopted snapshots and delegations.
        clock: Time source.
        lag: This process's own lag, which excuses missing answers.
    """

    def __init__(
        self,
        *,
        snapshot_store: snapshots.SnapshotStore,
        clock: clock.Clock,
        lag: program.LoopLag,
    ):
        self.snapshot_store = snapshot_store
        self.clock = clock
        self.lag = lag
        self.watches: dict[str, Watch] = {}
        self.clients = client.Clients(connect_seconds=ORDER_SECONDS)

    def state(self, server: str) -> str:
        """Returns whether a server answers orders."""
        watch = self.watches.get(server)
        return watch.state if watch else UNKNOWN

    async def run(self) -> None:
        """Keeps one task for each homed server until cancelled."""
        while True:
            coordinated = {
                server.id: server
                for server in self.snapshot_store.coordinated()
            }
            for id in coordinated:
                watch = self.watches.setdefault(id, Watch())
                if watch.task is None:
                    watch.task = asyncio.create_task(self.keep(id))
            await self.snapshot_store.wait_for_change(RENEW_SECONDS)

    async def keep(self, id: str) -> None:
        """Renews one server for as long as this entry is its coordinator."""
        watch = self.watches[id]
        while (
            self.snapshot_store.snapshot.coordinators.get(id)
            == self.snapshot_store.own
        ):
            watch.coordinated_until = self.clock.monotonic()
            snapshot = self.snapshot_store.snapshot
            await self.renew(id, watch)
            if self.snapshot_store.snapshot is snapshot:
                await self.snapshot_store.wait_for_change(self.until_phase(id))
        watch.state = UNKNOWN
        watch.failures = 0
        watch.task = None

    def until_phase(self, id: str) -> float:
        """Returns the seconds until a server's next renewal.

        Each server has a phase of its own within the period, so that
        renewals never come in a burst that stalls the event loop.
        """
        keyed = self.snapshot_store.snapshot.servers[id].keyed
        period = RENEW_SECONDS if keyed else PROBE_SECONDS
        phase = hashing.digest(id) % 1000 / 1000
        periods = self.clock.monotonic() / period - phase
        return (1.0 - periods % 1.0) * period

    async def renew(self, id: str, watch: Watch) -> None:
        """Sends one order, or two when the server is behind."""
        server = self.snapshot_store.snapshot.servers[id]
        assignment = self.snapshot_store.snapshot.assignment(server)
        epoch = self.snapshot_store.snapshot.epoch
        if watch.acked == (epoch, assignment.version):
            answer = await self.order(server, watch, assignment, full=False)
            if answer is None or answer.status == 200:
                return
        await self.order(server, watch, assignment, full=True)

    async def order(
        self,
        server: topology.Server,
        watch: Watch,
        assignment: topology.Assignment,
        *,
        full: bool,
    ) -> messages.Response | None:
        """Sends a lease or a full assignment.

        Returns:
            The server's answer, or None when it gave none or none was sent.
        """
        now = self.clock.wall()
        delegation = self.snapshot_store.delegation
        epoch = self.snapshot_store.snapshot.epoch
        deadline = min(now + LEASE_SECONDS, delegation.expires_at)
        if delegation.epoch != epoch or deadline <= now:
            return None
        order = {
            "epoch": epoch,
            "version": assignment.version,
            "deadline": deadline,
        }
        if full:
            order["fences"] = assignment.fences
            order["excluded"] = assignment.excluded
        latest = watch.sent.get(assignment.version, 0.0)
        watch.sent[assignment.version] = max(latest, deadline)
        path = "/oleander/assignment" if full else "/oleander/lease"
        answer = await self.exchange(server, path, order)
        if answer is None:
            self.fail(server, watch)
            return None
        self.succeed(server, watch, answer, (epoch, assignment.version))
        return answer

    async def exchange(
        self, server: topology.Server, path: str, order: dict
    ) -> messages.Response | None:
        """Performs one exchange with a server."""
        try:
            return await self.clients.get(server.address).request(
                "PUT",
                path,
                timeout=ORDER_SECONDS,
                body=json.dumps(order).encode(),
            )
        except client.ExchangeError:
            return None

    def fail(self, server: topology.Server, watch: Watch) -> None:
        """Counts an order without an answer, unless this process lagged."""
        watch.acked = (0, -1)
        if self.lag.recent_max() > EXCUSED_LAG_SECONDS:
            return
        watch.failures += 1
        if watch.failures >= FAILURES_TO_LOSE and watch.state != LOST:
            watch.state = LOST
            log.write(
                events.SERVER_LOST, server=server.id, failures=watch.failures
            )

    def succeed(
        self,
        server: topology.Server,
        watch: Watch,
        answer: messages.Response,
        stamp: tuple[int, int],
    ) -> None:
        """Takes in a server's answer."""
        watch.failures = 0
        if answer.status == 200:
            watch.acked = stamp
        if watch.state in (LOST, UNKNOWN):
            watch.up_since = self.clock.monotonic()
            log.write(events.SERVER_BACK, server=server.id, before=watch.state)
        draining = json.loads(answer.body).get("draining", False)
        watch.state = LEAVING if draining else UP

    def reports(self) -> list[wire.ServerReport]:
        """Returns what the leader needs to know of the servers."""
        wall = self.clock.wall()
        now = self.clock.monotonic()
        found = []
        for id, watch in list(self.watches.items()):
            for version in [v for v, d in watch.sent.items() if d < wall - 5]:
                del watch.sent[version]
            if (
                now - watch.coordinated_until > REPORT_SECONDS
                and not watch.sent
            ):
                continue
            found.append(
                wire.ServerReport(
                    server=id,
                    state=watch.state,
                    acked_epoch=watch.acked[0],
                    acked_version=watch.acked[1],
                    sent=dict(watch.sent),
                )
            )
        return found
