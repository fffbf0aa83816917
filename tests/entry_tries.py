"""Outcome of a call that an entry attempts several times."""

import asyncio
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import outcomes
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import sending
from oleanderhoist.entry import slotclient
from oleanderhoist.http import exchanges
from oleanderhoist.policy import retry

UNKNOWN = outcomes.Unknown(code=codes.BAD_ANSWER)
NOT_RUN = outcomes.NotRun(code=codes.OVERLOADED)


class TriesTest(unittest.TestCase):
    """A call that may have run is never reported as not run."""

    def forward(self, *results: object) -> outcomes.Outcome:
        """Returns the outcome of a call whose attempts end with `results`."""
        tested = forwarder.Forwarder.__new__(forwarder.Forwarder)
        tested.slots_due = deadline.SharedDeadline()
        remaining = list(results)

        async def select_target(call: object) -> object:
            return types.SimpleNamespace(
                server=types.SimpleNamespace(id="s"), partition=""
            )

        async def attempt(call: object, target: object) -> object:
            return remaining.pop(0)

        tested.retry_budget = types.SimpleNamespace(earn=lambda: None)
        tested.select_target, tested.attempt = select_target, attempt
        tested.should_retry = lambda call, result, attempts: bool(remaining)
        call = types.SimpleNamespace(id="c", work=types.SimpleNamespace(rank=0))
        return asyncio.run(tested.forward(call))

    def failed(self, outcome: outcomes.Outcome) -> sending.FailedAttempt:
        """Returns a failed attempt that may be retried."""
        return sending.FailedAttempt(
            failure=retry.Failure.OUTCOME_UNKNOWN, outcome=outcome
        )

    def test_a_refusal_after_a_lost_try_is_no_promise(self):
        self.assertEqual(UNKNOWN, self.forward(self.failed(UNKNOWN), NOT_RUN))

    def test_a_failed_last_try_does_not_hide_a_lost_one(self):
        outcome = self.forward(self.failed(UNKNOWN), self.failed(NOT_RUN))
        self.assertEqual(UNKNOWN, outcome)

    def test_a_refusal_alone_is_one(self):
        self.assertEqual(NOT_RUN, self.forward(self.failed(NOT_RUN), NOT_RUN))

    def test_garbage_leaves_the_server_unjudged(self):
        sender = sending.Sender(
            clock=types.SimpleNamespace(monotonic=lambda: 0.0), slot_client=None
        )
        error = exchanges.ExchangeError(
            "not an answer", maybe_sent=True, response_started=True
        )
        target = types.SimpleNamespace(server=types.SimpleNamespace(id="s"))
        call = types.SimpleNamespace(body_error=None)
        result = sender.interpret_failure(call, target, error)
        self.assertEqual(codes.BAD_ANSWER, result.outcome.code)
        self.assertTrue(sender.is_suspected("s"))

    # Guards against a grant for an ended entry that its successor takes.
    def test_processes_of_one_entry_share_no_slot_request_id(self):
        first, second = (
            slotclient.SlotClient(
                own_id="e",
                snapshot_store=None,
                transport=None,
                clock=None,
                policy="early-urgent",
            )
            for _ in range(2)
        )
        self.assertNotEqual(first.request_ids.next(), second.request_ids.next())


if __name__ == "__main__":
    unittest.main()
