"""Command line of ``oleander-router``."""

import argparse
import os
import sys

from oleanderhoist import clock
from oleanderhoist import exits
from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.cli import runner
from oleanderhoist.node import core
from oleanderhoist.platform import adapter  # noqa: F401, fills PLATFORMS
from oleanderhoist.platform import settings as platform_settings


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Parses the command line; exits with a message if it is wrong.

    Args:
        arguments: The arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(
        prog="oleander-router",
        description="Serves callers, places keys, and leads while it has the "
        "leader lease.",
    )
    parser.add_argument(
        "--platform",
        default=os.environ.get("OLEANDER_PLATFORM", "row-store"),
        help="Platform that the router runs on.",
    )
    parser.add_argument(
        "--settings",
        default=platform_settings.settings_path(),
        help="The platform's settings file.",
    )
    parser.add_argument(
        "--log-file",
        default=os.environ.get("OLEANDER_LOG_FILE", "-"),
        help="File for log lines; '-' is standard output.",
    )
    parsed = parser.parse_args(arguments)
    names = ports.PLATFORMS.names()
    if parsed.platform not in names:
        parser.error(
            f"--platform: {parsed.platform!r} is none of {', '.join(names)}"
        )
    return parsed


def main(arguments: list[str] | None = None) -> None:
    """Runs a router until it is stopped."""
    parsed = parse_arguments(arguments)

    def read() -> settings.RouterSettings:
        return platform_settings.read(parsed.settings)

    def stamp() -> object:
        try:
            status = os.stat(parsed.settings)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    initial_stamp = stamp()
    try:
        checked = read()
    except settings.SettingsError as error:
        for problem in error.problems:
            print(f"oleander-router: {problem}", file=sys.stderr)
        sys.exit(exits.ExitStatus.USAGE)
    node = core.Node(
        settings=checked,
        source=core.SettingsSource(
            read=read, stamp=stamp, seen_stamp=initial_stamp
        ),
        platform=ports.PLATFORMS.get(parsed.platform)(settings=checked),
        clock=clock.Clock(),
    )
    runner.run(node.run(), parsed.log_file)
