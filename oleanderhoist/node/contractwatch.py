"""Follows the contracts."""

import asyncio

from oleanderhoist import ports
from oleanderhoist.node import state

FIRST_READ_SECONDS = 0.3
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.4
STORM_PAUSE_SECONDS = 0.15


class TermsWatch:
    """Reads contracts, and puts them in force in this process."""

    def __init__(self, *, platform: ports.Platform, state: state.State):
        self.platform = platform
        self.state = state
        self.lock = asyncio.Lock()
        self.seen = 0

    async def read(self) -> bool:
        """Reads the contracts; tells whether the store answered."""
        async with self.lock:
            try:
                read = await self.platform.read_terms()
            except ports.StoreError:
                return False
        self.seen = max(self.seen, read.seen)
        if read.problem is not None:
            self.state.refuse_terms(read.problem)
        if read.document is not None:
            self.state.adopt_terms(read.document, "store")
        return True

    async def reach(self, revision: int) -> None:
        """Reads until contracts of a revision were seen."""
        while self.state.terms_revision < revision:
            if await self.read():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def follow(self) -> None:
        """Follows all changes, until cancelled."""
        while self.state.terms is None:
            await self.read()
            if self.state.terms is None:
                await asyncio.sleep(FIRST_READ_SECONDS)
        while True:
            if not await self.read():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            while not await self.changed():
                continue
            await asyncio.sleep(STORM_PAUSE_SECONDS)

    async def changed(self) -> bool:
        """Waits for a change; True when there may be one."""
        try:
            watched = await self.platform.watch_terms(self.seen, WATCH_SECONDS)
        except ports.StoreError:
            await asyncio.sleep(RETRY_SECONDS)
            return True
        self.seen = max(self.seen, watched.seen)
        return watched.changed
