"""A nose2 plugin that notes the outcome of every test."""

from nose2 import events
from nose2 import result

OUTCOMES: dict[str, bool] = {}


class Tally(events.Plugin):
    """Notes whether each test passed."""

    alwaysOn = True
    configSection = "tally"

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Notes one outcome; a skip or an unexpected pass is no pass."""
        if event.outcome == result.SUBTEST and event.exc_info is None:
            return
        passed = event.outcome == result.PASS and event.expected
        before = OUTCOMES.get(event.test.id(), True)
        OUTCOMES[event.test.id()] = before and passed
