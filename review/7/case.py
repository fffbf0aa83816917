"""The leader is restarted after the store came back from a copy."""

import asyncio
import pathlib
import time

from review.lab2 import holds
from review.lab2 import instance
from review.lab2 import system

LOOK = "/leny950/"
SERVICE = "huvo11a"
INSTANCES = 6
BUSY_KEYS = range(2000, 2040)  # Close to one another, as the pages say.
EVEN_KEYS = range(0, instance.KEY_COUNT, 1021)
BUSY_PER_SECOND = 60
WORK_SECONDS = 0.08
LIGHT_PER_SECOND = 10
BUSY_SECONDS = 3.0
SETTLED_SECONDS = 5.0  # From the last busy second to the drill.
AWAY_SECONDS = 1.0
RETURNED_SECONDS = 1.5  # From the store's return to the restart.
JUDGED_SECONDS = 8.0
SAMPLED_KEYS = [*BUSY_KEYS, *EVEN_KEYS]


async def press(
    deployment: system.System, per_second: int, seconds: float
) -> None:
    """Sends requests at an even rate, above the light one for busy keys."""
    even_share = LIGHT_PER_SECOND / per_second
    sent = []
    for number in range(int(per_second * seconds)):
        name = deployment.names[number % len(deployment.names)]
        keys = EVEN_KEYS if number * even_share % 1 < even_share else BUSY_KEYS
        key = keys[number * 7 % len(keys)]
        sent.append(
            asyncio.create_task(deployment.send(name, f"{LOOK}{key}", key=key))
        )
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*sent)


async def play(deployment: system.System) -> list[str]:
    """Plays the case; returns the breaches of the rule."""
    rules = [system.rule("r-look", LOOK, SERVICE)]
    clusters = [system.cluster(SERVICE, sharded=True)]
    await deployment.start_store(system.config(0x0C, rules, clusters))
    for number in range(INSTANCES):
        await deployment.start_instance(
            f"i-a{number}", SERVICE, sharded=True, work_seconds=WORK_SECONDS
        )
    for name in deployment.names:
        deployment.start_router(name, bootstrap=True)
    await deployment.wait_until_served([f"{LOOK}1"], key=BUSY_KEYS[0])
    await press(deployment, LIGHT_PER_SECOND, 3.0)
    deployment.rows.save_copy()
    deployment.record("the copy is taken")
    await press(deployment, BUSY_PER_SECOND, BUSY_SECONDS)
    await press(deployment, LIGHT_PER_SECOND, SETTLED_SECONDS)
    if deployment.is_troubled:
        deployment.rows.is_away = True
        deployment.record("the store is away")
        await press(deployment, LIGHT_PER_SECOND, AWAY_SECONDS)
        deployment.rows.restore_copy()
        deployment.record("the store is back from the copy")
    await press(deployment, LIGHT_PER_SECOND, RETURNED_SECONDS)
    leader = deployment.leader()
    if not leader:
        raise system.NotRunError("no router leads")
    stop = asyncio.create_task(deployment.stop_router(leader))
    deployment.names.remove(leader)
    await press(deployment, LIGHT_PER_SECOND, JUDGED_SECONDS)
    await stop
    known = deployment.instances.values()
    return [
        *holds.overlaps(known, SAMPLED_KEYS, time.monotonic()),
        *holds.low_tokens(known, SAMPLED_KEYS),
    ]


if __name__ == "__main__":
    system.run(play, str(pathlib.Path(__file__).parent))
