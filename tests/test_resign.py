"""A leader that stops does not lead again."""

import asyncio
from collections.abc import Callable
import unittest

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.node import core
from oleanderhoist.node import follower
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import leaseexpiries
from tests import ownership_world
from tests import virtual

ROUTERS = 4
SUCCESSION_SECONDS = 0.6
NEXT_LEADER_SECONDS = 2.0  # Shorter than the timeout of a silent member.
LATE_WRITE_SECONDS = (0.1, 0.1)  # Before all other elections.
POLL_SECONDS = 0.01
NOTICE_SECONDS = 0.1  # For a heartbeat and the report that it leads to.
LEAVE_SEEDS = (3, 4)
RANGE = keys.Range(start=0, end=99, owner="s0")
OTHER_RANGE = keys.Range(start=200, end=299, owner="s0")


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


class MemberTest(unittest.TestCase):
    """A stopping router under a new leader."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=ROUTERS)

    async def stop_member_and_leader(self) -> tuple[str, set[str]]:
        """Stops a member, and the leader before it has handled the report.

        Returns:
            The stopped member, and the members of the next leader.
        """
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        leader = leaderstore.leadership_of(self.world.rows).address
        stopped = next(a for a in self.world.addresses if a != leader)
        self.world.kill(leader)
        await self.world.followers[stopped].stop()
        await asyncio.sleep(NEXT_LEADER_SECONDS)
        (successor,) = [
            follower.leadership
            for address, follower in self.world.followers.items()
            if follower.leadership is not None and address != leader
        ]
        return stopped, set(successor.members)

    def test_a_new_leader_hears_that_a_member_stops(self):
        scenario = self.stop_member_and_leader()
        stopped, members = virtual.run(scenario, self.world.loop)
        self.assertNotIn(stopped, members)


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

    def check_vacated(self, *, fault: str = "") -> None:
        """Checks that a stopping router vacates the record that it wrote."""
        self.start_world(3)
        self.world.late_write_seconds = LATE_WRITE_SECONDS
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
        self.check_vacated(fault="write_late")

    def test_a_stopping_router_does_not_stand_for_election(self):
        self.start_world(3)
        scenario = self.replace_leader("read_rows")
        virtual.run(scenario, self.world.loop)
        addresses = [record.address for record in self.records]
        self.assertNotIn(self.stopped, addresses)
        self.assertNotEqual("", addresses[-1])


class LeaveTest(unittest.TestCase):
    """A follower that has said that it leaves stays no member.

    Attributes:
        leader: The first leader.
        leaver: The follower that stops.
    """

    async def start_world(self) -> None:
        """Starts the routers, and picks the one that leaves."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        self.leader = leaderstore.leadership_of(self.world.rows).address
        self.leaver = next(a for a in self.world.addresses if a != self.leader)

    def run_scenario(self, seed: int, scenario: Callable) -> object:
        """Runs a scenario in a new world."""
        self.world = ownership_world.World(seed=seed, routers=ROUTERS)

        async def play() -> object:
            await self.start_world()
            return await scenario()

        return virtual.run(play(), self.world.loop)

    def is_member(self) -> bool:
        """Returns whether the leader counts on the leaver."""
        leadership = self.world.followers[self.leader].leadership
        return self.leaver in leadership.members

    async def watch_successor(self, seconds: float) -> float:
        """Returns for how long a successor counted on the leaver."""
        counted = 0.0
        for _ in range(round(seconds / POLL_SECONDS)):
            await asyncio.sleep(POLL_SECONDS)
            counted += POLL_SECONDS * any(
                f.leadership is not None and self.leaver in f.leadership.members
                for address, f in self.world.followers.items()
                if address not in (self.leader, self.leaver)
            )
        return counted

    def check_successions(self, first: str, second: str) -> None:
        """Checks that no successor counts on the leaver for long."""
        counted = {}
        for seed in LEAVE_SEEDS:
            for gap_seconds in (0.0, 0.3, 1.0):

                async def stop_both(gap_seconds: float = gap_seconds) -> float:
                    await self.world.followers[getattr(self, first)].stop()
                    await asyncio.sleep(gap_seconds)
                    await self.world.followers[getattr(self, second)].stop()
                    return await self.watch_successor(4.0)

                seconds = self.run_scenario(seed, stop_both)
                if seconds > NOTICE_SECONDS:
                    counted[seed, gap_seconds] = round(seconds, 2)
        self.assertEqual({}, counted)

    def test_a_follower_that_leaves_does_not_rejoin_at_the_successor(self):
        self.check_successions("leaver", "leader")

    def test_a_follower_that_leaves_after_its_leader_does_not_rejoin(self):
        self.check_successions("leader", "leaver")

    def test_a_lost_notice_of_leaving_is_given_again(self):
        async def lose_notice() -> list[bool]:
            self.world.fault_rates = {"datagram_lost": 1.0}
            await self.world.followers[self.leaver].stop()
            await asyncio.sleep(2 * ownership_world.DATAGRAM_SECONDS)
            self.world.fault_rates = {}
            await asyncio.sleep(
                follower.MEMBER_REPORT_INTERVAL_SECONDS + NOTICE_SECONDS
            )
            counted = []
            for _ in range(200):
                counted.append(self.is_member())
                await asyncio.sleep(POLL_SECONDS)
            return counted

        self.assertEqual(
            {False}, set(self.run_scenario(LEAVE_SEEDS[0], lose_notice))
        )

    def test_a_late_notice_does_not_keep_a_new_process_out(self):
        async def deliver_late() -> tuple[bool, bool]:
            before = self.world.followers[self.leaver]
            await before.stop()
            self.world.kill(self.leaver)
            await asyncio.sleep(NOTICE_SECONDS)
            self.world.start(self.leaver)
            await asyncio.sleep(1.0)
            joined = self.is_member()
            notice = wire.encode(before.member_report())
            self.world.deliver(self.leaver, self.leader, notice)
            await asyncio.sleep(
                follower.MEMBER_REPORT_INTERVAL_SECONDS + NOTICE_SECONDS
            )
            return joined, self.is_member()

        result = self.run_scenario(LEAVE_SEEDS[0], deliver_late)
        self.assertEqual((True, True), result)


class ResigningChannel:
    """A lease channel whose calls take until the leader has resigned.

    Attributes:
        sent: Names of the calls that were sent.
    """

    def __init__(self, *, leader_lease: leaderlease.LeaderLease, call: str):
        self.leader_lease = leader_lease
        self.call = call
        self.sent: list[str] = []

    def lease_channel(self, server: cluster.Server) -> "ResigningChannel":
        """Returns the channel to a server."""
        return self

    def record(self, call: str) -> None:
        """Records a call; the leader resigns during one of them."""
        self.sent.append(call)
        if call == self.call:
            self.leader_lease.resigned = True

    async def connect(self, *, allow_new: bool) -> int:
        """Ensures a connection."""
        self.record("connect")
        return 1

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Accepts a grant."""
        self.record("grant")
        return True

    async def release(self, start: int, end: int, fence: int) -> str:
        """Releases keys."""
        self.record("release")
        return "token"


class GrantTest(unittest.IsolatedAsyncioTestCase):
    """A leader that has resigned sends no further grants."""

    def manage(self, call: str) -> leasemanager.LeaseManager:
        """Returns a lease manager whose leader resigns during a call."""
        time_source = clock.Clock()
        now = time_source.boottime()
        leader_lease = leaderlease.LeaderLease(
            epoch=1, confirmed_at=now, began_at=now, max_lease_seconds=10.0
        )
        self.channel = ResigningChannel(leader_lease=leader_lease, call=call)
        return leasemanager.LeaseManager(
            server=ownership_world.World(seed=1).server_entry("s0"),
            platform=self.channel,
            fences=leasemanager.FencingTokens(epoch=1),
            leader_lease=leader_lease,
            clock=time_source,
            ranges=lambda: [RANGE, OTHER_RANGE],
            expiries=leaseexpiries.LeaseExpiries(initial=0.0),
        )

    async def test_no_lease_is_granted_on_a_connection_that_took_long(self):
        manager = self.manage("connect")
        self.assertFalse(await manager.renew())
        self.assertEqual(["connect"], self.channel.sent)
        self.assertEqual(0.0, manager.leases_expire_at())
        self.assertIsNone(manager.failing_since)

    async def test_no_further_range_is_granted(self):
        manager = self.manage("grant")
        self.assertFalse(await manager.renew())
        self.assertEqual(["connect", "grant"], self.channel.sent)

    async def test_no_fence_is_raised(self):
        manager = self.manage("connect")
        self.assertIsNone(await manager.revoke(RANGE, 1))
        self.assertEqual(["connect"], self.channel.sent)

    async def test_moved_keys_are_not_granted(self):
        manager = self.manage("connect")
        await manager.connect()
        with self.assertRaises(ports.OrderError):
            await manager.grant(RANGE)
        self.assertEqual(["connect"], self.channel.sent)


class EndTest(unittest.TestCase):
    """A leader that is deposed, at the end of its stop or long before."""

    def setUp(self):
        self.world = ownership_world.World(seed=3, routers=ROUTERS)

    async def depose_leader(self) -> str:
        """Deposes the leader; returns its address."""
        for address in self.world.addresses:
            self.world.start(address)
        await asyncio.sleep(5)
        leader = leaderstore.leadership_of(self.world.rows).address
        self.world.followers[leader].leadership.deposed.set()
        return leader

    async def end_deposed_leader(self, turns: int) -> bool:
        """Ends a leader's tasks after it is deposed.

        Args:
            turns: Turns of the event loop between the two.

        Returns:
            Whether the task has ended.
        """
        task = self.world.tasks[await self.depose_leader()]
        for _ in range(turns):
            await asyncio.sleep(0)
        await core.end_tasks([task])
        return task.done()

    def test_a_leader_that_is_deposed_at_its_end_does_not_run_on(self):
        for turns in range(12):
            self.world = ownership_world.World(seed=3, routers=ROUTERS)
            ended = virtual.run(self.end_deposed_leader(turns), self.world.loop)
            self.assertTrue(ended, turns)

    def test_a_deposed_leader_follows_the_next(self):
        async def depose() -> bool:
            task = self.world.tasks[await self.depose_leader()]
            await asyncio.sleep(3.0)
            return task.done()

        ended = virtual.run(depose(), self.world.loop)
        self.assertFalse(ended)


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
