"""Reloads of the settings, on SIGHUP and on a changed file."""

import asyncio
import importlib
import signal
import subprocess
import sys
import types
import unittest
from unittest import mock

from oleanderhoist.cli import router
from oleanderhoist.node import core

IMPORT_CHECK = """
import sys, {module}
packages = ["asyncio", "click", "pydantic", "eliot", "zmq", "statistics"]
print(*[name for name in packages if name in sys.modules])
"""


class StartTest(unittest.TestCase):
    """A reload signal that arrives while the router starts."""

    def test_reloads_are_ignored_before_the_imports(self):
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        handlers = []

        def main() -> None:
            handlers.append(signal.getsignal(signal.SIGHUP))

        stub = types.SimpleNamespace(main=main)
        with mock.patch.object(importlib, "import_module", lambda name: stub):
            router.main()
        self.assertEqual([signal.SIG_IGN], handlers)

    def imported(self, module: str) -> list[str]:
        """Returns which of some packages a module imports."""
        result = subprocess.run(
            [sys.executable, "-c", IMPORT_CHECK.format(module=module)],
            capture_output=True,
            text=True,
            check=True,
        )
        return result.stdout.split()

    def test_nothing_large_is_imported_before(self):
        self.assertEqual([], self.imported("oleanderhoist.cli.router"))

    def test_a_router_imports_only_what_it_needs(self):
        imported = self.imported("oleanderhoist.cli.routercommand")
        self.assertEqual(["asyncio"], imported)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """Settings that change without a signal."""

    async def test_changed_settings_are_read_once(self):
        stamps = iter([1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2])
        reads = []
        node = core.Node.__new__(core.Node)
        node.source = core.SettingsSource(
            read=lambda: None, stamp=lambda: next(stamps), seen_stamp=1
        )

        def reload() -> None:
            reads.append(1)
            node.source.seen_stamp = node.source.stamp()

        node.reload = reload
        with mock.patch.object(core, "SETTINGS_POLL_SECONDS", 0.001):
            task = asyncio.create_task(node.watch_settings())
            while next(stamps) != 2 or not reads:
                await asyncio.sleep(0.001)
            task.cancel()
        self.assertEqual([1], reads)


if __name__ == "__main__":
    unittest.main()
