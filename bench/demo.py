"""The demo: both customers' work through a whole system on loopback."""

import asyncio
import collections
import json
import random
import signal
import sys

import click

from standins import caller
from standins import fleet

SEED = 20261204
POOLS = [
    fleet.Pool(name="phase-tables", count=15, keyed=True, service_ms=2),
    fleet.Pool(name="orders", count=10, service_ms=10),
    fleet.Pool(name="proofs", count=8, service_ms=20),
    fleet.Pool(name="archive", count=10, service_ms=20),
    fleet.Pool(
        name="routes",
        count=15,
        slots=4,
        connections=120,
        keyed=True,
        service_ms=2,
        checks_sender=False,
    ),
    fleet.Pool(
        name="bookings", count=10, slots=4, connections=120, service_ms=10
    ),
    fleet.Pool(
        name="case-files", count=8, slots=4, connections=120, service_ms=20
    ),
    fleet.Pool(
        name="reports", count=10, slots=4, connections=120, service_ms=20
    ),
]
CONTRACTS = ("examples/guild.toml", "examples/council.toml")


def percentile(values: list[float], fraction: float) -> float:
    """Returns a percentile of values, or 0 if there are none.

    Args:
        values: The values, in any order.
        fraction: The percentile as a fraction, such as 0.99.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


async def apply_contracts(system: fleet.Fleet) -> None:
    """Applies both example contracts and waits until they are active."""
    for path in CONTRACTS:
        with open(path) as source:
            response = await system.apply(source.read())
        if response.status != 200:
            raise RuntimeError(f"{path}: {response.body.decode()}")
    await system.wait_for(system.entries_ready, "entries to be ready")
    await system.wait_for(system.placed, "partitions to be placed")


async def send_load(
    system: fleet.Fleet, requests: int, rate: float, kill: str
) -> list[caller.Result]:
    """Sends a mix of requests at a steady rate.

    Args:
        system: The running system.
        requests: Number of requests.
        rate: Requests per second.
        kill: Process to kill after half of the requests; empty for none.
    """
    rng = random.Random(SEED)
    names = system.named("entry-")
    callers = caller.Caller(
        entries={name: system.real[name] for name in names}, rng=rng
    )
    weights = [kind.weight for kind in caller.MIX]
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for number in range(requests):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        kind = rng.choices(caller.MIX, weights)[0]
        tasks.append(asyncio.create_task(callers.send(kind)))
        if kill and number == requests // 2:
            system.processes[kill].signal(signal.SIGKILL)
            callers.clients.pop(kill, None)
        if number % max(1, requests // 10) == 0:
            click.echo(f"  {number} of {requests} sent", err=True)
    return list(await asyncio.gather(*tasks))


def results_table(answers: list[caller.Result]) -> str:
    """Returns a table of results by kind of work."""
    head = f"{'work':<14}{'sent':>7}{'complete':>10}{'not run':>9}"
    lines = [head + f"{'unknown':>9}{'wrong':>7}{'p50 ms':>9}{'p99 ms':>9}"]
    for kind in caller.MIX:
        rows = [a for a in answers if a.kind == kind.name]
        counts = collections.Counter(a.outcome for a in rows)
        times = [a.seconds * 1000 for a in rows if a.outcome == "complete"]
        lines.append(
            f"{kind.name:<14}{len(rows):>7}{counts['complete']:>10}"
            f"{counts['not-run']:>9}{counts['unknown']:>9}"
            f"{counts['wrong']:>7}{percentile(times, 0.5):>9.2f}"
            f"{percentile(times, 0.99):>9.2f}"
        )
    return "\n".join(lines)


def summary(answers: list[caller.Result], requests: int) -> dict:
    """Returns the figures of the last line of output."""
    counts = collections.Counter(a.outcome for a in answers)
    lookups = [
        a.seconds * 1000
        for a in answers
        if a.kind in ("phase-tables", "routes") and a.outcome == "complete"
    ]
    return {
        "requests": requests,
        "complete": counts["complete"],
        "not_run": counts["not-run"],
        "unknown": counts["unknown"],
        "wrong": counts["wrong"],
        "lookup_p99_ms": round(percentile(lookups, 0.99), 2),
    }


async def demo(requests: int, rate: float, kill: str) -> int:
    """Runs the demo; returns the exit code."""
    system = fleet.Fleet(pools=POOLS)
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        click.echo("starting stand-ins, 3 placers and 3 entries", err=True)
        await system.start()
        await apply_contracts(system)
        click.echo("both contracts are active", err=True)
        answers = await send_load(system, requests, rate, kill)
        problems = system.check(answers)
    except asyncio.CancelledError:
        click.echo("stopped", err=True)
        return 130
    finally:
        await system.stop()
    click.echo(results_table(answers))
    for answer in [a for a in answers if a.outcome != "complete"][:10]:
        line = f"{answer.kind} {answer.outcome} {answer.code}"
        click.echo(f"{line} {answer.detail}", err=True)
    for problem in problems:
        click.echo(problem, err=True)
    figures = summary(answers, requests)
    click.echo(json.dumps(figures))
    answered = sum(figures[k] for k in ("complete", "not_run", "unknown"))
    return 0 if answered == requests and not problems else 1


@click.command()
@click.option("--requests", default=3000, type=click.IntRange(1, 1_000_000))
@click.option("--rate", default=300.0, help="Requests per second.")
@click.option("--kill", default="", help="Process to kill halfway.")
def main(requests: int, rate: float, kill: str) -> None:
    """Runs both customers' work through a whole system on loopback."""
    sys.exit(asyncio.run(demo(requests, rate, kill)))


if __name__ == "__main__":
    main()
