"""Faults of processes: kills, freezes, stops and reloads."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import signal
import time

from soak import exits
from soak import injector
from soak import records

MAX_STOP_SECONDS = 7.0  # A longer graceful stop is a violation.
MAX_SERIES_GAP_SECONDS = 4.0  # Between stops in series that overlap.
REPEATED_SIGNAL_SHARE = 0.4  # Of stops in series.
MAX_REPEATED_SIGNAL_SECONDS = 4.0


@injector.FAULTS.register("kill-router")
async def kill_router(injection: injector.Injector) -> None:
    """Kills a router and restarts it."""
    await kill(injection, "r", injection.restart_router)


@injector.FAULTS.register("kill-server")
async def kill_server(injection: injector.Injector) -> None:
    """Kills a server and restarts it without its state."""
    await kill(injection, "td", injection.restart_server)


async def kill(
    injection: injector.Injector,
    prefixes: str,
    restart: Callable[[str], Awaitable[None]],
) -> None:
    """Kills a random process and restarts it."""
    name = injection.pick_process(prefixes)
    if name is None:
        return
    injection.restarting.add(name)
    async with injection.span("kill", name):
        await injection.end_process(name, signal.SIGKILL)
        await restart(name)
    injection.restarting.discard(name)


@injector.FAULTS.register("stop-router")
async def stop_router(injection: injector.Injector) -> None:
    """Stops a router gracefully and restarts it; planned maintenance."""
    name = injection.pick_process("r")
    if name is not None:
        await stop_and_restart(injection, name)


@injector.FAULTS.register("stops-in-series")
async def stop_in_series(injection: injector.Injector) -> None:
    """Stops all routers, one after the other or overlapping; planned.

    Some get another signal while they stop.
    """
    names = [f"r{number}" for number in injection.system.routers]
    injection.rng.shuffle(names)
    gap_seconds = injection.rng.choice([None, 0.0, MAX_SERIES_GAP_SECONDS])
    stops = []
    for name in names:
        if name in injection.restarting:
            continue
        injection.restarting.add(name)  # Before another fault picks it.
        restart = asyncio.create_task(stop_and_restart(injection, name))
        stops.append(restart)
        if injection.rng.random() < REPEATED_SIGNAL_SHARE:
            stops.append(asyncio.create_task(repeat_signal(injection, name)))
        if gap_seconds is None:
            await restart
        else:
            await asyncio.sleep(injection.rng.uniform(0.0, gap_seconds))
    await asyncio.gather(*stops)


async def repeat_signal(injection: injector.Injector, name: str) -> None:
    """Sends a second signal to a stopping router."""
    process = injection.system.processes[name]
    number = injection.rng.choice([signal.SIGHUP, signal.SIGTERM])
    await asyncio.sleep(injection.rng.uniform(0.0, MAX_REPEATED_SIGNAL_SECONDS))
    if process.returncode is None:
        injection.log.append(f"{time.monotonic():.2f} {number.name} {name}")
        process.send_signal(number)


async def stop_and_restart(injection: injector.Injector, name: str) -> None:
    """Stops a router gracefully and restarts it."""
    injection.restarting.add(name)
    process = injection.system.processes[name]
    if process.returncode is None:
        await stop(injection, name, process)
    else:
        injection.checker.violations.append(
            f"stop: {name} had ended by itself with {process.returncode}"
        )
    await injection.restart_router(name)
    injection.restarting.discard(name)


async def stop(
    injection: injector.Injector, name: str, process: asyncio.subprocess.Process
) -> None:
    """Stops a router gracefully; checks how long its process takes to end."""
    pidfd = os.pidfd_open(process.pid)
    began = time.monotonic()
    injection.checker.stops.append((name, began))
    injection.log.append(f"{began:.2f} stop {name}")
    injection.system.signal(name, signal.SIGTERM)
    stop_seconds = await exits.wait(process, pidfd) - began
    if stop_seconds > MAX_STOP_SECONDS:
        injection.checker.violations.append(
            f"stop: {name} took {stop_seconds:.1f} s"
        )


@injector.FAULTS.register("pause-process")
async def pause_process(injection: injector.Injector) -> None:
    """Freezes a router or a server for a random duration."""
    name = injection.pick_process("rtd")
    if name is None:
        return
    async with injection.span(records.FREEZE, name):
        injection.system.signal(name, signal.SIGSTOP)
        await asyncio.sleep(injection.duration())
        injection.system.signal(name, signal.SIGCONT)


@injector.FAULTS.register("reload-router")
async def reload_router(injection: injector.Injector) -> None:
    """Makes a router reload its settings; planned maintenance."""
    name = injection.pick_process("r")
    if name is not None:
        injection.checker.reloads.append((name, time.monotonic()))
        injection.log.append(f"{time.monotonic():.2f} reload {name}")
        injection.system.signal(name, signal.SIGHUP)
