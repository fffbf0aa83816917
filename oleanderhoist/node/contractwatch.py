"""Follows the contracts."""

import asyncio

from oleanderhoist import ports
from oleanderhoist.node import state

FIRST_READ_SECONDS = 0.3
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.4
STORM_PAUSE_SECONDS = 0.15


class ContractWatch:
    """Reads contracts, and puts them in force in this process."""

    def __init__(self, *, platform: ports.Platform, state: state.State):
        self.platform = platform
        self.state = state
        self.lock = asyncio.Lock()
        self.seen_revision = 0

    async def read(self) -> bool:
        """Reads the contracts; tells whether the store answered."""
        async with self.lock:
            try:
                read = await self.platform.read_contracts()
            except ports.StoreError:
                return False
        self.seen_revision = max(self.seen_revision, read.seen_revision)
        if read.error is not None:
            self.state.reject_contracts(read.error)
        if read.document is not None:
            self.state.adopt_contracts(read.document, "store")
        return True

    async def reach(self, revision: int) -> None:
        """Reads until contracts of a revision were seen."""
        while self.state.contracts_revision < revision:
            if await self.read():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def follow(self) -> None:
        """Follows all changes, until cancelled."""
        while self.state.contracts is None:
            await self.read()
            if self.state.contracts is None:
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
            watched = await self.platform.watch_contracts(
                self.seen_revision, WATCH_SECONDS
            )
        except ports.StoreError:
            await asyncio.sleep(RETRY_SECONDS)
            return True
        self.seen_revision = max(self.seen_revision, watched.seen_revision)
        return watched.changed
