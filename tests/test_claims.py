"""Claims while the table is unavailable."""

import asyncio
import unittest

from oleanderhoist import clock
from oleanderhoist.clients import table
from oleanderhoist.entry import claims


class FlakyTable:
    """A table whose first delete fails."""

    def __init__(self):
        self.available = asyncio.Event()
        self.deleted: list[str] = []

    async def delete(self, key: str, *, expected: int) -> None:
        """Deletes a record; the first call fails."""
        if not self.available.is_set():
            self.available.set()
            raise table.TableError("down")
        self.deleted.append(key)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """A caller does not wait for the table to recover."""

    async def test_abandon_goes_on_in_the_background(self):
        flaky = FlakyTable()
        tested = claims.Claims(table=flaky, clock=clock.Clock())
        claim = claims.Acquired(key="k", version=1, value={})
        await tested.abandon(claim)
        self.assertEqual([], flaky.deleted)
        await asyncio.gather(*tested.cleanup_tasks)
        self.assertEqual(["k"], flaky.deleted)
