"""A key moves while its former owner still holds it by a long lease.

The store is down for some seconds, so leases get longer. Once it is back, busy
keys move. Their owner carries some orders out late, without an answer, and
answers others.
"""

import asyncio
import pathlib
import random
import sys
import time

from review.lab import deployment
from review.lab import holds
from review.lab import instance

SERVICE = "routes"
INSTANCES = 2
SLOTS = 4
WORK_MS = 160
BUSY_KEYS = range(8000, 8400)  # Of the first instance.
QUIET_KEYS = [40_000]
QUIET_PER_SECOND = 6
BUSY_PER_SECOND = 60
STORE_DOWN_SECONDS = 1.2  # And until a renewal of a lease.
MORE_DOWN_SECONDS = 2.6
WRITE_AGE = (0.2, 0.5)  # Seconds since the leader's last write.
OVERLOAD_AFTER_SECONDS = 1.0
LATE_ORDERS_SECONDS = 5.5
LATE_SECONDS = 6.0  # After which late orders are carried out.
FEW_KEYS = 2000  # Orders on fewer keys are late.
WATCHED_SECONDS = 10.0
HELD_SECONDS = 0.5  # Two instances may hold a key for so long.


async def load(
    lab: deployment.Deployment, name: str, keys: list[int], per_second: float
) -> None:
    """Sends lookups of random keys at a rate, as clients."""
    rng = random.Random(name)
    number = 0
    tasks = set()
    while True:
        number += 1
        tasks.add(
            asyncio.create_task(
                lab.send(
                    f"{name}-{number}",
                    "r1",
                    "/route/1",
                    deadline_ms=3000,
                    key=rng.choice(keys),
                )
            )
        )
        tasks = {task for task in tasks if not task.done()}
        await asyncio.sleep(1 / per_second)


async def prepare(lab: deployment.Deployment) -> None:
    """Starts the deployment."""
    await lab.store.server.start()
    route = deployment.rule(
        "routes", "/route/", "safe", [SERVICE], target_ms=500, timeout_ms=1500
    )
    config = deployment.configuration(7, [route], {SERVICE: True})
    lab.store.put("op", "config", config)
    for number in range(INSTANCES):
        await lab.add_instance(
            instance.Instance(
                id=f"i-{number}",
                service=SERVICE,
                slots=SLOTS,
                keyed=True,
                work_ms=WORK_MS,
            )
        )
    await lab.start_router("r1")
    await lab.wait_ready("r1")
    for key in [BUSY_KEYS[0], *QUIET_KEYS]:
        await lab.wait_served("r1", "/route/0", key)


async def next_renewal(lab: deployment.Deployment) -> None:
    """Waits until the first instance's lease has just been renewed.

    The leader's next write is then due before the next renewal.
    """
    end = time.monotonic() + MORE_DOWN_SECONDS
    while time.monotonic() < end:
        known = len(lab.record.find("hold", instance="i-0"))
        while len(lab.record.find("hold", instance="i-0")) == known:
            await asyncio.sleep(0.01)
        since_write = time.monotonic() - lab.store.write_tried_at
        if WRITE_AGE[0] < since_write < WRITE_AGE[1]:
            return


async def scenario(record: deployment.Record, disturb: bool) -> list[str]:
    """Takes the store down, makes keys busy, and leaves orders unanswered."""
    lab = deployment.Deployment(record=record, routers=1)
    tasks = []
    try:
        await prepare(lab)
        tasks = [
            asyncio.create_task(load(lab, f"k{key}", [key], QUIET_PER_SECOND))
            for key in [BUSY_KEYS[0], *QUIET_KEYS]
        ]
        await asyncio.sleep(4.0)
        record("store-down", down=disturb)
        lab.store.down = disturb
        await asyncio.sleep(OVERLOAD_AFTER_SECONDS)
        busy = load(lab, "busy", list(BUSY_KEYS), BUSY_PER_SECOND)
        tasks.append(asyncio.create_task(busy))
        await asyncio.sleep(STORE_DOWN_SECONDS - OVERLOAD_AFTER_SECONDS)
        await next_renewal(lab)
        source = lab.instances["i-0"]
        source.late_seconds = LATE_SECONDS
        if disturb:
            source.is_late = lambda call: call["to"] - call["from"] < FEW_KEYS
        record("store-back")
        lab.store.down = False
        await asyncio.sleep(LATE_ORDERS_SECONDS)
        source.is_late = lambda call: False
        record("orders-answered")
        await asyncio.sleep(WATCHED_SECONDS - LATE_ORDERS_SECONDS)
        count_orders(record)
        return holds.double_holds(record, list(BUSY_KEYS), HELD_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        await lab.stop()


def count_orders(record: deployment.Record) -> None:
    """Records which share of the orders was late."""
    begin = record.find("store-back")[0]["at"]
    end = record.find("orders-answered")[0]["at"]
    orders = [o for o in record.find("order") if begin <= o["at"] < end]
    late = sum(order["late"] for order in orders)
    record("late-orders", late=late, of=len(orders))


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(deployment.run(scenario, folder))
