"""Assembles the placer program."""

import asyncio

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import program
from oleanderhoist import settings
from oleanderhoist.clients import inventory
from oleanderhoist.clients import registration
from oleanderhoist.clients import table
from oleanderhoist.http import server
from oleanderhoist.peers import transport
from oleanderhoist.peers import wire
from oleanderhoist.placer import api
from oleanderhoist.placer import election
from oleanderhoist.placer import leader
from oleanderhoist.policy import leadership
from oleanderhoist.policy import placement

MAX_EXTENSION_SECONDS = 4 * 3600.0
# From the stop signal; longer than a write to the table and its check.
ANSWER_SECONDS = 2.0
WRITE_SECONDS = 0.5
HEALTH_DRAIN_SECONDS = 0.1
ELECTION_TABLE_TIMEOUT_SECONDS = leadership.LEASE_SECONDS / 2


class Placer:
    """The placer program.

    Args:
        settings: Validated settings.
        clock: Time source.
    """

    def __init__(
        self, *, settings: settings.PlacerSettings, clock: clock.Clock
    ):
        self.settings = settings
        self.clock = clock
        self.table = table.TableClient(address=settings.table)
        self.inventory = inventory.InventoryClient(address=settings.inventory)
        self.registration = registration.Registration(
            table=self.table, key=registration.PLACERS_PREFIX + settings.id
        )
        self.transport = transport.Transport(
            listen=str(settings.peer_listen),
            advertise=settings.peer_advertise,
            receiver=self.receive,
        )
        self.election = election.Election(
            own_id=settings.id,
            api_address=settings.advertise,
            table=table.TableClient(
                address=settings.table, timeout=ELECTION_TABLE_TIMEOUT_SECONDS
            ),
            transport=self.transport,
            clock=clock,
            max_skew=settings.max_skew,
            max_extension=MAX_EXTENSION_SECONDS,
            on_change=self.change_leadership,
        )
        self.lag = program.LoopLag(clock=clock)
        self.leader: leader.Leader | None = None
        self.api = api.AdminApi(
            election=self.election,
            table=self.table,
            admin_sha256=settings.admin_sha256,
            current_leader=lambda: self.leader,
        )
        self.http_server = server.Server(
            handler=self.api.handle,
            host=settings.listen.host,
            port=settings.listen.port,
        )
        self.health = program.HealthServer(
            address=settings.health_listen, unready_reason=self.unready_reason
        )
        self.tasks: list[asyncio.Task] = []

    def unready_reason(self) -> str:
        """Returns why this placer is not ready, or an empty text."""
        if self.election.stopping:
            return "stopping"
        if self.election.table_down() and not self.election.leading:
            return "the table does not answer"
        return ""

    def change_leadership(self, leading: bool) -> None:
        """Starts or stops the leader's tasks."""
        if self.leader is not None:
            self.leader.stop()
            self.leader = None
        if leading:
            self.leader = leader.Leader(
                election=self.election,
                transport=self.transport,
                table=self.table,
                inventory=self.inventory,
                clock=self.clock,
                lag=self.lag,
                policy=placement.PLACEMENTS.get(self.settings.placement)(),
                partitions=self.settings.partitions,
                deadlines=self.api.deadlines,
            )
            self.leader.start()

    def receive(self, sender: str, message: wire.Message) -> None:
        """Dispatches a peer's message."""
        self.election.receive(sender, message)
        if self.leader is not None:
            self.leader.receive(sender, message)

    async def register(self) -> None:
        """Keeps this placer's record in the table."""
        value = {"id": self.settings.id, "address": self.transport.address}
        await self.registration.keep(value)

    async def start(self) -> None:
        """Opens all sockets and starts all tasks."""
        self.transport.start()
        await self.http_server.start()
        bound_address = f"{self.settings.listen.host}:{self.http_server.port}"
        self.election.api_address = self.settings.advertise or bound_address
        await self.health.server.start()
        for name, run in (
            ("registration", self.register),
            ("election", self.election.run),
            ("expiry", self.election.watch_expiry),
            ("voters", self.election.refresh_voters),
            ("lag", self.lag.run),
        ):
            self.tasks.append(asyncio.create_task(program.supervise(name, run)))
        log.write(events.PROGRAM_STARTED, program="placer", id=self.settings.id)

    async def stop(self) -> None:
        """Resigns, answers the requests that were read, closes all sockets.

        Changes of contracts whose write of the head has not begun are refused
        at once.
        """
        loop = asyncio.get_running_loop()
        answers_due = loop.time() + ANSWER_SECONDS
        self.api.deadlines.changes.set(loop.time())
        self.api.deadlines.answers.set(answers_due)
        await self.election.resign()
        await self.registration.remove()
        remaining_seconds = max(0.0, answers_due - loop.time())
        await self.http_server.stop(remaining_seconds + WRITE_SECONDS)
        for task in self.tasks:
            task.cancel()
        await self.health.server.stop(HEALTH_DRAIN_SECONDS)
        self.transport.stop()

    async def run(self) -> None:
        """Runs until told to stop."""
        await self.start()
        await program.wait_for_stop("placer")
        await self.stop()
