"""Latency added by entries: routed lookups compared with direct calls.

Both kinds of call alternate within one run and go to servers of the same
stand-in program.
"""

import asyncio
import json
import random
import statistics

import click

from bench import demo
from oleanderhoist.http import client
from oleanderhoist.policy import slotaccess
from standins import caller
from standins import fleet
from standins import proxy

SEED = 7
DIRECT = "archive"
LOOKUP = caller.MIX[0]
TARGET_P99_MS = 10.0
TARGET_ADDED_MS = 2.0
DIRECT_TIMEOUT_SECONDS = 5.0
SETTLE_SECONDS = 1.0


def pools(service_ms: float) -> list[fleet.Pool]:
    """Returns the demo's pools with one service time for both calls."""
    changed = []
    for pool in demo.POOLS:
        fields = dict(vars(pool))
        if pool.name in (DIRECT, LOOKUP.name):
            fields["service_ms"] = service_ms
        changed.append(fleet.Pool(**fields))
    return changed


async def direct_seconds(peer: client.Client, number: int) -> float:
    """Returns the duration of one direct call, in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    path = f"/archive/k{number}"
    response = await peer.request("GET", path, timeout=DIRECT_TIMEOUT_SECONDS)
    if response.status != 200:
        raise RuntimeError(f"direct call: status {response.status}")
    return loop.time() - began


async def measure(
    system: fleet.Fleet, rate: float, seconds: float, rng: random.Random
) -> tuple[list[float], list[float], int]:
    """Sends direct and routed calls alternately at a steady rate.

    Returns:
        Latencies in seconds of the direct calls and of the complete routed
        calls, and the number of failed routed calls.
    """
    entries = {n: system.real[n] for n in system.named("entry-")}
    callers = caller.Caller(entries=entries, rng=rng)
    servers = [i for i, s in system.servers.items() if s["pool"] == DIRECT]
    peers = [
        client.Client(
            address=client.Address.parse(system.servers[id]["address"])
        )
        for id in servers
    ]
    loop = asyncio.get_running_loop()
    began = loop.time()
    direct_calls = []
    routed = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        peer = rng.choice(peers)
        direct_calls.append(asyncio.create_task(direct_seconds(peer, number)))
        await asyncio.sleep(
            max(0.0, began + (number + 0.5) / rate - loop.time())
        )
        routed.append(asyncio.create_task(callers.send(LOOKUP)))
    answers = await asyncio.gather(*routed)
    routed_seconds = [
        a.seconds for a in answers if a.outcome == caller.COMPLETE
    ]
    return (
        await asyncio.gather(*direct_calls),
        routed_seconds,
        len(answers) - len(routed_seconds),
    )


async def measure_run(
    rate: float,
    seconds: float,
    service_ms: float,
    delay_ms: float,
    permits: str,
) -> dict:
    """Runs one measurement of direct and routed calls."""
    proxies = proxy.Proxies()
    route = proxies.route if delay_ms else fleet.direct
    system = fleet.Fleet(
        pools=pools(service_ms),
        route=route,
        entry_flags=("--permits", permits),
    )
    try:
        await system.start()
        for link in proxies.by_name.values():
            link.faults.delay_seconds = delay_ms / 1000
        await demo.apply_contracts(system)
        await asyncio.sleep(SETTLE_SECONDS)
        rng = random.Random(SEED)
        direct, routed, failed = await measure(system, rate, seconds, rng)
    finally:
        await system.stop()
        await proxies.stop()
    figures = report(direct, routed, failed, rate, delay_ms)
    return {"permits": permits, **figures}


def report(
    direct: list[float],
    routed: list[float],
    failed: int,
    rate: float,
    delay_ms: float,
) -> dict:
    """Returns the figures of one run, with latencies in milliseconds.

    Args:
        direct: Latencies of direct calls, in seconds.
        routed: Latencies of complete routed calls, in seconds.
        failed: Number of failed routed calls.
        rate: Calls of each kind per second.
        delay_ms: One-way delay of each link.
    """
    figures = {"rate": rate, "delay_ms": delay_ms, "failed": failed}
    for name, values in (("direct", direct), ("routed", routed)):
        figures[f"{name}_p50"] = round(statistics.median(values) * 1000, 2)
        p99 = demo.percentile(values, 0.99)
        figures[f"{name}_p99"] = round(p99 * 1000, 2)
    for part in ("p50", "p99"):
        added = figures[f"routed_{part}"] - figures[f"direct_{part}"]
        ratio = figures[f"routed_{part}"] / figures[f"direct_{part}"]
        figures[f"added_{part}"] = round(added, 2)
        figures[f"ratio_{part}"] = round(ratio, 2)
    return figures


@click.command()
@click.option("--rate", default=100.0, help="Lookups per second.")
@click.option("--seconds", default=8.0)
@click.option("--service-ms", default=2.0)
@click.option("--delay-ms", default=0.0, help="One-way delay by proxies.")
@click.option("--runs", default=3)
@click.option(
    "--permits", multiple=True, default=slotaccess.SLOT_ACCESS.names()
)
def main(
    rate: float,
    seconds: float,
    service_ms: float,
    delay_ms: float,
    runs: int,
    permits: tuple[str, ...],
) -> None:
    """Prints the added latency, with medians, by slot access policy."""
    rows = []
    for _ in range(runs):
        for name in permits:
            run = measure_run(rate, seconds, service_ms, delay_ms, name)
            rows.append(asyncio.run(run))
            click.echo(json.dumps(rows[-1]))
    for name in permits:
        click.echo(json.dumps(medians(rows, name)))
    targets = {"added_p99": TARGET_ADDED_MS, "routed_p99": TARGET_P99_MS}
    click.echo(json.dumps({"targets": targets}))


def medians(rows: list[dict], name: str) -> dict:
    """Returns the medians of the runs of a slot access policy."""
    own = [row for row in rows if row["permits"] == name]
    keys = [key for key in own[0] if key != "permits"]
    figures = {k: round(statistics.median(r[k] for r in own), 2) for k in keys}
    return {"median_of": len(own), "permits": name, **figures}


if __name__ == "__main__":
    main()
