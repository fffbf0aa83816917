"""Key maps, and the moves that balance their load."""

import unittest

import hypothesis
from hypothesis import strategies

from bench import keymoves
from oleanderhoist.policy import balance
from oleanderhoist.policy import eventrate
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keys

BATCH_SECONDS = 0.4
REPLAYS = 4
SERVERS = 128  # Of the pattern with hot places.
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


def counter(rates: dict[int, int], seconds: float = 4.0) -> keyload.KeyCounter:
    """Returns a counter of a steady load, in requests per second by key."""
    key_counter = keyload.KeyCounter()
    key_counter.advance(0.0)
    for step in range(1, round(seconds / BATCH_SECONDS) + 1):
        for key, rate in rates.items():
            key_counter.add([key] * round(rate * BATCH_SECONDS))
        key_counter.advance(step * BATCH_SECONDS)
    return key_counter


def planner(
    key_map: keys.KeyMap,
    rates: dict[int, int],
    capacities: dict[str, float],
    held: tuple[keys.Range, ...] = (),
    measured: frozenset[str] | None = None,
) -> balance.Planner:
    """Returns a planner for a steady load."""
    return balance.Planner(
        key_map=key_map,
        counts=counter(rates).counts(),
        capacities=capacities,
        held=list(held),
        measured=frozenset(capacities) if measured is None else measured,
    )


class ReplayTest(unittest.TestCase):
    """Replays of loads; the bounds failed when pairs were evened out."""

    def replay(self, name: str) -> list[keymoves.Result]:
        """Returns the results of some replays of a load."""
        return [
            keymoves.Replay(pattern=keymoves.named(name), seed=seed).run()
            for seed in range(REPLAYS)
        ]

    def test_chance_alone_moves_few_keys(self):
        results = self.replay("calm")
        moves = sum(result.moves for result in results) / REPLAYS
        moved = sum(result.moved_keys for result in results) / REPLAYS
        self.assertLess(moves, 30)
        self.assertLess(moved, 0.1)

    def test_a_hot_run_is_spread_within_seconds(self):
        results = self.replay("hot-run")
        requests = sum(result.requests for result in results)
        excess = sum(result.excess for result in results)
        self.assertLess(excess / requests, 0.08)
        moved = sum(result.moved_keys for result in results) / REPLAYS
        self.assertLess(moved, 0.2)

    def test_hot_places_leave_few_ranges(self):
        for result in self.replay("hot-places"):
            self.assertLess(
                result.most_ranges, SERVERS * (balance.MAX_RANGES + 1)
            )
            self.assertLess(result.excess / result.requests, 0.1)

    def test_a_hot_key_gets_the_fastest_server(self):
        results = self.replay("hot-key")
        excess = sum(result.excess for result in results)
        unavoidable = sum(result.unavoidable for result in results)
        self.assertLess(excess, 1.02 * unavoidable)


class BalanceTest(unittest.TestCase):
    """Single plans."""

    def test_a_calm_pool_is_left_alone(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        rates = {10: 5, 60_000: 5}
        plan = planner(key_map, rates, {"a": 50.0, "b": 50.0}).plan()
        self.assertEqual([], plan)

    def test_a_new_server_gets_keys_even_in_calm(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        capacities = {"a": 50.0, "b": 50.0, "new": 50.0}
        plan = planner(key_map, {10: 5, 20: 5}, capacities).plan()
        self.assertEqual(["new"], [move.target for move in plan])

    def test_hot_keys_leave_and_the_cold_keys_beside_them_stay(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        rates = {key: 5 for key in range(100, 120)} | {5: 3, 30_000: 3}
        capacities = {"a": 50.0, "b": 50.0}
        for move in planner(key_map, rates, capacities).plan():
            self.assertGreaterEqual(move.start, 100)
            self.assertLess(move.end, 120)
            self.assertEqual("b", move.target)

    def test_nothing_moves_to_a_server_that_nobody_has_measured(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0), ("c", 1.0)])
        rates = {key: 5 for key in range(100, 120)}
        capacities = {"a": 50.0, "b": 50.0, "c": 50.0}
        moves = planner(
            key_map, rates, capacities, measured=frozenset("ac")
        ).plan()
        self.assertEqual({"c"}, {move.target for move in moves})

    def test_keys_that_are_held_stay(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        rates = {key: 5 for key in range(100, 120)}
        held = (keys.Range(start=0, end=109),)
        moves = planner(
            key_map, rates, {"a": 50.0, "b": 50.0}, held=held
        ).plan()
        self.assertTrue(moves)
        self.assertTrue(all(move.start >= 110 for move in moves))

    def test_ranges_without_load_join_their_neighbours(self):
        key_map = keys.divide_by_weight([("a", 1.0), ("b", 1.0)])
        for start in range(100, 2000, 200):
            key_map = key_map.assign(start, start + 9, "b")
        capacities = {"a": 50.0, "b": 50.0}
        before = len(key_map.ranges)
        for move in planner(key_map, {5: 3}, capacities).plan():
            key_map = key_map.assign(move.start, move.end, move.target)
        self.assertLess(len(key_map.ranges), before - 8)

    def test_a_lost_owners_range_is_divided_by_load(self):
        names = [f"s{n}" for n in range(9)]
        key_map = keys.divide_by_weight([(name, 1.0) for name in names])
        lost = key_map.ranges[0]
        rates = {key: 5 for key in range(0, 7000, 400)}
        capacities = dict.fromkeys(names[1:], 30.0)
        moves = planner(key_map, rates, capacities).place(lost)
        self.assertGreater(len({move.target for move in moves}), 2)
        self.assertEqual(lost.start, moves[0].start)
        self.assertEqual(lost.end, moves[-1].end)
        for left, right in zip(moves, moves[1:], strict=False):
            self.assertEqual(left.end + 1, right.start)


class RateTest(unittest.TestCase):
    """Estimates say how many events they rest on."""

    def test_bounds_close_in_with_more_events(self):
        few = eventrate.Rate(events=8, seconds=0.8)
        many = eventrate.Rate(events=800, seconds=80)
        self.assertLess(few.low, many.low)
        self.assertLess(many.low, 10)
        self.assertLess(10, many.high)
        self.assertLess(many.high, few.high)
        self.assertEqual(0.0, eventrate.Rate(events=0, seconds=1).low)

    def test_chance_changes_no_rate_and_a_burst_does(self):
        lengths = [0.4] * 10
        steady = [5, 3, 4, 6, 2, 4, 5, 3, 4, 4]
        self.assertEqual(10, eventrate.steady_count(steady, lengths, 0.7))
        burst = [14, 16, 15, *steady[3:]]
        self.assertEqual(3, eventrate.steady_count(burst, lengths, 0.7))

    def test_older_events_count_less(self):
        decaying = eventrate.DecayingRate(window=0.5)
        for step in range(100):
            decaying.count(step * 0.05)
        self.assertAlmostEqual(20, decaying.rate(4.95).value, delta=1.5)
        self.assertLess(decaying.rate(7.0).high, 5)


if __name__ == "__main__":
    unittest.main()
