"""Renews the leases of the servers that this entry coordinates."""

import asyncio
import dataclasses
import json

import pydantic

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import program
from oleanderhoist.entry import snapshots
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.peers import wire
from oleanderhoist.policy import hashing
from oleanderhoist.policy import topology

LEASE_SECONDS = 0.5
RENEW_INTERVAL_SECONDS = 0.1
# For servers of pools without keys.
PROBE_INTERVAL_SECONDS = 0.2
SEND_TIMEOUT_SECONDS = 0.15
FAILURES_UNTIL_LOST = 2
# With more lag, this process may have missed the response itself.
MAX_LOOP_LAG_SECONDS = 0.05
REPORT_RETENTION_SECONDS = 2.0
# Time for which a lease deadline is still reported after it has passed.
DEADLINE_RETENTION_SECONDS = 5

# States of a server report.
UNKNOWN = "unknown"
UP = "up"
LOST = "lost"
LEAVING = "leaving"


class LeaseAnswer(pydantic.BaseModel):
    """A server's answer to a lease or an assignment.

    Attributes:
        epoch: Epoch that it answers; None if it names none.
        version: Version that it answers; None if it names none.
        draining: Whether the server is leaving.
    """

    epoch: int | None = None
    version: int | None = None
    draining: bool = False


@dataclasses.dataclass(kw_only=True)
class Renewal:
    """State of the lease renewal of one server.

    Attributes:
        state: State of the server, as in a server report.
        failures: Consecutive leases without a response.
        acked: Epoch and version of the last assignment it acknowledged.
        sent_deadlines: Latest lease deadline sent for each assignment version,
            in wall-clock seconds.
        up_since: When it last became available, in monotonic seconds.
        coordinated_until: When this entry was last its coordinator, in
            monotonic seconds.
        task: Task that renews the lease; None if this entry is not the
            coordinator.
    """

    state: str = UNKNOWN
    failures: int = 0
    acked: tuple[int, int] = (0, -1)
    sent_deadlines: dict[int, float] = dataclasses.field(default_factory=dict)
    up_since: float = 0.0
    coordinated_until: float = 0.0
    task: asyncio.Task | None = None


class Renewer:
    """Sends leases and assignments within the leader's delegations.

    Every lease has an absolute deadline no later than the expiry of the
    delegation. The deadline is recorded before the lease is sent.

    Args:
        snapshot_store: Holds the current snapshot and delegation.
        clock: Time source.
        lag: Event loop lag of this process; failures during high lag are not
            counted.
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
        self.renewals: dict[str, Renewal] = {}
        self.clients = client.Clients(connect_seconds=SEND_TIMEOUT_SECONDS)

    def state(self, server: str) -> str:
        """Returns the state of a server."""
        renewal = self.renewals.get(server)
        return renewal.state if renewal else UNKNOWN

    async def run(self) -> None:
        """Runs one task for each coordinated server until cancelled."""
        while True:
            coordinated = {
                server.id: server
                for server in self.snapshot_store.coordinated_servers()
            }
            for id in coordinated:
                renewal = self.renewals.setdefault(id, Renewal())
                if renewal.task is None:
                    renewal.task = asyncio.create_task(
                        self.renew_while_coordinator(id)
                    )
            await self.snapshot_store.wait_for_change(RENEW_INTERVAL_SECONDS)

    async def renew_while_coordinator(self, id: str) -> None:
        """Renews a server's lease while this entry is its coordinator."""
        renewal = self.renewals[id]
        while (
            self.snapshot_store.snapshot.coordinators.get(id)
            == self.snapshot_store.own_id
        ):
            renewal.coordinated_until = self.clock.monotonic()
            snapshot = self.snapshot_store.snapshot
            await self.renew(id, renewal)
            if self.snapshot_store.snapshot is snapshot:
                await self.snapshot_store.wait_for_change(
                    self.seconds_until_renewal(id)
                )
        renewal.state = UNKNOWN
        renewal.failures = 0
        renewal.task = None

    def seconds_until_renewal(self, id: str) -> float:
        """Returns the time until a server's next renewal, in seconds.

        Each server has its own phase within the period, because a burst of
        renewals would stall the event loop.
        """
        keyed = self.snapshot_store.snapshot.servers[id].keyed
        period = RENEW_INTERVAL_SECONDS if keyed else PROBE_INTERVAL_SECONDS
        phase = hashing.digest(id) % 1000 / 1000
        periods = self.clock.monotonic() / period - phase
        return (1.0 - periods % 1.0) * period

    async def renew(self, id: str, renewal: Renewal) -> None:
        """Renews a lease; sends the full assignment if the server needs it.

        Sends nothing more once another snapshot was adopted, since the leader
        may have been told that no earlier assignment is sent any more.
        """
        snapshot = self.snapshot_store.snapshot
        server = snapshot.servers[id]
        assignment = snapshot.assignment(server)
        if renewal.acked == (snapshot.epoch, assignment.version):
            response = await self.send_lease(
                server, renewal, assignment, full=False
            )
            if response is None or response.status == 200:
                return
            if self.snapshot_store.snapshot is not snapshot:
                return
        await self.send_lease(server, renewal, assignment, full=True)

    async def send_lease(
        self,
        server: topology.Server,
        renewal: Renewal,
        assignment: topology.Assignment,
        *,
        full: bool,
    ) -> messages.Response | None:
        """Sends a lease, with the full assignment if `full` is set.

        Returns:
            The server's response; None if there is none or nothing was sent.
        """
        now = self.clock.wall()
        delegation = self.snapshot_store.delegation
        epoch = self.snapshot_store.snapshot.epoch
        deadline = min(now + LEASE_SECONDS, delegation.expires_at)
        if delegation.epoch != epoch or deadline <= now:
            return None
        body = {
            "epoch": epoch,
            "version": assignment.version,
            "deadline": deadline,
        }
        if full:
            body["fences"] = assignment.fences
            body["excluded"] = assignment.excluded
        latest = renewal.sent_deadlines.get(assignment.version, 0.0)
        renewal.sent_deadlines[assignment.version] = max(latest, deadline)
        path = "/oleander/assignment" if full else "/oleander/lease"
        response = await self.put(server, path, body)
        if response is None:
            self.record_failure(server, renewal)
            return None
        self.record_response(
            server, renewal, response, (epoch, assignment.version)
        )
        return response

    async def put(
        self, server: topology.Server, path: str, body: dict
    ) -> messages.Response | None:
        """Sends a PUT request; returns None if the exchange fails."""
        try:
            server_client = self.clients.get(server.address, server.id)
            return await server_client.request(
                "PUT",
                path,
                timeout=SEND_TIMEOUT_SECONDS,
                body=json.dumps(body).encode(),
            )
        except exchanges.ExchangeError:
            return None

    def record_failure(self, server: topology.Server, renewal: Renewal) -> None:
        """Counts a missing response unless this process lagged."""
        renewal.acked = (0, -1)
        if self.lag.recent_max() > MAX_LOOP_LAG_SECONDS:
            return
        renewal.failures += 1
        if renewal.failures >= FAILURES_UNTIL_LOST and renewal.state != LOST:
            renewal.state = LOST
            log.write(
                events.SERVER_LOST, server=server.id, failures=renewal.failures
            )

    def record_response(
        self,
        server: topology.Server,
        renewal: Renewal,
        response: messages.Response,
        acked: tuple[int, int],
    ) -> None:
        """Records a server's response; garbage counts as none."""
        try:
            answer = LeaseAnswer.model_validate_json(response.body)
        except pydantic.ValidationError:
            self.record_failure(server, renewal)
            return
        renewal.failures = 0
        if response.status == 200 and acknowledges(answer, acked):
            renewal.acked = acked
        if renewal.state in (LOST, UNKNOWN):
            renewal.up_since = self.clock.monotonic()
            log.write(
                events.SERVER_BACK, server=server.id, before=renewal.state
            )
        renewal.state = LEAVING if answer.draining else UP

    def reports(self) -> list[wire.ServerReport]:
        """Returns the server reports for the leader."""
        wall_now = self.clock.wall()
        now = self.clock.monotonic()
        reports = []
        for id, renewal in list(self.renewals.items()):
            for version in [
                v
                for v, d in renewal.sent_deadlines.items()
                if d < wall_now - DEADLINE_RETENTION_SECONDS
            ]:
                del renewal.sent_deadlines[version]
            if (
                now - renewal.coordinated_until > REPORT_RETENTION_SECONDS
                and not renewal.sent_deadlines
            ):
                continue
            reports.append(
                wire.ServerReport(
                    server=id,
                    state=renewal.state,
                    acked_epoch=renewal.acked[0],
                    acked_version=renewal.acked[1],
                    sent=dict(renewal.sent_deadlines),
                )
            )
        return reports


def acknowledges(answer: LeaseAnswer, sent: tuple[int, int]) -> bool:
    """Returns whether an answer isn't one to an earlier lease.

    Args:
        answer: The answer.
        sent: Epoch and version of the lease that was sent.
    """
    epoch, version = sent
    return answer.epoch in (None, epoch) and answer.version in (None, version)
