"""Command line of ``oleander-placer``."""

import re

import click

from oleanderhoist import clock
from oleanderhoist import settings
from oleanderhoist.cli import options
from oleanderhoist.cli import parameters
from oleanderhoist.cli import runner
from oleanderhoist.http import client
from oleanderhoist.placer import core
from oleanderhoist.policy import placement


@click.command()
@options.common_options
@click.option(
    "--inventory",
    required=True,
    type=parameters.ADDRESS,
    envvar="OLEANDER_INVENTORY",
    help="Address of the inventory, the platform's list of servers.",
)
@click.option(
    "--admin-sha256",
    required=True,
    envvar="OLEANDER_ADMIN_SHA256",
    help="SHA-256 of the operators' token, in hex.",
)
@click.option(
    "--partitions",
    default=256,
    type=click.IntRange(1, 65_536),
    envvar="OLEANDER_PARTITIONS",
    help="Number of partitions of a new partition map.",
)
@click.option(
    "--placement",
    "placement_policy",
    default="bounded-least-churn",
    type=click.Choice(placement.PLACEMENTS.names()),
    envvar="OLEANDER_PLACEMENT",
    help="Policy that chooses the owners of partitions.",
)
@click.option(
    "--advertise",
    default="",
    envvar="OLEANDER_ADVERTISE",
    help="Address of the administration API, if not the bound one.",
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
    inventory: client.Address,
    admin_sha256: str,
    partitions: int,
    placement_policy: str,
    advertise: str,
) -> None:
    """Places key partitions and serves the administration API."""
    if not re.fullmatch(r"[0-9a-f]{64}", admin_sha256):
        raise click.BadParameter(
            "write 64 hex digits: the SHA-256 of the operators' token",
            param_hint="--admin-sha256",
        )
    checked = settings.PlacerSettings(
        id=id,
        data_center=data_center,
        listen=listen,
        peer_listen=peer_listen,
        peer_advertise=peer_advertise,
        health_listen=health_listen,
        table=table,
        max_skew=max_skew_ms / 1000,
        log_file=log_file,
        inventory=inventory,
        admin_sha256=admin_sha256,
        partitions=partitions,
        placement=placement_policy,
        advertise=advertise,
    )
    program = core.Placer(settings=checked, clock=clock.Clock())
    runner.run(program.run(), log_file)


if __name__ == "__main__":
    main()
