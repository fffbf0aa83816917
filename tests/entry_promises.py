"""What an entry proves of a call, over all ways in which attempts end."""

import asyncio
import itertools
import types
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist.entry import calls
from oleanderhoist.entry import claims
from oleanderhoist.entry import forwarder
from oleanderhoist.entry import frontend
from oleanderhoist.entry import sending
from oleanderhoist.entry import slotclient
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from tests import entry_stops
from tests import virtual

ATTEMPTS = 2  # A third one is refused.
TIMEOUT_SECONDS = 60.0
STOP_AFTER_SECONDS = 1.0
REFUSED = (sending.REFUSED_HEADER, b"1")

NOT_RUN = {
    "refused": messages.Response(status=503, headers=[REFUSED]),
    "too late": messages.Response(status=504, headers=[REFUSED]),
    "not sent": exchanges.ExchangeError("cannot connect", maybe_sent=False),
}
MAY_HAVE_RUN = {
    "answered": messages.Response(status=200),
    "lost": exchanges.ExchangeError("reset", maybe_sent=True),
    "cut": exchanges.ExchangeError(
        "cut", maybe_sent=True, response_started=True
    ),
    "timed out": exchanges.ExchangeError(
        "late", maybe_sent=True, timed_out=True
    ),
    "silent": None,
}
REPLIES = {**NOT_RUN, **MAY_HAVE_RUN}
SLOTS = {
    "granted": slotclient.SlotGrant(server="s", request_id=1, coordinator=""),
    "full": slotclient.SlotRefusal(code=codes.OVERLOADED),
    "server gone": slotclient.SlotRefusal(code=codes.NO_SERVER),
    "waits": None,
}


class Servers:
    """Clients of servers that answer, and slots, as a script says.

    Attributes:
        replies: Names of the replies to come.
        slots: Names of the verdicts on slot requests to come.
        seen: Replies that were given.
    """

    def __init__(self, replies: tuple[str, ...], slots: tuple[str, ...]):
        self.replies = iter(replies)
        self.slots = iter(slots)
        self.seen: list[str] = []
        self.loads = {"s": types.SimpleNamespace(outstanding=0)}

    def get(self, address: str, id: str) -> "Servers":
        """Returns the client of any server."""
        return self

    def load(self, id: str, slots: int) -> types.SimpleNamespace:
        """Returns the load of any server."""
        return self.loads["s"]

    def release(self, grant: slotclient.SlotGrant, seconds: object) -> None:
        """Ignores the release."""

    async def acquire(
        self, request: slotclient.SlotRequest, deadline: float
    ) -> slotclient.SlotGrant | slotclient.SlotRefusal:
        """Gives the next verdict, or none before the stop."""
        verdict = SLOTS[next(self.slots)]
        if verdict is None:
            await asyncio.sleep(TIMEOUT_SECONDS)
        return verdict

    async def request(
        self, method: str, *args: object, **kwargs: object
    ) -> messages.Response:
        """Gives the next reply, or none before the stop."""
        if method == "DELETE":
            return messages.Response(status=404)
        name = next(self.replies)
        self.seen.append(name)
        if name == "silent":
            await asyncio.sleep(TIMEOUT_SECONDS)
        if isinstance(REPLIES[name], exchanges.ExchangeError):
            raise REPLIES[name]
        return REPLIES[name]


class PromisesTest(unittest.TestCase):
    """A call is said not to have run only if no exchange may have run it."""

    def forwarder(
        self, loop: virtual.Loop, servers: Servers
    ) -> forwarder.Forwarder:
        """Returns a forwarder that knows one server."""
        clock = virtual.Clock(loop=loop)
        tested = forwarder.Forwarder(
            snapshot_store=types.SimpleNamespace(),
            slot_client=servers,
            claims=claims.Claims(table=entry_stops.MemoryTable(), clock=clock),
            clock=clock,
            policy=entry_stops.SETTINGS.choice,
            rng=None,
        )
        tested.sender.clients = servers
        tested.retry_budget = types.SimpleNamespace(
            earn=lambda: None, spend=lambda: True
        )
        server = types.SimpleNamespace(id="s", address="x:1", slots=1)

        async def select_target(call: calls.Call) -> sending.Target:
            return sending.Target(server=server)

        tested.select_target = select_target
        return tested

    def serve(
        self,
        replies: tuple[str, ...],
        slots: tuple[str, ...],
        repeatable: bool,
        key: str,
    ) -> tuple[outcomes.Outcome, Servers]:
        """Returns the outcome of a call, and its servers."""
        loop = virtual.Loop()
        servers = Servers(replies, slots)
        tested = self.forwarder(loop, servers)
        call = calls.Call(
            id="c",
            customer="c",
            work=types.SimpleNamespace(
                repeatable=repeatable, service_ms=1.0, rank=0, worth=1.0
            ),
            key="",
            request=messages.Request(
                method="POST", target="/", headers=[], body=iter(())
            ),
            deadline=loop.now + TIMEOUT_SECONDS,
            idempotency_key=key,
        )
        entry_frontend = frontend.Frontend(
            contracts=None,
            rate_limiter=None,
            forwarder=tested,
            claims=tested.claims,
            clock=tested.clock,
        )

        def stop() -> None:
            tested.slots_due.set(loop.now)
            entry_frontend.answers_due.set(loop.now + STOP_AFTER_SECONDS)

        loop.call_later(STOP_AFTER_SECONDS, stop)
        return virtual.run(entry_frontend.forward(call), loop), servers

    def test_no_promise_follows_an_exchange_that_may_have_run(self):
        promises = 0
        for replies, last, granted, repeatable, key in itertools.product(
            itertools.product(REPLIES, repeat=ATTEMPTS),
            SLOTS,
            range(1, ATTEMPTS + 1),
            (False, True),
            ("", "k"),
        ):
            slots = ("granted",) * granted + (last, "full")
            replies = (*replies, "refused", "refused")
            outcome, servers = self.serve(replies, slots, repeatable, key)
            may_have_run = [n for n in servers.seen if n in MAY_HAVE_RUN]
            promised = isinstance(outcome, outcomes.NotRun)
            promises += promised
            with self.subTest(seen=servers.seen, slots=slots, key=key):
                if may_have_run:
                    self.assertFalse(promised, outcome)
                if not repeatable:
                    self.assertLessEqual(len(may_have_run), 1)
        self.assertGreater(promises, 0)

    def test_only_a_claim_that_was_not_checked_proves_nothing_with_503(self):
        promises = (408, 421, 429, 503)
        unproven = {
            code.number
            for code in codes.REGISTRY.values()
            if code.outcome is codes.ExecutionStatus.UNKNOWN
            and code.status in promises
        }
        administration = codes.CONTRACT_UNCONFIRMED.number
        self.assertEqual(
            {codes.REFUSED_UNCHECKED.number, administration}, unproven
        )


if __name__ == "__main__":
    unittest.main()
