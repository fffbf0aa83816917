"""A simulated store, servers and routers, with faults drawn from a seed.

The routers run the real `Follower`, `Leader`, `Rebalancer` and `LeaseManager`.
"""

import asyncio
import dataclasses
import random

from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import follower
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.platform import store
from oleanderhoist.policy import cluster
from oleanderhoist.policy import contractset
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras
from tests import ownership_backends
from tests import virtual

POOL = "keyed"
MAX_LEASE_SECONDS = 10.0
PROPAGATION_SECONDS = 2.0
KEY_BLOCK = 8192  # One key of each block is checked.
DATAGRAM_SECONDS = 0.001
LIMITS = contractset.MessageLimits(
    head_bytes=1, body_bytes=1, head_seconds=1, idle_seconds=1
)
CONTRACTS = contractset.build(
    version=1,
    works=[],
    pools=[contractset.Pool(name=POOL, keyed=True, connections=1)],
    limits=LIMITS,
)


class FakePlatform:
    """The platform as one router sees it."""

    ready_path = "/"

    def __init__(self, *, world: "World", router: str):
        self.world = world
        self.router = router
        self.store_clock = storeclock.StoreClock()
        self.store_eras = storeeras.StoreEras()

    async def call_store(self) -> None:
        """Simulates a call to the store.

        Raises:
            ports.StoreError: The store is unavailable.
        """
        sent_at = self.world.loop.now
        self.world.store_calls += 1
        await self.world.delay_message()
        if (
            self.world.store_down
            or (self.router, "store") in self.world.blocked_links
        ):
            raise ports.StoreError("unavailable", maybe_applied=False)
        now_ms = int(self.world.loop.now * 1000)
        self.observe_era()
        await self.world.delay_message()
        self.store_clock.observe(now_ms, sent_at, self.world.loop.now)

    def observe_era(self) -> None:
        """Records the era that an answer names."""
        self.store_eras.observe(self.world.era, self.world.loop.now)

    async def read_rows(self) -> ports.OwnRows:
        """Returns all rows."""
        await self.call_store()
        self.observe_era()
        return ports.OwnRows(
            rows=dict(self.world.rows), revision=self.world.newest_revision()
        )

    async def write_rows(
        self,
        values: dict[str, bytes],
        expected: dict[str, storeeras.Revision],
    ) -> ports.Written | ports.Conflict:
        """Writes rows; the write may be late, or its reply may be lost."""
        await self.call_store()
        self.observe_era()
        if self.world.draw_fault("write_late"):
            self.world.loop.call_later(
                self.world.rng.uniform(*self.world.late_write_seconds),
                lambda: self.world.write(values, expected),
            )
            raise ports.StoreError("no answer", maybe_applied=True)
        result = self.world.write(values, expected)
        if self.world.draw_fault("write_reply_lost"):
            raise ports.StoreError("no answer", maybe_applied=True)
        return result

    async def read_servers(self) -> ports.ServerListing:
        """Returns the listed servers."""
        await self.call_store()
        return ports.ServerListing(
            servers=dict(self.world.listed_servers), rejected={}
        )

    async def read_contracts(self) -> ports.ContractsRead:
        """Returns the contracts, unless the response is lost."""
        await self.call_store()
        if self.router in self.world.lost_reads:
            await asyncio.sleep(store.CALL_TIMEOUT_SECONDS)
            raise ports.StoreError("no answer", maybe_applied=False)
        document = self.world.contracts_document
        return ports.ContractsRead(
            versioned=document,
            error=None,
            seen_revision=self.world.operator_revision(),
            evacuated=self.world.evacuated,
        )

    async def watch_contracts(
        self, after: storeeras.Revision, seconds: float
    ) -> bool:
        """Waits for a new revision; its response may be lost or deaf."""
        await self.call_store()
        deadline = self.world.loop.now + seconds
        if self.router in self.world.lost_feeds:
            await asyncio.sleep(seconds + store.FEED_ANSWER_SECONDS)
            raise ports.StoreError("no answer", maybe_applied=False)
        while self.world.loop.now < deadline:
            if self.hears_change(after):
                break
            await asyncio.sleep(0.02)
        return self.hears_change(after)

    def hears_change(self, after: storeeras.Revision) -> bool:
        """Returns whether a wait for a change names a newer revision."""
        return (
            self.world.operator_revision() > after
            and self.router not in self.world.deaf_feeds
        )

    def lease_channel(
        self, server: cluster.Server
    ) -> ownership_backends.FakeLeaseChannel:
        """Returns a channel to a server."""
        backend = self.world.backends[server.id]
        return ownership_backends.FakeLeaseChannel(
            world=self.world, router=self.router, backend=backend
        )


class FakeDatagramEndpoint:
    """Datagrams between the simulated routers."""

    def __init__(self, *, world: "World", address: str):
        self.world = world
        self.address = address
        self.handlers: dict[type, object] = {}

    def send(self, address: str, message: wire.Message) -> None:
        """Sends a message."""
        self.send_raw(address, wire.encode(message))

    def send_raw(self, address: str, data: bytes) -> None:
        """Sends an encoded message; it may be lost."""
        if (self.address, address) in self.world.blocked_links:
            return
        if self.world.draw_fault("datagram_lost"):
            return
        seconds = DATAGRAM_SECONDS + self.world.late_datagrams.get(address, 0.0)
        self.world.loop.call_later(
            seconds, self.world.deliver, self.address, address, data
        )


class FakeLoad:
    """Replaces the coordinator and the forwarder of a router."""

    def __init__(self, *, world: "World"):
        self.world = world

    @property
    def seen_keys(self) -> dict[str, list[int]]:
        """Requested keys, drawn from the block of busy keys."""
        busy_key = self.world.busy_key
        requested = [
            self.world.rng.randrange(busy_key, busy_key + 64) for _ in range(20)
        ]
        return {POOL: requested}

    @seen_keys.setter
    def seen_keys(self, value: dict) -> None:
        """Ignores the new value."""

    def service_times_ms(self) -> dict[str, float]:
        """Returns no service times."""
        return {}


class World:
    """The simulated system and its current faults.

    Attributes:
        blocked_links: Links without traffic, as pairs of a router's address
            and a router's address, a server's id or "store".
        fault_rates: Probability of each kind of fault.
        late_write_seconds: Range of the delay of late writes, in seconds.
        lost_feeds: Routers whose waits for a change get no response.
        deaf_feeds: Routers whose waits for a change never name one.
        lost_reads: Routers whose reads of the contracts get no response.
        late_datagrams: How much later than others routers handle datagrams,
            by address, in seconds.
        violations: Violations of the ownership guarantees.
        served_keys: Checked keys that had an owner in `record_state`.
        unreachable_servers: Servers that the leader could not reach when
            `record_state` last ran.
        busy_key: First of the keys that are requested.
        evacuated: Data centres that the operator has evacuated.
        evacuated_revision: Revision at which they changed last.
    """

    def __init__(self, *, seed: int, servers: int = 4, routers: int = 3):
        self.rng = random.Random(seed)
        self.loop = virtual.Loop()
        self.clock = virtual.Clock(loop=self.loop)
        self.rows: dict[str, ports.Row] = {}
        self.revision = 0
        self.era = 1
        self.copy: tuple[dict[str, ports.Row], int] = ({}, 0)
        self.store_down = False
        self.blocked_links: set[tuple[str, str]] = set()
        self.fault_rates: dict[str, float] = {}
        self.late_write_seconds = (0.1, 4.0)
        self.lost_feeds: set[str] = set()
        self.deaf_feeds: set[str] = set()
        self.lost_reads: set[str] = set()
        self.late_datagrams: dict[str, float] = {}
        self.violations: list[str] = []
        self.served_keys: set[int] = set()
        self.unreachable_servers: set[str] = set()
        self.grant_count = 0
        self.store_calls = 0
        self.contracts_document = ports.VersionedContracts(
            contracts=CONTRACTS, revision=1
        )
        self.busy_key = 30_000
        self.evacuated: frozenset[str] = frozenset()
        self.evacuated_revision = 0
        self.backends = {
            f"s{n}": ownership_backends.FakeServer(world=self, id=f"s{n}")
            for n in range(servers)
        }
        self.listed_servers = {
            id: self.server_entry(id) for id in self.backends
        }
        self.datagrams: dict[str, FakeDatagramEndpoint] = {}
        self.followers: dict[str, follower.Follower] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.addresses = [f"10.0.0.{n}:1" for n in range(routers)]

    def server_entry(self, id: str) -> cluster.Server:
        """Returns a server's entry in the directory."""
        return cluster.Server(
            id=id, pool=POOL, address=f"{id}:1", data_center="a", slots=2
        )

    def operator_revision(self) -> storeeras.Revision:
        """Returns the revision of the operator's latest write."""
        number = max(self.contracts_document.revision, self.evacuated_revision)
        return storeeras.Revision(era=self.era, number=number)

    def evacuate(self, *data_centers: str) -> None:
        """Evacuates these data centres, and takes back all others."""
        self.evacuated = frozenset(data_centers)
        self.evacuated_revision = self.operator_revision().number + 1

    def draw_fault(self, fault: str) -> bool:
        """Draws whether a fault happens now."""
        return self.rng.random() < self.fault_rates.get(fault, 0.0)

    async def delay_message(self) -> None:
        """Waits for the network delay of one message."""
        await asyncio.sleep(self.rng.uniform(0.0005, 0.005))

    def sampled_keys(self, start: int, end: int) -> list[int]:
        """Returns the keys of a range that are checked."""
        samples = [
            *range(0, 65_536, KEY_BLOCK),
            self.busy_key,
            self.busy_key + 20,
        ]
        return [key for key in samples if start <= key <= end]

    def check_exclusive(
        self, backend: ownership_backends.FakeServer, key: int, fence: int
    ) -> None:
        """Records a key with two owners, or a fence that does not increase."""
        self.grant_count += 1
        for other in self.backends.values():
            if other is backend or not other.up:
                continue
            lease = other.leases.get(key, ownership_backends.Lease())
            if lease.expires_at > self.loop.now:
                self.violations.append(
                    f"{self.loop.now:.3f}: {backend.id} and {other.id} hold "
                    f"{key}, fences {fence} and {lease.fence}"
                )
            if lease.fence >= fence:
                self.violations.append(
                    f"{self.loop.now:.3f}: fence {fence} of {key} is not higher"
                )

    def write(
        self,
        values: dict[str, bytes],
        expected: dict[str, storeeras.Revision],
    ) -> ports.Written | ports.Conflict:
        """Writes rows if the numbers of their expected revisions match."""
        for key, revision in expected.items():
            row = self.rows.get(key)
            if (row.revision.number if row else 0) != revision.number:
                return ports.Conflict()
        self.revision += 1
        revision = self.newest_revision()
        for key, value in values.items():
            self.rows[key] = ports.Row(key=key, value=value, revision=revision)
        return ports.Written(revision=revision)

    def leases(self) -> list[ownership_backends.Lease]:
        """Returns the latest lease of each checked key at each server."""
        return [
            lease
            for backend in self.backends.values()
            for lease in backend.leases.values()
        ]

    def save_copy(self) -> None:
        """Makes a copy of the store."""
        self.copy = dict(self.rows), self.revision

    def restore_copy(self) -> None:
        """Makes the store come back from the copy, in a new era.

        What the routers have written since is gone.
        """
        rows, self.revision = self.copy
        self.era += 1
        self.rows = {
            key: dataclasses.replace(
                row,
                revision=dataclasses.replace(row.revision, era=self.era),
            )
            for key, row in rows.items()
        }

    def newest_revision(self) -> storeeras.Revision:
        """Returns the store's revision."""
        return storeeras.Revision(era=self.era, number=self.revision)

    def deliver(self, sender: str, address: str, data: bytes) -> None:
        """Delivers a datagram to a running router."""
        datagrams = self.datagrams.get(address)
        if datagrams is None or address not in self.tasks:
            return
        message = wire.decode(data)
        handler = datagrams.handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def start(self, address: str, *, bootstrap: bool = False) -> None:
        """Starts a router."""
        self.datagrams[address] = FakeDatagramEndpoint(
            world=self, address=address
        )
        load = FakeLoad(world=self)
        started = follower.Follower(
            platform=FakePlatform(world=self, router=address),
            datagrams=self.datagrams[address],
            state=state.State(),
            clock=self.clock,
            lag=program.LoopLag(clock=self.clock),
            own_member=cluster.Member(
                address=address, data_center="a", cores=1.0
            ),
            max_lease_seconds=MAX_LEASE_SECONDS,
            propagation_seconds=PROPAGATION_SECONDS,
            bootstrap=bootstrap,
            coordinator=load,
            forwarder=load,
        )
        self.followers[address] = started
        self.tasks[address] = self.loop.create_task(started.run())

    def kill(self, address: str) -> None:
        """Kills a router."""
        task = self.tasks.pop(address, None)
        if task is not None:
            task.cancel()

    def record_state(self) -> None:
        """Records owned keys and servers that the leader cannot reach."""
        for backend in self.backends.values():
            for key in self.sampled_keys(0, 65_535):
                lease = backend.leases.get(key, ownership_backends.Lease())
                if backend.up and lease.expires_at > self.loop.now:
                    self.served_keys.add(key)
        leaders = [
            f.leadership for f in self.followers.values() if f.leadership
        ]
        self.unreachable_servers = {
            manager.server.id
            for leader in leaders
            for rebalancer in leader.rebalancers.values()
            for manager in rebalancer.lease_managers.values()
            if manager.is_unreachable()
        }
