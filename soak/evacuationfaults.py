"""Evacuations of data centres; planned work, with other faults beside it."""

import asyncio
import time

from soak import answerfaults
from soak import injector
from soak import records
from standins import coldstarts

EVACUATION_SECONDS = (1.0, 14.0)  # Some are taken back halfway.
IDLE_SECONDS = 1.0
MAX_GAP_SECONDS = 4.0  # Between the begins of those that overlap.


@injector.FAULTS.register("evacuate")
async def evacuate(injection: injector.Injector) -> None:
    """Evacuates some data centres or all, in series or overlapping.

    Other faults may come meanwhile. Planned maintenance.
    """
    tasks = answerfaults.start_companions(injection)
    zones = list(injection.system.zones)
    in_series = injection.rng.random() < 0.5
    for zone in injection.rng.sample(
        zones, injection.rng.randint(1, len(zones))
    ):
        task = asyncio.create_task(evacuate_one(injection, zone))
        tasks.append(task)
        if in_series:
            await task
        else:
            await asyncio.sleep(injection.rng.uniform(0.0, MAX_GAP_SECONDS))
    await asyncio.gather(*tasks)


async def evacuate_one(injection: injector.Injector, zone: str) -> None:
    """Evacuates a data centre for some time, unless it is already."""
    if zone in injection.restarting:
        return
    with injection.reserved(zone):
        await injection.system.evacuate(zone)
        evacuation = records.Evacuation(
            data_center=zone,
            servers=injection.system.servers_in(zone),
            acknowledged_at=time.monotonic(),
        )
        injection.checker.evacuations.append(evacuation)
        injection.log.append(f"{time.monotonic():.2f} evacuate {zone}")
        await asyncio.sleep(injection.rng.uniform(*EVACUATION_SECONDS))
        evacuation.ended_at = time.monotonic()
        cold = idle_servers(injection, evacuation)
        for id in cold:
            injection.checker.note_cold(id)
        await injection.system.evacuate(zone, evacuated=False)
        injection.log.append(
            f"{time.monotonic():.2f} {zone} is taken back, cold: {cold}"
        )
        for id in cold:
            delay_seconds = injection.rng.uniform(0.0, coldstarts.ENTRY_SECONDS)
            injection.system.cold_starts.begin(id, delay_seconds)


def idle_servers(
    injection: injector.Injector, evacuation: records.Evacuation
) -> list[str]:
    """Returns the servers that had no requests for a while.

    A server that is in use can't be known to be cold before it says so.
    """
    since = evacuation.ended_at - IDLE_SECONDS
    busy = {
        arrival.server.id
        for arrival in injection.checker.arrivals
        if arrival.at >= since
    }
    return sorted(set(evacuation.servers) - busy)
