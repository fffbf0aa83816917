"""Runs the soak test: ``python -m soak --seed 5 --seconds 60``."""

import asyncio
import dataclasses
import pathlib
import sys

import click

from oleanderhoist import exits
from soak import callers
from soak import faults
from soak import runner

MAX_PRINTED_FAULTS = 200
MAX_PRINTED_VIOLATIONS = 20


@click.command()
@click.option("--seed", default=1, help="Seed of the first run.")
@click.option("--runs", default=1, help="Number of runs, with ascending seeds.")
@click.option(
    "--seconds", default=30.0, help="Time in which faults are injected."
)
@click.option("--routers", default=3, help="Number of routers.")
@click.option("--servers", default=6, help="Number of servers.")
@click.option("--pause", default=1.5, help="Mean seconds between faults.")
@click.option(
    "--faults",
    "names",
    default="",
    help="Comma-separated faults to draw from; empty for all but drills.",
)
@click.option(
    "--drills",
    is_flag=True,
    help="Draw also that the store comes back from an older copy.",
)
@click.option(
    "--long",
    "long_share",
    default=0.0,
    help="Share of requests that take up to 4 s, with one slot a server.",
)
@click.option(
    "--connections",
    default=0,
    help="Connections that a server accepts; 0 for any number.",
)
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path),
    help="Folder in which to keep the routers' logs, by seed.",
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
    drills: bool,
    long_share: float,
    connections: int,
    logs: pathlib.Path | None,
    verbose: bool,
) -> None:
    """Runs the soak test; exits with an error on a violated invariant."""
    drawn = names.split(",") if names else faults.default_names()
    drawn += faults.NAMED_ONLY if drills else ()
    unknown = [name for name in drawn if name not in faults.FAULTS.names()]
    if unknown:
        known = ", ".join(faults.FAULTS.names())
        raise click.BadParameter(
            f"--faults: unknown fault {unknown[0]!r}; use {known}"
        )
    load = callers.long_load(long_share) if long_share else callers.SHORT_LOAD
    load = dataclasses.replace(load, connections=connections)
    failed = []
    for run_seed in range(seed, seed + runs):
        result = asyncio.run(
            runner.run(
                seed=run_seed,
                seconds=seconds,
                routers=routers,
                servers=servers,
                mean_interval_seconds=pause,
                fault_names=drawn,
                load=load,
                folder=logs / str(run_seed) if logs else None,
            )
        )
        click.echo(result.summary())
        log = result.log if verbose or result.violations else []
        for line in log[:MAX_PRINTED_FAULTS]:
            click.echo(f"  fault {line}")
        for line in result.violations[:MAX_PRINTED_VIOLATIONS]:
            click.echo(f"  broken {line}")
        if result.violations:
            failed.append(run_seed)
    click.echo(f"{runs - len(failed)} passed, {len(failed)} failed")
    if failed:
        click.echo(f"failed seeds: {failed}")
        sys.exit(exits.ExitStatus.ERROR)


if __name__ == "__main__":
    main()
