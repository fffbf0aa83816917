"""The leader: follows the directory, publishes snapshots, assigns keys."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import math

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import coldservers
from oleanderhoist.node import contractwatch
from oleanderhoist.node import datagrams
from oleanderhoist.node import departurenews
from oleanderhoist.node import directory
from oleanderhoist.node import keyowners
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.node import membership
from oleanderhoist.node import publisher
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import cluster
from oleanderhoist.policy import leaderlease

RECORD_RENEWAL_INTERVAL_SECONDS = 0.5
ROSTER_WRITE_INTERVAL_SECONDS = 3.0
HEARTBEAT_INTERVAL_SECONDS = 0.25
DIRECTORY_READ_INTERVAL_SECONDS = 0.4
PUBLISH_DELAY_SECONDS = 0.03
JOIN_DELAY_SECONDS = 0.1
MAX_REPORTED_AGE_SECONDS = 60.0
UNREACHABLE_FRACTION = 0.5
MIN_SERVERS_TO_RESIGN = 3

LEADING = prometheus_client.Gauge("oleander_leading", "1 while this leads")


class ResignedError(Exception):
    """The leader resigns."""


class Leader:
    """The duties of the leader for one epoch.

    Args:
        platform: Store, directory and lease channels.
        datagrams: Datagrams to the other routers.
        state: Snapshot and contracts of this router.
        clock: Time source.
        lag: Delay of this router's own timers.
        own_member: This router as a member.
        stored: The routers' own rows in the store, read after the leadership
            was acquired.
        owners_known: Whether the stored key maps may be believed.
        leader_lease: Leader lease of this epoch.
        contract_watch: Follows the contracts.
        store_last_failure_at: When a store call of this router last failed,
            as `StoreReader` recorded it, on the monotonic clock.
        departure_news: Passes on which servers have said that they leave.
        cold_terms: What holds for cold servers.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        datagrams: datagrams.DatagramEndpoint,
        state: state.State,
        clock: clock.Clock,
        lag: program.LoopLag,
        own_member: cluster.Member,
        stored: ports.OwnRows,
        owners_known: bool,
        leader_lease: leaderlease.LeaderLease,
        contract_watch: contractwatch.ContractWatch,
        store_last_failure_at: float,
        departure_news: departurenews.DepartureNews,
        cold_terms: coldservers.ColdTerms,
    ):
        self.platform = platform
        self.datagrams = datagrams
        self.state = state
        self.clock = clock
        self.own_member = own_member
        self.leader_lease = leader_lease
        self.contract_watch = contract_watch
        self.departure_news = departure_news
        self.cold_terms = cold_terms
        self.fences = leasemanager.FencingTokens(epoch=leader_lease.epoch)
        self.leader_store = leaderstore.LeaderStore(
            platform=platform,
            clock=clock,
            stored=stored,
            leader_lease=leader_lease,
            address=datagrams.address,
            owners_known=owners_known,
        )
        self.membership = membership.Membership(
            members=state.snapshot.members
            or leaderstore.roster_of(stored.rows),
            own_member=own_member,
            clock=clock,
            lag=lag,
        )
        self.members = self.membership.members
        self.publisher = publisher.Publisher(
            datagrams=datagrams, state=state, members=self.members
        )
        self.directory = directory.Directory(
            platform=platform,
            clock=clock,
            servers=state.snapshot.servers,
            last_failure_at=store_last_failure_at,
        )
        self.version = 0
        self.announced_version = 0
        self.previous_announced_version = 0
        self.snapshot_dirty = asyncio.Event()
        self.members_joined = asyncio.Event()
        self.deposed = asyncio.Event()
        self.task_group: asyncio.TaskGroup | None = None
        self.key_owners = keyowners.KeyOwners(
            platform=platform,
            leader_store=self.leader_store,
            fences=self.fences,
            leader_lease=leader_lease,
            clock=clock,
            publish=self.snapshot_dirty.set,
            spawn=self.spawn,
            evacuations=state.evacuations,
            servers_of=self.servers_of,
        )
        if not owners_known:
            self.key_owners.inherit(state.snapshot.maps)
        self.rebalancers = self.key_owners.rebalancers

    async def run(self) -> None:
        """Leads until deposed or resigned.

        Raises:
            ExceptionGroup: With the reason why the leadership ended.
        """
        self.state.retain_departures()
        await self.read_first()
        LEADING.set(1)
        try:
            async with asyncio.TaskGroup() as group:
                self.task_group = group
                self.key_owners.start()
                self.snapshot_dirty.set()
                self.state.contract_listeners.append(
                    self.publisher.send_contracts_to_all
                )
                self.state.departure_listeners.append(self.on_departures)
                group.create_task(self.renew_record())
                group.create_task(self.send_heartbeats())
                group.create_task(self.wait_until_deposed())
                self.spawn_supervised("roster", self.write_roster_regularly)
                self.spawn_supervised("directory", self.follow_directory)
                self.spawn_supervised("publish", self.publish)
                self.spawn_supervised("members", self.publish_members)
                self.spawn_supervised("contracts", self.contract_watch.follow)
        finally:
            LEADING.set(0)
            self.state.contract_listeners.remove(
                self.publisher.send_contracts_to_all
            )
            self.state.departure_listeners.remove(self.on_departures)
            self.key_owners.close()

    async def read_first(self) -> None:
        """Reads what the first heartbeat vouches for, if the store answers."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_SECONDS):
                await asyncio.gather(
                    self.directory.read(), self.contract_watch.read()
                )

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a task that ends with the leadership."""
        if self.task_group is None:
            raise RuntimeError("run() must start before tasks are spawned")
        return self.task_group.create_task(coroutine)

    def spawn_supervised(self, name: str, run: Callable[[], Coroutine]) -> None:
        """Starts a task whose errors do not end the leadership."""
        self.spawn(
            program.supervise(name, run, fatal=(leaderstore.DeposedError,))
        )

    def servers(self) -> dict[str, cluster.Server]:
        """Returns the listed servers; those that say so are leaving."""
        return self.state.departures.mark(self.directory.servers)

    def servers_of(self, pool: str) -> dict[str, cluster.Server]:
        """Returns the servers of a pool."""
        return {
            id: server
            for id, server in self.servers().items()
            if server.pool == pool
        }

    def on_departures(self, incarnations: list[cluster.Incarnation]) -> None:
        """Passes on which servers leave, and starts to move their keys."""
        self.publisher.send_departures(incarnations)
        self.snapshot_dirty.set()
        self.update_servers()

    async def renew_record(self) -> None:
        """Renews the leadership record.

        Raises:
            leaderstore.DeposedError: Another router leads.
        """
        while True:
            try:
                await self.leader_store.renew()
            except ports.StoreError as error:
                self.directory.record_failure(error)
            await asyncio.sleep(RECORD_RENEWAL_INTERVAL_SECONDS)

    async def write_roster_regularly(self) -> None:
        """Writes the roster, for a restart of all routers at once.

        Raises:
            leaderstore.DeposedError: Another router leads.
        """
        while True:
            await asyncio.sleep(ROSTER_WRITE_INTERVAL_SECONDS)
            try:
                await self.leader_store.write_roster(self.members)
            except ports.StoreError as error:
                self.directory.record_failure(error)

    async def wait_until_deposed(self) -> None:
        """Ends the leadership after a message that names a later leader.

        Raises:
            leaderstore.DeposedError: Another router leads.
        """
        await self.deposed.wait()
        raise leaderstore.DeposedError("received a message of a later epoch")

    async def send_heartbeats(self) -> None:
        """Sends heartbeats to all members at regular intervals."""
        while True:
            if self.membership.remove_lost(self.clock.monotonic()):
                self.snapshot_dirty.set()
            self.check_reachability()
            self.check_tokens()
            message = wire.encode(self.make_heartbeat())
            self.previous_announced_version = self.announced_version
            self.announced_version = self.version
            self.publisher.send_all(message)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Returns the current heartbeat.

        Its age is that of the oldest of what the followers get from it.
        """
        known_at = min(
            self.directory.confirmation.at,
            self.state.contracts_confirmation.at,
        )
        age = min(MAX_REPORTED_AGE_SECONDS, self.clock.boottime() - known_at)
        store_clock = self.platform.store_clock
        is_dated = store_clock.is_known and math.isfinite(known_at)
        return wire.Heartbeat(
            epoch=self.leader_lease.epoch,
            version=self.version,
            contracts_revision=self.state.contracts_revision,
            contracts_version=self.state.contracts_version,
            age_ms=round(age * 1000),
            record=self.leader_store.rows[
                leaderstore.LEADER_KEY
            ].revision.number,
            resigned=self.leader_lease.resigned,
            evacuated=sorted(self.state.evacuations.known_since),
            evacuated_revision=self.state.evacuations.revision.number,
            evacuated_era=self.state.evacuations.revision.era,
            known_ms=store_clock.lower_bound(known_at) if is_dated else None,
            known_era=store_clock.era if is_dated else None,
        )

    def check_reachability(self) -> None:
        """Resigns if most servers are unreachable from this router.

        Raises:
            ResignedError: Another router may reach more servers.
        """
        managers = self.key_owners.lease_managers()
        failing = sum(m.is_unreachable() for m in managers)
        if (
            len(managers) < MIN_SERVERS_TO_RESIGN
            or failing <= len(managers) * UNREACHABLE_FRACTION
        ):
            return
        if len(self.members) > 1:
            raise ResignedError(
                f"{failing} of {len(managers)} servers unreachable"
            )

    def check_tokens(self) -> None:
        """Resigns before the fencing tokens reach those of the next epoch.

        Raises:
            ResignedError: The tokens of this epoch are used up.
        """
        if self.fences.is_used_up:
            raise ResignedError("no fencing tokens are left")

    async def follow_directory(self) -> None:
        """Follows the directory and the contracts' pools."""
        era = self.platform.store_eras.newest
        while True:
            changed = await self.directory.read()
            if self.platform.store_eras.newest != era:
                # The copy may list servers as ready that leave.
                era = self.platform.store_eras.newest
                self.state.retain_departures()
            self.state.snapshot_confirmation.confirm(
                self.directory.confirmation.at
            )
            if changed:
                self.snapshot_dirty.set()
            self.update_rebalancers()
            await asyncio.sleep(DIRECTORY_READ_INTERVAL_SECONDS)

    def update_rebalancers(self) -> None:
        """Updates the rebalancers with the current servers and keyed pools."""
        contracts = self.state.contracts
        if contracts is not None:
            keyed = {one.name for one in contracts.pools.values() if one.keyed}
            self.key_owners.add_new_pools(keyed)
        self.update_servers()

    def update_servers(self) -> None:
        """Updates the rebalancers with the current servers and their terms."""
        contracts = self.state.contracts
        belief = coldservers.belief_of(self.state, self.clock, self.cold_terms)
        now = self.clock.monotonic()
        for name, pool_rebalancer in self.rebalancers.items():
            servers = self.servers_of(name)
            pool = contracts.pools.get(name) if contracts else None
            if pool is not None:
                pool_rebalancer.cold_rate = pool.cold_rate
                servers = coldservers.mark_returned(servers, pool, belief, now)
            pool_rebalancer.update(servers)

    async def publish(self) -> None:
        """Publishes the snapshot after each change."""
        while True:
            await self.snapshot_dirty.wait()
            await asyncio.sleep(PUBLISH_DELAY_SECONDS)
            self.snapshot_dirty.clear()
            self.version += 1
            snapshot = cluster.Snapshot(
                epoch=self.leader_lease.epoch,
                version=self.version,
                leader=self.datagrams.address,
                members=dict(self.members),
                servers=self.servers(),
                maps=self.key_owners.published_maps(),
            )
            try:
                self.publisher.publish(snapshot)
            except Exception:
                self.snapshot_dirty.set()
                raise
            self.state.adopt_snapshot(snapshot, "own")

    async def publish_members(self) -> None:
        """Publishes new members in batches, since many join together."""
        while True:
            await self.members_joined.wait()
            await asyncio.sleep(JOIN_DELAY_SECONDS)
            self.members_joined.clear()
            self.snapshot_dirty.set()

    def on_member_report(self, peer: str, message: wire.MemberReport) -> None:
        """Handles a member report."""
        if message.epoch > self.leader_lease.epoch:
            self.deposed.set()  # The member has followed a later leader.
        if message.leaving:
            if self.membership.remove(peer):
                self.snapshot_dirty.set()
            return
        member = cluster.Member(
            address=peer,
            data_center=message.data_center,
            cores=message.cores,
            coordination=message.coordination,
        )
        if self.membership.record_report(member):
            self.members_joined.set()
        self.record_load(message.keys, message.service_ms)
        self.departure_news.compare(peer, message.departed)
        if self.missed_update(message):
            self.publisher.send_snapshot(peer)
        if self.lacks_contracts(message):
            self.publisher.send_contracts(peer)

    def lacks_contracts(self, message: wire.MemberReport) -> bool:
        """Returns whether a member has older contracts than this router."""
        if message.contracts_version is None:
            return message.contracts_revision < self.state.contracts_revision
        return message.contracts_version < self.state.contracts_version

    def missed_update(self, message: wire.MemberReport) -> bool:
        """Returns whether a member has missed an update.

        Its snapshot is then older than the one announced in the last heartbeat
        but one; newer updates may still be on their way.
        """
        if message.epoch != self.leader_lease.epoch:
            return True
        return message.version < self.previous_announced_version

    def record_load(
        self, requested: dict[str, list[int]], service_ms: dict[str, float]
    ) -> None:
        """Records the load that a member observed."""
        for pool, requested_keys in requested.items():
            if pool in self.rebalancers:
                self.rebalancers[pool].key_counter.add(requested_keys)
        for pool_rebalancer in self.rebalancers.values():
            for id, milliseconds in service_ms.items():
                if id in pool_rebalancer.servers:
                    pool_rebalancer.service_ms[id] = milliseconds

    def all_leases_expire_ms(self) -> int:
        """Returns when all leases have expired, in the store's time."""
        expires_at = max(
            self.leader_lease.inflight_grants_expire_at(self.clock.boottime()),
            self.key_owners.leases_expire_at(),
        )
        return self.platform.store_clock.upper_bound(expires_at)

    async def resign(self, *, insist: bool = False) -> None:
        """Resigns, so that a successor takes over at once.

        Args:
            insist: Whether to try until the store has the resignation. A
                successor has to wait without it if the store comes back from
                an older copy.
        """
        self.leader_lease.resigned = True
        is_settled = await self.try_resign()
        self.publisher.send_all(wire.encode(self.make_heartbeat()))
        while insist and not is_settled:
            await asyncio.sleep(leaderstore.RETRY_SECONDS)
            is_settled = await self.try_resign()

    async def try_resign(self) -> bool:
        """Writes the resignation; returns whether no other try is needed."""
        try:
            await self.leader_store.renew(lapse_ms=self.all_leases_expire_ms())
        except leaderstore.DeposedError as error:
            log.write(events.LEADERSHIP_FAILED, reason=f"resigning: {error}")
        except ports.StoreError as error:
            log.write(events.LEADERSHIP_FAILED, reason=f"resigning: {error}")
            return False
        return True
