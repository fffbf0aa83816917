"""One run of the soak."""

import asyncio
import dataclasses
import os
import signal
import time

from soak import callers
from soak import faults
from soak import promises
from standins import platform_system

CALLERS_PER_ROUTER = 4
CALM_SECONDS = 2.0
RECOVER_SECONDS = 15.0  # After the last fault.
WATCH_SECONDS = 3.0
LOOK_SECONDS = 0.5
SERVED_SHARE = 0.95
FIRST_ROUTER = 2
SUBNETS = 200  # Runs beside each other use addresses of their own.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a run has shown.

    Attributes:
        seed: Its seed.
        broken: What broke a promise.
        log: The faults.
        answers: Number of requests.
        served: Part of them that was served.
        recovered: Time until service after the last fault, in seconds.
    """

    seed: int
    broken: list[str]
    log: list[str]
    answers: int
    served: float
    recovered: float

    def summary(self) -> str:
        """Returns one line."""
        verdict = "broken" if self.broken else "kept"
        return (
            f"seed {self.seed}: {verdict}, {len(self.log)} faults, "
            f"{self.answers} requests, {self.served:.3f} served, "
            f"recovered in {self.recovered:.1f} s"
        )


async def run(
    *,
    seed: int,
    seconds: float,
    routers: int,
    servers: int,
    pause: float,
    names: list[str],
) -> Result:
    """Plays one run.

    Args:
        seed: Seed of all draws.
        seconds: Time in which faults begin.
        routers: Number of routers.
        servers: Number of servers, half of them keyed.
        pause: Mean time between two faults, in seconds.
        names: Faults to draw from.
    """
    found = promises.Promises()
    subnet = f"127.{10 + os.getpid() % SUBNETS}.{seed % SUBNETS}"
    system = platform_system.System(
        subnet=subnet,
        routers=tuple(range(FIRST_ROUTER, FIRST_ROUTER + routers)),
        servers=servers,
        proxied=True,
        journal=found.read,
    )
    injector = faults.Injector(system=system, found=found, seed=seed)
    # A soak that is ended leaves no process behind.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        await system.start()
        sending = [
            asyncio.create_task(caller.run())
            for caller in make_callers(system, found, seed)
        ]
        await asyncio.sleep(CALM_SECONDS)
        await injector.run(seconds, pause, names)
        recovered = await recover(found)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await asyncio.sleep(CALM_SECONDS)
    finally:
        await system.stop()
    return Result(
        seed=seed,
        broken=found.finish(),
        log=injector.log,
        answers=len(found.answers),
        served=found.served(0.0),
        recovered=recovered,
    )


def make_callers(
    system: platform_system.System, found: promises.Promises, seed: int
) -> list[callers.Caller]:
    """Returns callers of all routers."""
    return [
        callers.Caller(
            name=f"c{router}.{number}",
            router=router,
            system=system,
            found=found,
            seed=seed,
        )
        for router in system.routers
        for number in range(CALLERS_PER_ROUTER)
    ]


async def recover(found: promises.Promises) -> float:
    """Waits until requests are served again; returns how long that took."""
    began = time.monotonic()
    while (waited := time.monotonic() - began) < RECOVER_SECONDS:
        await asyncio.sleep(LOOK_SECONDS)
        since = time.monotonic() - WATCH_SECONDS
        if since >= began and found.served(since) >= SERVED_SHARE:
            return waited - WATCH_SECONDS
    found.broken.append(
        f"recover: {found.served(time.monotonic() - WATCH_SECONDS):.2f} "
        f"served {RECOVER_SECONDS} s after the last fault"
    )
    return waited
