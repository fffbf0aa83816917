"""Command line of ``oleander-router``."""

import os
import sys

import click

from oleanderhoist import clock
from oleanderhoist import exits
from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.cli import options
from oleanderhoist.node import core
from oleanderhoist.platform import adapter  # noqa: F401, fills PLATFORMS
from oleanderhoist.platform import settings as platform_settings


@click.command()
@click.option(
    "--platform",
    "platform_name",
    default="row-store",
    type=click.Choice(ports.PLATFORMS.names()),
    envvar="OLEANDER_PLATFORM",
    help="Platform that the router runs on.",
)
@click.option(
    "--settings",
    "settings_path",
    default=platform_settings.settings_path,
    help="The platform's settings file.",
)
@click.option(
    "--log-file",
    default="-",
    envvar="OLEANDER_LOG_FILE",
    help="File for log lines; '-' is standard output.",
)
def main(platform_name: str, settings_path: str, log_file: str) -> None:
    """Serves callers, places keys, and leads while it has the leader lease."""

    def read() -> settings.RouterSettings:
        return platform_settings.read(settings_path)

    def stamp() -> object:
        try:
            status = os.stat(settings_path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    initial_stamp = stamp()
    try:
        checked = read()
    except settings.SettingsError as error:
        for problem in error.problems:
            click.echo(f"oleander-router: {problem}", err=True)
        sys.exit(exits.ExitStatus.USAGE)
    node = core.Node(
        settings=checked,
        source=core.SettingsSource(
            read=read, stamp=stamp, seen_stamp=initial_stamp
        ),
        platform=ports.PLATFORMS.get(platform_name)(settings=checked),
        clock=clock.Clock(),
    )
    options.run(node.run(), log_file)
