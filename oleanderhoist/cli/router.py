"""Starts ``oleander-router``."""

import importlib
import signal


def main() -> None:
    """Ignores reloads until the router can take them, then runs it.

    Imports take longer than the platform may wait before it sends the signal,
    whose default is to end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("oleanderhoist.cli.routercommand").main()


if __name__ == "__main__":
    main()
