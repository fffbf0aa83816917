"""Injects faults that are drawn from a seed, from outside of the processes.

Faults are registered by name. Each runs as its own task, so that faults can
follow each other closely and overlap. Planned maintenance is drawn like a fault
but not recorded as one, since time bounds apply during it.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import random
import re
import signal
import time

from oleanderhoist.policy import registry
from soak import invariants
from soak import records
from standins import platform_system
from standins import proxy

MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 5.0
RESTART_DELAY_SECONDS = 0.3
MAX_SERVER_RESTART_DELAY_SECONDS = 2.0
POLL_SECONDS = 0.02
SERVER_DRAIN_SECONDS = 2.5  # A draining server still serves.

Fault = Callable[["Injector"], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")


class Injector:
    """Injects faults into a system.

    Args:
        system: The system.
        checker: Records each fault, since time bounds don't apply near one.
        seed: Seed of all random numbers.
        max_work_seconds: Longest work of a request.
    """

    def __init__(
        self,
        *,
        system: platform_system.System,
        checker: invariants.Checker,
        seed: int,
        max_work_seconds: float,
    ):
        self.drain_seconds = SERVER_DRAIN_SECONDS + max_work_seconds
        self.system = system
        self.checker = checker
        self.rng = random.Random(seed)
        self.log: list[str] = []
        self.config_version = 7  # That of platform_system.CONFIG.
        self.restarting: set[str] = set()

    def duration(self) -> float:
        """Returns a random duration of a fault, in seconds."""
        return self.rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)

    @contextlib.asynccontextmanager
    async def span(self, kind: str, target: str) -> AsyncIterator[None]:
        """Records a fault while the context is active."""
        fault = records.Fault(kind=kind, target=target, begin=time.monotonic())
        self.checker.faults.append(fault)
        self.log.append(f"{fault.begin:.2f} {fault}")
        try:
            yield
        finally:
            fault.end = time.monotonic()
            self.log.append(f"{fault.end:.2f} end of {fault}")

    @contextlib.contextmanager
    def reserved(self, name: str) -> Iterator[None]:
        """Keeps other faults from picking a process."""
        self.restarting.add(name)
        try:
            yield
        finally:
            self.restarting.discard(name)

    def pick_process(self, prefixes: str) -> str | None:
        """Picks a running process that is not being restarted.

        Args:
            prefixes: First letters of the names to pick from.
        """
        names = [
            name
            for name, process in self.system.processes.items()
            if name[0] in prefixes
            and name != "store"
            and process.returncode is None
            and name not in self.restarting
        ]
        return self.rng.choice(sorted(names)) if names else None

    def pick_link(self, prefix: str) -> tuple[str, proxy.Proxy]:
        """Picks a link to the store, or to a server if the prefix is empty."""
        links = self.system.proxies.by_name
        names = [
            name for name in links if name.startswith("store-") == bool(prefix)
        ]
        name = self.rng.choice(sorted(names))
        return self.system.server_behind(name), links[name]

    async def restart_router(self, name: str) -> None:
        """Restarts a router and waits until it handles reload signals."""
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        self.checker.restarts.append((name, time.monotonic()))
        await self.system.start_router(int(name[1:]))
        await wait_until_reloadable(self.system.processes[name])

    async def restart_server(self, name: str) -> None:
        """Restarts a server, which has lost all its state."""
        await asyncio.sleep(
            self.rng.uniform(
                RESTART_DELAY_SECONDS, MAX_SERVER_RESTART_DELAY_SECONDS
            )
        )
        self.checker.note_cold(name)
        await self.system.start_server(
            name, platform_system.pool_of(name), name[0] == "t", cold=True
        )

    async def end_process(self, name: str, signal_number: int) -> None:
        """Signals a process to end and waits until it has exited."""
        self.system.signal(name, signal_number)
        await self.system.processes[name].wait()
        self.system.close_link(name)
        self.checker.end_server(name, time.monotonic())

    async def run(
        self,
        seconds: float,
        mean_interval_seconds: float,
        drawn: list[Fault],
    ) -> None:
        """Injects faults for some seconds, then waits until all have ended.

        Args:
            seconds: Time in which faults are started.
            mean_interval_seconds: Mean time between the starts of two faults.
            drawn: Faults to draw from.
        """
        end = time.monotonic() + seconds
        running: set[asyncio.Task] = set()
        while time.monotonic() < end:
            fault = self.rng.choice(drawn)
            running.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.rng.expovariate(1 / mean_interval_seconds))
        for task in running:
            await task


async def wait_until_reloadable(process: asyncio.subprocess.Process) -> None:
    """Waits until a started process handles or ignores reload signals.

    SIGHUP kills an interpreter that has not yet run the program; the users'
    platform would restart it.
    """
    while process.returncode is None:
        status = await asyncio.to_thread(
            pathlib.Path(f"/proc/{process.pid}/status").read_text
        )
        signal_masks = re.findall(
            r"^Sig(?:Ign|Cgt):\s+([0-9a-f]+)", status, re.M
        )
        if any(
            int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in signal_masks
        ):
            return
        await asyncio.sleep(POLL_SECONDS)
