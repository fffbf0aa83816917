"""What is left of an objective when a caller comes back."""

import dataclasses
import unittest

from oleanderhoist.policy import objectives
from tests import test_forwarder

OBJECTIVE_SECONDS = 0.5
WAIT_SECONDS = 4.0  # Of callers, at their first attempt.


class ObjectiveTest(unittest.TestCase):
    """The objective counts from the first attempt of a caller."""

    def test_a_caller_that_came_back_has_its_whole_objective(self):
        work = dataclasses.replace(
            test_forwarder.job(arrived=0.0, objective=1.0).work,
            objective=OBJECTIVE_SECONDS,
        )
        tracker = objectives.ObjectiveTracker()
        first = tracker.remaining(work, WAIT_SECONDS)
        again = tracker.remaining(work, WAIT_SECONDS - 0.3)
        self.assertLessEqual(first, OBJECTIVE_SECONDS)
        self.assertGreater(first, OBJECTIVE_SECONDS - 0.1)
        self.assertAlmostEqual(first - 0.3, again)
        self.assertEqual(first, tracker.remaining(work, None))


if __name__ == "__main__":
    unittest.main()
