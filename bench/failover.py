"""Time until a key is served again after a failure, as callers observe it."""

import asyncio
import json
import random
import signal
import statistics

import click

from bench import demo
from standins import caller
from standins import fleet

TARGET_SECONDS = 1.0
RATE_PER_SECOND = 100.0
SETTLE_SECONDS = 1.5
LOAD_SECONDS = 5
KILL_AFTER_SECONDS = 1
# Values of --loss, also printed; "home" is the server's coordinator.
LOSSES = ("server", "home", "leader", "server and home")
LOOKUP = caller.Kind(
    customer="guild",
    name="phase-tables",
    method="GET",
    path="/phase-tables/k1",
)
POOLS = [
    fleet.Pool(
        name="phase-tables", count=6, keyed=True, separate=True, service_ms=2
    ),
    fleet.Pool(name="orders", count=4),
    fleet.Pool(name="proofs", count=4),
    fleet.Pool(name="archive", count=4),
]


async def processes_to_kill(system: fleet.Fleet, loss: str) -> list[str]:
    """Returns the processes to kill for a kind of loss."""
    response = await system.admin("GET", "/v1/keys/phase-tables/k1")
    key = json.loads(response.body)
    if loss == "leader":
        return [(await system.status())["leader"]["id"]]
    names = {"server": key["owner"], "home": key["home"]}
    return [names[part] for part in loss.split(" and ")]


async def longest_gap_seconds(loss: str, seed: int) -> float:
    """Returns the longest time between two complete answers, in seconds."""
    system = fleet.Fleet(pools=POOLS)
    try:
        await system.start()
        with open(demo.CONTRACTS[0]) as source:
            await system.apply(source.read())
        await system.wait_for(system.entries_ready, "entries to be ready")
        await system.wait_for(system.placed, "partitions to be placed")
        await asyncio.sleep(SETTLE_SECONDS)
        killed = await processes_to_kill(system, loss)
        names = [n for n in system.named("entry-") if n not in killed]
        callers = caller.Caller(
            entries={n: system.real[n] for n in names}, rng=random.Random(seed)
        )
        loop = asyncio.get_running_loop()
        answered_at: list[float] = []
        tasks = []

        async def send_lookup() -> None:
            answer = await callers.send(LOOKUP)
            if answer.outcome == caller.COMPLETE:
                answered_at.append(loop.time())

        started_at = loop.time()
        for number in range(int(RATE_PER_SECOND * LOAD_SECONDS)):
            await asyncio.sleep(
                max(0.0, started_at + number / RATE_PER_SECOND - loop.time())
            )
            tasks.append(asyncio.create_task(send_lookup()))
            if number == int(RATE_PER_SECOND * KILL_AFTER_SECONDS):
                for name in killed:
                    system.processes[name].signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
    finally:
        await system.stop()
    answered_at.sort()
    return max(
        b - a for a, b in zip(answered_at, answered_at[1:], strict=False)
    )


@click.command()
@click.option("--runs", default=5)
@click.option("--loss", "losses", multiple=True, default=LOSSES)
def main(runs: int, losses: tuple[str, ...]) -> None:
    """Measures the recovery time of each kind of loss several times."""
    for loss in losses:
        gaps = [
            asyncio.run(longest_gap_seconds(loss, seed)) for seed in range(runs)
        ]
        row = {
            "loss": loss,
            "median_s": round(statistics.median(gaps), 3),
            "worst_s": round(max(gaps), 3),
            "runs": runs,
            "target_s": TARGET_SECONDS,
        }
        click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
