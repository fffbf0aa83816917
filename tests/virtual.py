"""An event loop in virtual time, which jumps to the next timer, and its clock.

Tests of timeouts and leases run without waiting for real time to pass.
"""

import asyncio
from collections.abc import Coroutine
import selectors

from oleanderhoist import clock


class _Selector(selectors.DefaultSelector):
    """A selector that advances the loop's time instead of waiting."""

    loop: "Loop"

    def select(self, timeout: float | None = None) -> list:
        """Polls without waiting; advances the time if no socket is ready.

        Raises:
            RuntimeError: No timer is scheduled, so time can't advance.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("virtual time can't advance: no timer is left")
        self.loop.now += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        self.now = 1000.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now


class Clock(clock.Clock):
    """The loop's virtual time as the clock of the code under test."""

    def __init__(self, *, loop: Loop):
        self.loop = loop

    def wall(self) -> float:
        """Returns virtual seconds."""
        return self.loop.now

    def monotonic(self) -> float:
        """Returns virtual seconds."""
        return self.loop.now

    def boottime(self) -> float:
        """Returns virtual seconds."""
        return self.loop.now


def run(coroutine: Coroutine, loop: Loop) -> object:
    """Runs a coroutine in virtual time, then closes the loop."""
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
