"""Starts ``oleander-router``."""

import gc
import importlib
import signal


def main() -> None:
    """Ignores SIGHUP until the router handles it, then runs the router.

    The platform may send SIGHUP, which asks for a reload, before the imports
    are done; its default action would end the process.

    What the imports create lives as long as the process, so the garbage
    collector neither runs meanwhile nor looks at it later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    command = importlib.import_module("oleanderhoist.cli.routercommand")
    gc.freeze()
    gc.enable()
    command.main()


if __name__ == "__main__":
    main()
