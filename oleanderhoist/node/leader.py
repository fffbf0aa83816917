"""What the leader does: follows the directory, publishes, places keys."""

import asyncio
from collections.abc import Coroutine

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import contractcodec
from oleanderhoist.node import contractwatch
from oleanderhoist.node import datagrams
from oleanderhoist.node import directory
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.node import rebalancer
from oleanderhoist.node import snapshots
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease

RENEW_SECONDS = 0.5
ROSTER_SECONDS = 3.0
HEARTBEAT_SECONDS = 0.25
DIRECTORY_SECONDS = 0.4
MEMBER_LOST_SECONDS = 1.6
PUBLISH_PAUSE_SECONDS = 0.03
JOIN_PAUSE_SECONDS = 0.1
UNREACHABLE_FRACTION = 0.5

LEADING = prometheus_client.Gauge("oleander_leading", "1 while this leads")


class ResignedError(Exception):
    """The leader gives up its leadership."""


class Leader:
    """One leadership of this process.

    Args:
        platform: Store, directory and orders.
        datagrams: Datagrams to the other routers.
        state: What this process knows.
        clock: Time source.
        lag: How late this process's own timers run.
        me: This process as a member.
        rows: Own rows, read after the leadership was taken.
        leader_lease: The lease of this leadership.
        contract_watch: Follows the contracts.
        store_failed: When this process last saw the store fail, on the
            monotonic clock.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        clock: clock.Clock,
        lag: program.LoopLag,
        me: cluster.Member,
        rows: dict[str, ports.Row],
        leader_lease: leaderlease.LeaderLease,
        contract_watch: contractwatch.ContractWatch,
        store_failed: float,
    ):
        self.platform = platform
        self.datagrams = datagrams
        self.state = state
        self.clock = clock
        self.lag = lag
        self.me = me
        self.leader_lease = leader_lease
        self.contract_watch = contract_watch
        self.fences = leasemanager.FencingTokens(epoch=leader_lease.epoch)
        self.leader_store = leaderstore.LeaderStore(
            platform=platform,
            clock=clock,
            rows=rows,
            leader_lease=leader_lease,
            address=datagrams.address,
        )
        self.members = dict(
            state.snapshot.members or leaderstore.roster_of(rows)
        )
        self.members[me.address] = me
        now = clock.monotonic()
        self.heard = {address: now for address in self.members}
        self.directory = directory.Directory(
            platform=platform,
            clock=clock,
            servers=state.snapshot.servers,
            last_failure_at=store_failed,
        )
        self.rebalancers: dict[str, rebalancer.Rebalancer] = {}
        self.version = 0
        self.announced = 0
        self.announced_before = 0
        self.newest = state.snapshot
        self.snapshot_fragments: list[bytes] = []
        self.contracts_fragments: list[bytes] = []
        self.dirty = asyncio.Event()
        self.gather = asyncio.Event()
        self.deposed = asyncio.Event()
        self.group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """Leads until replaced.

        Raises:
            ExceptionGroup: With the reason why the leadership ended.
        """
        LEADING.set(1)
        try:
            async with asyncio.TaskGroup() as group:
                self.group = group
                recorded = leaderstore.maps_of(self.leader_store.rows)
                for pool, key_map in recorded.items():
                    self.add_rebalancer(pool, key_map)
                self.dirty.set()
                self.state.contract_listeners.append(self.send_contracts_to_all)
                group.create_task(self.keep_record())
                group.create_task(self.keep_roster())
                group.create_task(self.send_heartbeats())
                group.create_task(self.watch_rivals())
                group.create_task(self.follow_directory())
                group.create_task(self.publish())
                group.create_task(self.publish_members())
                group.create_task(self.contract_watch.follow())
        finally:
            LEADING.set(0)
            self.state.contract_listeners.remove(self.send_contracts_to_all)
            for one in self.rebalancers.values():
                for kept in one.lease_managers.values():
                    kept.close()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that ends with the leadership."""
        if self.group is None:
            raise RuntimeError("the leadership has not begun")
        return self.group.create_task(work)

    def add_rebalancer(self, pool: str, key_map: keys.KeyMap | None) -> None:
        """Starts to place the keys of a pool."""
        made = rebalancer.Rebalancer(
            pool=pool,
            key_map=key_map,
            platform=self.platform,
            leader_store=self.leader_store,
            fences=self.fences,
            leader_lease=self.leader_lease,
            clock=self.clock,
            publish=self.dirty.set,
            spawn=self.spawn,
        )
        self.rebalancers[pool] = made
        made.update(self.servers_of(pool))
        self.spawn(made.run())

    def servers_of(self, pool: str) -> dict[str, cluster.Server]:
        """Returns the servers of a pool."""
        return {
            id: server
            for id, server in self.directory.servers.items()
            if server.pool == pool
        }

    async def keep_record(self) -> None:
        """Renews the leadership record.

        Raises:
            records.DeposedError: Another process leads.
        """
        while True:
            try:
                await self.leader_store.renew()
            except ports.StoreError as error:
                self.directory.note(error)
            await asyncio.sleep(RENEW_SECONDS)

    async def keep_roster(self) -> None:
        """Writes the members down, for a system that is restarted as a whole.

        Raises:
            records.DeposedError: Another process leads.
        """
        while True:
            await asyncio.sleep(ROSTER_SECONDS)
            try:
                await self.leader_store.write_roster(self.members)
            except ports.StoreError as error:
                self.directory.note(error)

    async def watch_rivals(self) -> None:
        """Ends the leadership once a later leader was heard.

        Raises:
            records.DeposedError: Another process leads.
        """
        await self.deposed.wait()
        raise leaderstore.DeposedError("a later leader was heard")

    async def send_heartbeats(self) -> None:
        """Tells all members that the leader lives, and what is newest."""
        while True:
            now = self.clock.monotonic()
            self.drop_silent(now)
            self.check_reach()
            message = wire.encode(self.make_heartbeat(now))
            self.announced_before = self.announced
            self.announced = self.version
            self.send_all(message)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def send_all(self, message: bytes) -> None:
        """Sends an encoded message to all other members."""
        for address in self.members:
            if address != self.me.address:
                self.datagrams.send_raw(address, message)

    def make_heartbeat(self, now: float) -> wire.Heartbeat:
        """Returns what the leader tells now."""
        age = min(60.0, now - self.directory.read_at)
        return wire.Heartbeat(
            epoch=self.leader_lease.epoch,
            version=self.version,
            contracts_revision=self.state.contracts_revision,
            age_ms=round(age * 1000),
            record=self.leader_store.rows[leaderstore.LEADER_KEY].revision,
            resigned=self.leader_lease.resigned,
        )

    def drop_silent(self, now: float) -> None:
        """Forgets members that were not heard for a while."""
        patience = MEMBER_LOST_SECONDS + self.lag.recent_max()
        for address, heard in list(self.heard.items()):
            if address == self.me.address or now - heard < patience:
                continue
            del self.heard[address]
            del self.members[address]
            self.dirty.set()
            log.write(
                events.MEMBER_LOST,
                member=address,
                silent_s=round(now - heard, 2),
            )

    def check_reach(self) -> None:
        """Gives up the leadership if most servers cannot be reached from here.

        Raises:
            ResignedError: Another process will do better.
        """
        kept = [
            h
            for o in self.rebalancers.values()
            for h in o.lease_managers.values()
        ]
        failing = sum(h.is_unreachable() for h in kept)
        if len(kept) < 3 or failing <= len(kept) * UNREACHABLE_FRACTION:
            return
        if len(self.members) > 1:
            raise ResignedError(f"{failing} of {len(kept)} servers unreachable")

    async def follow_directory(self) -> None:
        """Follows the directory and the contracts' pools."""
        while True:
            changed = await self.directory.read()
            self.state.confirmed_at = self.directory.read_at
            if changed:
                self.dirty.set()
            self.update_rebalancers()
            await asyncio.sleep(DIRECTORY_SECONDS)

    def update_rebalancers(self) -> None:
        """Brings servers and keyed pools to those that place keys."""
        present = self.state.contracts
        if present is not None:
            for pool in present.pools.values():
                if pool.keyed and pool.name not in self.rebalancers:
                    self.add_rebalancer(pool.name, None)
        for pool, one in self.rebalancers.items():
            one.update(self.servers_of(pool))

    async def publish(self) -> None:
        """Publishes the snapshot after each change."""
        while True:
            await self.dirty.wait()
            await asyncio.sleep(PUBLISH_PAUSE_SECONDS)
            self.dirty.clear()
            self.version += 1
            snapshot = cluster.Snapshot(
                epoch=self.leader_lease.epoch,
                version=self.version,
                leader=self.datagrams.address,
                members=dict(self.members),
                servers=dict(self.directory.servers),
                maps={
                    pool: o.published() for pool, o in self.rebalancers.items()
                },
            )
            self.spread(snapshot)
            self.state.adopt_snapshot(snapshot, "own")

    async def publish_members(self) -> None:
        """Publishes new members some at a time, since many join together."""
        while True:
            await self.gather.wait()
            await asyncio.sleep(JOIN_PAUSE_SECONDS)
            self.gather.clear()
            self.dirty.set()

    def spread(self, snapshot: cluster.Snapshot) -> None:
        """Sends what changed to all members.

        A member that has another snapshot asks for the whole one, so that a
        change costs little on small links.
        """
        delta = wire.encode(snapshots.difference(self.state.snapshot, snapshot))
        self.newest = snapshot
        self.snapshot_fragments = []
        self.send_all(delta)

    def send_snapshot(self, address: str) -> None:
        """Sends the whole snapshot to a member."""
        if not self.snapshot_fragments:
            parts = snapshots.pack(self.newest)
            self.snapshot_fragments = [wire.encode(part) for part in parts]
        for part in self.snapshot_fragments:
            self.datagrams.send_raw(address, part)

    def send_contracts_to_all(self) -> None:
        """Sends contracts that were just read to all members.

        Members then need not read them from the store, which all of them
        would do at the same moment.
        """
        self.contracts_fragments = []
        for part in self.encoded_contracts():
            self.send_all(part)

    def send_contracts(self, address: str) -> None:
        """Sends the contracts to one member."""
        for part in self.encoded_contracts():
            self.datagrams.send_raw(address, part)

    def encoded_contracts(self) -> list[bytes]:
        """Returns the contracts in force as datagrams; none before any."""
        document = self.state.document()
        if document is not None and not self.contracts_fragments:
            parts = contractcodec.pack(document)
            self.contracts_fragments = [wire.encode(part) for part in parts]
        return self.contracts_fragments

    def on_member_report(self, peer: str, message: wire.MemberReport) -> None:
        """Takes in that a member lives, and what it saw."""
        if message.leaving:
            self.forget(peer)
            return
        self.heard[peer] = self.clock.monotonic()
        if peer not in self.members:
            self.members[peer] = cluster.Member(
                address=peer,
                data_center=message.data_center,
                cores=message.cores,
            )
            self.gather.set()
            log.write(events.MEMBER_JOINED, member=peer)
        self.note_load(message.keys, message.service_ms)
        if self.lacks(message):
            self.send_snapshot(peer)
        if message.contracts_revision < self.state.contracts_revision:
            self.send_contracts(peer)

    def lacks(self, message: wire.MemberReport) -> bool:
        """Tells whether a member missed a change, and not just the last."""
        if message.epoch != self.leader_lease.epoch:
            return True
        return message.version < self.announced_before

    def forget(self, peer: str) -> None:
        """Takes a leaving member out."""
        if self.members.pop(peer, None) is not None:
            self.heard.pop(peer, None)
            self.dirty.set()
            log.write(events.MEMBER_LOST, member=peer, silent_s=0.0)

    def note_load(
        self, requested: dict[str, list[int]], service_ms: dict[str, float]
    ) -> None:
        """Takes in the load that a member saw."""
        for pool, found in requested.items():
            if pool in self.rebalancers:
                self.rebalancers[pool].rates.add(found)
        for one in self.rebalancers.values():
            for id, speed in service_ms.items():
                if id in one.servers:
                    one.service_ms[id] = speed

    def predecessors_expire_ms(self) -> int:
        """Returns when all grants have lapsed, in the store's time."""
        until = self.leader_lease.inflight_grants_expire_at(
            self.clock.boottime()
        )
        for one in self.rebalancers.values():
            owners = one.recorded_owners()
            for id in owners & one.lease_managers.keys():
                until = max(until, one.lease_managers[id].leases_expire_at)
            if owners & one.inherited - one.lease_managers.keys():
                until = max(
                    until, self.leader_lease.predecessor_grants_expire_at()
                )
        return self.platform.store_clock.upper_bound(until)

    async def resign(self) -> None:
        """Gives up the leadership, so that another takes over at once."""
        self.leader_lease.resigned = True
        try:
            await self.leader_store.renew(
                lapse_ms=self.predecessors_expire_ms()
            )
        except (ports.StoreError, leaderstore.DeposedError) as error:
            log.write(events.LEADERSHIP_FAILED, reason=f"resigning: {error}")
        now = self.clock.monotonic()
        self.send_all(wire.encode(self.make_heartbeat(now)))
