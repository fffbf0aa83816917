"""Refusals that servers write once more, on an entry's connections."""

import asyncio
import types
import unittest

from oleanderhoist import clock
from oleanderhoist import outcomes
from oleanderhoist.entry import calls
from oleanderhoist.entry import sending
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.policy import retry
from tests import scripted

TIMEOUT_SECONDS = 0.5


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """A refusal is believed only of the call that it names."""

    def sender(self) -> sending.Sender:
        """Returns a sender whose connections end with the test."""
        sender = sending.Sender(
            clock=clock.Clock(), slot_client=types.SimpleNamespace()
        )
        self.addCleanup(self.close, sender)
        return sender

    def close(self, sender: sending.Sender) -> None:
        """Closes the connections of a sender."""
        for peer_client in sender.clients.by_peer.values():
            peer_client.drop_idle()

    def call(self, id: str) -> calls.Call:
        """Returns a call that must not run twice."""
        return calls.Call(
            id=id,
            customer="c",
            work=types.SimpleNamespace(repeatable=False),
            key="",
            request=messages.Request(
                method="POST", target="/", headers=[], body=iter(())
            ),
            deadline=clock.Clock().monotonic() + TIMEOUT_SECONDS,
        )

    def target(self, peer: scripted.Peer) -> sending.Target:
        """Returns a peer as the target of a call."""
        server = types.SimpleNamespace(id="s", address=peer.address)
        return sending.Target(server=server)

    async def test_an_entry_does_not_believe_the_first_refusal_again(self):
        peer = scripted.Peer(scripted.run_and_repeat_refusal)
        await peer.start(self)
        sender, call, target = self.sender(), self.call("r"), self.target(peer)
        first = await sender.send(call, target)
        self.assertIs(retry.Failure.REFUSED, first.failure)
        second = await sender.send(call, target)
        self.assertIsInstance(second, outcomes.Complete)
        self.assertEqual(1, peer.ran)

    # Guards against a late copy of a first refusal that counts as the second.
    async def test_a_server_of_another_id_has_connections_of_its_own(self):
        peer = scripted.Peer(scripted.run_and_repeat_refusal)
        await peer.start(self)
        sender, first = self.sender(), self.target(peer)
        second = self.target(peer)
        second.server.id = "t"
        call = self.call("r")
        await sender.send(call, first)
        outcome = await sender.send(call, second)
        self.assertIsInstance(outcome, outcomes.Complete)
        self.assertEqual(1, peer.ran)

    async def test_an_entry_does_not_believe_a_refusal_of_another_call(self):
        for id, kind in (
            ("", outcomes.Unknown),
            ("earlier", outcomes.Complete),
        ):

            async def script(peer, writer, id=id):
                if peer.requests == 1:
                    writer.write(scripted.answer())
                    return
                writer.write(scripted.refusal(id))
                await asyncio.sleep(scripted.PAUSE_SECONDS)
                writer.write(scripted.answer())

            peer = scripted.Peer(script)
            await peer.start(self)
            sender, target = self.sender(), self.target(peer)
            await sender.send(self.call("earlier"), target)
            result = await sender.send(self.call("r"), target)
            with self.subTest(id=id):
                outcome = getattr(result, "outcome", result)
                self.assertIsInstance(outcome, kind)

    async def test_a_stream_behind_another_answer_ends_its_connection(self):
        body = b"x" * 2 * exchanges.MAX_BUFFERED_BODY_BYTES

        async def script(peer, writer):
            writer.write(scripted.refusal("earlier"))
            writer.write(scripted.answer(body=body))

        peer = scripted.Peer(script)
        await peer.start(self)
        sender = self.sender()
        outcome = await sender.send(self.call("r"), self.target(peer))
        received = [chunk async for chunk in outcome.response.stream]
        self.assertEqual(body, b"".join(received))
        self.assertFalse(sender.clients.get(peer.address, "s").idle)

    async def test_a_server_that_breaks_streams_off_is_unjudged(self):
        data = scripted.answer(
            "r", b"x" * 2 * exchanges.MAX_BUFFERED_BODY_BYTES
        )
        peer = scripted.Peer(scripted.write_and_end(data[:-1], reset=False))
        await peer.start(self)
        sender = self.sender()
        outcome = await sender.send(self.call("r"), self.target(peer))
        self.assertFalse(sender.is_suspected("s"))
        with self.assertRaises(ConnectionAbortedError):
            async for _ in outcome.response.stream:
                pass
        self.assertTrue(sender.is_suspected("s"))


if __name__ == "__main__":
    unittest.main()
