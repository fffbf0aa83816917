"""Claims while the table is down."""

import asyncio
import unittest

from oleanderhoist import clock
from oleanderhoist.clients import table
from oleanderhoist.entry import claims


class DownTable:
    """A table that refuses until told to answer."""

    def __init__(self):
        self.up = asyncio.Event()
        self.deleted: list[str] = []

    async def delete(self, key: str, *, expected: int) -> None:
        """Deletes a record, or fails while the table is down."""
        if not self.up.is_set():
            self.up.set()
            raise table.TableError("down")
        self.deleted.append(key)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """A caller never waits for the table to come back."""

    async def test_abandon_goes_on_in_the_background(self):
        down = DownTable()
        held = claims.Claims(table=down, clock=clock.Clock())
        fresh = claims.Fresh(key="k", version=1, value={})
        await held.abandon(fresh)
        self.assertEqual([], down.deleted)
        await asyncio.gather(*held.cleanups)
        self.assertEqual(["k"], down.deleted)
