"""Builds a router, starts it and stops it gracefully."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import signal

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist import settings
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import heldmemory
from oleanderhoist.node import budgets
from oleanderhoist.node import coldservers
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import follower
from oleanderhoist.node import forwarder
from oleanderhoist.node import frontend
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import coordination
from oleanderhoist.policy import linkpace

# Before requests are no longer accepted, which a resignation must not delay.
RESIGN_MARGIN_SECONDS = 0.2
# For this long, a stopping router fails its readiness probe and still accepts
# requests.
UNREADY_ACCEPT_SECONDS = 2.6
# Part of the stop time in which requests may wait for a slot; the rest is for
# the servers' work.
SLOT_FRACTION = 0.5
# Part of the stop time that is reserved for writing the last responses, closing
# connections, writing the last log lines and exiting: a little less than a
# sixth; until then servers' responses are awaited.
EXIT_FRACTION = 0.14
WRITE_SECONDS = 0.3  # For writing responses after the last one is due.
MAX_CANCELLATIONS = 4
CANCELLATION_TIMEOUT_SECONDS = 0.05
# Of the VM's memory, for the bodies of servers' answers.
ANSWER_MEMORY_FRACTION = 0.1
# Of it, for what callers send ahead or do not read.
CALLER_MEMORY_FRACTION = 0.1
SETTINGS_POLL_SECONDS = 2.0  # For changes of the settings without SIGHUP.


@dataclasses.dataclass(kw_only=True)
class SettingsSource:
    """Source of the settings.

    Attributes:
        read: Reads and validates the settings.
        stamp: Returns a value that changes when the settings change.
        seen_stamp: The stamp at the last read.
    """

    read: Callable[[], settings.RouterSettings]
    stamp: Callable[[], object]
    seen_stamp: object


class Node:
    """One router.

    Args:
        settings: Validated settings.
        source: Source of the settings, for reloads.
        platform: Adapter to the platform that the router runs on.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        settings: settings.RouterSettings,
        source: SettingsSource,
        platform: ports.Platform,
        clock: clock.Clock,
    ):
        self.settings = settings
        self.source = source
        self.platform = platform
        self.clock = clock
        self.lag = program.LoopLag(clock=clock)
        self.state = state.State(evacuation_seconds=settings.evacuation_seconds)
        self.datagrams = datagrams.DatagramEndpoint(
            host=settings.ip, port=settings.peer_port
        )
        self.coordinator = coordinator.Coordinator(
            state=self.state,
            clock=clock,
            cold_terms=coldservers.terms_of(settings),
        )
        self.slot_server = slotserver.SlotServer(
            datagrams=self.datagrams, coordinator=self.coordinator, clock=clock
        )
        self.slot_client = slotclient.SlotClient(
            datagrams=self.datagrams,
            coordinator=self.coordinator,
            state=self.state,
            clock=clock,
        )
        self.forwarder = forwarder.Forwarder(
            platform=platform,
            slot_client=self.slot_client,
            state=self.state,
            clock=clock,
            budget=budgets.Budgets(
                ratio=settings.retry_ratio,
                extra=settings.retry_extra,
                state=self.state,
            ),
            data_center=settings.data_center,
        )
        exchanges.MEMORY.limit_bytes = int(
            settings.memory_bytes * ANSWER_MEMORY_FRACTION
        )
        heldmemory.CALLERS.limit_bytes = int(
            settings.memory_bytes * CALLER_MEMORY_FRACTION
        )
        self.slot_client.slots_due = self.forwarder.slots_due
        self.frontend = frontend.Frontend(
            address=settings.listen,
            platform=platform,
            forwarder=self.forwarder,
            state=self.state,
            clock=clock,
            memory_bytes=settings.memory_bytes,
        )
        link = linkpace.LinkPace(
            bytes_per_second=settings.link_bytes_per_second
        )
        self.frontend.server.settings.link = link if link.is_needed else None
        self.frontend.server.connection_limit = settings.max_connections
        self.follower = follower.Follower(
            platform=platform,
            datagrams=self.datagrams,
            state=self.state,
            clock=clock,
            lag=self.lag,
            own_member=cluster.Member(
                address=self.datagrams.address,
                data_center=settings.data_center,
                cores=settings.cores,
                coordination=coordination.RULE,
            ),
            max_lease_seconds=settings.max_lease_seconds,
            propagation_seconds=settings.propagation_seconds,
            bootstrap=settings.bootstrap,
            coordinator=self.coordinator,
            forwarder=self.forwarder,
            cold_terms=coldservers.terms_of(settings),
        )
        self.health = program.HealthServer(
            address=settings.readiness_listen,
            unready_reason=self.unready_reason,
            ready_path=platform.ready_path,
        )
        self.metrics = program.HealthServer(
            address=client.Address(
                host=settings.ip, port=settings.metrics_port
            ),
            unready_reason=self.unready_reason,
        )
        self.stopping = False

    def unready_reason(self) -> str:
        """Returns why the router is not ready, or an empty text."""
        if self.stopping:
            return "stopping"
        if self.state.contracts is None:
            return "no contracts"
        if not self.state.snapshot.servers:
            return "no servers"
        return ""

    async def run(self) -> None:
        """Serves until a stop signal arrives."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self.reload
        )
        await self.datagrams.start()
        await self.health.server.start()
        await self.metrics.server.start()
        await self.frontend.server.start()
        tasks = [
            asyncio.create_task(program.supervise(name, run))
            for name, run in (
                ("lag", self.lag.run),
                ("homes", self.coordinator.run),
                ("follower", self.follower.run),
                ("settings", self.watch_settings),
            )
        ]
        log.write(
            events.PROGRAM_STARTED,
            program="router",
            id=self.settings.id,
            address=self.datagrams.address,
        )
        await program.wait_for_stop("router")
        await self.stop(tasks)

    async def watch_settings(self) -> None:
        """Reloads settings that change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            if self.source.stamp() != self.source.seen_stamp:
                self.reload()

    def reload(self) -> None:
        """Reloads the settings; invalid ones leave the current ones active."""
        self.source.seen_stamp = self.source.stamp()
        try:
            reloaded = self.source.read()
        except settings.SettingsError as error:
            log.write(events.SETTINGS_RELOADED, taken=False, reason=str(error))
            return
        self.forwarder.budget.ratio = reloaded.retry_ratio
        self.forwarder.budget.extra = reloaded.retry_extra
        cold_terms = coldservers.terms_of(reloaded)
        self.coordinator.cold_servers.terms = cold_terms
        self.follower.cold_terms = cold_terms
        self.follower.max_lease_seconds = reloaded.max_lease_seconds
        self.state.evacuations.seconds = reloaded.evacuation_seconds
        self.settings = reloaded
        log.write(events.SETTINGS_RELOADED, taken=True, id=reloaded.id)

    async def stop(self, tasks: list[asyncio.Task]) -> None:
        """Stops gracefully, after answering the requests that were read."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        stop_seconds = self.settings.stop_seconds
        answers_due = began + drain_seconds(stop_seconds)
        slots_due = began + SLOT_FRACTION * stop_seconds
        self.stopping = True
        self.frontend.server.settings.close_after_response = True
        self.forwarder.stop(slots_due=slots_due, answers_due=answers_due)
        accept_end = min(began + UNREADY_ACCEPT_SECONDS, slots_due)
        accept_seconds = accept_end - began
        await asyncio.gather(
            self.resign(accept_seconds - RESIGN_MARGIN_SECONDS),
            asyncio.sleep(accept_seconds),
        )
        await self.frontend.server.stop(
            max(0.0, answers_due + WRITE_SECONDS - loop.time())
        )
        await end_tasks(tasks)
        self.datagrams.close()
        await self.health.server.stop(0.0)
        await self.metrics.server.stop(0.0)

    async def resign(self, seconds: float) -> None:
        """Gives up leading, or reports to the leader that the router stops.

        Args:
            seconds: Longest time to try, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.follower.stop()


async def end_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks until they end, a limited number of times.

    A task group drops the cancellation of its task if one of its own tasks
    fails at the same time, as when a leader is deposed.
    """
    running = set(tasks)
    for _ in range(MAX_CANCELLATIONS):
        if not running:
            return
        for task in running:
            task.cancel()
        _, running = await asyncio.wait(
            running, timeout=CANCELLATION_TIMEOUT_SECONDS
        )


def drain_seconds(stop_seconds: float) -> float:
    """Returns how long responses are awaited after the stop signal, in seconds.

    Args:
        stop_seconds: Time from the stop signal to the kill, in seconds.
    """
    return stop_seconds * (1.0 - EXIT_FRACTION)
