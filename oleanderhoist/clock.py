"""Time source, injected so that tests can replace it."""

import time


class Clock:
    """Reads the system's clocks, all in seconds."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back."""
        return time.monotonic()

    def boottime(self) -> float:
        """Returns seconds on a clock that also counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
