"""Answers of the platform's store that cannot be read."""

import unittest

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.platform import store
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras
from tests import scripted
from tests import test_garbage

BODIES = (
    b"junk",
    b"[]",
    b"[" * 100_000,
    b'{"rows":5,"revision":1}',
    b'{"rows":[],"revision":"x"}',
    b'{"rows":[],"revision":null}',
)
ODD_ROWS = (
    b'{"rows":[5,{"key":["k"],"value":"","revision":1},'
    b'{"key":"k","value":"djE=","revision":2},{"value":"djE="}],'
    b'"revision":3,"now_ms":"x","has_more":false}'
)


class StoreAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Garbage counts as a lost answer."""

    async def connect(self, body: bytes) -> store.Store:
        """Returns the client of a store that answers with a body."""
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
            len(body),
            body,
        )
        peer = scripted.Peer(scripted.write_and_end(data, reset=False))
        await peer.start(self)
        caller = store.Store(
            address=client.Address.parse(peer.address),
            clock=clock.Clock(),
            store_clock=storeclock.StoreClock(),
            store_eras=storeeras.StoreEras(),
        )
        self.addCleanup(caller.client.drop_idle)
        return caller

    async def test_garbage_from_the_store_ends_the_task_that_reads_it(self):
        for body in BODIES:
            caller = await self.connect(body)
            for call in (
                lambda caller: caller.rows("t"),
                lambda caller: caller.wait_for_change(
                    "t", storeeras.Revision(), 0.1
                ),
                lambda caller: caller.write("t", {}, {}),
            ):
                with self.assertRaises(ports.StoreError, msg=body[:30]):
                    await call(caller)

    async def test_one_odd_row_hides_the_others(self):
        result = await (await self.connect(ODD_ROWS)).rows("t")
        self.assertEqual(["k"], [row.key for row in result.rows])

    async def test_an_endless_answer_holds_a_call_to_the_store(self):
        caller = await self.connect(b"")
        garbage = test_garbage.Garbage(
            test_garbage.OK, b"A: b\r\n", test_garbage.TRICKLE_SECONDS
        )
        peer = scripted.Peer(scripted.write_and_end(b"", reset=False))
        peer.serve = garbage.serve
        await peer.start(self)
        caller.client = client.Client(
            address=client.Address.parse(peer.address)
        )
        stopwatch = test_garbage.starvation.Stopwatch()
        with self.assertRaises(ports.StoreError):
            await caller.rows("t")
        self.assertLess(stopwatch.elapsed(), 2 * store.CALL_TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()
