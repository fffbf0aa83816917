"""A nose2 plugin that records the outcome of every test."""

from nose2 import events
from nose2 import result

OUTCOMES: dict[str, bool] = {}


class Tally(events.Plugin):
    """Records whether each test passed."""

    alwaysOn = True
    configSection = "tally"

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Records one outcome.

        A skipped test and an unexpected pass do not count as passed.
        """
        if event.outcome == result.SUBTEST and event.exc_info is None:
            return
        passed = event.outcome == result.PASS and event.expected
        passed_before = OUTCOMES.get(event.test.id(), True)
        OUTCOMES[event.test.id()] = passed_before and passed
