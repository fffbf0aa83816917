"""Asks for slots over datagrams that get lost."""

import asyncio
from collections.abc import Callable
import unittest

from oleanderhoist import clock
from oleanderhoist.node import coordinator
from oleanderhoist.node import slotclient
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import slotqueue

ASKER = "10.0.0.1:1"
HOME = "10.0.0.2:1"
LANE = "server/s"

Lose = Callable[[wire.Message], bool]


class Link:
    """The datagrams of one process; all but the lost ones arrive."""

    def __init__(self, *, address: str, lose: Lose):
        self.address = address
        self.lose = lose
        self.handlers: dict[type, Callable] = {}
        self.others: dict[str, Link] = {}

    def send(self, address: str, message: wire.Message) -> None:
        """Sends a message."""
        if self.lose(message):
            return
        other = self.others[address]
        asyncio.get_running_loop().call_soon(
            other.handlers[type(message)], self.address, message
        )


def known() -> state.State:
    """Returns a state with one server whose home is another process."""
    found = state.State()
    member = cluster.Member(address=HOME, data_center="a", cores=1.0)
    server = cluster.Server(
        id="s", pool="p", address="x:1", data_center="a", slots=2
    )
    found.picture = cluster.Picture(
        epoch=1, version=1, members={HOME: member}, servers={"s": server}
    )
    return found


class Pair:
    """A process that asks, and the home of its lane."""

    def __init__(self, *, lose: Lose):
        now = clock.Clock()
        self.links = {
            name: Link(address=name, lose=lose) for name in (ASKER, HOME)
        }
        for link in self.links.values():
            link.others = self.links
        self.states = {name: known() for name in self.links}
        self.homes = {
            name: coordinator.Homes(state=self.states[name], clock=now)
            for name in self.links
        }
        self.permits = {
            name: slotclient.Permits(
                peers=self.links[name],
                homes=self.homes[name],
                state=self.states[name],
                clock=now,
            )
            for name in self.links
        }
        self.clock = now

    async def ask(self, id: int = 1) -> slotclient.Permit | slotqueue.Refused:
        """Asks for a slot."""
        now = self.clock.monotonic()
        ticket = slotqueue.Ticket(
            id=id,
            asker=ASKER,
            rank=0,
            deadline=now + 5,
            objective=now + 1,
        )
        return await self.permits[ASKER].ask(LANE, ticket)

    def running(self) -> int:
        """Returns the slots that the home counts as taken."""
        lane = self.homes[HOME].get(LANE).lane
        return sum(len(server.running) for server in lane.servers.values())


def lose_first(kind: type) -> Lose:
    """Returns a link's losses: the first message of a kind."""
    lost = []

    def lose(message: wire.Message) -> bool:
        if isinstance(message, kind) and not lost:
            lost.append(message)
            return True
        return False

    return lose


class LossTest(unittest.IsolatedAsyncioTestCase):
    """One lost datagram is no reason to pass over a home."""

    async def check(self, kind: type) -> None:
        """Checks that a slot is got from its home, and given back."""
        pair = Pair(lose=lose_first(kind))
        permit = await pair.ask()
        self.assertEqual(HOME, permit.home)
        self.assertEqual({}, pair.permits[ASKER].shunned)
        self.assertEqual(1, pair.running())
        pair.permits[ASKER].done(permit, seconds=0.1, failed=False)
        await asyncio.sleep(0.01)
        self.assertEqual(0, pair.running())

    async def test_a_lost_ask_is_repeated(self):
        await self.check(wire.Ask)

    async def test_a_lost_slot_is_granted_again_and_counted_once(self):
        await self.check(wire.Slot)

    async def test_a_home_that_stays_silent_is_passed_over(self):
        pair = Pair(lose=lambda message: isinstance(message, wire.Ask))
        permit = await pair.ask()
        self.assertEqual(ASKER, permit.home)
        self.assertIn(HOME, pair.permits[ASKER].shunned)

    async def test_a_slot_granted_twice_is_freed_wherever_it_is(self):
        pair = Pair(lose=lambda message: False)
        permit = await pair.ask()
        lane = pair.homes[HOME].get(LANE).lane
        lane.update(
            [
                *lane.servers.values(),
                slotqueue.Server(id="t", data_center="a", slots=1, service=0.1),
            ]
        )
        lane.servers["t"].running[(ASKER, 1)] = lane.servers["s"].running.pop(
            (ASKER, 1)
        )
        pair.permits[ASKER].done(permit, seconds=0.1, failed=False)
        await asyncio.sleep(0.01)
        self.assertEqual(0, pair.running())


if __name__ == "__main__":
    unittest.main()
