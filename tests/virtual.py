"""An event loop whose time jumps to the next timer, and a clock on it."""

import asyncio
from collections.abc import Coroutine
import selectors

from oleanderhoist import clock


class _Selector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    loop: "Loop"

    def select(self, timeout: float | None = None) -> list:
        """Returns at once; the time asked for has then passed."""
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.loop.now += max(0.0, timeout)
        return super().select(0)


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
    """The virtual time as the code under test reads it."""

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


def run(work: Coroutine, loop: Loop) -> object:
    """Runs work to its end in virtual time."""
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
