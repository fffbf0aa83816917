"""A change of the configuration after the store came back from a copy."""

import asyncio
import pathlib

from review.lab2 import system

LOOK = "/leny950/"
ADDED = "/puka111/"
CLUSTERS = [system.cluster("huvo11a"), system.cluster("wuno96b")]
COPY_AGE_SECONDS = 8.0
FIRST_CHANGE_SECONDS = 6.0  # After the copy, and so lost with it.
AWAY_SECONDS = 1.0
SECOND_CHANGE_SECONDS = 1.0  # After the store's return.
# contact_ms + config_apply_ms + outer_ms + 2 s.
JUDGED_AFTER_SECONDS = 12.0
JUDGED_SECONDS = 4.0


def configuration(version: int, *rules: dict) -> dict:
    """Returns a version of the configuration with some more rules."""
    first = system.rule("r-look", LOOK, "huvo11a")
    return system.config(version, [first, *rules], CLUSTERS)


async def judge(deployment: system.System) -> list[str]:
    """Returns what routers refuse though the newest version has it."""
    broken = []
    for _ in range(int(JUDGED_SECONDS)):
        for name in deployment.names:
            status, id = await deployment.send(name, f"{ADDED}1")
            if status == 404:
                broken.append(f"{name} answers {id} on the new route with 404")
        await asyncio.sleep(1.0)
    return broken


async def play(deployment: system.System) -> list[str]:
    """Plays the case; returns the breaches of the rule."""
    await deployment.start_store(configuration(0x0C))
    for number in (1, 2, 3):
        await deployment.start_instance(f"i-a{number}", "huvo11a")
        await deployment.start_instance(f"i-b{number}", "wuno96b")
    for name in deployment.names:
        deployment.start_router(name, bootstrap=True)
    await deployment.wait_until_served([f"{LOOK}1"])
    await asyncio.sleep(4.0)
    deployment.rows.save_copy()
    deployment.record("the copy is taken")
    await asyncio.sleep(FIRST_CHANGE_SECONDS)
    other = system.rule("r-other", "/cufi502/", "wuno96b")
    deployment.rows.put("op", "config", configuration(0x11, other))
    deployment.record("version 11 is acknowledged")
    await asyncio.sleep(COPY_AGE_SECONDS - FIRST_CHANGE_SECONDS)
    if deployment.is_troubled:
        deployment.rows.is_away = True
        deployment.record("the store is away")
        await asyncio.sleep(AWAY_SECONDS)
        deployment.rows.restore_copy()
        deployment.record("the store is back from the copy")
    await asyncio.sleep(SECOND_CHANGE_SECONDS)
    added = system.rule("r-added", ADDED, "wuno96b")
    deployment.rows.put("op", "config", configuration(0x15, other, added))
    deployment.record("version 15 is acknowledged")
    await asyncio.sleep(JUDGED_AFTER_SECONDS)
    return await judge(deployment)


if __name__ == "__main__":
    system.run(play, str(pathlib.Path(__file__).parent))
