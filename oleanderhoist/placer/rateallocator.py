"""Divides each contract's limits among the live entries, window by window."""

import asyncio

from oleanderhoist.peers import wire
from oleanderhoist.placer import publisher
from oleanderhoist.policy import ratelimits

TICK_SECONDS = 0.1
FIRST_WINDOWS_SKIPPED = 2


class RateAllocator:
    """Sends every entry its share of the next window.

    Args:
        publisher: The leader's delegations, for the live entries and their
            demands.
    """

    def __init__(self, *, publisher: publisher.Publisher):
        self.publisher = publisher
        self.limits: dict[str, float] = {}
        now = ratelimits.window_index(publisher.clock.wall())
        self.divided = now + FIRST_WINDOWS_SKIPPED

    async def run(self) -> None:
        """Divides until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            window = ratelimits.window_index(self.publisher.clock.wall()) + 1
            if window > self.divided:
                self.divided = window
                self.allocate(window)

    def allocate(self, window: int) -> None:
        """Sends the shares of one window."""
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
