"""Dispatch under overload: homes against rivals, paired in one run.

One pool serves three ranks. The contract understates the service time, so
that its limits let the flood through and dispatch alone must cope. Each cell
floods one rank at a multiple of the servers' capacity on top of a steady load
of all ranks at half of it.
"""

import asyncio
import collections
import dataclasses
import json
import random

import click

from bench import demo
from oleanderhoist import contract
from standins import caller
from standins import fleet

SEED = 5
SERVERS = 6
SLOTS = 2
SERVICE_MS = 100.0
CAPACITY = SERVERS * SLOTS / (SERVICE_MS / 1000)
STEADY = {"lookups": 0.25, "orders": 0.15, "uploads": 0.10}
RANKS = {"lookups": 1, "orders": 2, "uploads": 3}
WORTH = {"lookups": 10.0, "orders": 6.0, "uploads": 1.0}
DEADLINE_MS = {"lookups": 1000, "orders": 2000, "uploads": 4000}
POLICIES = {
    "homes": ("--permits", "early-urgent", "--dispatch", "guaranteed-share"),
    "homes-strict": (
        "--permits",
        "early-urgent",
        "--dispatch",
        "strict-priority",
    ),
    "two-choices": ("--permits", "none", "--choice", "two-choices"),
    "least-outstanding": ("--permits", "none", "--choice", "least-outstanding"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """One load to measure.

    Attributes:
        flood: Flooded kind of work.
        factor: Flood as a multiple of capacity.
        lost: Servers that were killed.
    """

    flood: str
    factor: float
    lost: int = 0


CELLS = [
    *[Cell(flood="uploads", factor=f) for f in (0.0, 0.5, 1.0, 2.0, 10.0)],
    *[Cell(flood="lookups", factor=f) for f in (0.5, 1.0, 2.0, 10.0)],
    Cell(flood="uploads", factor=2.0, lost=2),
    Cell(flood="lookups", factor=2.0, lost=2),
]


def source() -> str:
    """Returns the contract."""
    lines = [
        'customer = "guild"',
        f'credential_sha256 = "{contract.credential_hash("guild-credential")}"',
        "tolerated_server_losses = 1",
    ]
    for name, rank in RANKS.items():
        lines += [
            "[[work]]",
            f'name = "{name}"',
            f'path = "/{name}"',
            'methods = ["POST"]',
            f"rank = {rank}",
            "repeatable = false",
            f"worth = {WORTH[name]}",
            "rate_per_second = 3000.0",
            "burst = 3000",
            f"deadline_ms = {DEADLINE_MS[name]}",
            "service_ms = 1.0",
            "max_body_bytes = 1000",
            'pool = "mixed"',
        ]
    return "\n".join(lines)


def kind(name: str) -> caller.Kind:
    """Returns a kind of request."""
    return caller.Kind(
        customer="guild", name=name, method="POST", path=f"/{name}"
    )


async def busy_seconds(one: fleet.Fleet) -> float:
    """Returns the slot time used by the servers that still run."""
    total = 0.0
    for name in one.named("mixed-"):
        response = await one.call(name, "GET", "/oleander/busy")
        total += json.loads(response.body)["busy_seconds"]
    return total


async def measure(
    one: fleet.Fleet, cell: Cell, seconds: float, rng: random.Random
) -> dict:
    """Offers one cell's load and returns its figures."""
    entries = {n: one.real[n] for n in one.named("entry-")}
    callers = caller.Caller(entries=entries, rng=rng)
    rates = {name: part * CAPACITY for name, part in STEADY.items()}
    rates[cell.flood] += cell.factor * CAPACITY
    total = sum(rates.values())
    before = await busy_seconds(one)
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    names = list(rates)
    for number in range(int(total * seconds)):
        await asyncio.sleep(max(0.0, began + number / total - loop.time()))
        name = rng.choices(names, [rates[n] for n in names])[0]
        tasks.append(asyncio.create_task(callers.send(kind(name))))
    spent = loop.time() - began
    used = await busy_seconds(one) - before
    told = await asyncio.gather(*tasks)
    slots = (SERVERS - cell.lost) * SLOTS
    return figures(told, cell, spent, used / (slots * spent), rates)


def figures(
    told: list[caller.Result],
    cell: Cell,
    spent: float,
    used: float,
    rates: dict[str, float],
) -> dict:
    """Returns goodput and latency by kind, and the use of slots."""
    row = {
        "flood": cell.flood,
        "factor": cell.factor,
        "lost": cell.lost,
        "offered": round(len(told) / spent),
        "slots_used": round(used, 2),
    }
    worth = 0.0
    for name in rates:
        own = [t for t in told if t.kind == name]
        done = [t.seconds * 1000 for t in own if t.outcome == caller.COMPLETE]
        worth += len(done) * WORTH[name]
        row[name] = {
            "sent": round(len(own) / spent, 1),
            "goodput": round(len(done) / spent, 1),
            "p50": round(demo.percentile(done, 0.5)),
            "p99": round(demo.percentile(done, 0.99)),
        }
    row["worth"] = round(worth / spent)
    counts = collections.Counter(t.outcome for t in told)
    row["unknown"] = counts[caller.UNKNOWN]
    row["wrong"] = counts[caller.WRONG]
    return row


async def bench(policy: str, seconds: float, cells: list[Cell]) -> list[dict]:
    """Measures all cells under one policy."""
    pool = fleet.Pool(
        name="mixed",
        count=SERVERS,
        slots=SLOTS,
        service_ms=SERVICE_MS,
        separate=True,
    )
    one = fleet.Fleet(pools=[pool], entry_flags=POLICIES[policy])
    rows = []
    rng = random.Random(SEED)
    try:
        await one.start()
        await one.apply(source())
        await one.wait_for(one.entries_ready, "entries")
        await asyncio.sleep(2.0)
        killed = 0
        for cell in cells:
            while killed < cell.lost:
                killed += 1
                one.processes[f"mixed-{killed}"].handle.kill()
                await asyncio.sleep(1.0)
            row = await measure(one, cell, seconds, rng)
            rows.append({"policy": policy, **row})
            click.echo(json.dumps(rows[-1]))
            await asyncio.sleep(1.0)
    finally:
        await one.stop()
    return rows


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--policy", "policies", multiple=True, default=list(POLICIES))
def main(seconds: float, policies: tuple[str, ...]) -> None:
    """Measures every policy under every load."""
    for policy in policies:
        asyncio.run(bench(policy, seconds, CELLS))


if __name__ == "__main__":
    main()
