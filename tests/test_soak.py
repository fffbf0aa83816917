"""Short soak tests of the real programs with fixed seeds, and their checks."""

import asyncio
import json
import os
import pathlib
import sys
import time
import types
import unittest
from unittest import mock

from soak import callers
from soak import exits
from soak import faults
from soak import injector
from soak import invariants
from soak import processfaults
from soak import records
from soak import runner

PLANNED = ["drain-server", "stop-router", "reload-router", "change-contracts"]

# Seeds that failed, and why:
# 2, 210: a frozen server with grants in its buffer counted as a second owner.
# 13 (planned): a reload signal killed a router that had not started up yet.
# 2, 3, 4 (planned): a stop cut off a request on a newly accepted connection.
# 432 (long): the check judged a request by its router's stop before the last.
# 3515 (long): a stall over the end of a stop left a due response unwritten, and
# cancelled the task that an answer had arrived for, before it read the answer.
# 4700, 6102 (long): a stop took over 7 s, since routers freed their objects
# before they ended; 2503, 2505, 3510: probably the same.
# 3514, 6104 (long): the same on a machine that starves processes (open).
# 6104 (long): two faults stopped and started the same router.
# 6103 (long): the check of recovery asks for more than the load allows (open).
# 6105 (long): a request on a new connection crossed a close or was lost (open).
# 1404 (all): a refusal to a connection that its router had closed counted.
SEED = 2


class SoakTest(unittest.TestCase):
    """Real routers under random faults."""

    def soak(
        self,
        fault_names: list[str],
        mean_interval_seconds: float,
        load: callers.Load = callers.SHORT_LOAD,
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
                load=load,
            )
        )

    def test_promises_are_kept_under_any_faults(self):
        result = self.soak(faults.default_names(), 1.5)
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.requests, 500)

    def test_planned_work_is_seen_by_nobody(self):
        result = self.soak(PLANNED, 1.0)
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.served_share, 0.95)

    def test_stops_in_series_lose_no_long_exchange(self):
        names = ["stops-in-series", "reload-router", "change-contracts"]
        result = self.soak(names, 3.0, callers.long_load(0.4))
        self.assertEqual([], result.violations, result.log)
        self.assertGreater(result.requests, 200)


STOPPING = """
import signal, time
signal.signal(signal.SIGTERM, lambda *_: exit(time.sleep({work_seconds})))
print(flush=True)
signal.pause()
"""


STALL_SECONDS = 0.5


def children() -> set[str]:
    """Returns the ids of the processes that this one has not waited for."""
    return {
        pid
        for path in pathlib.Path("/proc/self/task").glob("*/children")
        for pid in path.read_text().split()
    }


def stall_until_gone(others: set[str]) -> float:
    """Blocks beyond the end of all but other children; returns when it was."""
    while children() - others:
        time.sleep(0.01)
    gone_at = time.monotonic()
    time.sleep(STALL_SECONDS)
    return gone_at


class StopTest(unittest.TestCase):
    """How long a router's stop takes, on a soak test that stalls."""

    def stop(self, *, work_seconds: float, stall_seconds: float) -> list[str]:
        """Returns the violations of a stop that may take 1.2 s."""
        return asyncio.run(self.stop_and_stall(work_seconds, stall_seconds))

    async def stop_and_stall(
        self, work_seconds: float, stall_seconds: float
    ) -> list[str]:
        """Stops a process and stalls the event loop after 0.3 s."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            STOPPING.format(work_seconds=work_seconds),
            stdout=asyncio.subprocess.PIPE,
        )
        await process.stdout.readline()
        checker = invariants.Checker()
        injection = injector.Injector(
            system=types.SimpleNamespace(
                processes={"r2": process},
                signal=lambda _, number: process.send_signal(number),
            ),
            checker=checker,
            seed=SEED,
            max_work_seconds=0.0,
        )
        injection.restart_router = mock.AsyncMock()
        asyncio.get_running_loop().call_later(0.3, time.sleep, stall_seconds)
        with mock.patch.object(processfaults, "MAX_STOP_SECONDS", 1.2):
            await processfaults.stop_and_restart(injection, "r2")
        return checker.violations

    def test_a_late_stop_is_seen(self):
        self.assertEqual(1, len(self.stop(work_seconds=1.5, stall_seconds=0.0)))
        self.assertEqual(1, len(self.stop(work_seconds=1.5, stall_seconds=2.0)))

    async def end_in_a_stall(self) -> tuple[float, float]:
        """Ends a process while the event loop stalls.

        Returns:
            When it is said to have ended, and when its watcher was gone.
        """
        others = children()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "import signal; signal.pause()"
        )
        pidfd = os.pidfd_open(process.pid)
        waiting = asyncio.create_task(exits.wait(process, pidfd))
        while len(children() - others) < 2:
            await asyncio.sleep(0.01)
        process.kill()
        gone_at = stall_until_gone(others)
        return await waiting, gone_at

    def test_a_stop_is_not_late_because_the_soak_stalls(self):
        ended_at, gone_at = asyncio.run(self.end_in_a_stall())
        self.assertLess(ended_at, gone_at)

    def test_a_router_that_ended_before_its_stop_is_seen(self):
        process = types.SimpleNamespace(returncode=1)
        checker = invariants.Checker()
        injection = injector.Injector(
            system=types.SimpleNamespace(processes={"r2": process}),
            checker=checker,
            seed=SEED,
            max_work_seconds=0.0,
        )
        injection.restart_router = mock.AsyncMock()
        asyncio.run(processfaults.stop_and_restart(injection, "r2"))
        self.assertEqual(1, len(checker.violations))

    def test_two_faults_stop_a_router_once(self):
        injection = injector.Injector(
            system=types.SimpleNamespace(
                processes={"r2": types.SimpleNamespace(returncode=None)},
                routers=(2,),
            ),
            checker=invariants.Checker(),
            seed=SEED,
            max_work_seconds=0.0,
        )

        async def inject() -> None:
            await asyncio.gather(
                processfaults.stop_in_series(injection),
                processfaults.stop_router(injection),
            )

        with mock.patch.multiple(
            processfaults,
            stop_and_restart=mock.AsyncMock(),
            repeat_signal=mock.AsyncMock(),
        ):
            asyncio.run(inject())
            self.assertEqual(1, processfaults.stop_and_restart.await_count)


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
            "signature": "a.0",
        }
        self.checker.record_answer(records.Answer(**{**defaults, **changes}))

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

    def test_an_untrue_not_run_is_seen_in_uploads_and_after_the_answer(self):
        for status in (408, 421, 429, 503):
            self.checker = invariants.Checker()
            self.record_answer(id="upload", status=status, ended_at=1.1)
            self.checker.record_execution("a", {"id": "upload", "at": 3.0})
            self.assertEqual(1, len(self.checker.finish()), status)

    def test_a_failure_that_promises_nothing_may_have_run(self):
        for status in (0, 502, 504):
            self.checker = invariants.Checker()
            self.checker.record_execution("a", {"id": "a", "at": 1.0})
            self.record_answer(status=status, signature="")
            self.assertEqual([], self.checker.finish(), status)

    def test_a_success_of_another_server_or_none_is_seen(self):
        for signature, count in (("a.0", 0), ("b.0", 1), ("a.1", 1), ("", 1)):
            self.checker = invariants.Checker()
            self.checker.record_execution("a", {"id": "a", "at": 1.0})
            self.record_answer(signature=signature)
            self.assertEqual(count, len(self.checker.finish()), signature)

    def test_a_request_that_nobody_sent_is_seen(self):
        self.checker.record_execution("a", {"id": "b", "at": 1.0})
        self.assertEqual(1, len(self.checker.finish()))

    def test_a_request_whose_answer_is_due_was_sent(self):
        self.checker.record_execution("a", {"id": "b", "at": 1.0})
        self.checker.requests["b"] = records.Request(router="r2", sent_at=0.9)
        self.assertEqual([], self.checker.finish())

    def test_a_request_at_a_server_of_another_pool_is_seen(self):
        for path, count in (("/upload/1", 0), ("/order/1", 0), ("/look/1", 1)):
            self.checker = invariants.Checker()
            line = {"kind": "run", "id": "a", "at": 1.0, "path": path}
            self.checker.read_journal("d1", json.dumps(line))
            self.assertEqual(count, len(self.checker.violations), path)

    def test_another_body_than_was_sent_is_seen(self):
        line = {"kind": "foreign body", "id": "a", "at": 1.0, "bytes": 9}
        self.checker.read_journal("a", json.dumps(line))
        self.assertEqual(1, len(self.checker.violations))

    def test_a_foreign_body_is_seen(self):
        self.record_answer(body_matches=False)
        self.assertEqual(1, len(self.checker.violations))

    def test_work_after_a_drain_is_seen_in_calm_only(self):
        self.checker.drained["a"] = 10.0
        self.checker.record_execution("a", {"id": "a", "at": 12.5})
        fault = records.Fault(kind="x", begin=8.0, end=9.0)
        self.checker.faults.append(fault)
        self.checker.record_execution("a", {"id": "b", "at": 12.5})
        self.assertEqual(1, len(self.checker.violations))

    def test_a_request_lost_in_a_stop_is_seen(self):
        self.checker.record_execution("a", {"id": "a", "at": 1.0})
        self.checker.stops.append(("r2", 1.05))
        self.record_answer(status=0)
        self.assertEqual(1, len(self.checker.finish()))

    def lost(self, ran_at: float | None = None, **changes: object) -> int:
        """Returns the violations by a request that a stop at 10 s affects."""
        checker = self.checker = invariants.Checker()
        checker.stops.append(("r2", 10.0))
        if ran_at is not None:
            checker.record_execution("a", {"id": "a", "at": ran_at})
        defaults = {"sent_at": 9.0, "ended_at": 15.2, "status": 0}
        self.record_answer(**{"deadline": 17.0, **defaults, **changes})
        return len(checker.finish())

    def test_a_request_closed_while_it_waited_for_a_slot_is_seen(self):
        self.assertEqual(1, self.lost())
        self.assertEqual(1, self.lost(sent_at=12.5))

    def test_a_request_that_crossed_the_close_is_no_loss(self):
        self.assertEqual(0, self.lost(sent_at=15.1))
        self.assertEqual(0, self.lost(reached_router=False))

    def test_a_request_that_nobody_read_in_time_is_no_loss(self):
        self.assertEqual(0, self.lost(deadline=15.0))

    def test_a_finished_run_without_an_answer_by_the_deadline_is_seen(self):
        self.assertEqual(1, self.lost(9.1, deadline=15.0))

    def test_work_that_outlasts_a_stop_may_be_broken_off(self):
        self.assertEqual(0, self.lost(12.0, work_seconds=4.0))
        self.assertEqual(0, self.lost(12.0, work_seconds=4.0, status=502))

    def test_work_that_is_broken_off_early_in_a_stop_is_seen(self):
        early = {"ended_at": 14.9, "work_seconds": 4.0}
        self.assertEqual(1, self.lost(12.0, **early))
        self.assertEqual(1, self.lost(12.0, status=502, **early))

    def test_work_sent_late_in_a_stop_is_not_broken_off(self):
        self.assertEqual(
            1, self.lost(13.3, sent_at=13.1, work_seconds=4.0, status=502)
        )

    def test_a_request_is_judged_by_the_stop_that_its_work_outlasts(self):
        self.checker.stops += [("r2", 6.2), ("r2", 10.0)]
        self.checker.record_execution("a", {"id": "a", "at": 12.0})
        self.record_answer(
            sent_at=10.2, ended_at=15.2, status=502, work_seconds=4.0
        )
        self.assertEqual([], self.checker.finish())

    def test_a_fault_of_the_store_excuses_no_loss_without_a_key(self):
        for keyed, target, count in (
            (False, "store", 1),
            (True, "store", 0),
            (False, "d1", 0),
        ):
            self.checker = invariants.Checker()
            self.checker.stops.append(("r2", 1.05))
            self.checker.faults.append(
                records.Fault(kind="down", target=target, begin=0.5, end=2.0)
            )
            self.checker.record_execution("a", {"id": "a", "at": 1.0})
            self.record_answer(status=0, keyed=keyed)
            self.assertEqual(count, len(self.checker.finish()), target)

    def test_a_request_that_a_reload_closes_is_seen(self):
        self.checker.reloads.append(("r2", 1.05))
        self.record_answer(status=0, ended_at=1.5)
        self.assertEqual(1, len(self.checker.finish()))

    def test_old_contracts_are_seen(self):
        self.checker.contract_changes[8] = 1.0
        self.record_answer(
            status=404, probe_version=8, sent_at=3.5, repeatable=True
        )
        self.assertEqual(1, len(self.checker.violations))


if __name__ == "__main__":
    unittest.main()
