"""Runs the tests of a module in a process of its own.

The entry, the placer and the router are separate programs that register metrics
of the same names, so one process cannot import all.
"""

import re
import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 90.0


class ModuleTestCase(unittest.TestCase):
    """A test that consists of the tests of other modules."""

    def run_module(self, name: str, count: int) -> None:
        """Runs the tests of a module and expects that all pass.

        Args:
            name: Name of the module.
            count: Number of its tests.
        """
        result = subprocess.run(
            [sys.executable, "-m", "unittest", name],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_SECONDS,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        ran = re.compile(rf"^Ran {count} tests", re.M)
        self.assertRegex(result.stderr, ran)
