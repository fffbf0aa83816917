"""Runs the tests of entries."""

import unittest

from tests import apart


class EntryTest(apart.ModuleTestCase):
    """The tests in the modules `tests.entry_*`."""

    def test_tries_are_told_truthfully(self):
        self.run_module("tests.entry_tries", 5)

    def test_no_promise_follows_a_try_that_may_have_run(self):
        self.run_module("tests.entry_promises", 2)

    def test_an_earlier_refusal_is_not_taken_for_a_later_one(self):
        self.run_module("tests.entry_answers", 5)

    def test_garbage_or_an_earlier_answer_is_not_taken_for_a_leases(self):
        self.run_module("tests.entry_leases", 2)


if __name__ == "__main__":
    unittest.main()
