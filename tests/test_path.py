"""End-to-end requests through separate processes."""

import asyncio
import collections
import random
import unittest

from bench import demo
from standins import caller
from standins import fleet

POOLS = [
    fleet.Pool(name="phase-tables", count=10, keyed=True),
    fleet.Pool(name="orders", count=10, service_ms=2),
    fleet.Pool(name="proofs", count=10, service_ms=2),
    fleet.Pool(name="archive", count=10, service_ms=2),
    fleet.Pool(name="routes", count=10, keyed=True, checks_sender=False),
    fleet.Pool(name="bookings", count=10, service_ms=2),
    fleet.Pool(name="case-files", count=10, service_ms=2),
    fleet.Pool(name="reports", count=10, service_ms=2),
]


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Requests of both customers through a cluster of real processes."""

    async def asyncSetUp(self) -> None:
        self.fleet = fleet.Fleet(pools=POOLS)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        await demo.apply_contracts(self.fleet)

    async def test_every_kind_of_work_is_answered_whole(self):
        names = self.fleet.named("entry-")
        callers = caller.Caller(
            entries={name: self.fleet.real[name] for name in names},
            rng=random.Random(1),
        )
        results = []
        for _ in range(5):
            batch = [callers.send(kind) for kind in caller.MIX]
            results += await asyncio.gather(*batch)
        counts = collections.Counter(result.outcome for result in results)
        self.assertEqual({"complete": len(results)}, dict(counts), results)
        self.assertEqual([], self.fleet.check(results))


if __name__ == "__main__":
    unittest.main()
