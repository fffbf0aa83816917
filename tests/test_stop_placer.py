"""Runs the tests of `tests.placer_stops`."""

import unittest

from tests import apart


class StopPlacerTest(apart.ModuleTestCase):
    """The tests in `tests.placer_stops`."""

    def test_a_stopping_placer_answers_what_it_has_read(self):
        self.run_module("tests.placer_stops", 15)


if __name__ == "__main__":
    unittest.main()
