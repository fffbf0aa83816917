"""Runs the tests of placers."""

import unittest

from tests import apart


class PlacerTest(apart.ModuleTestCase):
    """The tests in the modules `tests.placer_*`."""

    def test_an_error_while_loading_leaves_no_idle_leader(self):
        self.run_module("tests.placer_errors", 2)


if __name__ == "__main__":
    unittest.main()
