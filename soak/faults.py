"""Faults that are injected from outside of the processes, drawn from a seed.

Faults are registered by name. Each runs as its own task, so that faults can
follow each other closely and overlap. Planned maintenance is drawn like a fault
but not recorded as one, since time bounds apply during it.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import re
import signal
import time

from oleanderhoist.policy import registry
from soak import exits
from soak import invariants
from standins import platform_system
from standins import proxy

MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 5.0
RESTART_DELAY_SECONDS = 0.3
MAX_SERVER_RESTART_DELAY_SECONDS = 2.0
MIN_LINK_DELAY_SECONDS = 0.05
MAX_LINK_DELAY_SECONDS = 0.8
LOST_RESPONSES = 5
MAX_VERSION_STEP = 5
POLL_SECONDS = 0.02
MAX_STOP_SECONDS = 7.0  # A longer graceful stop is a violation.
SERVER_DRAIN_SECONDS = 2.5  # A draining server still serves.
MAX_SERIES_GAP_SECONDS = 4.0  # Between stops in series that overlap.
LIMITS = (0.5, 2.0, 5.0)  # Requests per second.
LIMIT_SECONDS = (5.0, 12.0)
FULL_SLOTS = 1
MANY_SLOTS = 1_000_000
REPEATED_SIGNAL_SHARE = 0.4  # Of stops in series.
MAX_REPEATED_SIGNAL_SECONDS = 4.0

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
    async def span(self, name: str) -> AsyncIterator[None]:
        """Records a fault while the context is active."""
        begin = time.monotonic()
        index = len(self.checker.faults)
        self.checker.faults.append((begin, float("inf"), name))
        self.log.append(f"{begin:.2f} {name}")
        try:
            yield
        finally:
            end = time.monotonic()
            self.checker.faults[index] = (begin, end, name)
            self.log.append(f"{end:.2f} end of {name}")

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
        return name, links[name]

    async def restart_router(self, name: str) -> None:
        """Restarts a router and waits until it handles reload signals."""
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.system.start_router(int(name[1:]))
        await wait_until_reloadable(self.system.processes[name])

    async def restart_server(self, name: str) -> None:
        """Restarts a server, which has lost all its state."""
        await asyncio.sleep(
            self.rng.uniform(
                RESTART_DELAY_SECONDS, MAX_SERVER_RESTART_DELAY_SECONDS
            )
        )
        await self.system.start_server(
            name, platform_system.pool_of(name), name[0] == "t"
        )

    async def end_process(self, name: str, signal_number: int) -> None:
        """Signals a process to end and waits until it has exited."""
        self.system.signal(name, signal_number)
        await self.system.processes[name].wait()
        self.checker.end_server(name, time.monotonic())

    async def run(
        self,
        seconds: float,
        mean_interval_seconds: float,
        fault_names: list[str],
    ) -> None:
        """Injects faults for some seconds, then waits until all have ended."""
        end = time.monotonic() + seconds
        running: set[asyncio.Task] = set()
        while time.monotonic() < end:
            fault = FAULTS.get(self.rng.choice(fault_names))
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


@FAULTS.register("kill-router")
async def kill_router(injector: Injector) -> None:
    """Kills a router and restarts it."""
    await kill(injector, "r", injector.restart_router)


@FAULTS.register("kill-server")
async def kill_server(injector: Injector) -> None:
    """Kills a server and restarts it without its state."""
    await kill(injector, "td", injector.restart_server)


async def kill(
    injector: Injector, prefixes: str, restart: Callable[[str], Awaitable[None]]
) -> None:
    """Kills a random process and restarts it."""
    name = injector.pick_process(prefixes)
    if name is None:
        return
    injector.restarting.add(name)
    async with injector.span(f"kill {name}"):
        await injector.end_process(name, signal.SIGKILL)
        await restart(name)
    injector.restarting.discard(name)


@FAULTS.register("stop-router")
async def stop_router(injector: Injector) -> None:
    """Stops a router gracefully and restarts it; planned maintenance."""
    name = injector.pick_process("r")
    if name is not None:
        await stop_and_restart(injector, name)


@FAULTS.register("stops-in-series")
async def stop_in_series(injector: Injector) -> None:
    """Stops all routers, one after the other or overlapping; planned.

    Some get another signal while they stop.
    """
    names = [f"r{number}" for number in injector.system.routers]
    injector.rng.shuffle(names)
    gap_seconds = injector.rng.choice([None, 0.0, MAX_SERIES_GAP_SECONDS])
    stops = []
    for name in names:
        if name in injector.restarting:
            continue
        injector.restarting.add(name)  # Before another fault picks it.
        restart = asyncio.create_task(stop_and_restart(injector, name))
        stops.append(restart)
        if injector.rng.random() < REPEATED_SIGNAL_SHARE:
            stops.append(asyncio.create_task(repeat_signal(injector, name)))
        if gap_seconds is None:
            await restart
        else:
            await asyncio.sleep(injector.rng.uniform(0.0, gap_seconds))
    await asyncio.gather(*stops)


async def repeat_signal(injector: Injector, name: str) -> None:
    """Sends a second signal to a stopping router."""
    process = injector.system.processes[name]
    number = injector.rng.choice([signal.SIGHUP, signal.SIGTERM])
    await asyncio.sleep(injector.rng.uniform(0.0, MAX_REPEATED_SIGNAL_SECONDS))
    if process.returncode is None:
        injector.log.append(f"{time.monotonic():.2f} {number.name} {name}")
        process.send_signal(number)


async def stop_and_restart(injector: Injector, name: str) -> None:
    """Stops a router gracefully and restarts it."""
    injector.restarting.add(name)
    process = injector.system.processes[name]
    if process.returncode is None:
        await stop(injector, name, process)
    else:
        injector.checker.violations.append(
            f"stop: {name} had ended by itself with {process.returncode}"
        )
    await injector.restart_router(name)
    injector.restarting.discard(name)


async def stop(
    injector: Injector, name: str, process: asyncio.subprocess.Process
) -> None:
    """Stops a router gracefully; checks how long its process takes to end."""
    pidfd = os.pidfd_open(process.pid)
    began = time.monotonic()
    injector.checker.stops.append((name, began))
    injector.log.append(f"{began:.2f} stop {name}")
    injector.system.signal(name, signal.SIGTERM)
    stop_seconds = await exits.wait(process, pidfd) - began
    if stop_seconds > MAX_STOP_SECONDS:
        injector.checker.violations.append(
            f"stop: {name} took {stop_seconds:.1f} s"
        )


@FAULTS.register("pause-process")
async def pause_process(injector: Injector) -> None:
    """Freezes a router or a server for a random duration."""
    name = injector.pick_process("rtd")
    if name is None:
        return
    async with injector.span(f"pause {name}"):
        injector.system.signal(name, signal.SIGSTOP)
        await asyncio.sleep(injector.duration())
        injector.system.signal(name, signal.SIGCONT)


@FAULTS.register("reload-router")
async def reload_router(injector: Injector) -> None:
    """Makes a router reload its settings; planned maintenance."""
    name = injector.pick_process("r")
    if name is not None:
        injector.checker.reloads.append((name, time.monotonic()))
        injector.log.append(f"{time.monotonic():.2f} reload {name}")
        injector.system.signal(name, signal.SIGHUP)


@FAULTS.register("drain-server")
async def drain_server(injector: Injector) -> None:
    """Drains, stops and restarts a server; planned maintenance."""
    name = injector.pick_process("td")
    if name is None:
        return
    injector.restarting.add(name)
    pool = platform_system.pool_of(name)
    await injector.system.register_server(name, pool, "draining")
    injector.checker.drained[name] = time.monotonic()
    injector.log.append(f"{time.monotonic():.2f} drain {name}")
    await asyncio.sleep(injector.drain_seconds)
    await injector.system.write_row("servers", name, None)
    await injector.end_process(name, signal.SIGTERM)
    injector.checker.drained.pop(name)
    await injector.restart_server(name)
    injector.restarting.discard(name)


@FAULTS.register("limit-server")
async def limit_server(injector: Injector) -> None:
    """Makes a server name the rate that it takes; planned maintenance."""
    name = injector.pick_process("td")
    if name is None:
        return
    injector.restarting.add(name)  # No other fault picks it.
    limit = injector.rng.choice(LIMITS)
    address = injector.system.real[name]
    await injector.system.call(address, "PUT", "/limit", limit)
    began = time.monotonic()
    injector.log.append(f"{began:.2f} limit {name} to {limit} a second")
    await asyncio.sleep(injector.rng.uniform(*LIMIT_SECONDS))
    injector.checker.limits.append(
        invariants.Limit(
            server=name, rate=limit, begin=began, end=time.monotonic()
        )
    )
    await injector.system.call(address, "PUT", "/limit", None)
    injector.restarting.discard(name)
    injector.log.append(f"{time.monotonic():.2f} end of the limit of {name}")


@FAULTS.register("fill-server")
async def fill_server(injector: Injector) -> None:
    """Makes a server drop requests that it cannot run at once, unanswered."""
    name = injector.pick_process("td")
    if name is None:
        return
    injector.restarting.add(name)  # No other fault picks it.
    address = injector.system.real[name]
    async with injector.span(f"full {name}"):
        await injector.system.call(
            address, "PUT", "/capacity", {"slots": FULL_SLOTS, "queue": 0}
        )
        await asyncio.sleep(injector.duration())
        await injector.system.call(
            address, "PUT", "/capacity", {"slots": MANY_SLOTS, "queue": 0}
        )
    injector.restarting.discard(name)


@FAULTS.register("change-contracts")
async def change_contracts(injector: Injector) -> None:
    """Adds a route; the version rises by a random step; planned maintenance."""
    injector.config_version += injector.rng.randint(1, MAX_VERSION_STEP)
    config_version = injector.config_version
    await injector.system.write_row(
        "op",
        "config",
        platform_system.config_with_probe(
            config_version, injector.system.config
        ),
    )
    injector.checker.contract_changes[config_version] = time.monotonic()
    injector.log.append(f"{time.monotonic():.2f} contracts {config_version}")


@FAULTS.register("store-fails")
async def store_fails(injector: Injector) -> None:
    """Makes the store reject calls, lose responses or compact its history."""
    fault = injector.rng.choice(
        [{"down": True}, {"lose": LOST_RESPONSES}, {"compacted": True}]
    )
    async with injector.span(f"store {fault}"):
        await injector.system.call(
            injector.system.store, "PUT", "/faults", fault
        )
        await asyncio.sleep(injector.duration())
        await injector.system.call(
            injector.system.store,
            "PUT",
            "/faults",
            {"down": False, "lose": 0, "compacted": False},
        )


@FAULTS.register("store-freezes")
async def store_freezes(injector: Injector) -> None:
    """Freezes the process of the store."""
    async with injector.span("pause store"):
        injector.system.signal("store", signal.SIGSTOP)
        await asyncio.sleep(injector.duration())
        injector.system.signal("store", signal.SIGCONT)


@FAULTS.register("link-to-store")
async def link_to_store(injector: Injector) -> None:
    """Disturbs the link of one router to the store."""
    await disturb_link(injector, "store-")


@FAULTS.register("link-to-server")
async def link_to_server(injector: Injector) -> None:
    """Disturbs the link to one server."""
    await disturb_link(injector, "")


async def disturb_link(injector: Injector, prefix: str) -> None:
    """Delays, resets or black-holes a random link.

    Kinds: delay both directions, reset all connections, discard what goes to
    the target, discard what comes back, or discard all bytes of the open
    connections.
    """
    name, link = injector.pick_link(prefix)
    kind = injector.rng.choice(["delay", "reset", "one-way", "back", "silent"])
    async with injector.span(f"{kind} {name}"):
        match kind:
            case "delay":
                link.faults.delay_seconds = injector.rng.uniform(
                    MIN_LINK_DELAY_SECONDS, MAX_LINK_DELAY_SECONDS
                )
            case "reset":
                link.disconnect()
            case "one-way":
                link.faults.blackhole_forward = True
            case "back":
                link.faults.blackhole_back = True
            case "silent":
                link.blackhole_connections()
        await asyncio.sleep(injector.duration())
        link.heal()
