"""Runs the checks of an entry's tries in a process of their own.

Entry and router register metrics of the same names, as each is a program of
its own, so one process cannot import both.
"""

import subprocess
import sys
import unittest


class EntryTest(unittest.TestCase):
    """The checks in `tests.entry_tries`."""

    def test_tries_are_told_truthfully(self):
        found = subprocess.run(
            [sys.executable, "-m", "unittest", "tests.entry_tries"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, found.returncode, found.stderr)
        self.assertIn("Ran 3 tests", found.stderr)


if __name__ == "__main__":
    unittest.main()
