"""Replays of arrivals at servers that limit the rate of their requests."""

import asyncio
import dataclasses
import random
import unittest

from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.node import coordinator
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import serverlimit
from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotqueue
from oleanderhoist.policy import slotrequests
from tests import test_permits
from tests import virtual

QUEUE = "server/s"
SERVER = cluster.Server(
    id="s", pool="p", address="x:1", data_center="a", slots=3, started_ms=1
)
ROUTERS = 8
OFFERED_PER_SECOND = 40.0
SERVICE_SECONDS = 0.05
OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 1.0
LIMIT = 6.0  # Requests per second.
WINDOW_SECONDS = 4.0
NOTICE_SECONDS = 0.5  # From the first answer that names a limit.
PLAY_SECONDS = 15.0
LOSS_SECONDS = 1.6  # Until a silent member is removed.
UNPACED_PER_SECOND = 0.7 * OFFERED_PER_SECOND


def busiest(times: list[float], seconds: float = WINDOW_SECONDS) -> int:
    """Returns the largest number of times within a window."""
    return max(
        (sum(0 <= t - start < seconds for t in times) for start in times),
        default=0,
    )


def most_allowed(limit: float) -> float:
    """Returns the most requests that a window may hold."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class PaceTest(unittest.TestCase):
    """A slot queue grants slots at the rate that a server names."""

    def replay(self, limits: dict[float, float | None]) -> list[float]:
        """Returns when slots are granted, for limits by their begin."""
        rng = random.Random(1)
        queue = slotqueue.SlotQueue(service_seconds=SERVICE_SECONDS)
        queue.update(
            [
                serverslots.ServerSlots(
                    id="s",
                    data_center="a",
                    slots=3,
                    service_seconds=SERVICE_SECONDS,
                )
            ]
        )
        pending = sorted(limits.items())
        running: list[tuple[float, int]] = []
        granted = []
        now = 0.0
        for id in range(int(PLAY_SECONDS * OFFERED_PER_SECOND)):
            now += rng.expovariate(OFFERED_PER_SECOND)
            server = queue.servers["s"]
            while pending and pending[0][0] <= now:
                server.limit(pending.pop(0)[1], now)
            if server.pace is not None:
                server.pace.confirmed_at = now
            while running and running[0][0] <= now:
                _, ended = running.pop(0)
                queue.release(
                    "r",
                    ended,
                    "s",
                    seconds=SERVICE_SECONDS,
                    failed=False,
                    now=now,
                )
            request = slotrequests.SlotRequest(
                id=id,
                requester="r",
                rank=0,
                deadline=now + DEADLINE_SECONDS,
                objective=now + OBJECTIVE_SECONDS,
            )
            verdicts = [queue.submit(request, now), *queue.grant_waiting(now)]
            for verdict in verdicts:
                if isinstance(verdict, slotrequests.Granted):
                    granted.append(now)
                    running.append((now + SERVICE_SECONDS, verdict.request.id))
        return granted

    def test_a_queue_grants_more_slots_than_its_server_takes(self):
        for limit in (0.25, 0.6, 2.0, 9.5, 25.0):
            granted = self.replay({0.0: limit})
            self.assertLessEqual(busiest(granted), most_allowed(limit), limit)
            used = int(0.8 * limit * PLAY_SECONDS)
            self.assertGreaterEqual(len(granted), used, limit)

    def test_a_changed_limit_applies_late(self):
        granted = self.replay({0.0: 20.0, 5.0: 4.0, 10.0: None})
        between = [t for t in granted if 5.0 <= t < 10.0]
        self.assertLessEqual(busiest(between), 4.0 * WINDOW_SECONDS + 2)
        after = [t for t in granted if t >= 10.0]
        self.assertGreater(len(after), 0.7 * 5 * OFFERED_PER_SECOND)

    def test_a_limit_that_is_named_no_more_stays_for_good(self):
        server = serverslots.ServerSlots(
            id="s", data_center="a", slots=3, service_seconds=SERVICE_SECONDS
        )
        server.limit(4.0, 0.0)
        server.end_lapsed_limit(serverlimit.LAPSE_SECONDS)
        self.assertIsNotNone(server.pace)
        server.end_lapsed_limit(serverlimit.LAPSE_SECONDS + 0.1)
        self.assertIsNone(server.pace)


class Router:
    """A router that acquires slots and reports what the server says."""

    def __init__(self, *, fleet: "Fleet", address: str):
        self.fleet = fleet
        self.link = test_permits.Link(address=address, lose=self.lose)
        self.link.others = fleet.links
        fleet.links[address] = self.link
        self.state = state.State()
        self.coordinator = coordinator.Coordinator(
            state=self.state, clock=fleet.clock
        )
        slotserver.SlotServer(
            datagrams=self.link,
            coordinator=self.coordinator,
            clock=fleet.clock,
        )
        self.client = slotclient.SlotClient(
            datagrams=self.link,
            coordinator=self.coordinator,
            state=self.state,
            clock=fleet.clock,
        )

    def lose(self, message: object) -> bool:
        """Returns whether a message of this router gets lost."""
        return self.link.address in self.fleet.cut

    async def call(self, id: int) -> None:
        """Makes one request."""
        now = self.fleet.loop.now
        request = slotrequests.SlotRequest(
            id=id,
            requester=self.link.address,
            rank=0,
            deadline=now + DEADLINE_SECONDS,
            objective=now + OBJECTIVE_SECONDS,
        )
        verdict = await self.client.acquire(QUEUE, request)
        if isinstance(verdict, slotrequests.Refused):
            self.fleet.refused_after.append(self.fleet.loop.now - now)
            return
        sent_at = self.fleet.loop.now
        server = self.state.snapshot.servers[verdict.server]
        self.fleet.arrivals.append(sent_at)
        await asyncio.sleep(SERVICE_SECONDS)
        notice = ports.ServerNotice(limit=self.fleet.limit)
        self.client.notices.record(QUEUE, server, notice, sent_at)
        self.client.release(verdict, seconds=SERVICE_SECONDS, failed=False)


class Fleet:
    """Routers that send requests to one server, in virtual time.

    Attributes:
        limit: What the server names in its answers.
        cut: Addresses of routers whose datagrams get lost.
        arrivals: When requests reached the server.
        refused_after: After how long requests were refused, in seconds.
    """

    def __init__(self):
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.links: dict[str, test_permits.Link] = {}
        self.limit: float | None = LIMIT
        self.cut: set[str] = set()
        self.arrivals: list[float] = []
        self.refused_after: list[float] = []
        self.began = self.loop.now
        self.version = 0
        self.server = SERVER
        self.routers = {
            address: Router(fleet=self, address=address)
            for address in (f"10.0.0.{n}:1" for n in range(ROUTERS))
        }
        self.adopt(list(self.routers))

    def adopt(self, addresses: list[str]) -> None:
        """Makes routers the members, and tells all running ones."""
        self.version += 1
        members = {
            address: cluster.Member(address=address, data_center="a", cores=1.0)
            for address in addresses
        }
        self.snapshot = cluster.Snapshot(
            epoch=1,
            version=self.version,
            members=members,
            servers={"s": self.server},
        )
        for router in self.routers.values():
            router.state.adopt_snapshot(self.snapshot, "test")

    @property
    def coordinator(self) -> str:
        """Address of the coordinator of the server's slot queue."""
        return self.snapshot.coordinator(QUEUE)

    async def offer(self, seconds: float) -> None:
        """Sends requests through all routers for a while."""
        rng = random.Random(2)
        ticks = [
            asyncio.create_task(router.coordinator.run())
            for router in self.routers.values()
        ]
        calls = []
        end = self.loop.now + seconds
        while self.loop.now < end:
            await asyncio.sleep(rng.expovariate(OFFERED_PER_SECOND))
            router = rng.choice(list(self.routers.values()))
            calls.append(asyncio.create_task(router.call(len(calls))))
        await asyncio.gather(*calls)
        for tick in ticks:
            tick.cancel()

    def crash_coordinator(self) -> str:
        """Crashes the coordinator; the others learn of it later."""
        crashed = self.coordinator
        del self.routers[crashed]
        self.cut.add(crashed)
        self.links[crashed].handlers = dict.fromkeys(
            self.links[crashed].handlers, lambda peer, message: None
        )
        self.loop.call_later(LOSS_SECONDS, self.adopt, list(self.routers))
        return crashed

    def restart_coordinator(self) -> None:
        """Restarts the coordinator's process under its address."""
        address = self.coordinator
        self.routers[address] = Router(fleet=self, address=address)
        self.routers[address].state.adopt_snapshot(self.snapshot, "test")

    def judged(self) -> list[float]:
        """Returns the arrivals that the limit applies to."""
        return [t for t in self.arrivals if t >= self.began + NOTICE_SECONDS]


class RoutersTest(unittest.TestCase):
    """All routers together keep to the limit, whatever they know."""

    def setUp(self):
        self.fleet = Fleet()

    def play(self, seconds: float = PLAY_SECONDS) -> None:
        """Plays the requests, then closes the loop."""
        virtual.run(self.fleet.offer(seconds), self.fleet.loop)

    def check_limit(self, *, used: float = 0.7) -> None:
        """Checks that the limit is kept, and used to a fraction."""
        judged = self.fleet.judged()
        self.assertLessEqual(busiest(judged), most_allowed(LIMIT))
        seconds = PLAY_SECONDS - NOTICE_SECONDS
        self.assertGreater(len(judged), used * LIMIT * seconds)

    def test_routers_send_more_than_a_server_takes(self):
        self.play()
        self.check_limit(used=0.8)
        at_once = [t for t in self.fleet.refused_after if t < 0.02]
        self.assertGreater(len(at_once), 0.7 * len(self.fleet.refused_after))

    def test_a_new_coordinator_does_not_know_the_limit(self):
        self.fleet.loop.call_later(6.0, self.fleet.crash_coordinator)
        self.play()
        self.check_limit()

    def test_a_restarted_coordinator_does_not_know_the_limit(self):
        self.fleet.loop.call_later(6.0, self.fleet.restart_coordinator)
        self.play()
        self.check_limit()

    def test_routers_without_the_coordinator_send_as_they_like(self):
        others = [
            address
            for address in self.fleet.routers
            if address != self.fleet.coordinator
        ]
        self.fleet.loop.call_later(3.0, self.fleet.cut.update, others[:3])
        self.play()
        self.check_limit()

    def arrivals_between(self, start: float, end: float) -> int:
        """Returns how many requests arrived, by seconds since the start."""
        return sum(
            start <= t - self.fleet.began < end for t in self.fleet.arrivals
        )

    def test_a_limit_outlives_its_notice(self):
        self.fleet.loop.call_later(6.0, setattr, self.fleet, "limit", None)
        self.play()
        self.assertGreater(
            self.arrivals_between(7.0, 15.0), 8 * UNPACED_PER_SECOND
        )

    def test_a_limit_outlives_its_server(self):
        def restart_server() -> None:
            self.fleet.limit = None
            self.fleet.server = dataclasses.replace(SERVER, started_ms=2)
            self.fleet.adopt(list(self.fleet.routers))

        self.fleet.loop.call_later(6.0, restart_server)
        self.play()
        self.assertGreater(
            self.arrivals_between(6.0, 6.5), 0.4 * OFFERED_PER_SECOND
        )

    def test_a_server_that_takes_nothing_is_lost_for_good(self):
        self.fleet.limit = 0.0
        self.fleet.loop.call_later(10.0, setattr, self.fleet, "limit", None)
        self.play(20.0)
        self.assertLessEqual(self.arrivals_between(0.5, 10.0), 5)
        self.assertGreater(
            self.arrivals_between(16.0, 20.0), 4 * UNPACED_PER_SECOND
        )

    def test_a_share_of_the_limit_looks_like_a_slower_server(self):
        router = next(iter(self.fleet.routers.values()))
        for routers in (1, ROUTERS):
            router.coordinator.limit(QUEUE, "s", 1, LIMIT, routers=routers)
            slots = router.coordinator.get(QUEUE).queue.servers["s"]
            slots.last_used_at = self.fleet.loop.now
            self.assertAlmostEqual(
                SERVER.slots * 1000 / LIMIT,
                router.coordinator.service_times_ms()["s"],
                places=1,
            )


class NoticeTest(unittest.TestCase):
    """The header is decoded once, or ignored."""

    def test_an_odd_limit_stops_all_requests(self):
        cases = {
            b"12.5": 12.5,
            b"0": 0.0,
            b"3": 3.0,
        }
        for value, limit in cases.items():
            self.assertEqual(limit, self.notice(value).limit, value)
        odd = (b"", b"-1", b"nan", b"inf", b"1e3", b"9" * 400, b"\xb2", b"1,5")
        for value in odd:
            notice = self.notice(value)
            self.assertIsNone(notice.limit, value)
            self.assertEqual(
                [ports.NoticeField.LIMIT], list(notice.unreadable), value
            )
        self.assertEqual(
            ports.ServerNotice(), protocol.server_notice(messages.Response())
        )

    def test_an_odd_limit_ends_the_one_before(self):
        fleet = Fleet()
        router = fleet.routers[fleet.coordinator]
        for value in (b"4", b"4 or so"):
            fleet.loop.now += 1.0
            router.client.notices.record(
                QUEUE, SERVER, self.notice(value), fleet.loop.now
            )
            self.assertEqual(4.0, router.client.notices.limits["s"].limit)
        fleet.loop.close()

    def notice(self, value: bytes) -> ports.ServerNotice:
        """Returns the notice of a response with a value of the header."""
        return protocol.server_notice(
            messages.Response(headers=[(b"server-limit", value)])
        )


if __name__ == "__main__":
    unittest.main()
