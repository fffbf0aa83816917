"""Requests for keys that have no owner at the moment."""

import unittest

from oleanderhoist.node import forwarder
from oleanderhoist.node import state
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from tests import test_forwarder
from tests import virtual


class OwnerWaitTest(unittest.TestCase):
    """Requests for keys without an owner."""

    def wait_seconds(self, objective: float, attempts: int) -> float:
        """Returns how long a request waits in total, over some attempts."""
        loop = virtual.Loop()
        router_state = state.State()
        router_state.snapshot = cluster.Snapshot(
            maps={"pool": keys.unowned_map()}
        )
        router_state.contracts = contractset.build(
            version=1,
            works=[],
            pools=[contractset.Pool(name="pool", keyed=True, connections=1)],
            limits=contractset.MessageLimits(
                head_bytes=1, body_bytes=1, head_seconds=1, idle_seconds=1
            ),
        )
        request_forwarder = forwarder.Forwarder(
            platform=None,
            slot_client=None,
            state=router_state,
            clock=virtual.Clock(loop=loop),
            budget=None,
            data_center="a",
        )

        async def play() -> float:
            started_at = loop.now
            request = test_forwarder.job(
                arrived=started_at, objective=objective
            )
            for _ in range(attempts):
                self.assertIsNone(await request_forwarder.find_queue(request))
            return loop.now - started_at

        return virtual.run(play(), loop)

    def test_the_wait_leaves_time_for_the_server(self):
        self.assertAlmostEqual(0.1, self.wait_seconds(0.2, 1), places=2)
        self.assertAlmostEqual(0.3, self.wait_seconds(0.6, 1), places=2)
        self.assertAlmostEqual(0.4, self.wait_seconds(5.0, 1), places=2)

    def test_later_tries_do_not_wait_again(self):
        self.assertAlmostEqual(0.1, self.wait_seconds(0.2, 3), places=2)

    def test_a_caller_that_came_back_late_waits_for_a_planned_move(self):
        self.assertAlmostEqual(0.1, self.wait_seconds(-0.3, 1), places=2)


if __name__ == "__main__":
    unittest.main()
