"""Runs the tests of entries in separate processes.

The entry and the router are separate programs that register metrics of the
same names, so one process cannot import both.
"""

import subprocess
import sys
import unittest


class EntryTest(unittest.TestCase):
    """The tests in the modules `tests.entry_*`."""

    def run_module(self, name: str, count: int) -> None:
        """Runs the tests of a module and expects that all pass."""
        result = subprocess.run(
            [sys.executable, "-m", "unittest", name],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn(f"Ran {count} tests", result.stderr)

    def test_tries_are_told_truthfully(self):
        self.run_module("tests.entry_tries", 4)

    def test_an_earlier_refusal_is_not_taken_for_a_later_one(self):
        self.run_module("tests.entry_answers", 4)

    def test_garbage_or_an_earlier_answer_is_not_taken_for_a_leases(self):
        self.run_module("tests.entry_leases", 2)


if __name__ == "__main__":
    unittest.main()
