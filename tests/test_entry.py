"""Runs the tests of `tests.entry_tries` in a separate process.

The entry and the router are separate programs that register metrics of the
same names, so one process cannot import both.
"""

import subprocess
import sys
import unittest


class EntryTest(unittest.TestCase):
    """The tests in `tests.entry_tries`."""

    def test_tries_are_told_truthfully(self):
        result = subprocess.run(
            [sys.executable, "-m", "unittest", "tests.entry_tries"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn("Ran 4 tests", result.stderr)


if __name__ == "__main__":
    unittest.main()
