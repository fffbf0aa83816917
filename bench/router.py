"""Processor time of one router a request, and where it goes.

`python -m bench.router` sends a steady load to one router on stand-ins, and
reads its processor time from the kernel. `--profile` runs it under cProfile
and prints the functions with the most time of their own.
"""

import asyncio
import pathlib
import pstats
import random
import signal
import tempfile
import time

import click

from oleanderhoist.http import client
from standins import platform_system

ROUTER = 2
WARM_SECONDS = 2.0
DEADLINE_MS = 2000
UNREPEATABLE_SHARE = 0.3
TICKS_PER_SECOND = 100  # Of /proc, on every common kernel.
TOP = 14


class Load:
    """A steady load over kept connections.

    Args:
        rate: Requests per second.
        seed: Seed of all draws.
    """

    def __init__(self, *, rate: float, seed: int):
        self.rate = rate
        self.rng = random.Random(seed)
        address = client.Address(
            host=f"127.0.0.{ROUTER}", port=platform_system.FRONT_PORT
        )
        self.client = client.Client(address=address)
        self.sent = 0
        self.served = 0

    async def one(self, number: int) -> None:
        """Sends one request."""
        key = self.rng.randrange(65_536)
        order = self.rng.random() < UNREPEATABLE_SHARE
        self.sent += 1
        try:
            response = await self.client.request(
                "POST" if order else "GET",
                f"/order/{key}" if order else f"/look/{key}",
                timeout=DEADLINE_MS / 1000,
                headers=[
                    (b"request-id", b"%d" % number),
                    (b"deadline-ms", b"%d" % DEADLINE_MS),
                    (b"shard-key", b"%d" % key),
                ],
                body=b"x" * 300 if order else b"",
                host=b"a.example",
            )
        except client.ExchangeError as error:
            click.echo(f"request {number}: {error}", err=True)
            return
        self.served += response.status == 200

    async def run(self, seconds: float) -> None:
        """Sends for a while, and waits for the answers."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.one(self.sent)))
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(
    rate: float, seconds: float, seed: int, interpreter: tuple[str, ...]
) -> None:
    """Measures one router under a load, and prints the result."""
    system = platform_system.System(
        routers=(ROUTER,), servers=8, interpreter=interpreter
    )
    try:
        await system.start()
        process = system.processes[f"r{ROUTER}"]
        await asyncio.sleep(WARM_SECONDS)
        before = processor_seconds(process.pid)
        await asyncio.sleep(seconds)
        idle = (processor_seconds(process.pid) - before) / seconds
        load = Load(rate=rate, seed=seed)
        before = processor_seconds(process.pid)
        await load.run(seconds)
        used = processor_seconds(process.pid) - before
        each = (used - idle * seconds) / max(1, load.sent)
        click.echo(
            f"{load.served} of {load.sent} served; idle {idle * 100:.1f}% of a "
            f"processor; {each * 1000:.2f} ms a request"
        )
        system.signal(f"r{ROUTER}", signal.SIGTERM)
        await process.wait()
    finally:
        await system.stop()


@click.command()
@click.option("--rate", default=80.0, help="Requests per second.")
@click.option("--seconds", default=10.0, help="Length of the load.")
@click.option("--seed", default=7, help="Seed of all draws.")
@click.option("--profile", is_flag=True, help="Print where the time goes.")
def main(rate: float, seconds: float, seed: int, profile: bool) -> None:
    """Measures a router's processor time."""
    with tempfile.NamedTemporaryFile(suffix=".pstats") as file:
        options = ("-m", "cProfile", "-o", file.name) if profile else ()
        asyncio.run(measure(rate, seconds, seed, options))
        if profile:
            stats = pstats.Stats(file.name)
            stats.sort_stats("tottime").print_stats(TOP)


if __name__ == "__main__":
    main()
