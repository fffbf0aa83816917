"""Follows the contracts, and the evacuations that are read with them."""

import asyncio

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import evacuationnews
from oleanderhoist.node import state
from oleanderhoist.policy import storeeras

FIRST_READ_RETRY_SECONDS = 0.3
# Short, so that a wait whose answer is lost ends well within the time in which
# changes must be applied.
WATCH_SECONDS = 0.6
# Without a change; history from the latest read on must still be there.
READ_INTERVAL_SECONDS = 1.8
RETRY_SECONDS = 0.4  # Between the starts of two calls after a failure.
CHANGE_PAUSE_SECONDS = 0.15  # Combines changes in quick succession.


class ContractWatch:
    """Reads contracts and evacuations and applies them in this router.

    Args:
        platform: The store of the contracts.
        state: Receives the contracts.
        clock: Time source.

    Attributes:
        evacuation_news: Applies the evacuations.
        read_revision: Revision of the store at the latest read. Waits resume
            from it and not from the revision that an earlier wait returned:
            that one may include a change that the wait did not name. It is
            lower than an earlier one after the store came back from a copy.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        state: state.State,
        clock: clock.Clock,
    ):
        self.platform = platform
        self.state = state
        self.clock = clock
        self.evacuation_news = evacuationnews.EvacuationNews(
            state=state, clock=clock
        )
        self.lock = asyncio.Lock()
        self.read_revision = storeeras.Revision()

    async def read(self) -> bool:
        """Reads the contracts; returns whether the store answered."""
        async with self.lock:
            sent_at = self.clock.boottime()
            try:
                result = await self.platform.read_contracts()
            except ports.StoreError:
                return False
        self.read_revision = result.seen_revision
        if result.error is not None:
            self.state.reject_contracts(result.error)
        if result.versioned is not None:
            self.state.adopt_contracts(result.versioned, "store")
        self.evacuation_news.read(result)
        self.confirm(sent_at)
        return True

    def confirm(self, at: float) -> None:
        """Records that all that is read was the newest at a time."""
        self.state.contracts_confirmation.confirm(at)
        self.state.evacuations_confirmation.confirm(at)

    async def read_until(self, named: ports.ContractsName) -> None:
        """Reads until the store answers or named contracts were adopted."""
        while not self.state.has_contracts(named):
            if await self.read():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def follow(self) -> None:
        """Reads the contracts after each change, until cancelled."""
        while self.state.contracts is None:
            await self.read()
            if self.state.contracts is None:
                await asyncio.sleep(FIRST_READ_RETRY_SECONDS)
        while True:
            if not await self.read():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self.wait_until_read_is_due()
            await asyncio.sleep(CHANGE_PAUSE_SECONDS)

    async def wait_until_read_is_due(self) -> None:
        """Waits for a change, or until the latest read is too old."""
        due_at = self.clock.boottime() + READ_INTERVAL_SECONDS
        while self.clock.boottime() < due_at:
            if await self.wait_for_change():
                return

    async def wait_for_change(self) -> bool:
        """Waits for a change; returns whether there may have been one."""
        sent_at = self.clock.boottime()
        try:
            changed = await self.platform.watch_contracts(
                self.read_revision, WATCH_SECONDS
            )
        except ports.StoreError as error:
            self.log_failure(error, sent_at)
            took_seconds = self.clock.boottime() - sent_at
            await asyncio.sleep(max(0.0, RETRY_SECONDS - took_seconds))
            return True
        if not changed:
            # Without a change, the store answered once the wait was over.
            answered_at = min(sent_at + WATCH_SECONDS, self.clock.boottime())
            self.confirm(answered_at)
        return changed

    def log_failure(self, error: ports.StoreError, sent_at: float) -> None:
        """Logs that waiting for a change failed."""
        now = self.clock.boottime()
        log.write_limited(
            events.TERMS_FEED_FAILED,
            reason=str(error),
            took_ms=round((now - sent_at) * 1000),
            age_ms=self.state.contracts_confirmation.age_ms(now),
        )
