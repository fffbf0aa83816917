"""A store, servers and routers in memory, with faults drawn from a seed.

The routers are the real `Follower`, `Leader`, `Owner` and `Holder`; the store
and the servers check the promises when orders take effect.
"""

import asyncio
import dataclasses
import random

from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import follower
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import storeclock
from tests import virtual

POOL = "keyed"
MAX_LEASE_SECONDS = 10.0
PROPAGATION_SECONDS = 2.0
BLOCK = 8192  # Keys are checked at one key of each block.
LIMITS = contractset.MessageLimits(
    head_bytes=1, body_bytes=1, head_seconds=1, idle_seconds=1
)
CONTRACTS = contractset.build(
    version=1,
    works=[],
    pools=[contractset.Pool(name=POOL, keyed=True, connections=1)],
    limits=LIMITS,
)


@dataclasses.dataclass(kw_only=True)
class Hold:
    """A server's hold on one key."""

    fence: int = 0
    until: float = 0.0


class Backend:
    """A server that owns keys, as the promises ask of it."""

    def __init__(self, *, world: "World", id: str):
        self.world = world
        self.id = id
        self.incarnation = 0
        self.up = True
        self.holds: dict[int, Hold] = {}

    def reborn(self) -> None:
        """Starts anew; holds nothing and has seen no fence."""
        self.incarnation += 1
        self.holds.clear()

    def grant(
        self, order: ports.LeaseGrant, arrived: float, incarnation: int
    ) -> bool:
        """Carries out a grant, checking that nobody else holds the keys."""
        if incarnation != self.incarnation or not self.up:
            return False
        touched = self.world.checked(order.start, order.end)
        if any(self.holds.get(k, Hold()).fence > order.fence for k in touched):
            return False
        now = self.world.loop.now
        for key in touched:
            hold = self.holds.setdefault(key, Hold())
            hold.fence = order.fence
            hold.until = arrived + order.lease_seconds * 1.02
            if hold.until > now:
                self.world.check(self, key, order.fence)
        return True

    def release(self, start: int, end: int) -> str:
        """Ends the hold on keys."""
        for key in self.world.checked(start, end):
            if key in self.holds:
                self.holds[key].until = 0.0
        return "token"


class LeaseChannel:
    """A router's channel to a server."""

    def __init__(self, *, world: "World", node: str, backend: Backend):
        self.world = world
        self.node = node
        self.backend = backend
        self.generation = 0
        self.incarnation: int | None = None

    async def connect(self, *, allow_new: bool) -> int:
        """Makes sure that the connection stands."""
        await self.world.travel()
        self.require_path()
        if self.incarnation != self.backend.incarnation and not allow_new:
            raise ports.OrderError("no connection")
        if self.incarnation != self.backend.incarnation:
            self.incarnation = self.backend.incarnation
            self.generation += 1
        return self.generation

    def require_path(self) -> None:
        """Fails when the server cannot be reached.

        Raises:
            ports.OrderError: It cannot.
        """
        cut = (self.node, self.backend.id) in self.world.cuts
        if cut or not self.backend.up:
            self.incarnation = None
            raise ports.OrderError("unreachable")

    async def grant(self, order: ports.LeaseGrant) -> bool:
        """Sends a grant; it may be lost, or carried out late."""
        await self.world.travel()
        self.require_path()
        if self.incarnation != self.backend.incarnation:
            self.incarnation = None
            raise ports.OrderError("connection reset")
        arrived = self.world.loop.now
        if self.world.happens("order_late"):
            life = self.backend.incarnation
            self.world.loop.call_later(
                self.world.rng.uniform(1, 6),
                lambda: self.backend.grant(order, arrived, life),
            )
            self.incarnation = None
            await asyncio.sleep(0.4)
            raise ports.OrderError("no answer in time")
        done = self.backend.grant(order, arrived, self.backend.incarnation)
        if self.world.happens("order_lost"):
            self.incarnation = None
            raise ports.OrderError("answer lost")
        return done

    async def release(self, start: int, end: int, fence: int) -> str:
        """Releases keys; the answer may be lost."""
        await self.world.travel()
        self.require_path()
        token = self.backend.release(start, end)
        await asyncio.sleep(self.world.rng.uniform(0.01, 0.3))
        if self.world.happens("order_lost"):
            raise ports.OrderError("answer lost")
        return token

    def close(self) -> None:
        """Does nothing."""


class Platform:
    """The platform as one router sees it."""

    ready_path = "/"

    def __init__(self, *, world: "World", node: str):
        self.world = world
        self.node = node
        self.store_clock = storeclock.StoreClock()

    async def call(self) -> None:
        """Takes a call to the store.

        Raises:
            ports.StoreError: The store does not take it.
        """
        sent = self.world.loop.now
        self.world.calls += 1
        await self.world.travel()
        if self.world.store_down or (self.node, "store") in self.world.cuts:
            raise ports.StoreError("away", maybe_applied=False)
        millis = int(self.world.loop.now * 1000)
        await self.world.travel()
        self.store_clock.observe(millis, sent, self.world.loop.now)

    async def read_rows(self) -> dict[str, ports.Row]:
        """Returns all rows."""
        await self.call()
        return dict(self.world.rows)

    async def write_rows(
        self, values: dict[str, bytes], expected: dict[str, int]
    ) -> ports.Written | ports.Conflict:
        """Writes rows; the answer may be lost, the write may come late."""
        await self.call()
        if self.world.happens("write_late"):
            self.world.loop.call_later(
                self.world.rng.uniform(0.1, 4),
                lambda: self.world.write(values, expected),
            )
            raise ports.StoreError("no answer", maybe_applied=True)
        result = self.world.write(values, expected)
        if self.world.happens("write_lost"):
            raise ports.StoreError("no answer", maybe_applied=True)
        return result

    async def read_servers(self) -> ports.ServerListing:
        """Returns the listed servers."""
        await self.call()
        return ports.ServerListing(servers=dict(self.world.listed), rejected={})

    async def read_contracts(self) -> ports.ContractsRead:
        """Returns the contracts."""
        await self.call()
        document = self.world.document
        return ports.ContractsRead(
            document=document, error=None, seen_revision=document.revision
        )

    async def watch_contracts(
        self, after: int, seconds: float
    ) -> ports.WatchResult:
        """Waits for other contracts."""
        await self.call()
        until = self.world.loop.now + seconds
        while self.world.loop.now < until:
            if self.world.document.revision > after:
                break
            await asyncio.sleep(0.02)
        seen = self.world.document.revision
        return ports.WatchResult(changed=seen > after, seen_revision=seen)

    def lease_channel(self, server: cluster.Server) -> LeaseChannel:
        """Returns a channel to a server."""
        backend = self.world.backends[server.id]
        return LeaseChannel(world=self.world, node=self.node, backend=backend)


class DatagramEndpoint:
    """Datagrams between the routers of a world."""

    def __init__(self, *, world: "World", address: str):
        self.world = world
        self.address = address
        self.handlers: dict[type, object] = {}

    def send(self, address: str, message: wire.Message) -> None:
        """Sends a message."""
        self.send_raw(address, wire.encode(message))

    def send_raw(self, address: str, data: bytes) -> None:
        """Sends an encoded message; it may be lost."""
        if (self.address, address) in self.world.cuts:
            return
        if self.world.happens("datagram_lost"):
            return
        self.world.loop.call_later(
            0.001, self.world.deliver, self.address, address, data
        )


class Load:
    """Stands for a router's homes and sends."""

    def __init__(self, *, world: "World"):
        self.world = world

    @property
    def seen_keys(self) -> dict[str, list[int]]:
        """Keys that were asked for, some of them hot."""
        hot = self.world.hot
        drawn = [self.world.rng.randrange(hot, hot + 64) for _ in range(20)]
        return {POOL: drawn}

    @seen_keys.setter
    def seen_keys(self, value: dict) -> None:
        """Forgets what was told."""

    def service_times_ms(self) -> dict[str, float]:
        """Returns no measured speeds."""
        return {}


class World:
    """Everything, and the faults that are on."""

    def __init__(self, *, seed: int, servers: int = 4, nodes: int = 3):
        self.rng = random.Random(seed)
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.rows: dict[str, ports.Row] = {}
        self.revision = 0
        self.store_down = False
        self.cuts: set[tuple[str, str]] = set()
        self.odds: dict[str, float] = {}
        self.broken: list[str] = []
        self.served: set[int] = set()
        self.lost: set[str] = set()
        self.grants = 0
        self.calls = 0
        self.document = ports.VersionedContracts(
            contracts=CONTRACTS, revision=1
        )
        self.hot = 30_000
        self.backends = {
            f"s{n}": Backend(world=self, id=f"s{n}") for n in range(servers)
        }
        self.listed = {id: self.entry(id) for id in self.backends}
        self.datagrams: dict[str, DatagramEndpoint] = {}
        self.followers: dict[str, follower.Follower] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.names = [f"10.0.0.{n}:1" for n in range(nodes)]

    def entry(self, id: str) -> cluster.Server:
        """Returns a server's entry in the directory."""
        return cluster.Server(
            id=id, pool=POOL, address=f"{id}:1", data_center="a", slots=2
        )

    def happens(self, fault: str) -> bool:
        """Draws whether a fault happens now."""
        return self.rng.random() < self.odds.get(fault, 0.0)

    async def travel(self) -> None:
        """Takes the time of one way."""
        await asyncio.sleep(self.rng.uniform(0.0005, 0.005))

    def checked(self, start: int, end: int) -> list[int]:
        """Returns the keys of a range at which promises are checked."""
        marks = [*range(0, 65_536, BLOCK), self.hot, self.hot + 20]
        return [key for key in marks if start <= key <= end]

    def check(self, backend: Backend, key: int, fence: int) -> None:
        """Notes a key with two holders, or a fence that does not rise."""
        self.grants += 1
        for other in self.backends.values():
            if other is backend or not other.up:
                continue
            hold = other.holds.get(key, Hold())
            if hold.until > self.loop.now:
                self.broken.append(
                    f"{self.loop.now:.3f}: {backend.id} and {other.id} hold "
                    f"{key}, fences {fence} and {hold.fence}"
                )
            if hold.fence >= fence:
                self.broken.append(
                    f"{self.loop.now:.3f}: fence {fence} of {key} does not rise"
                )

    def write(
        self, values: dict[str, bytes], expected: dict[str, int]
    ) -> ports.Written | ports.Conflict:
        """Writes rows under their conditions."""
        for key, revision in expected.items():
            row = self.rows.get(key)
            if (row.revision if row else 0) != revision:
                return ports.Conflict()
        self.revision += 1
        for key, value in values.items():
            self.rows[key] = ports.Row(
                key=key, value=value, revision=self.revision
            )
        return ports.Written(revision=self.revision)

    def deliver(self, sender: str, address: str, data: bytes) -> None:
        """Hands a datagram to a router that lives."""
        datagrams = self.datagrams.get(address)
        if datagrams is None or address not in self.tasks:
            return
        message = wire.decode(data)
        handler = datagrams.handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def start(self, name: str, *, first: bool = False) -> None:
        """Starts a router."""
        self.datagrams[name] = DatagramEndpoint(world=self, address=name)
        load = Load(world=self)
        made = follower.Follower(
            platform=Platform(world=self, node=name),
            datagrams=self.datagrams[name],
            state=state.State(),
            clock=self.clock,
            lag=program.LoopLag(clock=self.clock),
            own_member=cluster.Member(address=name, data_center="a", cores=1.0),
            max_lease_seconds=MAX_LEASE_SECONDS,
            propagation_seconds=PROPAGATION_SECONDS,
            bootstrap=first,
            coordinator=load,
            forwarder=load,
        )
        self.followers[name] = made
        self.tasks[name] = self.loop.create_task(made.run())

    def kill(self, name: str) -> None:
        """Ends a router without warning."""
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def look(self) -> None:
        """Notes which checked keys are held, and which servers are lost."""
        for backend in self.backends.values():
            for key in self.checked(0, 65_535):
                hold = backend.holds.get(key, Hold())
                if backend.up and hold.until > self.loop.now:
                    self.served.add(key)
        leaders = [
            f.leadership for f in self.followers.values() if f.leadership
        ]
        self.lost = {
            kept.server.id
            for leader in leaders
            for rebalancer in leader.rebalancers.values()
            for kept in rebalancer.lease_managers.values()
            if kept.is_unreachable()
        }
