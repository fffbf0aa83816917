"""Restarted routers apply a delta to snapshots that are not its base.

All routers are killed at once and start again within 0.3 s of each other, while
an instance begins to drain.
"""

import asyncio
import pathlib
import signal
import sys

from review.lab import deployment
from review.lab import instance

INSTANCES = 4
LEAVING = "i-0"
SLOTS = 4
WORK_MS = 200
CALLERS = 24
DRAIN_SECONDS = 2.0  # drain_ms
STAY_SECONDS = (
    8.0  # Instances serve on for drain_ms, and at times many seconds.
)
CONTACT_SECONDS = 3.0  # contact_ms
SPREAD_SECONDS = 0.3  # Between the starts of the first and the last router.


async def prepare(lab: deployment.Deployment) -> None:
    """Starts the deployment; the first router leads."""
    await lab.store.server.start()
    service = lab.service_for("r2", "bookings")
    route = deployment.rule(
        "bookings",
        "/book/",
        "unsafe",
        [service],
        target_ms=600,
        timeout_ms=2000,
        priority=1,
    )
    config = deployment.configuration(7, [route], {service: False})
    lab.store.put("op", "config", config)
    for number in range(INSTANCES):
        await lab.add_instance(
            instance.Instance(
                id=f"i-{number}", service=service, slots=SLOTS, work_ms=WORK_MS
            )
        )
    for router in lab.ips:
        await lab.start_router(router)
        await lab.wait_ready(router)
    await asyncio.sleep(4.0)  # The roster is written every 3 s.


async def call_on(
    lab: deployment.Deployment, name: str, routers: list[str]
) -> None:
    """Sends one booking after the other, as a client."""
    number = 0
    while True:
        number += 1
        router = routers[number % len(routers)]
        await lab.send(
            f"{name}-{number}",
            router,
            "/book/1",
            method="POST",
            deadline_ms=4000,
            body=b"bin 7",
        )
        await asyncio.sleep(0.05)


async def kill_all(lab: deployment.Deployment) -> None:
    """Kills all routers; an instance drains while the first one starts."""
    for router in lab.ips:
        lab.signal(router, signal.SIGKILL)
    first, *others = lab.ips
    restart = asyncio.create_task(restart_last(lab, first))
    await asyncio.gather(*(lab.restart_router(router) for router in others))
    await asyncio.gather(*(lab.wait_ready(router) for router in others))
    await drain(lab)
    await restart
    await lab.wait_ready(first)


async def restart_last(lab: deployment.Deployment, router: str) -> None:
    """Restarts a router a little later than the others."""
    await asyncio.sleep(SPREAD_SECONDS)
    await lab.restart_router(router)


async def drain(lab: deployment.Deployment) -> None:
    """Lets an instance drain; it exits some seconds later."""
    one = lab.instances[LEAVING]
    one.state = "draining"
    lab.store.put("servers", one.id, one.entry())
    lab.record("draining", instance=one.id)


async def scenario(record: deployment.Record, disturb: bool) -> list[str]:
    """Kills the routers while an instance drains."""
    lab = deployment.Deployment(record=record, routers=3)
    tasks = []
    try:
        await prepare(lab)
        routers = list(lab.ips)
        if disturb:
            await kill_all(lab)
        else:
            await drain(lab)
        tasks = [
            asyncio.create_task(call_on(lab, f"c{n}", routers))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(STAY_SECONDS)
        lab.instances[LEAVING].server.stop()
        lab.store.drop("servers", LEAVING)
        record("ended", instance=LEAVING)
        await asyncio.sleep(3.0)
        return late_runs(record)
    finally:
        for task in tasks:
            task.cancel()
        await lab.stop()


def late_runs(record: deployment.Record) -> list[str]:
    """Returns a breach if requests reached the instance after its drain."""
    drained_at = record.find("draining")[0]["at"] + DRAIN_SECONDS
    starts = [event["at"] for event in record.find("router-started")]
    in_touch_at = max(starts) + CONTACT_SECONDS
    late = [
        run
        for run in record.find("run", instance=LEAVING)
        if run["at"] > max(drained_at, in_touch_at)
    ]
    left = record.find("left", instance=LEAVING)
    record("late-runs", count=len(late), broken_off=len(left))
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {LEAVING} later than drain_ms "
        f"after its draining was acknowledged, from machines in touch; "
        f"{len(left)} were at work there when it ended"
    ]


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(deployment.run(scenario, folder))
