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

    def test_datagrams_that_wait_fill_the_memory(self):
        waiting = backlog.Backlog()
        for number in range(3 * backlog.MAX_WAITING):
            waiting.add(number)
        self.assertEqual(backlog.MAX_WAITING, len(waiting.waiting))
        self.assertEqual(2 * backlog.MAX_WAITING, waiting.dropped)

    def test_a_release_overtakes_its_request(self):
        waiting = backlog.Backlog()
        for number in range(backlog.MAX_HANDLED_PER_TURN + 1):
            waiting.add(number)
        handled = [*waiting.take_turn(), *waiting.take_turn()]
        self.assertEqual(sorted(handled), handled)


if __name__ == "__main__":
    unittest.main()
