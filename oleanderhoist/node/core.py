"""Puts a router together, starts it and stops it."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
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
from oleanderhoist.node import budgets
from oleanderhoist.node import coordinator
from oleanderhoist.node import datagrams
from oleanderhoist.node import follower
from oleanderhoist.node import forwarder
from oleanderhoist.node import frontend
from oleanderhoist.node import slotclient
from oleanderhoist.node import state
from oleanderhoist.policy import cluster

RESTART_SECONDS = 0.2
LINGER_SECONDS = 2.6
# Of the time to the kill: to close, write the last lines and exit. Answers are
# awaited until a sixth of it is left, and a moment longer.
END_FRACTION = 0.14

SETTINGS_SECONDS = 2.0  # Between looks at the settings, for silent changes.


@dataclasses.dataclass(kw_only=True)
class Source:
    """Where the settings come from.

    Attributes:
        read: Reads and checks them.
        stamp: Returns something that differs once they have changed.
        seen: The stamp of what is in force.
    """

    read: Callable[[], settings.RouterSettings]
    stamp: Callable[[], object]
    seen: object


class Node:
    """One router.

    Args:
        settings: Checked settings.
        source: Where the settings come from.
        platform: What the router runs on.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        settings: settings.RouterSettings,
        source: Source,
        platform: ports.Platform,
        clock: clock.Clock,
    ):
        self.settings = settings
        self.source = source
        self.platform = platform
        self.clock = clock
        self.lag = program.LoopLag(clock=clock)
        self.state = state.State()
        self.datagrams = datagrams.DatagramEndpoint(
            host=settings.ip, port=settings.peer_port
        )
        self.coordinator = coordinator.Coordinator(
            state=self.state, clock=clock
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
        self.frontend = frontend.Frontend(
            address=settings.front,
            platform=platform,
            forwarder=self.forwarder,
            state=self.state,
            clock=clock,
            memory_bytes=settings.memory_bytes,
        )
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
            ),
            max_lease_seconds=settings.max_lease_seconds,
            propagation_seconds=settings.propagation_seconds,
            bootstrap=settings.bootstrap,
            coordinator=self.coordinator,
            forwarder=self.forwarder,
        )
        self.health = program.HealthServer(
            address=settings.ready,
            ready=self.unready,
            ready_path=platform.ready_path,
        )
        self.metrics = program.HealthServer(
            address=client.Address(
                host=settings.ip, port=settings.metrics_port
            ),
            ready=self.unready,
        )
        self.stopping = False

    def unready(self) -> str:
        """Returns why callers should not be sent here, or nothing."""
        if self.stopping:
            return "stopping"
        if self.state.contracts is None:
            return "no contracts"
        if not self.state.snapshot.servers:
            return "no servers"
        return ""

    async def run(self) -> None:
        """Serves until told to stop."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self.reload
        )
        await self.datagrams.start()
        await self.health.server.start()
        await self.metrics.server.start()
        await self.frontend.server.start()
        tasks = [
            asyncio.create_task(self.keep("lag", self.lag.run)),
            asyncio.create_task(self.keep("homes", self.coordinator.run)),
            asyncio.create_task(self.keep("follower", self.follower.run)),
            asyncio.create_task(self.keep("settings", self.watch_settings)),
        ]
        log.write(
            events.PROGRAM_STARTED,
            program="router",
            id=self.settings.id,
            address=self.datagrams.address,
        )
        await program.wait_for_stop("router")
        await self.stop(tasks)

    async def keep(self, name: str, work: Callable[[], Coroutine]) -> None:
        """Runs a task, and starts it again when it fails."""
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                log.write(events.TASK_FAILED, task=name, reason=describe(error))
            await asyncio.sleep(RESTART_SECONDS)

    async def watch_settings(self) -> None:
        """Takes in settings that change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_SECONDS)
            if self.source.stamp() != self.source.seen:
                self.reload()

    def reload(self) -> None:
        """Reads the settings again; bad ones leave the present in force."""
        self.source.seen = self.source.stamp()
        try:
            fresh = self.source.read()
        except settings.SettingsError as error:
            log.write(events.SETTINGS_RELOADED, taken=False, reason=str(error))
            return
        self.forwarder.budget.ratio = fresh.retry_ratio
        self.forwarder.budget.extra = fresh.retry_extra
        self.follower.max_lease_seconds = fresh.max_lease_seconds
        self.settings = fresh
        log.write(events.SETTINGS_RELOADED, taken=True, id=fresh.id)

    async def stop(self, tasks: list[asyncio.Task]) -> None:
        """Answers what was read, then ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + awaiting_seconds(self.settings.stop_seconds)
        self.stopping = True
        self.frontend.server.closing_answers = True
        self.forwarder.stopping = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self.follower.stop()
        await asyncio.sleep(LINGER_SECONDS)
        await self.frontend.server.stop(max(0.0, end - loop.time()))
        for task in tasks:
            task.cancel()
        self.datagrams.close()
        await self.health.server.stop(0.0)
        await self.metrics.server.stop(0.0)


def awaiting_seconds(stop_seconds: float) -> float:
    """Returns how long answers are awaited after the stop signal, in seconds.

    Args:
        stop_seconds: Time from the stop signal to the kill.
    """
    return stop_seconds * (1.0 - END_FRACTION)


def describe(error: BaseException) -> str:
    """Returns an error and, for a group, the first of its errors."""
    if isinstance(error, BaseExceptionGroup):
        return f"{error}: {describe(error.exceptions[0])}"
    return f"{type(error).__name__}: {error}"
