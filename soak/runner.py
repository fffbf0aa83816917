"""Runs the soak test once."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import time

from soak import callers
from soak import coldservers
from soak import evacuations
from soak import faults
from soak import injector
from soak import invariants
from standins import platform_system

CALLERS_PER_ROUTER = 4
ZONES = ("z1", "z2", "z3")
BOUNDS = (
    f"evacuate_ms={evacuations.APPLY_SECONDS * 1000:.0f}",
    f"cold_overage={coldservers.OVERAGE}",
    f"cold_slack={coldservers.SLACK}",
)
FAULT_FREE_SECONDS = 2.0
LATE_EXECUTION_SECONDS = 2.0  # After the last answer.
MAX_RECOVERY_SECONDS = 15.0  # From the last fault to full service.
SERVED_WINDOW_SECONDS = 3.0
POLL_SECONDS = 0.5
MIN_SERVED_SHARE = 0.95
FIRST_ROUTER_OCTET = 2
FIRST_SUBNET_OCTET = 10
SUBNET_COUNT = 200  # Concurrent runs use separate addresses.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Result of one run.

    Attributes:
        seed: Seed of the run.
        violations: Descriptions of violated invariants.
        log: Injected faults, with times of the monotonic clock.
        requests: Number of requests.
        served_share: Share of the requests that were served.
        recovery_seconds: Time from the last fault to full service.
    """

    seed: int
    violations: list[str]
    log: list[str]
    requests: int
    served_share: float
    recovery_seconds: float

    def summary(self) -> str:
        """Returns a one-line summary."""
        verdict = "failed" if self.violations else "passed"
        return (
            f"seed {self.seed}: {verdict}, {len(self.log)} faults, "
            f"{self.requests} requests, {self.served_share:.3f} served, "
            f"recovered in {self.recovery_seconds:.1f} s"
        )


async def run(
    *,
    seed: int,
    seconds: float,
    routers: int,
    servers: int,
    mean_interval_seconds: float,
    fault_names: list[str],
    load: callers.Load = callers.SHORT_LOAD,
    folder: pathlib.Path | None = None,
) -> Result:
    """Runs the soak test once.

    Args:
        seed: Seed of all random numbers.
        seconds: Time in which faults are started.
        routers: Number of routers.
        servers: Number of servers, half of them keyed.
        mean_interval_seconds: Mean time between the starts of two faults.
        fault_names: Faults to draw from.
        load: What callers send.
        folder: Where to keep the routers' logs; None to drop them.
    """
    checker = invariants.Checker()
    subnet = (
        f"127.{FIRST_SUBNET_OCTET + os.getpid() % SUBNET_COUNT}"
        f".{seed % SUBNET_COUNT}"
    )
    system = platform_system.System(
        subnet=subnet,
        routers=tuple(range(FIRST_ROUTER_OCTET, FIRST_ROUTER_OCTET + routers)),
        servers=servers,
        proxied=True,
        journal=checker.read_journal,
        config=make_config(load),
        slots=load.slots,
        folder=folder,
        bounds=BOUNDS,
        zones=ZONES,
        cold_seconds=coldservers.COLD_SECONDS,
        max_connections=load.connections,
    )
    injection = injector.Injector(
        system=system,
        checker=checker,
        seed=seed,
        max_work_seconds=load.max_work_seconds,
    )
    # On SIGTERM, cancel the run so that it kills its processes.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        await system.start()
        senders = make_callers(system, checker, seed, load)
        caller_tasks = [asyncio.create_task(caller.run()) for caller in senders]
        await asyncio.sleep(FAULT_FREE_SECONDS)
        drawn = [faults.FAULTS.get(name) for name in fault_names]
        await injection.run(seconds, mean_interval_seconds, drawn)
        recovery_seconds = await wait_for_recovery(checker)
        for caller in senders:
            caller.finishing = True
        await asyncio.gather(*caller_tasks)
        await asyncio.sleep(LATE_EXECUTION_SECONDS)
    finally:
        await system.stop()
    return Result(
        seed=seed,
        violations=checker.finish(),
        log=injection.log,
        requests=len(checker.answers),
        served_share=checker.served_share(0.0),
        recovery_seconds=recovery_seconds,
    )


def make_config(load: callers.Load) -> dict:
    """Returns the first configuration."""
    config = platform_system.CONFIG
    if load.long_share:
        timeout_ms = round(load.deadline_seconds * 1000)
        config = platform_system.config_with_timeout(timeout_ms)
    config = platform_system.config_with_uploads(config)
    for pool in config["clusters"]:
        pool.update(coldservers.TERMS)
        if load.connections:
            pool["max_conns"] = load.connections
    return config


def make_callers(
    system: platform_system.System,
    checker: invariants.Checker,
    seed: int,
    load: callers.Load,
) -> list[callers.Caller]:
    """Returns the callers of each router."""
    return [
        callers.Caller(
            name=f"c{router}.{index}",
            router=router,
            system=system,
            checker=checker,
            seed=seed,
            load=load,
        )
        for router in system.routers
        for index in range(CALLERS_PER_ROUTER)
    ]


async def wait_for_recovery(checker: invariants.Checker) -> float:
    """Waits until requests are served again; returns the time in seconds."""
    began = time.monotonic()
    while (waited := time.monotonic() - began) < MAX_RECOVERY_SECONDS:
        await asyncio.sleep(POLL_SECONDS)
        since = time.monotonic() - SERVED_WINDOW_SECONDS
        if since >= began and checker.served_share(since) >= MIN_SERVED_SHARE:
            return waited - SERVED_WINDOW_SECONDS
    checker.violations.append(
        "recover: "
        f"{checker.served_share(time.monotonic() - SERVED_WINDOW_SECONDS):.2f} "
        f"served {MAX_RECOVERY_SECONDS} s after the last fault"
    )
    return waited
