"""Key maps, and the moves that balance their load."""

import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist.policy import balance
from oleanderhoist.policy import keys

OWNERS = strategies.sampled_from(["", "a", "b", "c"])
KEYS = strategies.integers(0, keys.KEY_COUNT - 1)


class KeyMapTest(unittest.TestCase):
    """Ranges are split and merged without gaps."""

    @hypothesis.given(
        strategies.lists(strategies.tuples(KEYS, KEYS, OWNERS), max_size=12),
        strategies.lists(KEYS, max_size=8),
    )
    def test_assignments_cover_all_keys_and_the_last_one_counts(
        self, changes, probes
    ):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 2.0)])
        expected = {key: key_map.find(key).owner for key in probes}
        for one, other, owner in changes:
            start, end = min(one, other), max(one, other)
            key_map = key_map.assign(start, end, owner)
            for key in probes:
                if start <= key <= end:
                    expected[key] = owner
        self.assertEqual(0, key_map.ranges[0].start)
        self.assertEqual(keys.KEY_COUNT - 1, key_map.ranges[-1].end)
        for left, right in zip(
            key_map.ranges, key_map.ranges[1:], strict=False
        ):
            self.assertEqual(left.end + 1, right.start)
        for key in probes:
            self.assertEqual(expected[key], key_map.find(key).owner)


class BalanceTest(unittest.TestCase):
    """Moves even out load within a few rounds."""

    def test_a_hot_neighbourhood_is_spread(self):
        names = [f"s{n}" for n in range(15)]
        key_map = keys.divide_by_weight([(name, 1.0) for name in names])
        rates = {30_000 + n: 1.0 for n in range(200)}
        rates |= {n * 65: 0.2 for n in range(1000)}
        capacities = dict.fromkeys(names, 50.0)
        for _ in range(12):
            for move in balance.plan(key_map, rates, capacities):
                key_map = key_map.assign(move.start, move.end, move.target)
        highest = max(balance.loads(key_map, rates).values())
        self.assertLess(highest / 50.0, 0.75)

    def test_a_calm_pool_is_left_alone(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        rates = {10: 5.0, 60_000: 1.0}
        moves = balance.plan(key_map, rates, {"a": 50.0, "b": 50.0})
        self.assertEqual([], moves)

    def test_a_new_server_gets_keys_even_in_calm(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        capacities = {"a": 50.0, "b": 50.0, "new": 50.0}
        moves = balance.plan(key_map, {10: 5.0}, capacities)
        self.assertEqual(["new"], [move.target for move in moves])


if __name__ == "__main__":
    unittest.main()
