"""Servers that are cold for a while, as their entries in the store say."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

ENTRY_SECONDS = 1.0  # Interval at which cold servers write their entries.


class ColdStarts:
    """Which servers are cold, and until when.

    Args:
        seconds: For how long a server is cold; 0 if none ever is.
        write: Writes the entry of a server, by its id.

    Attributes:
        until: When each server is warm again, on the monotonic clock.
        tasks: They keep the entries of cold servers up to date.
    """

    def __init__(
        self, *, seconds: float, write: Callable[[str], Awaitable[None]]
    ):
        self.seconds = seconds
        self.write = write
        self.until: dict[str, float] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    def remaining_ms(self, id: str) -> int:
        """Returns for how long a server stays cold, in milliseconds."""
        remaining = self.until.get(id, 0.0) - time.monotonic()
        return max(0, round(remaining * 1000))

    def begin(self, id: str, delay_seconds: float = ENTRY_SECONDS) -> None:
        """Makes a server cold, as its entry says after a delay."""
        if not self.seconds:
            return
        self.until[id] = time.monotonic() + self.seconds
        if id not in self.tasks or self.tasks[id].done():
            self.tasks[id] = asyncio.create_task(self.report(id, delay_seconds))

    async def report(self, id: str, delay_seconds: float) -> None:
        """Writes the entry of a server until it says that it is warm."""
        await asyncio.sleep(delay_seconds)
        while remaining_ms := self.remaining_ms(id):
            await self.write(id)
            await asyncio.sleep(min(ENTRY_SECONDS, remaining_ms / 1000))
        await self.write(id)

    def stop(self) -> None:
        """Ends the reports of all servers."""
        for task in self.tasks.values():
            task.cancel()
