"""Faults of servers, and planned work on them."""

import asyncio
import signal
import time

from soak import injector
from soak import records
from standins import platform_system

LIMITS = (0.5, 2.0, 5.0)  # Requests per second.
LIMIT_SECONDS = (5.0, 12.0)
FULL_SLOTS = 1
MANY_SLOTS = 1_000_000


@injector.FAULTS.register("drain-server")
async def drain_server(injection: injector.Injector) -> None:
    """Drains, stops and restarts a server; planned maintenance."""
    name = injection.pick_process("td")
    if name is None:
        return
    injection.restarting.add(name)
    pool = platform_system.pool_of(name)
    await injection.system.register_server(name, pool, "draining")
    injection.checker.drained[name] = time.monotonic()
    injection.log.append(f"{time.monotonic():.2f} drain {name}")
    await asyncio.sleep(injection.drain_seconds)
    await injection.system.unregister_server(name)
    await injection.end_process(name, signal.SIGTERM)
    injection.checker.drained.pop(name)
    await injection.restart_server(name)
    injection.restarting.discard(name)


@injector.FAULTS.register("limit-server")
async def limit_server(injection: injector.Injector) -> None:
    """Makes a server name the rate that it takes; planned maintenance."""
    name = injection.pick_process("td")
    if name is None:
        return
    injection.restarting.add(name)  # No other fault picks it.
    limit = injection.rng.choice(LIMITS)
    address = injection.system.real[name]
    await injection.system.call(address, "PUT", "/limit", limit)
    began = time.monotonic()
    injection.log.append(f"{began:.2f} limit {name} to {limit} a second")
    await asyncio.sleep(injection.rng.uniform(*LIMIT_SECONDS))
    injection.checker.limits.append(
        records.Limit(
            server=name, rate=limit, begin=began, end=time.monotonic()
        )
    )
    await injection.system.call(address, "PUT", "/limit", None)
    injection.restarting.discard(name)
    injection.log.append(f"{time.monotonic():.2f} end of the limit of {name}")


@injector.FAULTS.register("fill-server")
async def fill_server(injection: injector.Injector) -> None:
    """Makes a server drop requests that it cannot run at once, unanswered."""
    name = injection.pick_process("td")
    if name is None:
        return
    injection.restarting.add(name)  # No other fault picks it.
    address = injection.system.real[name]
    async with injection.span("full", name):
        await injection.system.call(
            address, "PUT", "/capacity", {"slots": FULL_SLOTS, "queue": 0}
        )
        await asyncio.sleep(injection.duration())
        await injection.system.call(
            address, "PUT", "/capacity", {"slots": MANY_SLOTS, "queue": 0}
        )
    injection.restarting.discard(name)
