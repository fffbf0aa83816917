"""Starts ``oleander-router``."""

import importlib
import signal


def main() -> None:
    """Ignores SIGHUP until the router handles it, then runs the router.

    The platform may send SIGHUP, which asks for a reload, before the imports
    are done; its default action would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("oleanderhoist.cli.routercommand").main()


if __name__ == "__main__":
    main()
