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
BEAT_SECONDS = 0.25
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
        peers: Datagrams to the other routers.
        state: What this process knows.
        clock: Time source.
        lag: How late this process's own timers run.
        me: This process as a member.
        rows: Own rows, read after the leadership was taken.
        tenure: The leadership's tenure.
        terms_watch: Follows the contracts.
        store_failed: When this process last saw the store fail, on the
            monotonic clock.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        peers: datagrams.Peers,
        state: state.State,
        clock: clock.Clock,
        lag: program.Lag,
        me: cluster.Member,
        rows: dict[str, ports.Row],
        tenure: leaderlease.Tenure,
        terms_watch: contractwatch.TermsWatch,
        store_failed: float,
    ):
        self.platform = platform
        self.peers = peers
        self.state = state
        self.clock = clock
        self.lag = lag
        self.me = me
        self.tenure = tenure
        self.terms_watch = terms_watch
        self.fences = leasemanager.Fences(epoch=tenure.epoch)
        self.records = leaderstore.Records(
            platform=platform,
            clock=clock,
            rows=rows,
            tenure=tenure,
            address=peers.address,
        )
        self.members = dict(
            state.picture.members or leaderstore.roster_of(rows)
        )
        self.members[me.address] = me
        now = clock.monotonic()
        self.heard = {address: now for address in self.members}
        self.directory = directory.Directory(
            platform=platform,
            clock=clock,
            servers=state.picture.servers,
            settled=store_failed,
        )
        self.owners: dict[str, rebalancer.Owner] = {}
        self.version = 0
        self.announced = 0
        self.announced_before = 0
        self.newest = state.picture
        self.parts: list[bytes] = []
        self.terms_parts: list[bytes] = []
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
                recorded = leaderstore.maps_of(self.records.rows)
                for pool, key_map in recorded.items():
                    self.add_owner(pool, key_map)
                self.dirty.set()
                self.state.terms_listeners.append(self.spread_terms)
                group.create_task(self.keep_record())
                group.create_task(self.keep_roster())
                group.create_task(self.beat())
                group.create_task(self.watch_rivals())
                group.create_task(self.follow_directory())
                group.create_task(self.publish())
                group.create_task(self.publish_members())
                group.create_task(self.terms_watch.follow())
        finally:
            LEADING.set(0)
            self.state.terms_listeners.remove(self.spread_terms)
            for one in self.owners.values():
                for kept in one.holders.values():
                    kept.close()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that ends with the leadership."""
        if self.group is None:
            raise RuntimeError("the leadership has not begun")
        return self.group.create_task(work)

    def add_owner(self, pool: str, key_map: keys.KeyMap | None) -> None:
        """Starts to place the keys of a pool."""
        made = rebalancer.Owner(
            pool=pool,
            key_map=key_map,
            platform=self.platform,
            records=self.records,
            fences=self.fences,
            tenure=self.tenure,
            clock=self.clock,
            publish=self.dirty.set,
            spawn=self.spawn,
        )
        self.owners[pool] = made
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
                await self.records.renew()
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
                await self.records.write_roster(self.members)
            except ports.StoreError as error:
                self.directory.note(error)

    async def watch_rivals(self) -> None:
        """Ends the leadership once a later leader was heard.

        Raises:
            records.DeposedError: Another process leads.
        """
        await self.deposed.wait()
        raise leaderstore.DeposedError("a later leader was heard")

    async def beat(self) -> None:
        """Tells all members that the leader lives, and what is newest."""
        while True:
            now = self.clock.monotonic()
            self.drop_silent(now)
            self.check_reach()
            message = wire.encode(self.make_beat(now))
            self.announced_before = self.announced
            self.announced = self.version
            self.send_all(message)
            await asyncio.sleep(BEAT_SECONDS)

    def send_all(self, message: bytes) -> None:
        """Sends an encoded message to all other members."""
        for address in self.members:
            if address != self.me.address:
                self.peers.send_raw(address, message)

    def make_beat(self, now: float) -> wire.Beat:
        """Returns what the leader tells now."""
        age = min(60.0, now - self.directory.read_at)
        return wire.Beat(
            epoch=self.tenure.epoch,
            version=self.version,
            terms=self.state.terms_revision,
            age_ms=round(age * 1000),
            record=self.records.rows[leaderstore.LEADER_KEY].revision,
            resigned=self.tenure.resigned,
        )

    def drop_silent(self, now: float) -> None:
        """Forgets members that were not heard for a while."""
        patience = MEMBER_LOST_SECONDS + self.lag.recent()
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
        kept = [h for o in self.owners.values() for h in o.holders.values()]
        failing = sum(h.lost() for h in kept)
        if len(kept) < 3 or failing <= len(kept) * UNREACHABLE_FRACTION:
            return
        if len(self.members) > 1:
            raise ResignedError(f"{failing} of {len(kept)} servers unreachable")

    async def follow_directory(self) -> None:
        """Follows the directory and the contracts' pools."""
        while True:
            changed = await self.directory.read()
            self.state.confirmed = self.directory.read_at
            if changed:
                self.dirty.set()
            self.update_owners()
            await asyncio.sleep(DIRECTORY_SECONDS)

    def update_owners(self) -> None:
        """Brings servers and keyed pools to those that place keys."""
        present = self.state.terms
        if present is not None:
            for pool in present.pools.values():
                if pool.keyed and pool.name not in self.owners:
                    self.add_owner(pool.name, None)
        for pool, one in self.owners.items():
            one.update(self.servers_of(pool))

    async def publish(self) -> None:
        """Publishes the picture after each change."""
        while True:
            await self.dirty.wait()
            await asyncio.sleep(PUBLISH_PAUSE_SECONDS)
            self.dirty.clear()
            self.version += 1
            picture = cluster.Picture(
                epoch=self.tenure.epoch,
                version=self.version,
                leader=self.peers.address,
                members=dict(self.members),
                servers=dict(self.directory.servers),
                maps={pool: o.published() for pool, o in self.owners.items()},
            )
            self.spread(picture)
            self.state.adopt(picture, "own")

    async def publish_members(self) -> None:
        """Publishes new members some at a time, since many join together."""
        while True:
            await self.gather.wait()
            await asyncio.sleep(JOIN_PAUSE_SECONDS)
            self.gather.clear()
            self.dirty.set()

    def spread(self, picture: cluster.Picture) -> None:
        """Sends what changed to all members.

        A member that has another picture asks for the whole one, so that a
        change costs little on small links.
        """
        delta = wire.encode(snapshots.difference(self.state.picture, picture))
        self.newest = picture
        self.parts = []
        self.send_all(delta)

    def send_picture(self, address: str) -> None:
        """Sends the whole picture to a member."""
        if not self.parts:
            parts = snapshots.pack(self.newest)
            self.parts = [wire.encode(part) for part in parts]
        for part in self.parts:
            self.peers.send_raw(address, part)

    def spread_terms(self) -> None:
        """Sends contracts that were just read to all members.

        Members then need not read them from the store, which all of them
        would do at the same moment.
        """
        self.terms_parts = []
        for part in self.encoded_terms():
            self.send_all(part)

    def send_terms(self, address: str) -> None:
        """Sends the contracts to one member."""
        for part in self.encoded_terms():
            self.peers.send_raw(address, part)

    def encoded_terms(self) -> list[bytes]:
        """Returns the contracts in force as datagrams; none before any."""
        document = self.state.document()
        if document is not None and not self.terms_parts:
            parts = contractcodec.pack(document)
            self.terms_parts = [wire.encode(part) for part in parts]
        return self.terms_parts

    def on_hello(self, peer: str, message: wire.Hello) -> None:
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
        self.note_load(message.keys, message.speeds)
        if self.lacks(message):
            self.send_picture(peer)
        if message.terms < self.state.terms_revision:
            self.send_terms(peer)

    def lacks(self, message: wire.Hello) -> bool:
        """Tells whether a member missed a change, and not just the last."""
        if message.epoch != self.tenure.epoch:
            return True
        return message.version < self.announced_before

    def forget(self, peer: str) -> None:
        """Takes a leaving member out."""
        if self.members.pop(peer, None) is not None:
            self.heard.pop(peer, None)
            self.dirty.set()
            log.write(events.MEMBER_LOST, member=peer, silent_s=0.0)

    def note_load(
        self, requested: dict[str, list[int]], speeds: dict[str, float]
    ) -> None:
        """Takes in the load that a member saw."""
        for pool, found in requested.items():
            if pool in self.owners:
                self.owners[pool].rates.add(found)
        for one in self.owners.values():
            for id, speed in speeds.items():
                if id in one.servers:
                    one.speeds[id] = speed

    def lapse_ms(self) -> int:
        """Returns when all grants have lapsed, in the store's time."""
        until = self.tenure.own_until(self.clock.boottime())
        for one in self.owners.values():
            owners = one.recorded_owners()
            for id in owners & one.holders.keys():
                until = max(until, one.holders[id].until)
            if owners & one.inherited - one.holders.keys():
                until = max(until, self.tenure.inherited_until())
        return self.platform.store_clock.latest(until)

    async def resign(self) -> None:
        """Gives up the leadership, so that another takes over at once."""
        self.tenure.resigned = True
        try:
            await self.records.renew(lapse_ms=self.lapse_ms())
        except (ports.StoreError, leaderstore.DeposedError) as error:
            log.write(events.LEADERSHIP_FAILED, reason=f"resigning: {error}")
        now = self.clock.monotonic()
        self.send_all(wire.encode(self.make_beat(now)))
