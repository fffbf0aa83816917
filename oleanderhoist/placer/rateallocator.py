"""Allocates each contract's rate limits to the live entries per window."""

import asyncio

from oleanderhoist.peers import wire
from oleanderhoist.placer import publisher
from oleanderhoist.policy import ratelimits

WINDOW_POLL_SECONDS = 0.1
INITIAL_WINDOWS_SKIPPED = 2


class RateAllocator:
    """Sends every live entry its rate allocation for the next window.

    Args:
        publisher: The leader's publisher, for the live entries and their
            demands.

    Attributes:
        limits: Requests per second by customer and kind of work.
        last_window: Last window that was allocated, or skipped at the start.
    """

    def __init__(self, *, publisher: publisher.Publisher):
        self.publisher = publisher
        self.limits: dict[str, float] = {}
        current_window = ratelimits.window_index(publisher.clock.wall())
        self.last_window = current_window + INITIAL_WINDOWS_SKIPPED

    async def run(self) -> None:
        """Allocates each window before it begins, until cancelled."""
        while True:
            await asyncio.sleep(WINDOW_POLL_SECONDS)
            window = ratelimits.window_index(self.publisher.clock.wall()) + 1
            if window > self.last_window:
                self.last_window = window
                self.allocate(window)

    def allocate(self, window: int) -> None:
        """Sends the allocations for one window."""
        members = self.publisher.membership.members
        rates: dict[str, dict[str, float]] = {id: {} for id in members}
        for name, limit in self.limits.items():
            demands = {
                id: member.status.demands.get(name, 0.0)
                if member.status
                else 0.0
                for id, member in members.items()
            }
            for id, rate in ratelimits.allocate(limit, demands).items():
                rates[id][name] = rate
        for id, member in members.items():
            message = wire.RateAllocation(
                epoch=self.publisher.epoch, window=window, rates=rates[id]
            )
            self.publisher.transport.send(member.entry.address, message)
