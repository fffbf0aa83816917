"""Timeouts that a stall doesn't shorten, and a deadline that many tasks share.

After a stall of the event loop, a timer runs before the tasks for which bytes
have arrived meanwhile: in the turn in which the bytes are polled, or, if the
process was frozen, in the turn before it.
"""

import asyncio
import types

# Turns of the event loop in which what has arrived is polled, read and passed
# on from task to task.
CATCH_UP_TURNS = 8


class PassedError(Exception):
    """A shared deadline passed while a task was under it."""


async def catch_up() -> None:
    """Lets the event loop read and pass on what has arrived."""
    for _ in range(CATCH_UP_TURNS):
        await asyncio.sleep(0)


class CatchUpTimeout:
    """A timeout like `asyncio.Timeout` that lets the event loop catch up.

    Args:
        at: When its block is cancelled, in seconds on the event loop's clock;
            None for never.
    """

    def __init__(self, at: float | None):
        self.at = at
        self.timeout = asyncio.timeout(None)
        self.handle: asyncio.Handle | None = None

    def expired(self) -> bool:
        """Returns whether the block was cancelled."""
        return self.timeout.expired()

    def reschedule(self, at: float) -> None:
        """Sets when the block is cancelled."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle = asyncio.get_running_loop().call_at(
            at, self.catch_up, CATCH_UP_TURNS
        )

    def catch_up(self, turns: int) -> None:
        """Cancels the block after some more turns of the event loop."""
        loop = asyncio.get_running_loop()
        if turns:
            self.handle = loop.call_soon(self.catch_up, turns - 1)
        else:
            self.timeout.reschedule(loop.time())

    async def __aenter__(self) -> "CatchUpTimeout":
        await self.timeout.__aenter__()
        if self.at is not None:
            self.reschedule(self.at)
        return self

    async def __aexit__(self, *error_info) -> None:
        if self.handle is not None:
            self.handle.cancel()
        await self.timeout.__aexit__(*error_info)


class SharedDeadline:
    """A deadline for many tasks that may be set while they run.

    Args:
        catch_up: Whether what has arrived by the deadline is still read after
            a stall. Otherwise tasks are cancelled at once, which is right for
            waits whose end loses nothing.

    Attributes:
        at: The deadline, in seconds on the event loop's clock; None before it
            is set.
    """

    def __init__(self, *, catch_up: bool = False):
        self.timeout_at = CatchUpTimeout if catch_up else asyncio.timeout_at
        self.at: float | None = None
        self.timeouts: set[asyncio.Timeout | CatchUpTimeout] = set()

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

    def limit(self) -> "Limit":
        """Returns a context that runs a block until the deadline at most.

        Raises:
            PassedError: On entry or at the end of the block: the deadline
                passed; the block was cancelled or not begun.
        """
        return Limit(shared=self)


class Limit:
    """Runs a block until a shared deadline; see `SharedDeadline.limit`.

    Every request enters several, so this is no generator.

    Args:
        shared: The deadline.
    """

    def __init__(self, *, shared: SharedDeadline):
        self.shared = shared
        self.timeout = shared.timeout_at(shared.at)

    async def __aenter__(self) -> None:
        if self.shared.passed:
            raise PassedError
        await self.timeout.__aenter__()
        self.shared.timeouts.add(self.timeout)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.shared.timeouts.discard(self.timeout)
        try:
            await self.timeout.__aexit__(error_type, error, traceback)
        except TimeoutError as timeout_error:
            raise PassedError from timeout_error
        if isinstance(error, TimeoutError) and self.timeout.expired():
            raise PassedError from error
