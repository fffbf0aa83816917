"""Short soak tests of the real programs with fixed seeds, and their checks."""

import asyncio
import unittest

from soak import faults
from soak import invariants
from soak import runner

PLANNED = ["drain-server", "stop-router", "reload-router", "change-contracts"]

# Seeds that failed, and why:
# 2, 210: a frozen server with grants in its buffer counted as a second owner.
# 13 (planned): a reload signal killed a router that had not started up yet.
# 2, 3, 4 (planned): a stop cut off a request on a newly accepted connection.
SEED = 2


class SoakTest(unittest.TestCase):
    """Real routers under random faults."""

    def soak(
        self, fault_names: list[str], mean_interval_seconds: float
    ) -> runner.Result:
        """Runs the soak test for a short time."""
        return asyncio.run(
            runner.run(
                seed=SEED,
                seconds=12,
                routers=3,
                servers=6,
                mean_interval_seconds=mean_interval_seconds,
                fault_names=fault_names,
            )
        )

    def test_promises_are_kept_under_any_faults(self):
        result = self.soak(faults.FAULTS.names(), 1.5)
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.requests, 500)

    def test_planned_work_is_seen_by_nobody(self):
        result = self.soak(PLANNED, 1.0)
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.served_share, 0.95)


class PromisesTest(unittest.TestCase):
    """Violations that the checker detects."""

    def setUp(self):
        self.checker = invariants.Checker()

    def record_lease(
        self, server: str, at: float, until: float, fence: int
    ) -> None:
        """Records a lease of one key."""
        item = {"at": at, "until": until, "keys": [0], "fence": fence}
        self.checker.record_lease(server, 0, item)

    def record_answer(self, **changes: object) -> None:
        """Records an answer."""
        defaults = {
            "id": "a",
            "sent_at": 1.0,
            "ended_at": 1.1,
            "router": "r2",
            "status": 200,
            "body_matches": True,
            "repeatable": False,
        }
        self.checker.record_answer(invariants.Answer(**{**defaults, **changes}))

    def test_two_owners_are_seen(self):
        self.record_lease("a", 1.0, 3.0, 1)
        self.record_lease("b", 2.0, 4.0, 2)
        self.assertEqual(1, len(self.checker.violations))

    def test_a_handover_is_no_second_owner(self):
        self.record_lease("a", 1.0, 3.0, 1)
        self.record_lease("a", 2.0, 2.0, 2)
        self.record_lease("b", 2.1, 4.0, 3)
        self.assertEqual([], self.checker.violations)

    def test_a_second_run_is_seen(self):
        self.checker.record_execution("a", {"id": "a", "at": 1.0})
        self.checker.record_execution("b", {"id": "a", "at": 1.2})
        self.record_answer()
        self.assertEqual(1, len(self.checker.finish()))

    def test_an_untrue_not_run_is_seen(self):
        self.checker.record_execution("a", {"id": "a", "at": 1.0})
        self.record_answer(status=503)
        self.assertEqual(1, len(self.checker.finish()))

    def test_a_foreign_body_is_seen(self):
        self.record_answer(body_matches=False)
        self.assertEqual(1, len(self.checker.violations))

    def test_work_after_a_drain_is_seen_in_calm_only(self):
        self.checker.drained["a"] = 10.0
        self.checker.record_execution("a", {"id": "a", "at": 12.5})
        self.checker.faults.append((8.0, 9.0, "x"))
        self.checker.record_execution("a", {"id": "b", "at": 12.5})
        self.assertEqual(1, len(self.checker.violations))

    def test_a_request_lost_in_a_stop_is_seen(self):
        self.checker.record_execution("a", {"id": "a", "at": 1.0})
        self.checker.stops.append(("r2", 1.05))
        self.record_answer(status=0)
        self.assertEqual(1, len(self.checker.finish()))

    def test_old_contracts_are_seen(self):
        self.checker.contract_changes[8] = 1.0
        self.record_answer(
            status=404, probe_version=8, sent_at=3.5, repeatable=True
        )
        self.assertEqual(1, len(self.checker.violations))


if __name__ == "__main__":
    unittest.main()
