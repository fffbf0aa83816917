"""Processor time per request of one router, and where it is spent.

`python -m bench.router` sends a steady load to one router between stand-ins
and reads its processor time from the kernel. `--profile` runs it under
cProfile and prints the functions with the most time of their own.
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
from oleanderhoist.http import exchanges
from standins import platform_system

ROUTER_NUMBER = 2
WARMUP_SECONDS = 2.0
DEADLINE_MS = 2000
UNREPEATABLE_FRACTION = 0.3
TICKS_PER_SECOND = 100  # Of /proc, on every common kernel.
TOP_FUNCTIONS = 14
KEY_COUNT = 65_536
BODY_BYTES = 300


class Load:
    """A Poisson load over persistent connections.

    Args:
        rate: Mean requests per second.
        seed: Seed of all draws.

    Attributes:
        sent: Requests sent so far.
        served: Requests answered with status 200 so far.
    """

    def __init__(self, *, rate: float, seed: int):
        self.rate = rate
        self.rng = random.Random(seed)
        address = client.Address(
            host=f"{platform_system.process_subnet()}.{ROUTER_NUMBER}",
            port=platform_system.FRONT_PORT,
        )
        self.client = client.Client(address=address)
        self.sent = 0
        self.served = 0

    async def send_request(self, number: int) -> None:
        """Sends one request."""
        key = self.rng.randrange(KEY_COUNT)
        unrepeatable = self.rng.random() < UNREPEATABLE_FRACTION
        self.sent += 1
        try:
            response = await self.client.request(
                "POST" if unrepeatable else "GET",
                f"/order/{key}" if unrepeatable else f"/look/{key}",
                timeout=DEADLINE_MS / 1000,
                headers=[
                    (b"request-id", b"%d" % number),
                    (b"deadline-ms", b"%d" % DEADLINE_MS),
                    (b"shard-key", b"%d" % key),
                ],
                body=b"x" * BODY_BYTES if unrepeatable else b"",
                host=b"a.example",
            )
        except exchanges.ExchangeError as error:
            click.echo(f"request {number}: {error}", err=True)
            return
        self.served += response.status == 200

    async def run(self, seconds: float) -> None:
        """Sends requests for a time, then waits for all answers."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.send_request(self.sent)))
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(
    rate: float, seconds: float, seed: int, interpreter: tuple[str, ...]
) -> None:
    """Measures one router's idle and loaded time, and prints the result.

    Args:
        rate: Mean requests per second.
        seconds: Length of the idle time and of the load.
        seed: Seed of the load.
        interpreter: Further arguments of the router's Python interpreter.
    """
    system = platform_system.System(
        routers=(ROUTER_NUMBER,), servers=8, interpreter=interpreter
    )
    try:
        await system.start()
        process = system.processes[f"r{ROUTER_NUMBER}"]
        await asyncio.sleep(WARMUP_SECONDS)
        before = processor_seconds(process.pid)
        await asyncio.sleep(seconds)
        idle_fraction = (processor_seconds(process.pid) - before) / seconds
        load = Load(rate=rate, seed=seed)
        before = processor_seconds(process.pid)
        await load.run(seconds)
        used_seconds = processor_seconds(process.pid) - before
        seconds_per_request = (used_seconds - idle_fraction * seconds) / max(
            1, load.sent
        )
        click.echo(
            f"{load.served} of {load.sent} served; idle "
            f"{idle_fraction * 100:.1f}% of a processor; "
            f"{seconds_per_request * 1000:.2f} ms per request"
        )
        system.signal(f"r{ROUTER_NUMBER}", signal.SIGTERM)
        await process.wait()
    finally:
        await system.stop()


@click.command()
@click.option("--rate", default=80.0, help="Requests per second.")
@click.option("--seconds", default=10.0, help="Length of the load.")
@click.option("--seed", default=7, help="Seed of all draws.")
@click.option(
    "--profile",
    is_flag=True,
    help="Print the functions that use the most time.",
)
def main(rate: float, seconds: float, seed: int, profile: bool) -> None:
    """Measures a router's processor time per request."""
    with tempfile.NamedTemporaryFile(suffix=".pstats") as profile_file:
        interpreter_flags = (
            ("-m", "cProfile", "-o", profile_file.name) if profile else ()
        )
        asyncio.run(measure(rate, seconds, seed, interpreter_flags))
        if profile:
            stats = pstats.Stats(profile_file.name)
            stats.sort_stats("tottime").print_stats(TOP_FUNCTIONS)


if __name__ == "__main__":
    main()
