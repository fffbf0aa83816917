"""Answers of servers to the leases that an entry sends them."""

import asyncio
import json
import types
import unittest

from oleanderhoist import clock
from oleanderhoist.entry import renewer
from oleanderhoist.policy import topology
from tests import scripted

EPOCH = 3


def answer(body: bytes) -> bytes:
    """Returns an answer to a lease."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


def acknowledgement(version: int) -> bytes:
    """Returns the answer to a lease of a version."""
    body = {"epoch": EPOCH, "version": version, "draining": False}
    return answer(json.dumps(body).encode())


class LeaseAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Only an answer to a lease acknowledges it."""

    async def renew(self, *versions: int) -> renewer.Renewal:
        """Sends leases of some versions in turn; returns their state."""
        server = types.SimpleNamespace(id="s", address=self.peer.address)
        sender = renewer.Renewer(
            snapshot_store=types.SimpleNamespace(
                snapshot=types.SimpleNamespace(epoch=EPOCH),
                delegation=types.SimpleNamespace(
                    epoch=EPOCH, expires_at=clock.Clock().wall() + 9.0
                ),
            ),
            clock=clock.Clock(),
            lag=types.SimpleNamespace(recent_max=lambda: 0.0),
        )
        self.addCleanup(sender.clients.get(self.peer.address, "s").drop_idle)
        renewal = renewer.Renewal()
        for version in versions:
            await sender.send_lease(
                server,
                renewal,
                topology.Assignment(version=version),
                full=True,
            )
        return renewal

    async def test_garbage_ends_the_renewal_of_a_lease(self):
        for body in (b"junk", b"[]", b"", b"\xff", b"[" * 100_000):
            self.peer = scripted.Peer(
                scripted.write_and_end(answer(body), reset=False)
            )
            await self.peer.start(self)
            renewal = await self.renew(1)
            self.assertEqual(1, renewal.failures, body[:9])
            self.assertEqual((0, -1), renewal.acked)

    async def test_an_earlier_answer_acknowledges_a_later_version(self):
        async def script(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(acknowledgement(1))

        self.peer = scripted.Peer(script)
        await self.peer.start(self)
        renewal = await self.renew(1, 2)
        self.assertEqual((EPOCH, 1), renewal.acked)


if __name__ == "__main__":
    unittest.main()
