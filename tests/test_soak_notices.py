"""Short soak tests of what servers say in their answers, and their checks."""

import asyncio
import unittest

from soak import invariants
from soak import notices
from soak import records
from soak import runner

LEAVING_SEED = 301
RETRY_AFTER_SEED = 302


def soak(seed: int, fault_name: str) -> runner.Result:
    """Runs the soak test with one kind of fault for a short time."""
    return asyncio.run(
        runner.run(
            seed=seed,
            seconds=8,
            routers=3,
            servers=6,
            mean_interval_seconds=3.0,
            fault_names=[fault_name],
        )
    )


class LeavingSoakTest(unittest.TestCase):
    """Real routers and servers that say in their answers that they leave."""

    def test_requests_reach_a_server_that_says_that_it_leaves(self):
        result = soak(LEAVING_SEED, "leave-by-answers")
        self.assertEqual([], result.violations, result.log)
        self.assertIn("says it leaves", "".join(result.log))


class RetryAfterSoakTest(unittest.TestCase):
    """Real routers and servers that say for how long they want no request."""

    def test_requests_reach_a_server_before_its_retry_after_ends(self):
        result = soak(RETRY_AFTER_SEED, "retry-after")
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(len(result.log), 1)


class NoticeChecksTest(unittest.TestCase):
    """Violations that the checks of notices detect."""

    def setUp(self):
        self.checker = invariants.Checker()

    def send(self, id: str, at: float, **changes: object) -> None:
        """Records a request to r2 that a server answered at once."""
        defaults = {
            "id": id,
            "sent_at": at,
            "ended_at": at,
            "router": "r2",
            "status": 200,
            "body_matches": True,
            "repeatable": True,
            "signature": "a.1",
        }
        self.checker.record_answer(records.Answer(**{**defaults, **changes}))

    def run_at(self, id: str, at: float, born: int = 1) -> None:
        """Records the execution of a request."""
        item = {"id": id, "at": at, "born": born}
        self.checker.record_execution("a", item)

    def note(self, id: str, at: float, **fields: object) -> None:
        """Records that a server said something of itself."""
        defaults = {"leaving": False, "retry_after": 0.0}
        item = {"id": id, "at": at, "born": 1, **defaults, **fields}
        invariants.read_notice(self.checker, "a", item)

    def arrive(self, id: str, at: float) -> None:
        """Records a request to r2 and its arrival."""
        self.send(id, at)
        item = {"id": id, "at": at, "born": 1}
        invariants.read_arrival(self.checker, "a", item)

    def leave(self, sent_after: float, born: int = 1) -> int:
        """Returns the violations by a request after a notice at 10 s."""
        self.send("notice", 10.0)
        self.note("notice", 10.0, leaving=True)
        self.send("late", 10.0 + sent_after)
        self.run_at("late", 10.0 + sent_after, born)
        return len(notices.check_leaving(self.checker))

    def test_a_request_sent_late_after_a_notice_is_seen(self):
        self.assertEqual(1, self.leave(2.1))

    def test_a_request_sent_soon_after_a_notice_is_allowed(self):
        self.assertEqual(0, self.leave(1.9))

    def test_a_request_to_the_next_life_of_a_server_is_allowed(self):
        self.assertEqual(0, self.leave(2.1, born=2))

    def test_a_request_after_the_routers_restart_is_allowed(self):
        self.checker.restarts.append(("r2", 11.0))
        self.assertEqual(0, self.leave(2.1))

    def test_a_request_after_a_freeze_of_the_router_is_allowed(self):
        self.checker.faults.append(
            records.Fault(kind="pause", target="r2", begin=10.5, end=11.0)
        )
        self.assertEqual(0, self.leave(2.1))

    def test_a_fault_elsewhere_excuses_no_late_request(self):
        self.checker.restarts.append(("r3", 11.0))
        for target in ("store", "r3", "store-2"):
            self.checker.faults.append(
                records.Fault(kind="pause", target=target, begin=9.0, end=11.0)
            )
        self.assertEqual(1, self.leave(2.1))

    def test_a_notice_after_a_restart_is_seen(self):
        self.checker.restarts.append(("r2", 9.0))
        self.assertEqual(1, self.leave(2.1))

    def test_a_notice_that_reached_no_caller_binds_no_router(self):
        self.send("notice", 10.0, status=0, signature="")
        self.note("notice", 10.0, leaving=True)
        self.send("late", 13.0)
        self.run_at("late", 13.0)
        self.assertEqual([], notices.check_leaving(self.checker))

    def pause(self, *arrivals: float) -> int:
        """Returns the violations by arrivals after a notice at 10 s."""
        self.send("notice", 10.0)
        self.note("notice", 10.0, retry_after=1.5)
        for number, at in enumerate(arrivals):
            self.arrive(f"request-{number}", at)
        return len(notices.check_retry_after(self.checker))

    def test_three_requests_within_a_retry_after_are_seen(self):
        self.assertEqual(1, self.pause(10.6, 11.0, 11.4))

    def test_requests_around_a_retry_after_are_allowed(self):
        self.assertEqual(0, self.pause(10.4, 10.6, 11.4, 11.6))

    def test_requests_across_a_cut_are_allowed(self):
        self.checker.faults.append(
            records.Fault(kind="back", target="a", begin=9.5, end=10.1)
        )
        self.assertEqual(0, self.pause(10.6, 11.0, 11.4))

    def test_requests_after_the_routers_restart_are_allowed(self):
        self.checker.restarts.append(("r2", 10.3))
        self.assertEqual(0, self.pause(10.6, 11.0, 11.4))

    def test_a_cut_from_the_store_excuses_no_early_request(self):
        self.checker.faults.append(
            records.Fault(kind="back", target="store-2", begin=9.0, end=12.0)
        )
        self.assertEqual(1, self.pause(10.6, 11.0, 11.4))


if __name__ == "__main__":
    unittest.main()
