"""A deadline that many tasks share."""

import asyncio
from collections.abc import AsyncIterator
import contextlib


class PassedError(Exception):
    """A shared deadline passed while a task was under it."""


class SharedDeadline:
    """A deadline for many tasks that may be set while they run.

    Attributes:
        at: The deadline, in seconds on the event loop's clock; None before it
            is set.
    """

    def __init__(self):
        self.at: float | None = None
        self.timeouts: set[asyncio.Timeout] = set()

    @property
    def passed(self) -> bool:
        """Whether the deadline is set and has passed."""
        return (
            self.at is not None and self.at <= asyncio.get_running_loop().time()
        )

    def set(self, at: float) -> None:
        """Sets the deadline, also for the tasks that are already under it."""
        self.at = at
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(at)

    def limit_time(self, time: float) -> float:
        """Returns the earlier of a time and the deadline."""
        return time if self.at is None else min(time, self.at)

    @contextlib.asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Runs a block until the deadline at the latest.

        Raises:
            PassedError: The deadline passed; the block was cancelled or not
                begun.
        """
        if self.passed:
            raise PassedError
        timeout = asyncio.timeout_at(self.at)
        try:
            async with timeout:
                self.timeouts.add(timeout)
                yield
        except TimeoutError as error:
            if timeout.expired():
                raise PassedError from error
            raise
        finally:
            self.timeouts.discard(timeout)
