"""Routers that forward requests to the servers of a pool, in virtual time."""

import asyncio
import dataclasses
import random

from oleanderhoist import outcomes
from oleanderhoist.http import messages
from oleanderhoist.node import budgets
from oleanderhoist.node import coordinator
from oleanderhoist.node import departurenews
from oleanderhoist.node import forwarder
from oleanderhoist.node import slotclient
from oleanderhoist.node import slotgrants
from oleanderhoist.node import slotserver
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.platform import protocol
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import keys
from oleanderhoist.policy import slotrequests
from tests import test_forwarder
from tests import test_permits
from tests import virtual

POOL = "pool"  # That of the jobs of test_forwarder.
LEAVING = "a"
OTHER = "b"
ROUTERS = 5
SERVICE_SECONDS = 0.05
OBJECTIVE_SECONDS = 0.5
OFFERED_PER_SECOND = 40.0
OWN = (b"response-signature", b"x")
NOTICE = (b"server-leaving", b"1")
NOT_EXECUTED = (b"not-executed", b"1")


class Server:
    """A client of one server, as one router uses it."""

    def __init__(self, *, fleet: "Fleet", router: str, id: str):
        self.fleet = fleet
        self.router = router
        self.id = id

    async def request(
        self, *args: object, **kwargs: object
    ) -> messages.Response:
        """Runs a request; its answer may say that the server leaves."""
        fleet = self.fleet
        fleet.arrivals.append((self.router, self.id, fleet.loop.now))
        if fleet.refusals.get(self.id):
            return fleet.refuse(self.router, self.id)
        await asyncio.sleep(SERVICE_SECONDS)
        response = dataclasses.replace(
            fleet.answer, headers=list(fleet.answer.headers)
        )
        if self.id in fleet.leaving:
            response.headers.append(NOTICE)
            fleet.heard.setdefault((self.router, self.id), fleet.loop.now)
        return response


class Servers:
    """The clients of all servers, as one router uses them."""

    def __init__(self, *, fleet: "Fleet", router: str):
        self.fleet = fleet
        self.router = router

    def get(self, address: str, id: str) -> Server:
        """Returns the client of a server."""
        return Server(fleet=self.fleet, router=self.router, id=id)

    def retain(self, listed: set) -> None:
        """Does nothing."""


class Router:
    """A router that forwards requests."""

    def __init__(self, *, fleet: "Fleet", address: str):
        self.link = test_permits.Link(address=address, lose=fleet.lose)
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
        departurenews.DepartureNews(
            datagrams=self.link, state=self.state, clock=fleet.clock
        )
        self.forwarder = forwarder.Forwarder(
            platform=protocol,
            slot_client=slotclient.SlotClient(
                datagrams=self.link,
                coordinator=self.coordinator,
                state=self.state,
                clock=fleet.clock,
            ),
            state=self.state,
            clock=fleet.clock,
            budget=budgets.Budgets(ratio=1.0, extra=100, state=self.state),
            data_center="a",
        )
        self.forwarder.clients = Servers(fleet=fleet, router=address)


class Fleet:
    """Routers and servers of one pool in virtual time.

    Attributes:
        attempts: Servers to which a request may be sent.
        callers: Routers that requests are sent through.
        leaving: Ids of servers that say that they leave.
        answer: What servers answer besides.
        lost: Type of the datagrams that get lost; None for none.
        arrivals: Router, server and time of each request at a server.
        refusals: Pauses that servers name as they turn away their next
            requests, in seconds, by id.
        paused: Router, server, begin and end of each pause that was named.
        heard: When a router first got an answer that says that its server
            leaves, by router and server.
        outcomes: How the requests ended.
        took: How long each of them took, in seconds.
    """

    def __init__(
        self,
        *,
        routers: int = ROUTERS,
        servers: str = "abc",
        slots: int = 2,
        keyed: bool = False,
    ):
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.links: dict[str, test_permits.Link] = {}
        self.leaving: set[str] = set()
        self.refusals: dict[str, list[float]] = {}
        self.paused: list[tuple[str, str, float, float]] = []
        self.answer = messages.Response(headers=[OWN])
        self.lost: type | None = None
        self.arrivals: list[tuple[str, str, float]] = []
        self.heard: dict[tuple[str, str], float] = {}
        self.outcomes: list[outcomes.Outcome] = []
        self.took: list[float] = []
        self.routers = [
            Router(fleet=self, address=f"10.0.0.{n}:1") for n in range(routers)
        ]
        members = [
            dataclasses.replace(test_forwarder.MEMBER, address=r.link.address)
            for r in self.routers
        ]
        self.snapshot = cluster.Snapshot(
            epoch=1,
            version=1,
            leader=members[0].address,
            members={member.address: member for member in members},
            servers={
                id: cluster.Server(
                    id=id,
                    pool=POOL,
                    address=f"{id}:1",
                    data_center="a",
                    slots=slots,
                    started_ms=1,
                )
                for id in servers
            },
            maps={POOL: keys.divide_by_weight([(LEAVING, 1.0)])},
        )
        self.adopt(self.snapshot)
        for router in self.routers:
            router.state.contracts = contracts(keyed=keyed)
        self.callers = self.routers
        self.attempts = 2

    def all_but_the_coordinator(self) -> list[Router]:
        """Returns the routers that don't coordinate the pool's queue."""
        queue = coordinator.queue_name(POOL, None)
        address = self.snapshot.coordinator(queue)
        return [one for one in self.routers if one.link.address != address]

    def lose(self, message: wire.Message) -> bool:
        """Returns whether a datagram gets lost."""
        return self.lost is not None and isinstance(message, self.lost)

    def adopt(self, snapshot: cluster.Snapshot) -> None:
        """Gives all routers a snapshot."""
        self.snapshot = snapshot
        for router in self.routers:
            router.state.adopt_snapshot(snapshot, "test")

    def move_keys(self) -> None:
        """Publishes another owner of all keys."""
        maps = {POOL: keys.divide_by_weight([(OTHER, 1.0)])}
        version = self.snapshot.version + 1
        self.adopt(
            dataclasses.replace(self.snapshot, version=version, maps=maps)
        )

    async def call(self, router: Router) -> outcomes.Outcome:
        """Forwards one request."""
        job = test_forwarder.job(
            arrived=self.loop.now, objective=OBJECTIVE_SECONDS
        )
        job.work = dataclasses.replace(job.work, attempts=self.attempts)
        outcome = await router.forwarder.serve(job)
        self.outcomes.append(outcome)
        self.took.append(self.loop.now - job.arrived)
        return outcome

    async def offer(
        self, seconds: float, per_second: float = OFFERED_PER_SECOND
    ) -> None:
        """Sends requests through all routers for a while."""
        rng = random.Random(2)
        ticks = [
            asyncio.create_task(router.coordinator.run())
            for router in self.routers
        ]
        calls = []
        end = self.loop.now + seconds
        while self.loop.now < end:
            await asyncio.sleep(rng.expovariate(per_second))
            call = self.call(rng.choice(self.callers))
            calls.append(asyncio.create_task(call))
        await asyncio.gather(*calls)
        for tick in ticks:
            tick.cancel()

    def reached(self, server: str) -> int:
        """Returns how many requests reached a server."""
        return sum(id == server for _, id, _ in self.arrivals)

    def refuse(self, router: str, id: str) -> messages.Response:
        """Returns a refusal that names the server's next pause."""
        seconds = self.refusals[id].pop(0)
        self.paused.append((router, id, self.loop.now, self.loop.now + seconds))
        return messages.Response(
            status=503,
            headers=[NOT_EXECUTED, (b"retry-after", b"%.3f" % seconds)],
        )

    def unwanted(self) -> list[tuple[str, str, float]]:
        """Returns the requests that came in a pause named to their router."""
        return [
            (router, id, at)
            for router, id, at in self.arrivals
            for told, server, begin, end in self.paused
            if (told, server) == (router, id) and begin < at < end
        ]

    def late(self) -> list[tuple[str, str, float]]:
        """Returns the requests that a router sent after it had heard."""
        return [
            (router, id, at)
            for router, id, at in self.arrivals
            if at > self.heard.get((router, id), float("inf"))
        ]


def contracts(*, keyed: bool) -> contractset.ContractSet:
    """Returns contracts with one pool."""
    return contractset.build(
        version=1,
        works=[],
        pools=[contractset.Pool(name=POOL, keyed=keyed, connections=1)],
        limits=contractset.MessageLimits(
            head_bytes=1, body_bytes=1, head_seconds=1, idle_seconds=1
        ),
    )


class ScriptedSlots:
    """A coordinator's grants that reach a router in a given order.

    Attributes:
        servers: Ids of the servers whose slots are still to be granted.
        requests: The slot requests.
        released: Ids of the servers whose slots were released.
    """

    def __init__(self, *, slot_client: slotclient.SlotClient, servers: str):
        self.slot_client = slot_client
        self.servers = list(servers)
        self.requests: list[slotrequests.SlotRequest] = []
        self.released: list[str] = []
        slot_client.acquire = self.acquire
        slot_client.release = self.release

    async def acquire(
        self, queue: str, request: slotrequests.SlotRequest
    ) -> slotgrants.SlotGrant:
        """Grants a slot of the next server."""
        self.requests.append(request)
        return slotgrants.SlotGrant(
            id=request.id,
            queue=queue,
            coordinator="10.0.0.9:1",
            server=self.servers.pop(0),
        )

    def release(self, grant: slotgrants.SlotGrant, **kwargs: object) -> None:
        """Records a released slot."""
        self.released.append(grant.server)
