"""Maintains a process's own record in the table, for discovery by others."""

import asyncio

from oleanderhoist.clients import table

ENTRIES_PREFIX = "members/entry/"
PLACERS_PREFIX = "members/placer/"
CHECK_INTERVAL_SECONDS = 5.0


class Registration:
    """Maintains one process's record.

    Args:
        table: The table client.
        key: Key of the record.
    """

    def __init__(self, *, table: table.TableClient, key: str):
        self.table = table
        self.key = key
        self.leaving = False

    async def keep(self, value: dict) -> None:
        """Writes the record when it is missing or outdated, until leaving."""
        while not self.leaving:
            try:
                await self.write(value)
            except table.TableError:
                pass
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def write(self, value: dict) -> None:
        """Writes the record unless it is up to date.

        Raises:
            TableError: The table did not answer.
        """
        found = await self.table.get(self.key)
        if found is None:
            await self.table.put(self.key, value, expected=None)
        elif not value.items() <= found.value.items():
            await self.table.put(self.key, value, expected=found.version)

    async def remove(self) -> None:
        """Deletes the record if the table answers, and stops maintaining it."""
        self.leaving = True
        try:
            found = await self.table.get(self.key)
            if found is not None:
                await self.table.delete(self.key, expected=found.version)
        except table.TableError:
            pass
