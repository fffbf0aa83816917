"""An error while a placer's leader loads its state ends no leadership."""

import asyncio
import types
import unittest

from oleanderhoist import program
from oleanderhoist.placer import leader

LOADED_SECONDS = 2 * program.TASK_RESTART_SECONDS


class LoadingLeader(leader.Leader):
    """A leader whose table first has a record that can't be used."""

    def __init__(self):
        self.loaded = False
        self.tasks = []
        self.load_count = 0
        self.rate_allocator = types.SimpleNamespace(run=self.idle)
        self.delegate_loop = self.reconcile_loop = self.idle
        self.inventory_loop = self.idle

    async def idle(self) -> None:
        """Does nothing."""

    async def load(self) -> None:
        """Fails once.

        Raises:
            KeyError: A record lacks a field.
        """
        self.load_count += 1
        if self.load_count == 1:
            raise KeyError("incarnation")
        self.loaded = True


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """The leader goes on loading."""

    async def test_a_record_that_cannot_be_used_leaves_an_idle_leader(self):
        leading = LoadingLeader()
        leading.start()
        await asyncio.sleep(LOADED_SECONDS)
        leading.stop()
        self.assertTrue(leading.loaded)

    async def test_a_leader_that_stops_goes_on_loading(self):
        leading = LoadingLeader()
        leading.start()
        await asyncio.sleep(0.0)
        leading.stop()
        await asyncio.sleep(LOADED_SECONDS)
        self.assertEqual(1, leading.load_count)
        self.assertFalse(leading.loaded)


if __name__ == "__main__":
    unittest.main()
