"""Options that several programs share."""

from collections.abc import Callable
import functools

import click

from oleanderhoist.cli import parameters

DEFAULT_MAX_SKEW_MS = 50.0


def common_options(function: Callable) -> Callable:
    """Adds the options that entries and placers share."""
    options = [
        click.option(
            "--id",
            required=True,
            envvar="OLEANDER_ID",
            help="Name of this process, unique in the system.",
        ),
        click.option(
            "--data-center",
            required=True,
            envvar="OLEANDER_DATA_CENTER",
            help="Data centre of this process.",
        ),
        click.option(
            "--listen",
            required=True,
            type=parameters.ADDRESS,
            envvar="OLEANDER_LISTEN",
            help="Address of the HTTP interface.",
        ),
        click.option(
            "--peer-listen",
            required=True,
            type=parameters.ADDRESS,
            envvar="OLEANDER_PEER_LISTEN",
            help="Address to bind for the system's own processes.",
        ),
        click.option(
            "--peer-advertise",
            default="",
            envvar="OLEANDER_PEER_ADVERTISE",
            help="Address that peers use, if not the bound one.",
        ),
        click.option(
            "--health-listen",
            required=True,
            type=parameters.ADDRESS,
            envvar="OLEANDER_HEALTH_LISTEN",
            help="Address of /livez, /readyz and /metrics.",
        ),
        click.option(
            "--table",
            required=True,
            type=parameters.ADDRESS,
            envvar="OLEANDER_TABLE",
            help="Address of the platform's table service.",
        ),
        click.option(
            "--max-skew-ms",
            default=DEFAULT_MAX_SKEW_MS,
            type=click.FloatRange(0, 1000),
            envvar="OLEANDER_MAX_SKEW_MS",
            help="Largest clock difference between two VMs, in milliseconds.",
        ),
        click.option(
            "--log-file",
            default="-",
            envvar="OLEANDER_LOG_FILE",
            help="File for log lines; '-' is standard output.",
        ),
    ]
    return functools.reduce(
        lambda f, option: option(f), options[::-1], function
    )
