"""The store comes back from a copy that is older than its leader.

The leader was restarted between the copy and the store's return.
"""

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
LIGHT_PER_SECOND = 10
BUSY_PER_SECOND = 60
WORK_SECONDS = 0.08
RESTARTED_SECONDS = 2.0  # From the restart to the drill.
AWAY_SECONDS = 1.0
CALM_SECONDS = 4.0  # More than contact_ms.
BUSY_SECONDS = 10.0
DRILLS = 4  # At most; the leaders race for the store at its return.
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


async def drill(deployment: system.System) -> None:
    """Restarts the leader; the store then comes back from an older copy.

    Raises:
        system.NotRunError: No router leads.
    """
    deployment.rows.save_copy()
    deployment.record("the copy is taken")
    leader = deployment.leader()
    if not leader:
        raise system.NotRunError("no router leads")
    await deployment.stop_router(leader)
    deployment.start_router(leader)
    await press(deployment, LIGHT_PER_SECOND, RESTARTED_SECONDS)
    if deployment.is_troubled:
        deployment.rows.is_away = True
        deployment.record("the store is away")
        await press(deployment, LIGHT_PER_SECOND, AWAY_SECONDS)
        deployment.rows.restore_copy()
        deployment.record("the store is back from the copy")


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
    for _ in range(DRILLS):
        await drill(deployment)
        await press(deployment, LIGHT_PER_SECOND, CALM_SECONDS)
        await press(deployment, BUSY_PER_SECOND, BUSY_SECONDS)
        known = deployment.instances.values()
        broken = [
            *holds.overlaps(known, SAMPLED_KEYS, time.monotonic()),
            *holds.low_tokens(known, SAMPLED_KEYS),
        ]
        if broken:
            return broken
    return []


if __name__ == "__main__":
    system.run(play, str(pathlib.Path(__file__).parent))
