"""Plays drawn faults: ``python -m soak --seed 5 --seconds 60``."""

import asyncio
import sys

import click

from oleanderhoist import exits
from soak import faults
from soak import play


@click.command()
@click.option("--seed", default=1, help="Seed of the first run.")
@click.option("--runs", default=1, help="Runs, each with the next seed.")
@click.option("--seconds", default=30.0, help="Time with faults of a run.")
@click.option("--routers", default=3, help="Number of routers.")
@click.option("--servers", default=6, help="Number of servers.")
@click.option("--pause", default=1.5, help="Mean time between faults.")
@click.option(
    "--faults",
    "names",
    default="",
    help="Comma-separated faults to draw from; all of them when empty.",
)
@click.option("--verbose", is_flag=True, help="Print each fault.")
def main(
    seed: int,
    runs: int,
    seconds: float,
    routers: int,
    servers: int,
    pause: float,
    names: str,
    verbose: bool,
) -> None:
    """Runs the soak; fails when a promise was broken."""
    drawn = names.split(",") if names else faults.FAULTS.names()
    unknown = [name for name in drawn if name not in faults.FAULTS.names()]
    if unknown:
        known = ", ".join(faults.FAULTS.names())
        raise click.BadParameter(f"--faults: no {unknown[0]!r}; known: {known}")
    failed = []
    for number in range(seed, seed + runs):
        found = asyncio.run(
            play.run(
                seed=number,
                seconds=seconds,
                routers=routers,
                servers=servers,
                pause=pause,
                names=drawn,
            )
        )
        click.echo(found.summary())
        for line in (found.log if verbose or found.broken else [])[:200]:
            click.echo(f"  fault {line}")
        for line in found.broken[:20]:
            click.echo(f"  broken {line}")
        if found.broken:
            failed.append(number)
    click.echo(f"{runs - len(failed)} passed, {len(failed)} failed")
    if failed:
        click.echo(f"failed seeds: {failed}")
        sys.exit(exits.ExitStatus.ERROR)


if __name__ == "__main__":
    main()
