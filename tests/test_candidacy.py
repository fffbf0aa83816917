"""Which processes try to replace a lost leader, and in which order."""

import unittest

from oleanderhoist.policy import candidacy

STRONG = {f"strong-{number}": 2.15 for number in range(6)}
WEAK = {f"weak-{number}": 0.2 for number in range(100)}


class CandidacyTest(unittest.TestCase):
    """Order and delays of the candidates."""

    def test_no_weak_process_goes_before_a_strong_one(self):
        members = STRONG | WEAK
        for epoch in range(50):
            last = max(
                candidacy.candidate_position(m, members, epoch) for m in STRONG
            )
            first = min(
                candidacy.candidate_position(m, members, epoch) for m in WEAK
            )
            self.assertLess(last, first)

    def test_equals_take_turns(self):
        firsts = {
            min(
                STRONG,
                key=lambda m: candidacy.candidate_position(m, STRONG, epoch),
            )
            for epoch in range(100)
        }
        self.assertEqual(set(STRONG), firsts)

    def test_all_but_a_few_wait_long(self):
        members = STRONG | WEAK
        delays = [
            candidacy.election_delay(m, weight, members, 7)
            for m, weight in members.items()
        ]
        early = [d for d in delays if d < candidacy.LATE_CANDIDATE_SECONDS]
        self.assertEqual(candidacy.CANDIDATES, len(early))
        self.assertLessEqual(max(delays), 5.0)


if __name__ == "__main__":
    unittest.main()
