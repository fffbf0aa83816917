"""Runs the tests of `tests.placer_stops` in a separate process.

The placer, the entry and the router are separate programs that may register
metrics of the same names, so one process cannot import all.
"""

import re
import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 90.0


class StopPlacerTest(unittest.TestCase):
    """The tests in `tests.placer_stops`."""

    def test_a_stopping_placer_answers_what_it_has_read(self):
        result = subprocess.run(
            [sys.executable, "-m", "unittest", "tests.placer_stops"],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_SECONDS,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertRegex(result.stderr, re.compile(r"^Ran 15 tests", re.M))


if __name__ == "__main__":
    unittest.main()
