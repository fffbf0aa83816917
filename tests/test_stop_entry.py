"""Runs the tests of `tests.entry_stops` in a separate process.

The entry and the router are separate programs that register metrics of the
same names, so one process cannot import both.
"""

import re
import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 90.0


class StopEntryTest(unittest.TestCase):
    """The tests in `tests.entry_stops`."""

    def test_a_stopping_entry_answers_what_it_has_read(self):
        result = subprocess.run(
            [sys.executable, "-m", "unittest", "tests.entry_stops"],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_SECONDS,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertRegex(result.stderr, re.compile(r"^Ran 19 tests", re.M))


if __name__ == "__main__":
    unittest.main()
