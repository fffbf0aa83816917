"""A leader that stops does not lead again."""

import asyncio
import types
import unittest
from unittest import mock

from oleanderhoist import ports
from oleanderhoist.node import core
from oleanderhoist.node import leaderstore
from tests import ownership_world
from tests import virtual

ROUTERS = 4
SUCCESSION_SECONDS = 0.6
LATE_WRITE_SEED = 2  # The late write precedes all other elections.


class ResignTest(unittest.TestCase):
    """Succession after a graceful stop, while the old leader still runs."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=ROUTERS)

    def leaders(self) -> list[str]:
        """Returns the routers that lead and have not resigned."""
        return [
            address
            for address, follower in self.world.followers.items()
            if follower.leadership is not None
            and not follower.leadership.leader_lease.resigned
        ]

    async def stop_leader(self, loss_seconds: float) -> list[str]:
        """Stops the leader while datagrams are lost for a while."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        (leader,) = self.leaders()
        self.world.fault_rates = {"datagram_lost": 1.0}
        await self.world.followers[leader].stop()
        await asyncio.sleep(loss_seconds)
        self.world.fault_rates = {}
        await asyncio.sleep(SUCCESSION_SECONDS)
        return self.leaders()

    def test_a_lost_notice_is_given_again(self):
        leaders = virtual.run(self.stop_leader(0.05), self.world.loop)
        self.assertEqual(1, len(leaders))

    def test_the_record_stays_vacant(self):
        async def stop() -> int:
            await self.stop_leader(0.0)
            return len(self.leaders())

        self.assertEqual(1, virtual.run(stop(), self.world.loop))

    async def stop_candidate(self) -> tuple[str, list[str]]:
        """Stops the first router that stands for election, while it does.

        Returns:
            The stopped router, and the leaders some seconds later.
        """
        stopped = []

        def stop_while_elected(address: str) -> None:
            follower = self.world.followers[address]
            acquire = follower.acquire_leadership

            async def stop_first(*args: object) -> None:
                if not stopped:
                    stopped.append(address)
                    await follower.stop()
                await acquire(*args)

            follower.acquire_leadership = stop_first

        for address in self.world.addresses:
            self.world.start(address)
            stop_while_elected(address)
        await asyncio.sleep(5)
        return stopped[0], self.leaders()

    def test_a_router_that_stops_while_elected_does_not_lead(self):
        stopped, leaders = virtual.run(self.stop_candidate(), self.world.loop)
        self.assertEqual(1, len(leaders))
        self.assertNotIn(stopped, leaders)


class WithdrawTest(unittest.TestCase):
    """A router that gets its stop signal during a call of its election.

    Attributes:
        stopped: The router that was stopped; empty before.
        elections_watched: Whether the next call stops its router.
        records: Leadership records that were written since then.
    """

    def start_world(self, seed: int) -> None:
        """Creates the routers, and records the leadership records."""
        self.world = ownership_world.World(seed=seed, routers=ROUTERS)
        self.stopped = ""
        self.elections_watched = False
        self.records: list[leaderstore.LeadershipRecord] = []
        write = self.world.write

        def write_recorded(
            values: dict[str, bytes], expected: dict[str, int]
        ) -> ports.Written | ports.Conflict:
            result = write(values, expected)
            is_written = isinstance(result, ports.Written)
            if is_written and leaderstore.LEADER_KEY in values:
                record = leaderstore.leadership_of(self.world.rows)
                self.records.append(record)
            return result

        self.world.write = write_recorded

    def stop_during(self, address: str, call: str, fault: str) -> None:
        """Stops a router during its first watched call of the store.

        Args:
            address: Address of the router.
            call: Name of the call.
            fault: Fault of that call; empty for none.
        """
        follower = self.world.followers[address]
        original = getattr(follower.platform, call)

        async def stop_meanwhile(*args: dict) -> object:
            if self.stopped or not self.elections_watched:
                return await original(*args)
            self.stopped = address
            self.world.fault_rates = {fault: 1.0}
            answer = asyncio.ensure_future(original(*args))
            await follower.stop()
            try:
                return await answer
            finally:
                self.world.fault_rates = {}

        setattr(follower.platform, call, stop_meanwhile)

    async def replace_leader(
        self, call: str, *, fault: str = "", crash: bool = False
    ) -> None:
        """Ends the leader, and stops its first successor during a call."""
        for address in self.world.addresses:
            self.world.start(address)
            self.stop_during(address, call, fault)
        await asyncio.sleep(5)
        leader = leaderstore.leadership_of(self.world.rows).address
        if crash:
            self.world.kill(leader)
        else:
            await self.world.followers[leader].stop()
        self.records.clear()
        self.elections_watched = True
        await asyncio.sleep(6)

    def check_vacated(self, *, seed: int = 3, fault: str = "") -> None:
        """Checks that a stopping router vacates the record that it wrote."""
        self.start_world(seed)
        scenario = self.replace_leader("write_rows", fault=fault, crash=True)
        virtual.run(scenario, self.world.loop)
        addresses = [record.address for record in self.records]
        self.assertIn(self.stopped, addresses)
        own = addresses.index(self.stopped)
        self.assertEqual("", addresses[own + 1])
        self.assertEqual(self.records[own].epoch, self.records[own + 1].epoch)
        self.assertGreater(self.records[own + 1].lapse_ms, 0)
        self.assertNotIn(self.stopped, addresses[own + 1 :])
        self.assertNotEqual("", addresses[-1])

    def test_a_record_won_by_a_stopping_router_is_vacated(self):
        self.check_vacated()

    def test_a_record_whose_write_had_no_reply_is_vacated(self):
        self.check_vacated(fault="write_reply_lost")

    def test_a_record_that_is_written_late_is_vacated(self):
        self.check_vacated(seed=LATE_WRITE_SEED, fault="write_late")

    def test_a_stopping_router_does_not_stand_for_election(self):
        self.start_world(3)
        scenario = self.replace_leader("read_rows")
        virtual.run(scenario, self.world.loop)
        addresses = [record.address for record in self.records]
        self.assertNotIn(self.stopped, addresses)
        self.assertNotEqual("", addresses[-1])


class EndTest(unittest.TestCase):
    """A router whose stop and whose successor's heartbeat come together."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=ROUTERS)

    async def stop_as_deposed(self) -> bool:
        """Deposes a leader as its stop ends; returns whether its task ended."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        (follower,) = [
            follower
            for follower in self.world.followers.values()
            if follower.leadership is not None
        ]

        async def depose(_: float) -> None:
            follower.leadership.deposed.set()

        server = mock.Mock(stop=mock.AsyncMock(side_effect=depose))
        idle = types.SimpleNamespace(
            server=types.SimpleNamespace(stop=mock.AsyncMock())
        )
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(stop_seconds=6.0),
            frontend=types.SimpleNamespace(server=server),
            health=idle,
            metrics=idle,
            forwarder=mock.Mock(),
            datagrams=mock.Mock(),
            resign=mock.AsyncMock(),  # Its successor has not read it yet.
        )
        task = self.world.tasks[follower.own_member.address]
        await core.Node.stop(node, [task])
        await asyncio.sleep(1.0)
        return task.done()

    def test_a_leader_that_is_deposed_as_its_stop_ends_does_not_live_on(self):
        ended = virtual.run(self.stop_as_deposed(), self.world.loop)
        self.assertTrue(ended)


class AwaitTest(unittest.TestCase):
    """How long a stopping router awaits answers."""

    def test_answers_are_awaited_into_the_last_sixth_before_the_kill(self):
        for stop_seconds in (3.0, 6.0, 10.0):
            with self.subTest(stop_seconds=stop_seconds):
                awaited = core.drain_seconds(stop_seconds)
                self.assertGreater(awaited, stop_seconds * 5 / 6)
                self.assertGreater(stop_seconds - awaited, 0.4)  # To exit.


if __name__ == "__main__":
    unittest.main()
