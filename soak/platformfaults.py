"""Faults of the store and of links, and changes of the contracts."""

import asyncio
import signal
import time

from soak import injector
from soak import records
from standins import platform_system

MIN_LINK_DELAY_SECONDS = 0.05
MAX_LINK_DELAY_SECONDS = 0.8
LOST_RESPONSES = 5
MAX_VERSION_STEP = 5
RESTORES = (1, 1, 2)
MIN_AWAY_SECONDS = 0.05
MAX_AWAY_SECONDS = 1.5


@injector.FAULTS.register("change-contracts")
async def change_contracts(injection: injector.Injector) -> None:
    """Adds a route; the version rises by a random step; planned maintenance."""
    injection.config_version += injection.rng.randint(1, MAX_VERSION_STEP)
    config_version = injection.config_version
    await injection.system.write_row(
        "op",
        "config",
        platform_system.config_with_probe(
            config_version, injection.system.config
        ),
    )
    injection.checker.contract_changes[config_version] = time.monotonic()
    injection.log.append(f"{time.monotonic():.2f} contracts {config_version}")


@injector.FAULTS.register("store-fails")
async def store_fails(injection: injector.Injector) -> None:
    """Makes the store reject calls, lose responses or compact its history."""
    fault = injection.rng.choice(
        [{"down": True}, {"lose": LOST_RESPONSES}, {"compacted": True}]
    )
    async with injection.span(f"{fault}", records.STORE):
        await injection.system.call(
            injection.system.store, "PUT", "/faults", fault
        )
        await asyncio.sleep(injection.duration())
        await injection.system.call(
            injection.system.store,
            "PUT",
            "/faults",
            {"down": False, "lose": 0, "compacted": False},
        )


@injector.FAULTS.register("store-restored")
async def store_restored(injection: injector.Injector) -> None:
    """Makes the store come back from an older copy, once or twice."""
    await injection.system.copy_store()
    await asyncio.sleep(injection.duration())
    async with injection.span("restored", records.STORE):
        for _ in range(injection.rng.choice(RESTORES)):
            await injection.system.restore_store(
                injection.rng.uniform(MIN_AWAY_SECONDS, MAX_AWAY_SECONDS)
            )


@injector.FAULTS.register("store-freezes")
async def store_freezes(injection: injector.Injector) -> None:
    """Freezes the process of the store."""
    async with injection.span(records.FREEZE, records.STORE):
        injection.system.signal("store", signal.SIGSTOP)
        await asyncio.sleep(injection.duration())
        injection.system.signal("store", signal.SIGCONT)


@injector.FAULTS.register("link-to-store")
async def link_to_store(injection: injector.Injector) -> None:
    """Disturbs the link of one router to the store."""
    await disturb_link(injection, "store-")


@injector.FAULTS.register("link-to-server")
async def link_to_server(injection: injector.Injector) -> None:
    """Disturbs the link to one server."""
    await disturb_link(injection, "")


async def disturb_link(injection: injector.Injector, prefix: str) -> None:
    """Delays, resets or black-holes a random link.

    Kinds: delay both directions, reset all connections, discard what goes to
    the target, discard what comes back, or discard all bytes of the open
    connections.
    """
    name, link = injection.pick_link(prefix)
    kind = injection.rng.choice(records.LINK_FAULTS)
    async with injection.span(kind, name):
        match kind:
            case "delay":
                link.faults.delay_seconds = injection.rng.uniform(
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
        await asyncio.sleep(injection.duration())
        link.heal()
