"""Options and start-up that several programs share."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import gc
import signal
import sys

import click

from oleanderhoist import exits
from oleanderhoist import log
from oleanderhoist import settings
from oleanderhoist.http import streams

DEFAULT_MAX_SKEW_MS = 50.0
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop at whose close signals become ignored.

    Their default, which asyncio restores, would end the process by signal
    before its last log lines are written.
    """

    def close(self) -> None:
        """Ignores the programs' signals, then closes the loop."""
        for signum in HANDLED_SIGNALS:
            self.remove_signal_handler(signum)
        super().close()

    def remove_signal_handler(self, sig: int) -> bool:
        """Ignores a signal from now on; `super().close()` calls it, too."""
        signal.signal(sig, signal.SIG_IGN)
        return True


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
            type=settings.ADDRESS,
            envvar="OLEANDER_LISTEN",
            help="Address of the HTTP interface.",
        ),
        click.option(
            "--peer-listen",
            required=True,
            type=settings.ADDRESS,
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
            type=settings.ADDRESS,
            envvar="OLEANDER_HEALTH_LISTEN",
            help="Address of /livez, /readyz and /metrics.",
        ),
        click.option(
            "--table",
            required=True,
            type=settings.ADDRESS,
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


def run(program: Coroutine[None, None, None], log_file: str) -> None:
    """Runs a program with its log writer.

    Ignores SIGHUP: the program has no settings to reload, and the hang-up of
    an operator's terminal must not close its callers' connections.

    Args:
        program: Coroutine of the program.
        log_file: File for log lines; '-' is standard output.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        stream = sys.stdout if log_file == "-" else open(log_file, "a")  # noqa: SIM115
    except OSError as error:
        click.echo(
            f"--log-file: cannot write {log_file!r}: {error.strerror}; "
            "give a path in a folder that exists",
            err=True,
        )
        sys.exit(exits.ExitStatus.USAGE)
    writer = log.Writer(stream=stream)
    writer.start()
    try:
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            runner.run(run_and_close(program))
    except OSError as error:
        click.echo(f"cannot listen: {error}; check the addresses", err=True)
        sys.exit(exits.ExitStatus.ERROR)
    finally:
        writer.stop()
        # The interpreter would otherwise search all objects for cycles to free,
        # which delays the end of the process.
        gc.freeze()


async def run_and_close(program: Coroutine[None, None, None]) -> None:
    """Runs a program, then closes the connections that it opened."""
    try:
        await program
    finally:
        streams.close_opened()
