"""A short soak test of a store that comes back from an older copy."""

import asyncio
import unittest

from soak import callers
from soak import runner

FAULTS = [
    "store-restored",
    "store-restored",
    "kill-router",
    "stop-router",
    "change-contracts",
    "link-to-store",
]
# Seeds that failed, and why:
# 9102, 9106 (with evacuations): routers started just after one was taken back.
# 9110, 9145 (with killed servers): a cold server counted as warm (open).
# 9140: a second drill made the wait for earlier leases begin anew.
SEED = 9003


class DrillSoakTest(unittest.TestCase):
    """Real routers while the store comes back from older copies."""

    def test_a_store_that_comes_back_breaks_a_promise(self):
        """Guards against what is believed across a return of the store."""
        result = asyncio.run(
            runner.run(
                seed=SEED,
                seconds=15,
                routers=3,
                servers=6,
                mean_interval_seconds=1.5,
                fault_names=FAULTS,
                load=callers.SHORT_LOAD,
            )
        )
        self.assertEqual([], result.violations, result.log)
        self.assertIn("restored", "".join(result.log))


if __name__ == "__main__":
    unittest.main()
