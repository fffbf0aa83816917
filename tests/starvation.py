"""Measures time without what other processes took of the processors."""

import pathlib
import time

SCHEDULER_STATISTICS = pathlib.Path("/proc/self/schedstat")


class Stopwatch:
    """Measures the time that a test takes by itself.

    On a busy machine, a process also waits for a processor.
    """

    def __init__(self):
        self.began = own_seconds()

    def elapsed(self) -> float:
        """Returns the time since the start, in seconds."""
        return own_seconds() - self.began


def own_seconds() -> float:
    """Returns the time, less that in which this process was ready to run.

    Where the system doesn't count that, nothing is taken off.
    """
    waited_ns = "0"
    if SCHEDULER_STATISTICS.exists():
        _, waited_ns, _ = SCHEDULER_STATISTICS.read_text().split()
    return time.monotonic() - int(waited_ns) / 1e9
