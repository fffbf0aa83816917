"""Dispatch under overload: coordinators and baselines, compared in one run.

One pool serves three ranks. The contract understates the service time, so
its rate limits admit the overload and dispatch alone has to handle it. Each
load case adds requests of one rank, at a multiple of the servers' capacity,
to a steady load of all ranks at half of the capacity.
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
SETTLE_SECONDS = 2.0
PAUSE_SECONDS = 1.0  # After the kill of a server and after a load case.
SERVERS = 6
SLOTS = 2
SERVICE_MS = 100.0
CAPACITY_PER_SECOND = SERVERS * SLOTS / (SERVICE_MS / 1000)
STEADY_FRACTIONS = {"lookups": 0.25, "orders": 0.15, "uploads": 0.10}
RANKS = {"lookups": 1, "orders": 2, "uploads": 3}
WORTHS = {"lookups": 10.0, "orders": 6.0, "uploads": 1.0}
DEADLINE_MS = {"lookups": 1000, "orders": 2000, "uploads": 4000}
# Flags of the entries by value of --policy, which is also printed; "homes" are
# the coordinators.
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
class LoadCase:
    """One load to measure.

    Attributes:
        flood: Kind of work that overloads the servers.
        factor: Its added load as a multiple of capacity.
        lost: Number of servers that have been killed when it starts.
    """

    flood: str
    factor: float
    lost: int = 0


LOAD_CASES = [
    *[LoadCase(flood="uploads", factor=f) for f in (0.0, 0.5, 1.0, 2.0, 10.0)],
    *[LoadCase(flood="lookups", factor=f) for f in (0.5, 1.0, 2.0, 10.0)],
    LoadCase(flood="uploads", factor=2.0, lost=2),
    LoadCase(flood="lookups", factor=2.0, lost=2),
]


def contract_source() -> str:
    """Returns the contract as TOML."""
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
            f"worth = {WORTHS[name]}",
            "rate_per_second = 3000.0",
            "burst = 3000",
            f"deadline_ms = {DEADLINE_MS[name]}",
            "service_ms = 1.0",
            "max_body_bytes = 1000",
            'pool = "mixed"',
        ]
    return "\n".join(lines)


def request_kind(name: str) -> caller.Kind:
    """Returns the request that callers send for a kind of work."""
    return caller.Kind(
        customer="guild", name=name, method="POST", path=f"/{name}"
    )


async def busy_seconds(system: fleet.Fleet) -> float:
    """Returns the total slot time used by the running servers, in seconds."""
    total = 0.0
    for name in system.named("mixed-"):
        response = await system.call(name, "GET", "/oleander/busy")
        total += json.loads(response.body)["busy_seconds"]
    return total


async def measure(
    system: fleet.Fleet, load_case: LoadCase, seconds: float, rng: random.Random
) -> dict:
    """Sends the load of one case and returns its figures."""
    entries = {n: system.real[n] for n in system.named("entry-")}
    callers = caller.Caller(entries=entries, rng=rng)
    rates = {
        name: fraction * CAPACITY_PER_SECOND
        for name, fraction in STEADY_FRACTIONS.items()
    }
    rates[load_case.flood] += load_case.factor * CAPACITY_PER_SECOND
    total = sum(rates.values())
    before = await busy_seconds(system)
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    names = list(rates)
    for number in range(int(total * seconds)):
        await asyncio.sleep(max(0.0, began + number / total - loop.time()))
        name = rng.choices(names, [rates[n] for n in names])[0]
        tasks.append(asyncio.create_task(callers.send(request_kind(name))))
    elapsed_seconds = loop.time() - began
    used_seconds = await busy_seconds(system) - before
    answers = await asyncio.gather(*tasks)
    slots = (SERVERS - load_case.lost) * SLOTS
    return figures(
        answers,
        load_case,
        elapsed_seconds,
        used_seconds / (slots * elapsed_seconds),
        rates,
    )


def figures(
    answers: list[caller.Result],
    load_case: LoadCase,
    elapsed_seconds: float,
    used_fraction: float,
    rates: dict[str, float],
) -> dict:
    """Returns goodput and latency by kind of work, and slot utilisation.

    Args:
        answers: All answers.
        load_case: The load that was sent.
        elapsed_seconds: Time during which requests were sent.
        used_fraction: Fraction of the slot time that was used.
        rates: Requests per second by kind of work.
    """
    row = {
        "flood": load_case.flood,
        "factor": load_case.factor,
        "lost": load_case.lost,
        "offered": round(len(answers) / elapsed_seconds),
        "slots_used": round(used_fraction, 2),
    }
    worth = 0.0
    for name in rates:
        own = [a for a in answers if a.kind == name]
        latencies_ms = [
            a.seconds * 1000 for a in own if a.outcome == caller.COMPLETE
        ]
        worth += len(latencies_ms) * WORTHS[name]
        row[name] = {
            "sent": round(len(own) / elapsed_seconds, 1),
            "goodput": round(len(latencies_ms) / elapsed_seconds, 1),
            "p50": round(demo.percentile(latencies_ms, 0.5)),
            "p99": round(demo.percentile(latencies_ms, 0.99)),
        }
    row["worth"] = round(worth / elapsed_seconds)
    counts = collections.Counter(a.outcome for a in answers)
    row["unknown"] = counts[caller.UNKNOWN]
    row["wrong"] = counts[caller.WRONG]
    return row


async def measure_policy(
    policy: str, seconds: float, load_cases: list[LoadCase]
) -> list[dict]:
    """Measures all load cases under one policy."""
    pool = fleet.Pool(
        name="mixed",
        count=SERVERS,
        slots=SLOTS,
        service_ms=SERVICE_MS,
        separate=True,
    )
    system = fleet.Fleet(pools=[pool], entry_flags=POLICIES[policy])
    rows = []
    rng = random.Random(SEED)
    try:
        await system.start()
        await system.apply(contract_source())
        await system.wait_for(system.entries_ready, "entries to be ready")
        await asyncio.sleep(SETTLE_SECONDS)
        killed = 0
        for load_case in load_cases:
            while killed < load_case.lost:
                killed += 1
                system.processes[f"mixed-{killed}"].handle.kill()
                await asyncio.sleep(PAUSE_SECONDS)
            row = await measure(system, load_case, seconds, rng)
            rows.append({"policy": policy, **row})
            click.echo(json.dumps(rows[-1]))
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        await system.stop()
    return rows


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--policy", "policies", multiple=True, default=list(POLICIES))
def main(seconds: float, policies: tuple[str, ...]) -> None:
    """Measures every policy under every load case."""
    for policy in policies:
        asyncio.run(measure_policy(policy, seconds, LOAD_CASES))


if __name__ == "__main__":
    main()
