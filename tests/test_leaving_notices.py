"""Routers that forward requests to servers that say that they leave."""

import asyncio
import dataclasses
import unittest

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.node import jobs
from oleanderhoist.node import wire
from oleanderhoist.platform import protocol
from tests import forwarding_fleet
from tests import virtual

LEAVES_AT = 2.0
PLAY_SECONDS = 6.0


class NoticeTest(unittest.TestCase):
    """The header is decoded once, or ignored."""

    def notice(self, *headers: tuple[bytes, bytes]) -> ports.ServerNotice:
        """Returns the notice of a response."""
        return protocol.server_notice(messages.Response(headers=list(headers)))

    def test_a_leaving_server_is_not_understood(self):
        self.assertTrue(self.notice(forwarding_fleet.NOTICE).leaving)
        self.assertTrue(
            self.notice(
                forwarding_fleet.NOTICE,
                forwarding_fleet.OWN,
                forwarding_fleet.NOTICE,
            ).leaving
        )
        self.assertFalse(self.notice(forwarding_fleet.OWN).leaving)
        self.assertEqual({}, self.notice(forwarding_fleet.NOTICE).unreadable)

    def test_anything_else_means_leaving(self):
        for value in (b"", b"0", b"true", b"11", b"1, 1", b"\xb9", b"1" * 400):
            notice = self.notice((b"server-leaving", value))
            self.assertFalse(notice.leaving, value)
            text = notice.unreadable[ports.NoticeField.LEAVING]
            self.assertIn("server-leaving", text)
            self.assertLess(len(text), 80)
        notice = self.notice(forwarding_fleet.NOTICE, (b"server-leaving", b"0"))
        self.assertFalse(notice.leaving)
        self.assertEqual([ports.NoticeField.LEAVING], list(notice.unreadable))

    def test_one_odd_header_hides_the_others(self):
        notice = self.notice(
            (b"server-limit", b"many"), forwarding_fleet.NOTICE
        )
        self.assertTrue(notice.leaving)
        self.assertIsNone(notice.limit)
        notice = self.notice(
            (b"server-limit", b"3"), (b"server-leaving", b"maybe")
        )
        self.assertEqual(3.0, notice.limit)


class ReplayTest(unittest.TestCase):
    """Several routers and a pool of which servers leave."""

    def play(self, fleet: forwarding_fleet.Fleet) -> None:
        """Plays requests, of which all must be served."""
        fleet.loop.call_later(
            LEAVES_AT, fleet.leaving.add, forwarding_fleet.LEAVING
        )
        virtual.run(fleet.offer(PLAY_SECONDS), fleet.loop)
        self.assertEqual([], fleet.late())
        for outcome in fleet.outcomes:
            self.assertIsInstance(outcome, outcomes.Complete)

    def test_routers_send_on_to_a_server_that_leaves(self):
        fleet = forwarding_fleet.Fleet()
        self.play(fleet)
        self.assertTrue(fleet.heard)

    def test_a_coordinator_that_does_not_know_wastes_slots(self):
        for slots in (2, 3):  # Two of the three servers need 2.
            fleet = forwarding_fleet.Fleet(slots=slots)
            fleet.lost = wire.ServerLeaving
            fleet.callers = fleet.all_but_the_coordinator()
            self.play(fleet)
            self.assertEqual(len(fleet.callers), len(fleet.heard))

    def test_two_of_three_servers_leave(self):
        fleet = forwarding_fleet.Fleet(slots=3)
        fleet.lost = wire.ServerLeaving
        fleet.loop.call_later(
            LEAVES_AT + 1, fleet.leaving.add, forwarding_fleet.OTHER
        )
        self.play(fleet)


class RouterTest(unittest.TestCase):
    """What a router does alone, from the answer that says it."""

    def run_calls(
        self, fleet: forwarding_fleet.Fleet, count: int
    ) -> list[outcomes.Outcome]:
        """Forwards requests one after the other."""

        async def calls() -> list[outcomes.Outcome]:
            return [await fleet.call(fleet.routers[0]) for _ in range(count)]

        return virtual.run(calls(), fleet.loop)

    def test_some_answers_of_its_own_are_not_heeded(self):
        own = [
            messages.Response(headers=[forwarding_fleet.OWN]),
            messages.Response(status=404, headers=[forwarding_fleet.OWN]),
            messages.Response(status=500),
            messages.Response(
                status=503, headers=[forwarding_fleet.NOT_EXECUTED]
            ),
        ]
        for answer in own:
            fleet = forwarding_fleet.Fleet(routers=1, servers="a")
            fleet.answer = answer
            fleet.leaving.add(forwarding_fleet.LEAVING)
            self.run_calls(fleet, 3)
            self.assertEqual(1, fleet.reached(forwarding_fleet.LEAVING), answer)

    def test_an_answer_that_may_be_of_another_server_is_heeded(self):
        foreign = [
            messages.Response(
                status=421, headers=[forwarding_fleet.NOT_EXECUTED]
            ),
            messages.Response(status=503),
            messages.Response(status=200),
        ]
        for answer in foreign:
            fleet = forwarding_fleet.Fleet(routers=1, servers="a")
            fleet.answer = answer
            fleet.leaving.add(forwarding_fleet.LEAVING)
            self.run_calls(fleet, 3)
            self.assertGreater(
                fleet.reached(forwarding_fleet.LEAVING), 2, answer
            )

    def test_a_request_without_any_other_server_waits(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a")
        fleet.leaving.add(forwarding_fleet.LEAVING)

        async def scenario() -> float:
            await fleet.call(fleet.routers[0])
            began = fleet.loop.now
            await fleet.call(fleet.routers[0])
            return fleet.loop.now - began

        self.assertEqual(0.0, virtual.run(scenario(), fleet.loop))
        refused = fleet.outcomes[1]
        self.assertIsInstance(refused, outcomes.NotRun)
        self.assertGreater(refused.retry_after, 0.0)

    def test_a_retry_goes_to_the_server_that_leaves(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a")
        fleet.answer = messages.Response(status=500)
        fleet.leaving.add(forwarding_fleet.LEAVING)
        (outcome,) = self.run_calls(fleet, 1)
        self.assertEqual(500, outcome.response.status)
        self.assertEqual(1, fleet.reached(forwarding_fleet.LEAVING))

    def test_a_request_without_any_other_server_spends_the_budget(self):
        fleet = forwarding_fleet.Fleet(servers="a")
        fleet.answer = messages.Response(status=500)
        fleet.leaving.add(forwarding_fleet.LEAVING)
        budget = fleet.routers[0].forwarder.budget.get(forwarding_fleet.POOL)
        budget.credit = 10.0
        (outcome,) = self.run_calls(fleet, 1)
        self.assertEqual(500, outcome.response.status)
        self.assertGreater(budget.credit, 8.9)

    def test_a_request_that_waits_is_sent_to_it(self):
        fleet = forwarding_fleet.Fleet(routers=1, servers="a", slots=1)
        fleet.leaving.add(forwarding_fleet.LEAVING)

        async def scenario() -> None:
            calls = [fleet.call(fleet.routers[0]) for _ in range(4)]
            await asyncio.gather(*calls)

        virtual.run(scenario(), fleet.loop)
        self.assertEqual(1, fleet.reached(forwarding_fleet.LEAVING))


class GrantTest(unittest.TestCase):
    """Slots that were granted before the coordinator knew."""

    def play(
        self, granted: str, departed: str
    ) -> tuple[forwarding_fleet.Fleet, forwarding_fleet.ScriptedSlots]:
        """Forwards a request of which slots are granted in an order."""
        fleet = forwarding_fleet.Fleet(routers=1, servers="abcdef")
        router = fleet.routers[0]
        servers = fleet.snapshot.servers
        router.state.learn_departures(
            [servers[id].incarnation for id in departed], "test"
        )
        self.told = []
        router.link.send = lambda address, message: self.told.append(
            (address, message)
        )
        slots = forwarding_fleet.ScriptedSlots(
            slot_client=router.forwarder.slot_client, servers=granted
        )
        virtual.run(fleet.call(router), fleet.loop)
        return fleet, slots

    def test_such_a_slot_is_used_or_uses_up_the_attempts(self):
        fleet, slots = self.play("acdefb", "acdef")
        self.assertEqual(list("acdefb"), slots.released)
        self.assertEqual(["b"], [id for _, id, _ in fleet.arrivals])
        self.assertIsInstance(fleet.outcomes[0], outcomes.Complete)
        for request in slots.requests:
            self.assertEqual(frozenset("acdef"), request.excluded)

    def test_the_coordinator_is_not_told_again(self):
        self.play("aacb", "ac")
        expected = [
            ("10.0.0.9:1", wire.ServerLeaving(server=id, started_ms=1))
            for id in "aac"
        ]
        self.assertEqual(expected, self.told)

    def test_a_coordinator_that_never_learns_keeps_a_request_for_good(self):
        fleet, slots = self.play("a" * 20, "a")
        self.assertIs(codes.NO_SERVER, fleet.outcomes[0].code)
        self.assertEqual([], fleet.arrivals)
        self.assertLess(len(slots.requests), 6)

    def test_the_coordinator_and_the_leader_are_not_told_at_once(self):
        fleet = forwarding_fleet.Fleet()
        others = fleet.all_but_the_coordinator()
        heard, leads = others[0], others[1]
        fleet.adopt(
            dataclasses.replace(
                fleet.snapshot, version=2, leader=leads.link.address
            )
        )
        fleet.leaving |= {"a", "b", "c"}

        async def scenario() -> None:
            await fleet.call(heard)
            await asyncio.sleep(0.001)

        virtual.run(scenario(), fleet.loop)
        knowing = [r for r in fleet.routers if r.state.snapshot.departed]
        self.assertEqual(3, len(knowing))
        self.assertIn(heard, knowing)
        self.assertIn(leads, knowing)


class KeyedTest(unittest.TestCase):
    """Requests whose key's owner says that it leaves."""

    def play(
        self, move_after: float | None
    ) -> tuple[forwarding_fleet.Fleet, float]:
        """Plays two requests, and possibly a move of the keys.

        Returns:
            The fleet, and how long the second request took.
        """
        fleet = forwarding_fleet.Fleet(routers=1, keyed=True)
        fleet.leaving.add(forwarding_fleet.LEAVING)

        async def scenario() -> float:
            await fleet.call(fleet.routers[0])
            began = fleet.loop.now
            if move_after is not None:
                fleet.loop.call_later(move_after, fleet.move_keys)
            await fleet.call(fleet.routers[0])
            return fleet.loop.now - began

        return fleet, virtual.run(scenario(), fleet.loop)

    def test_a_request_does_not_wait_for_a_planned_move(self):
        fleet, took = self.play(0.1)
        self.assertIsInstance(fleet.outcomes[1], outcomes.Complete)
        self.assertEqual(forwarding_fleet.OTHER, fleet.outcomes[1].server)
        self.assertAlmostEqual(
            0.1 + forwarding_fleet.SERVICE_SECONDS, took, places=3
        )

    def test_a_request_without_a_move_is_sent_or_waits_for_long(self):
        fleet, took = self.play(None)
        self.assertEqual(1, fleet.reached(forwarding_fleet.LEAVING))
        self.assertIs(codes.NO_OWNER, fleet.outcomes[1].code)
        self.assertGreater(fleet.outcomes[1].retry_after, 0.0)
        self.assertLessEqual(took, jobs.MAX_OWNER_WAIT_SECONDS)

    def test_requests_that_wait_for_its_slots_are_refused(self):
        fleet = forwarding_fleet.Fleet(routers=1, keyed=True, slots=1)
        fleet.leaving.add(forwarding_fleet.LEAVING)
        fleet.loop.call_later(
            forwarding_fleet.SERVICE_SECONDS + 0.1, fleet.move_keys
        )

        async def scenario() -> None:
            calls = [fleet.call(fleet.routers[0]) for _ in range(3)]
            await asyncio.gather(*calls)

        virtual.run(scenario(), fleet.loop)
        self.assertEqual(1, fleet.reached(forwarding_fleet.LEAVING))
        self.assertEqual(2, fleet.reached(forwarding_fleet.OTHER))


if __name__ == "__main__":
    unittest.main()
