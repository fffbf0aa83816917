"""Routers together keep within the connections that a server accepts."""

import asyncio
import unittest

from oleanderhoist.http import client
from oleanderhoist.policy import connectioncaps
from tests import scripted

TIMEOUT_SECONDS = 2.0
SLOTS = 6
AT_ONCE = 5


class MaxIdleTest(unittest.TestCase):
    """All routers together leave room for running requests."""

    # Replays many routers that each used all slots of a server once.
    def test_idle_connections_leave_room_for_running_ones(self):
        for accepted in (1, 10, 60, 121, 303, 460, 816):
            for routers in (0, 1, 6, 27, 120, 690):
                kept = connectioncaps.max_idle(
                    accepted=accepted, slots=SLOTS, routers=routers
                )
                self.assertGreaterEqual(kept, 0)
                self.assertLessEqual(kept * routers, accepted)
                running = SLOTS + 1
                if kept:  # All run at one router, which has the others' idle.
                    used = kept * (max(1, routers) - 1) + max(kept, running)
                    self.assertLessEqual(used, max(accepted, running))

    def test_ordinary_caps_keep_connections_for_reuse(self):
        for accepted, routers in ((121, 26), (303, 28), (460, 27), (816, 120)):
            kept = connectioncaps.max_idle(
                accepted=accepted, slots=SLOTS, routers=routers
            )
            self.assertGreater(kept, 1)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """A client closes what it may not keep."""

    # Guards against idle connections that use up what a server accepts.
    async def test_connections_beyond_the_share_are_closed_once_idle(self):
        async def answer(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(scripted.PAUSE_SECONDS)
            writer.write(scripted.answer())

        for most, kept in ((None, AT_ONCE), (2, 2), (0, 0)):
            peer = scripted.Peer(answer)
            await peer.start(self)
            one = client.Client(address=client.Address.parse(peer.address))
            self.addCleanup(one.drop_idle)
            one.max_idle = most
            answers = await asyncio.gather(
                *(
                    one.request("GET", "/", timeout=TIMEOUT_SECONDS)
                    for _ in range(AT_ONCE)
                )
            )
            self.assertEqual({b"done"}, {each.body for each in answers})
            self.assertEqual(kept, len(one.idle))
            again = await one.request("GET", "/", timeout=TIMEOUT_SECONDS)
            self.assertEqual(b"done", again.body)


if __name__ == "__main__":
    unittest.main()
