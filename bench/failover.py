"""Time until a key is served again after a loss, as its callers see it."""

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
RATE = 100.0
LOSSES = ("server", "home", "leader", "server and home")
KEY = caller.Kind(
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


async def victims(one: fleet.Fleet, loss: str) -> list[str]:
    """Returns the processes to kill."""
    response = await one.admin("GET", "/v1/keys/phase-tables/k1")
    found = json.loads(response.body)
    if loss == "leader":
        return [(await one.status())["leader"]["id"]]
    names = {"server": found["owner"], "home": found["home"]}
    return [names[part] for part in loss.split(" and ")]


async def gap(loss: str, seed: int) -> float:
    """Returns the longest time without a complete answer, in seconds."""
    one = fleet.Fleet(pools=POOLS)
    try:
        await one.start()
        with open(demo.CONTRACTS[0]) as source:
            await one.apply(source.read())
        await one.wait_for(one.entries_ready, "entries")
        await one.wait_for(one.placed, "placement")
        await asyncio.sleep(1.5)
        lost = await victims(one, loss)
        names = [n for n in one.named("entry-") if n not in lost]
        callers = caller.Caller(
            entries={n: one.real[n] for n in names}, rng=random.Random(seed)
        )
        loop = asyncio.get_running_loop()
        done: list[float] = []
        tasks = []

        async def ask() -> None:
            answer = await callers.send(KEY)
            if answer.outcome == caller.COMPLETE:
                done.append(loop.time())

        began = loop.time()
        for number in range(int(RATE * 5)):
            await asyncio.sleep(max(0.0, began + number / RATE - loop.time()))
            tasks.append(asyncio.create_task(ask()))
            if number == int(RATE):
                for name in lost:
                    one.processes[name].signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
    finally:
        await one.stop()
    done.sort()
    return max(b - a for a, b in zip(done, done[1:], strict=False))


@click.command()
@click.option("--runs", default=5)
@click.option("--loss", "losses", multiple=True, default=LOSSES)
def main(runs: int, losses: tuple[str, ...]) -> None:
    """Measures each kind of loss several times."""
    for loss in losses:
        gaps = [asyncio.run(gap(loss, seed)) for seed in range(runs)]
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
