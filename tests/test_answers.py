"""Answers that servers cut short, or write once more, on real sockets."""

import asyncio
import dataclasses
import itertools
import types
import unittest

from oleanderhoist import clock
from oleanderhoist import outcomes
from oleanderhoist import processids
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.node import budgets
from oleanderhoist.node import forwarder
from oleanderhoist.node import slotgrants
from oleanderhoist.node import state
from oleanderhoist.platform import leasechannel
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import slotrequests
from tests import scripted
from tests import test_forwarder

TIMEOUT_SECONDS = 0.5
DEADLINE_SECONDS = 3.0  # Of a routed request; most get an answer sooner.
BODY = b"HTTP/1.1 503 X\r\n\r\n"
SIGNED = b"Request-Id: r\r\nResponse-Signature: s\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNED


async def get(
    peer: scripted.Peer, method: str = "GET"
) -> messages.Response | None:
    """Performs one exchange; returns None if it has no complete answer."""
    connection = client.Client(address=client.Address.parse(peer.address))
    try:
        return await connection.request(method, "/", timeout=TIMEOUT_SECONDS)
    except exchanges.ExchangeError:
        return None
    finally:
        connection.drop_idle()


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that ends early must not look complete."""

    async def cut_everywhere(
        self, whole: bytes, first_complete: int, method: str = "GET"
    ) -> None:
        """Cuts an answer at each byte, by a close and by a reset.

        Args:
            whole: Bytes of the answer.
            first_complete: Smallest number of bytes that are complete if the
                connection is closed after them.
            method: Method of the request.
        """
        peer = scripted.Peer(scripted.write_and_end(b"", reset=False))
        await peer.start(self)
        for end in range(len(whole) + 1):
            for reset in (False, True):
                peer.script = scripted.write_and_end(whole[:end], reset=reset)
                response = await get(peer, method)
                with self.subTest(bytes=whole[:end], reset=reset):
                    if end < first_complete:
                        self.assertIsNone(response)
                    elif not reset:
                        self.assertEqual(200, response.status)

    async def test_a_cut_head_or_body_is_no_answer(self):
        framed = OK_HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
        chunked = (
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n12\r\n" + BODY
        ) + b"\r\n0\r\nTrailer: t\r\n\r\n"
        heads = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + framed
        closing = framed.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        line_feeds = OK_HEAD.replace(b"\r", b"") + b"Content-Length: 2\n\nok"
        for whole in (framed, chunked, heads, closing, line_feeds):
            await self.cut_everywhere(whole, len(whole))

    async def test_a_cut_answer_of_an_older_server_is_no_answer(self):
        for framing in (
            b"Content-Length: 4\r\n\r\nbody",
            b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ):
            whole = OK_HEAD.replace(b"1.1", b"1.0", 1) + framing
            await self.cut_everywhere(whole, len(whole))

    async def test_an_answer_with_two_lengths_is_passed_on(self):
        chunks = b"\r\n4\r\nbody\r\n0\r\n\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        for rest in (
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
            b"Content-Length: 4, 5\r\n\r\nbody!",
            b"Content-Length: +4\r\n\r\nbody",
            b"Transfer-Encoding: gzip, chunked\r\n" + chunks,
            b"Transfer-Encoding: gzip\r\n\r\nbody",
            chunked + chunked + chunks,
            b"Content-Length: 9\r\n" + chunked + chunks,
            chunked + b"Content-Length: 4\r\n" + chunks,
        ):
            script = scripted.write_and_end(OK_HEAD + rest, reset=False)
            peer = scripted.Peer(script)
            await peer.start(self)
            self.assertIsNone(await get(peer), rest)

    async def test_a_cut_head_of_an_answer_without_a_body_is_no_answer(self):
        whole = OK_HEAD + b"Content-Length: 5\r\n\r\n"
        await self.cut_everywhere(whole, len(whole), "HEAD")
        whole = b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n"
        peer = scripted.Peer(scripted.write_and_end(whole[:-2], reset=False))
        await peer.start(self)
        self.assertIsNone(await get(peer))

    async def test_a_cut_head_is_not_taken_for_one_without_a_length(self):
        head = OK_HEAD + b"\r\n"
        await self.cut_everywhere(head + BODY, len(head))

    async def test_a_reset_body_without_a_length_is_no_answer(self):
        head = OK_HEAD + b"\r\n"

        async def pause_and_reset(peer, writer):
            writer.write(head + BODY)
            await asyncio.sleep(scripted.PAUSE_SECONDS)
            scripted.reset_connection(writer)

        peer = scripted.Peer(pause_and_reset)
        await peer.start(self)
        self.assertIsNone(await get(peer))

    async def test_other_bytes_before_an_answer_are_no_answer(self):
        peer = scripted.Peer(scripted.write_and_end(b"", reset=False))
        await peer.start(self)
        for junk in (b"x", b"\0\xff\r\n", b"\r\n", b"HTTP/1.1 200 OK\r\n"):
            peer.script = scripted.write_and_end(
                junk + scripted.answer("r"), reset=False
            )
            with self.subTest(junk=junk):
                self.assertIsNone(await get(peer))


class CutStreamTest(unittest.IsolatedAsyncioTestCase):
    """A broken stream is passed on as an incomplete answer."""

    async def receive(self, version: bytes, headers: messages.Headers) -> bytes:
        """Returns the bytes of an answer whose stream breaks.

        Raises:
            OSError: The connection was reset.
        """

        async def broken():
            yield b"part"
            raise ConnectionAbortedError("cut short")

        async def handle(request: messages.Request) -> messages.Response:
            return messages.Response(headers=list(headers), stream=broken())

        running = server.Server(handler=handle, host="127.0.0.1", port=0)
        await running.start()
        self.addCleanup(running.listener.close)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", running.port
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/%b\r\nHost: h\r\n\r\n" % version)
        return await reader.read()

    async def test_a_broken_stream_lacks_a_part_that_its_head_announces(self):
        for version, headers in (
            (b"1.0", [(b"content-length", b"9")]),
            (b"1.1", [(b"content-length", b"9")]),
            (b"1.1", []),
        ):
            with self.subTest(version=version, headers=headers):
                try:
                    received = (await self.receive(version, headers)).lower()
                except OSError:
                    continue
                announced = b"content-length: 9" if headers else b"chunked"
                self.assertIn(announced, received)
                self.assertTrue(received.rstrip(b"\r\n").endswith(b"part"))

    async def test_a_broken_stream_that_ends_by_a_close_is_reset(self):
        with self.assertRaises(OSError):
            await self.receive(b"1.0", [])


class RouterSlots:
    """Grants every request a slot of the same server."""

    datagrams = types.SimpleNamespace(address="10.0.0.1:1")
    notices = test_forwarder.NO_NOTICES
    ids = processids.ProcessIds()

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant:
        """Grants a slot."""
        return slotgrants.SlotGrant(
            id=request.id, queue=queue, coordinator="", server="s"
        )

    def release(self, grant: slotgrants.SlotGrant, **kwargs: object) -> None:
        """Ignores the release."""


class SlotsInTurn(RouterSlots):
    """Grants a slot of one server after the other.

    Args:
        *servers: Ids of the servers.
    """

    def __init__(self, *servers: str):
        self.servers = iter(servers)

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant:
        """Grants a slot of the next server."""
        return dataclasses.replace(
            await super().acquire(queue, request), server=next(self.servers)
        )


class RepeatedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer to an earlier request is not taken for the one awaited."""

    async def router(self, script: scripted.Script) -> scripted.Peer:
        """Starts a peer, and a router of which it is the only server."""
        peer = scripted.Peer(script)
        await peer.start(self)
        router_state = state.State()
        backend = cluster.Server(
            id="s", pool="pool", address=peer.address, data_center="a", slots=1
        )
        member = test_forwarder.MEMBER
        router_state.snapshot = cluster.Snapshot(
            servers={"s": backend}, members={member.address: member}
        )
        self.forwarder = forwarder.Forwarder(
            platform=protocol,
            slot_client=RouterSlots(),
            state=router_state,
            clock=clock.Clock(),
            budget=budgets.Budgets(ratio=1.0, extra=100, state=router_state),
            data_center="a",
        )
        peer_client = self.forwarder.clients.get(peer.address, "s")
        self.addCleanup(peer_client.drop_idle)
        return peer

    async def forward(self, id: str, attempts: int = 1) -> outcomes.Outcome:
        """Forwards a request that must not run twice."""
        now = clock.Clock().monotonic()
        job = test_forwarder.job(arrived=now, objective=1.0)
        job.deadline = now + DEADLINE_SECONDS
        job.head = types.SimpleNamespace(id=id, key=None)
        job.work = types.SimpleNamespace(
            name="w",
            rank=0,
            objective=1.0,
            repeatable=False,
            attempts=attempts,
        )
        return await self.forwarder.serve(job)

    async def outcome_after(self, *parts: bytes) -> outcomes.Outcome:
        """Returns the outcome of `r` on a connection that carried `earlier`.

        Args:
            *parts: What the peer writes after `r`, with pauses.
        """

        async def script(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            if peer.requests == 1:
                writer.write(scripted.refusal("earlier"))
                return
            peer.ran += 1
            for part in parts:
                writer.write(part)
                await asyncio.sleep(scripted.PAUSE_SECONDS)

        peer = await self.router(script)
        await self.forward("earlier")
        outcome = await self.forward("r")
        self.assertEqual(1, peer.ran)
        return outcome

    async def test_a_refusal_of_another_request_is_no_promise(self):
        stray = scripted.refusal("earlier")
        cases = [[stray, scripted.answer("r")], [stray + scripted.answer("r")]]
        cases += [
            [stray[:end], stray[end:] + scripted.answer("r")]
            for end in range(1, len(stray), 7)
        ]
        for parts in cases:
            with self.subTest(parts=parts):
                outcome = await self.outcome_after(*parts)
                self.assertIsInstance(outcome, outcomes.Complete)
                self.assertEqual(b"done", outcome.response.body)
        outcome = await self.outcome_after(stray)
        self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_a_nameless_answer_on_a_reused_connection_is_no_promise(self):
        for stray in (scripted.refusal(), scripted.answer(body=b"earlier")):
            with self.subTest(stray=stray):
                outcome = await self.outcome_after(stray, scripted.answer("r"))
                self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_a_nameless_refusal_on_a_new_connection_is_a_promise(self):
        await self.router(
            scripted.write_and_end(scripted.refusal(), reset=False)
        )
        self.assertIsInstance(await self.forward("r"), outcomes.NotRun)

    async def test_an_answer_glued_to_a_cut_refusal_is_no_promise(self):
        stray = scripted.refusal("earlier")
        for end in range(1, len(stray)):
            outcome = await self.outcome_after(
                stray[:end] + scripted.answer("r")
            )
            if isinstance(outcome, outcomes.Complete):
                self.assertEqual(200, outcome.response.status, stray[:end])
            else:
                self.assertIsInstance(outcome, outcomes.Unknown, stray[:end])

    async def test_a_foreign_first_answer_or_a_hint_is_no_promise(self):
        hint = b"HTTP/1.1 103 X\r\nNot-Executed: 1\r\nRequest-Id: r\r\n\r\n"
        for stray in (scripted.refusal("earlier"), hint):
            for rest in (b"", scripted.answer("r")):
                await self.router(
                    scripted.write_and_end(stray + rest, reset=False)
                )
                outcome = await self.forward("r")
                kind = outcomes.Complete if rest else outcomes.Unknown
                with self.subTest(stray=stray, rest=rest):
                    self.assertIsInstance(outcome, kind)

    async def test_a_promise_is_made_for_a_server_that_made_none(self):
        for status in (408, 429, 503):
            data = b"HTTP/1.1 %d X\r\n%bContent-Length: 0\r\n\r\n" % (
                status,
                SIGNED,
            )
            await self.router(scripted.write_and_end(data, reset=False))
            outcome = await self.forward("r")
            self.assertIsInstance(outcome, outcomes.Unknown, status)

    async def test_an_answer_glued_to_a_cut_head_is_no_promise(self):
        whole = scripted.answer("r")
        for end in range(1, len(whole) - len(b"done")):
            data = whole[:end] + scripted.refusal("earlier") + whole
            await self.router(scripted.write_and_end(data, reset=False))
            outcome = await self.forward("r")
            with self.subTest(bytes=whole[:end]):
                if isinstance(outcome, outcomes.Complete):
                    self.assertEqual(200, outcome.response.status)
                    self.assertEqual(b"done", outcome.response.body)
                else:
                    self.assertIsInstance(outcome, outcomes.Unknown)

    async def test_extra_bytes_between_requests_end_the_connection(self):
        stray = scripted.refusal("r")
        pauses = (0, scripted.PAUSE_SECONDS)
        for pause, end in itertools.product(pauses, (1, 40, len(stray))):

            async def script(peer, writer, pause=pause, end=end):
                writer.write(scripted.answer("r"))
                if pause:
                    await asyncio.sleep(pause)
                if peer.requests == 1:
                    writer.write(stray[:end])

            peer = await self.router(script)
            await self.forward("r")
            await asyncio.sleep(2 * pause)
            outcome = await self.forward("r")
            with self.subTest(pause=pause, end=end):
                self.assertIsInstance(outcome, outcomes.Complete)
                self.assertEqual(2, peer.connections)

    async def test_the_refusal_of_a_first_attempt_is_not_one_of_the_next(self):
        peer = await self.router(scripted.run_and_repeat_refusal)
        outcome = await self.forward("r", attempts=2)
        self.assertEqual(1, peer.ran)
        self.assertIsInstance(outcome, outcomes.Complete)

    async def test_the_log_does_not_tell_a_kept_connection(self):
        async def script(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            if peer.requests > 2:
                writer.close()
                return
            writer.write(scripted.refusal(f"r{peer.requests}"))

        await self.router(script)
        kept = "on a kept connection"
        self.assertNotIn(kept, (await self.forward("r1")).detail)
        self.assertIn(kept, (await self.forward("r2")).detail)
        self.assertIn(kept, (await self.forward("r3")).detail)

    # Guards against a late copy of a first refusal that counts as the second.
    async def test_a_server_of_another_id_at_the_address_has_own_connections(
        self,
    ):
        peer = await self.router(scripted.run_and_repeat_refusal)
        servers = self.forwarder.state.snapshot.servers
        servers["t"] = dataclasses.replace(servers["s"], id="t")
        next_client = self.forwarder.clients.get(peer.address, "t")
        self.addCleanup(next_client.drop_idle)
        self.forwarder.slot_client = SlotsInTurn("s", "t")
        outcome = await self.forward("r", attempts=2)
        self.assertEqual(1, peer.ran)
        self.assertIsInstance(outcome, outcomes.Complete)

    async def test_an_earlier_answer_does_not_end_a_release(self):
        running = asyncio.Event()

        async def script(
            peer: scripted.Peer, writer: asyncio.StreamWriter
        ) -> None:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            if writer.served > 1:
                writer.write(head + b"Handover-Token: 1\r\n\r\n")
            if peer.requests > 1:
                await running.wait()
            writer.write(head + b"Handover-Token: %d\r\n\r\n" % peer.requests)

        peer = scripted.Peer(script)
        await peer.start(self)
        channel = leasechannel.LeaseChannel(
            server=cluster.Server(
                id="s", pool="p", address=peer.address, data_center="a", slots=1
            )
        )
        self.addCleanup(channel.close)
        self.assertEqual("1", await channel.release(0, 1, 5))
        release = asyncio.create_task(channel.release(2, 3, 5))
        await asyncio.sleep(scripted.PAUSE_SECONDS)
        self.assertFalse(release.done())
        running.set()
        self.assertEqual("2", await release)


if __name__ == "__main__":
    unittest.main()
