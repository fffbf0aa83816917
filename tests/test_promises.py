"""Promises that a request has not run, over all ways in which attempts end."""

import asyncio
import dataclasses
import itertools
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.platform import protocol
from tests import scripted
from tests import test_forwarder
from tests import virtual

PROMISES = (408, 421, 429, 503)  # Statuses that say: not run.
ATTEMPTS = 3
EXCHANGES = ATTEMPTS + 4  # With those that sent nothing.
STOP_AFTER_SECONDS = 1.0
TIMEOUT_SECONDS = 0.05

NOT_OWNER = messages.Response(status=421)
UNFOUNDED = messages.Response(status=503)
UNSENT = exchanges.ExchangeError("cannot connect", maybe_sent=False)
CUT = exchanges.ExchangeError("cut", maybe_sent=True, response_started=True)
TIMED_OUT = exchanges.ExchangeError("late", maybe_sent=True, timed_out=True)

NOT_RUN = {
    "refused": test_forwarder.REFUSAL,
    "not owner": NOT_OWNER,
    "not sent": UNSENT,
}
MAY_HAVE_RUN = {
    "answered": test_forwarder.SUCCESS,
    "failed": test_forwarder.FAILURE,
    "unfounded": UNFOUNDED,
    "lost": test_forwarder.LOST,
    "cut": CUT,
    "timed out": TIMED_OUT,
    "silent": None,
}
REPLIES = {**NOT_RUN, **MAY_HAVE_RUN}


class Replies(test_forwarder.ScriptedExchanges):
    """A client of a server that answers as a script says.

    Attributes:
        seen: Replies that were given.
    """

    def __init__(self, names: tuple[str, ...]):
        super().__init__()
        self.names = iter(names)
        self.seen: list[str] = []

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Gives the next reply, or none before the stop."""
        name = next(self.names)
        self.seen.append(name)
        silent = name == "silent"
        self.steps = iter(
            [
                test_forwarder.Step(
                    after=test_forwarder.REQUEST_SECONDS if silent else 0.0,
                    reply=REPLIES[name],
                )
            ]
        )
        return await super().request(*args, **kwargs)


class AttemptsTest(unittest.TestCase):
    """A promise is made only if no exchange may have run the request."""

    def serve(
        self, names: tuple[str, ...], slots: list[bool | None], repeatable: bool
    ) -> tuple[outcomes.Outcome, Replies]:
        """Returns the outcome of a request, and its exchanges.

        Args:
            names: Replies of the servers, in order.
            slots: Whether each request for a slot is granted; None if it waits
                until the router stops.
            repeatable: Whether the request may run more than once.
        """
        loop = virtual.Loop()
        server = Replies(names)
        steps = [
            test_forwarder.Step(
                after=test_forwarder.REQUEST_SECONDS if slot is None else 0.0,
                reply=bool(slot),
            )
            for slot in slots
        ]
        request_forwarder = test_forwarder.make_forwarder(
            loop, test_forwarder.ScriptedSlots(*steps), server
        )
        request_forwarder.budget = types.SimpleNamespace(
            earn=lambda pool: None, spend=lambda pool: True
        )
        request = test_forwarder.job(arrived=loop.now, objective=1.0)
        request.work = dataclasses.replace(
            request.work, attempts=ATTEMPTS, repeatable=repeatable
        )
        request.deadline = loop.now + 2 * test_forwarder.REQUEST_SECONDS
        loop.call_later(
            STOP_AFTER_SECONDS,
            lambda: request_forwarder.stop(
                slots_due=loop.now, answers_due=loop.now + STOP_AFTER_SECONDS
            ),
        )
        return virtual.run(request_forwarder.serve(request), loop), server

    def check(
        self, names: tuple[str, ...], slots: list[bool | None], repeatable: bool
    ) -> bool:
        """Checks one sequence; returns whether it ended with a promise."""
        outcome, server = self.serve(names, slots, repeatable)
        may_have_run = [name for name in server.seen if name in MAY_HAVE_RUN]
        status = protocol.to_response(outcome).status
        with self.subTest(seen=server.seen, slots=slots, repeatable=repeatable):
            if may_have_run:
                self.assertNotIn(status, PROMISES)
            if not repeatable:
                self.assertLessEqual(len(may_have_run), 1)
        return status in PROMISES

    def test_no_promise_follows_an_exchange_that_may_have_run(self):
        promises = 0
        for names, repeatable in itertools.product(
            itertools.product(REPLIES, repeat=ATTEMPTS), (False, True)
        ):
            replies = (*names, *["not sent"] * EXCHANGES)
            slots = [True] * len(replies)
            promises += self.check(replies, slots, repeatable)
        self.assertGreater(promises, 0)

    def test_no_promise_follows_a_wait_behind_one_that_may_have_run(self):
        promises = 0
        for names, last, repeatable in itertools.product(
            itertools.product(REPLIES, repeat=ATTEMPTS - 1),
            (False, None),
            (False, True),
        ):
            for granted in range(ATTEMPTS):
                slots = [True] * granted + [last] * EXCHANGES
                replies = (*names, *["not sent"] * EXCHANGES)
                promises += self.check(replies, slots, repeatable)
        self.assertGreater(promises, 0)


class SentTest(unittest.IsolatedAsyncioTestCase):
    """An exchange that fails says whether a byte of it may have left."""

    async def failure(
        self, peer: scripted.Peer, **options: object
    ) -> exchanges.ExchangeError:
        """Returns the error of an exchange, and of none before it."""
        peer_client = client.Client(address=client.Address.parse(peer.address))
        self.addCleanup(peer_client.drop_idle)
        if options.pop("reused", False):
            await peer_client.request("POST", "/", timeout=1.0, body=b"first")
        with self.assertRaises(exchanges.ExchangeError) as raised:
            await peer_client.request("POST", "/", body=b"second", **options)
        return raised.exception

    async def test_a_request_that_reached_a_server_counts_as_sent(self):
        async def close(peer, writer):
            writer.close()

        async def reset(peer, writer):
            scripted.reset_connection(writer)

        async def stay_silent(peer, writer):
            pass

        for script, reused in itertools.product(
            (close, reset, stay_silent), (False, True)
        ):

            async def answer_first(peer, writer, script=script, reused=reused):
                if reused and peer.requests == 1:
                    writer.write(scripted.answer())
                    return
                await script(peer, writer)

            peer = scripted.Peer(answer_first)
            await peer.start(self)
            error = await self.failure(
                peer, timeout=TIMEOUT_SECONDS, reused=reused
            )
            with self.subTest(script=script.__name__, reused=reused):
                self.assertEqual(1 + reused, peer.requests)
                self.assertTrue(error.maybe_sent)

    async def test_a_request_without_a_connection_counts_as_not_sent(self):
        peer = scripted.Peer(scripted.write_and_stay(scripted.answer()))
        listener = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        peer.address = f"127.0.0.1:{port}"
        self.addCleanup(listener.close)
        error = await self.failure(peer, timeout=1.0, reuse_only=True)
        self.assertFalse(error.maybe_sent)
        listener.close()
        error = await self.failure(peer, timeout=1.0)
        self.assertFalse(error.maybe_sent)
        self.assertEqual(0, peer.requests)


class StatusTest(unittest.TestCase):
    """The statuses of callers' responses."""

    def test_only_a_refusal_is_believed_not_to_have_run(self):
        believed = (ports.AnswerKind.REFUSED, ports.AnswerKind.NOT_OWNER)
        signature = (b"response-signature", b"s")
        for status, signed, refused in itertools.product(
            range(200, 600), (False, True), (False, True)
        ):
            fields = [signature] if signed else []
            fields += [(b"not-executed", b"1")] if refused else []
            response = messages.Response(status=status, headers=fields)
            kind = protocol.classify(response)
            with self.subTest(status=status, signed=signed, refused=refused):
                self.assertEqual(refused or status == 421, kind in believed)
                if kind is ports.AnswerKind.ANSWERED or (
                    kind is ports.AnswerKind.FAILED
                ):
                    self.assertNotIn(status, PROMISES)

    def test_codes_of_routers_that_prove_nothing_have_no_status_that_does(self):
        unknown = (
            codes.LOST,
            codes.TIMED_OUT,
            codes.BAD_ANSWER,
            codes.BODY_CUT,
            codes.STOPPED,
            codes.HANDLER_FAILED,
        )
        for code in unknown:
            response = protocol.to_response(outcomes.Unknown(code=code))
            with self.subTest(code=code.number):
                self.assertNotIn(response.status, PROMISES)


if __name__ == "__main__":
    unittest.main()
