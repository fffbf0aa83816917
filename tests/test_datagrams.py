"""What the leader says does not wait behind the work of a coordinator."""

import asyncio
import unittest

from oleanderhoist.node import datagrams
from oleanderhoist.node import wire
from oleanderhoist.policy import backlog

HOST = "127.0.0.1"
# Fewer than the kernel's buffer of a socket holds.
WAITING_DATAGRAMS = 150
MAX_HANDLED_BEFORE_NEWS = 60
ACQUIRE = wire.AcquireSlot(
    queue="pool/p",
    id=1,
    rank=0,
    remaining_ms=1,
    objective_ms=1,
    data_center="a",
    body_bytes=0,
    excluded=[],
)
HEARTBEAT = wire.Heartbeat(
    epoch=1, version=1, contracts_revision=1, age_ms=0, record=1
)


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams over loopback, with a receiver that gets more than it bears."""

    async def asyncSetUp(self):
        self.sender = datagrams.DatagramEndpoint(host=HOST, port=0)
        self.receiver = datagrams.DatagramEndpoint(host=HOST, port=0)
        self.handled: list[type] = []
        self.all_handled = asyncio.Event()
        for kind in (wire.AcquireSlot, wire.Heartbeat):
            self.receiver.handlers[kind] = self.on_message
        for endpoint in (self.sender, self.receiver):
            await endpoint.start()
            self.addCleanup(endpoint.close)

    def on_message(self, peer: str, message: wire.AnyMessage) -> None:
        """Records a message."""
        self.handled.append(type(message))
        if len(self.handled) == WAITING_DATAGRAMS + 1:
            self.all_handled.set()

    async def test_a_heartbeat_waits_behind_all_slot_requests(self):
        """Guards against a coordinator that learns of changes too late."""
        for _ in range(WAITING_DATAGRAMS):
            self.sender.send(self.receiver.address, ACQUIRE)
        self.sender.send(self.receiver.address, HEARTBEAT)
        await self.all_handled.wait()
        handled_before = self.handled.index(wire.Heartbeat)
        self.assertLessEqual(handled_before, MAX_HANDLED_BEFORE_NEWS)

    async def test_connections_get_no_turn_while_slot_requests_wait(self):
        for _ in range(WAITING_DATAGRAMS):
            self.sender.send(self.receiver.address, ACQUIRE)
        self.sender.send(self.receiver.address, HEARTBEAT)
        while not self.handled:
            await asyncio.sleep(0)
        self.assertLessEqual(
            self.handled.count(wire.AcquireSlot), MAX_HANDLED_BEFORE_NEWS
        )
        await self.all_handled.wait()


class BacklogTest(unittest.TestCase):
    """What waits is bounded and keeps its order."""

    def fill(self, count: int, size_bytes: int) -> backlog.Backlog:
        """Returns a backlog to which many datagrams were added."""
        filled = backlog.Backlog()
        for number in range(count):
            filled.add(
                backlog.Datagram(
                    peer="r", message=number, size_bytes=size_bytes
                )
            )
        return filled

    def test_datagrams_that_wait_fill_the_memory(self):
        filled = self.fill(3 * backlog.MAX_WAITING, 1)
        self.assertEqual(backlog.MAX_WAITING, len(filled.waiting))
        self.assertEqual(2 * backlog.MAX_WAITING, filled.dropped)

    def test_large_datagrams_that_wait_fill_the_memory(self):
        filled = self.fill(100, datagrams.MAX_DATAGRAM_BYTES)
        self.assertLessEqual(filled.waiting_bytes, backlog.MAX_WAITING_BYTES)
        self.assertGreater(filled.dropped, 0)
        while list(filled.take_turn()):
            pass
        self.assertEqual(0, filled.waiting_bytes)

    def test_a_release_overtakes_its_request(self):
        filled = self.fill(backlog.MAX_HANDLED_PER_TURN + 1, 1)
        handled = [one.message for _ in range(2) for one in filled.take_turn()]
        self.assertEqual(sorted(handled), handled)
        self.assertEqual(backlog.MAX_HANDLED_PER_TURN + 1, len(handled))


if __name__ == "__main__":
    unittest.main()
