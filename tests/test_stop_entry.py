"""Runs the tests of `tests.entry_stops`."""

import unittest

from tests import apart


class StopEntryTest(apart.ModuleTestCase):
    """The tests in `tests.entry_stops`."""

    def test_a_stopping_entry_answers_what_it_has_read(self):
        self.run_module("tests.entry_stops", 19)


if __name__ == "__main__":
    unittest.main()
