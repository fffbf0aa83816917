"""Command line of ``oleander-entry``."""

import random

import click

from oleanderhoist import clock
from oleanderhoist import settings
from oleanderhoist.cli import options
from oleanderhoist.cli import runner
from oleanderhoist.entry import core
from oleanderhoist.http import client
from oleanderhoist.policy import choice
from oleanderhoist.policy import dispatch
from oleanderhoist.policy import slotaccess


@click.command()
@options.common_options
@click.option(
    "--dispatch",
    "dispatch_policy",
    default="guaranteed-share",
    type=click.Choice(dispatch.DISPATCHES.names()),
    envvar="OLEANDER_DISPATCH",
    help="Policy that hands out a server's free slots.",
)
@click.option(
    "--choice",
    "choice_policy",
    default="least-estimate",
    type=click.Choice(choice.CHOICES.names()),
    envvar="OLEANDER_CHOICE",
    help="Policy that chooses a server of a pool without keys.",
)
@click.option(
    "--permits",
    "permit_policy",
    default="early-urgent",
    type=click.Choice(slotaccess.SLOT_ACCESS.names()),
    envvar="OLEANDER_PERMITS",
    help="Policy that acquires a slot of a server.",
)
@click.option(
    "--stop-seconds",
    default=30.0,
    type=click.FloatRange(0.1, 600),
    envvar="OLEANDER_STOP_SECONDS",
    help="Longest graceful stop, in seconds.",
)
def main(
    id: str,
    data_center: str,
    listen: client.Address,
    peer_listen: client.Address,
    peer_advertise: str,
    health_listen: client.Address,
    table: client.Address,
    max_skew_ms: float,
    log_file: str,
    dispatch_policy: str,
    choice_policy: str,
    permit_policy: str,
    stop_seconds: float,
) -> None:
    """Serves callers and coordinates servers."""
    checked = settings.EntrySettings(
        id=id,
        data_center=data_center,
        listen=listen,
        peer_listen=peer_listen,
        peer_advertise=peer_advertise,
        health_listen=health_listen,
        table=table,
        max_skew=max_skew_ms / 1000,
        log_file=log_file,
        dispatch=dispatch_policy,
        choice=choice_policy,
        permits=permit_policy,
        stop_seconds=stop_seconds,
    )
    program = core.Entry(
        settings=checked, clock=clock.Clock(), rng=random.Random()
    )
    runner.run(program.run(), log_file)


if __name__ == "__main__":
    main()
