"""Runs a program in an event loop, with its log writer."""

import asyncio
from collections.abc import Coroutine
import gc
import signal
import sys

from oleanderhoist import exits
from oleanderhoist import log
from oleanderhoist.http import streams

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
        print(
            f"--log-file: cannot write {log_file!r}: {error.strerror}; "
            "give a path in a folder that exists",
            file=sys.stderr,
        )
        sys.exit(exits.ExitStatus.USAGE)
    writer = log.Writer(stream=stream)
    writer.start()
    try:
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            runner.run(run_and_close(program))
    except OSError as error:
        print(f"cannot listen: {error}; check the addresses", file=sys.stderr)
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
