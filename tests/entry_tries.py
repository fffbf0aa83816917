"""Tries of one call at an entry."""

import asyncio
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import sending
from oleanderhoist.policy import retry

LOST = outcomes.Unknown(code=codes.BAD_ANSWER)
REFUSED = outcomes.NotRun(code=codes.OVERLOADED)


class TriesTest(unittest.TestCase):
    """What is told of a call that was tried more than once."""

    def serve(self, *results: object) -> outcomes.Outcome:
        """Returns what is told when tries end so, one after the other."""
        made = forwarder.Forwarder.__new__(forwarder.Forwarder)
        remaining = list(results)

        async def target(one: object) -> object:
            return types.SimpleNamespace(
                server=types.SimpleNamespace(id="s"), partition=""
            )

        async def attempt(one: object, target: object) -> object:
            return remaining.pop(0)

        made.budget = types.SimpleNamespace(earn=lambda: None)
        made.target, made.attempt = target, attempt
        made.again = lambda one, result, tries: bool(remaining)
        call = types.SimpleNamespace(id="c", work=types.SimpleNamespace(rank=0))
        return asyncio.run(made.serve(call))

    def failed(self, outcome: outcomes.Outcome) -> sending.Failed:
        """Returns a try that may be followed by another."""
        return sending.Failed(
            failure=retry.Failure.OUTCOME_UNKNOWN, outcome=outcome
        )

    def test_a_refusal_after_a_lost_try_is_no_promise(self):
        self.assertEqual(LOST, self.serve(self.failed(LOST), REFUSED))

    def test_a_failed_last_try_does_not_hide_a_lost_one(self):
        found = self.serve(self.failed(LOST), self.failed(REFUSED))
        self.assertEqual(LOST, found)

    def test_a_refusal_alone_is_one(self):
        self.assertEqual(REFUSED, self.serve(self.failed(REFUSED), REFUSED))


if __name__ == "__main__":
    unittest.main()
