"""Assigns each key of a pool to one owner, and moves keys between servers.

A move revokes the keys, or waits until every lease on them has expired. It then
records the new owner in the store, and only then grants to it. A later leader
can therefore safely grant to the recorded owner, and to no other server.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.policy import assignment
from oleanderhoist.policy import balance
from oleanderhoist.policy import cluster
from oleanderhoist.policy import evacuations
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import leaseexpiries

PLAN_INTERVAL_SECONDS = 0.2
COUNT_INTERVAL_SECONDS = 0.4
HOLD_SECONDS = 2.0  # For which keys that have moved for load stay.
SETTLE_SECONDS = 0.8  # Without server changes, before the first assignment.
REVOKE_ATTEMPTS = 2
DEFAULT_SERVICE_MS = 100.0
MIN_SERVICE_MS = 1.0

Spawn = Callable[[Coroutine], object]


class Rebalancer:
    """Manages the owners of one pool's keys while this router leads.

    Args:
        pool: Name of the pool.
        key_map: Recorded owners; None if no owners were ever recorded.
        platform: Provides the store clock and the lease channels.
        leader_store: Writes the owners to the store.
        fences: Fencing tokens of this epoch.
        leader_lease: Leader lease of this epoch.
        clock: Time source.
        publish: Called when the published owners have changed.
        spawn: Starts a task that ends with the leadership.
        evacuations: Data centres whose servers may own no keys.

    Attributes:
        cold_rate: Requests per second that a cold server stands; 0 if cold
            servers are not limited.
    """

    def __init__(
        self,
        *,
        pool: str,
        key_map: keys.KeyMap | None,
        platform: ports.Platform,
        leader_store: leaderstore.LeaderStore,
        fences: leasemanager.FencingTokens,
        leader_lease: leaderlease.LeaderLease,
        clock: clock.Clock,
        publish: Callable[[], None],
        spawn: Spawn,
        evacuations: evacuations.Evacuations,
    ):
        self.pool = pool
        self.key_map = key_map
        self.platform = platform
        self.leader_store = leader_store
        self.fences = fences
        self.leader_lease = leader_lease
        self.clock = clock
        self.publish = publish
        self.spawn = spawn
        self.evacuations = evacuations
        self.servers: dict[str, cluster.Server] = {}
        self.lease_managers: dict[str, leasemanager.LeaseManager] = {}
        # Also of servers whose lease manager was replaced.
        self.expiries: dict[str, leaseexpiries.LeaseExpiries] = {}
        recorded_ranges = key_map.ranges if key_map else []
        self.inherited_owners = {
            key_range.owner for key_range in recorded_ranges if key_range.owner
        }
        self.active_moves: list[assignment.Move] = []
        self.recent_moves: list[tuple[float, assignment.Move]] = []
        self.key_counter = keyload.KeyCounter()
        self.key_counts = self.key_counter.counts()
        self.counts_changed = False
        self.service_ms: dict[str, float] = {}
        self.cold_rate = 0.0
        self.settled_at = 0.0

    def update(self, servers: dict[str, cluster.Server]) -> None:
        """Updates the servers of the pool."""
        if servers.keys() != self.servers.keys():
            self.settled_at = self.clock.boottime() + SETTLE_SECONDS
        self.servers = servers
        for id, server in servers.items():
            manager = self.lease_managers.get(id)
            if manager is not None and manager.server.address != server.address:
                self.drop_lease_manager(id)
        self.drop_unlisted()

    def drop_unlisted(self) -> None:
        """Forgets servers that are gone and own no keys any more."""
        in_use = self.servers.keys() | self.recorded_owners()
        for move in self.active_moves:
            in_use |= {move.source, move.target}
        for id in self.lease_managers.keys() - in_use:
            self.drop_lease_manager(id)
        for id in self.service_ms.keys() - in_use:
            del self.service_ms[id]
        now = self.clock.boottime()
        for id in self.expiries.keys() - in_use:
            if self.expiries[id].latest(keys.all_keys()) < now:
                del self.expiries[id]

    def drop_lease_manager(self, id: str) -> None:
        """Closes and removes the lease manager of a server."""
        manager = self.lease_managers.pop(id)
        manager.close()

    def usable(self) -> dict[str, cluster.Server]:
        """Returns the servers that may own keys."""
        return {
            id: server
            for id, server in self.servers.items()
            if self.is_ready(server) and not self.is_evacuated(server)
        }

    def is_ready(self, server: cluster.Server) -> bool:
        """Returns whether a listed server stays and can be reached."""
        manager = self.lease_managers.get(server.id)
        return not server.leaving and not (
            manager is not None and manager.is_unreachable()
        )

    def is_evacuated(self, server: cluster.Server) -> bool:
        """Returns whether the data centre of a server is evacuated."""
        return server.data_center in self.evacuations.known_since

    def move_targets(self) -> dict[str, cluster.Server]:
        """Returns the servers that keys may move to."""
        usable = self.usable()
        stable = {
            id: server
            for id, server in usable.items()
            if id not in self.lease_managers
            or self.lease_managers[id].is_stable()
        }
        return stable or usable

    def recorded_map(self) -> keys.KeyMap:
        """Returns the owners that are, or are being, recorded."""
        return self.key_map or keys.unowned_map()

    def recorded_owners(self) -> set[str]:
        """Returns the ids of all recorded owners."""
        return {
            key_range.owner
            for key_range in self.recorded_map().ranges
            if key_range.owner
        }

    def published_map(self) -> keys.KeyMap:
        """Returns the owners that requests may be sent to."""
        key_map = self.recorded_map()
        for move in self.active_moves:
            key_map = key_map.assign(move.start, move.end, "")
        return key_map

    def ranges_of(self, id: str) -> list[keys.Range]:
        """Returns the ranges that a server should own now."""
        return [
            key_range
            for key_range in self.published_map().ranges
            if key_range.owner == id
        ]

    def lease_manager(self, id: str) -> leasemanager.LeaseManager | None:
        """Returns a server's lease manager, created on first use."""
        if id in self.lease_managers:
            return self.lease_managers[id]
        server = self.servers.get(id)
        if server is None:
            return None
        manager = leasemanager.LeaseManager(
            server=server,
            platform=self.platform,
            fences=self.fences,
            leader_lease=self.leader_lease,
            clock=self.clock,
            ranges=lambda: self.ranges_of(id),
            expiries=self.lease_expiries(id),
        )
        self.lease_managers[id] = manager
        self.spawn(manager.run())
        return manager

    def lease_expiries(self, id: str) -> leaseexpiries.LeaseExpiries:
        """Returns when a server's leases expire; created on first use."""
        if id not in self.expiries:
            initial = 0.0
            if id in self.inherited_owners:
                initial = self.leader_lease.predecessor_grants_expire_at()
            self.expiries[id] = leaseexpiries.LeaseExpiries(initial=initial)
        return self.expiries[id]

    def leases_expire_at(self) -> float:
        """Returns when the leases of all recorded owners have expired."""
        return max(
            (
                self.lease_expiries(key_range.owner).latest(key_range)
                for key_range in self.recorded_map().ranges
                if key_range.owner
            ),
            default=0.0,
        )

    async def run(self) -> None:
        """Plans moves until cancelled."""
        counted_at = 0.0
        while True:
            now = self.clock.boottime()
            if now - counted_at >= COUNT_INTERVAL_SECONDS:
                self.key_counts = self.key_counter.advance(now)
                self.counts_changed = True
                counted_at = now
            if self.key_map is None:
                await self.assign_initial_keys(now)
            else:
                self.plan(now)
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)

    async def assign_initial_keys(self, now: float) -> None:
        """Divides the keys among the servers for the first time."""
        usable = self.usable()
        if not usable or now < self.settled_at:
            return
        key_map = keys.divide_by_weight(
            [(id, float(s.slots)) for id, s in sorted(usable.items())]
        )
        await self.leader_store.write_map(self.pool, lambda: key_map)
        self.key_map = key_map
        for id in usable:
            self.lease_manager(id)
        self.publish()

    def plan(self, now: float) -> None:
        """Starts the moves that are due."""
        if self.key_map is None or not self.leader_lease.may_move_keys(now):
            return
        usable = self.usable()
        if not usable:
            return
        for key_range in self.key_map.ranges:
            if key_range.owner in self.servers:
                self.lease_manager(key_range.owner)
        lost = [
            key_range
            for key_range in self.recorded_map().ranges
            if key_range.owner not in usable and not self.is_moving(key_range)
        ]
        vacated = [one for one in lost if self.is_vacated(one.owner)]
        lost = [one for one in lost if one not in vacated]
        vacated = self.due_to_vacate(vacated)
        if lost or vacated or self.counts_changed:
            planner = self.planner(now)
            self.place(planner, lost, "owner lost or leaving")
            self.place(planner, vacated, "evacuation")
            self.spread_load(planner, now)

    def is_vacated(self, owner: str) -> bool:
        """Returns whether an owner is unusable for an evacuation only."""
        server = self.servers.get(owner)
        return (
            server is not None
            and self.is_evacuated(server)
            and self.is_ready(server)
        )

    def due_to_vacate(self, vacated: list[keys.Range]) -> list[keys.Range]:
        """Returns which ranges of evacuated servers should move now."""
        by_data_center: dict[str, list[keys.Range]] = {}
        for key_range in vacated:
            data_center = self.servers[key_range.owner].data_center
            by_data_center.setdefault(data_center, []).append(key_range)
        now = self.clock.monotonic()
        due = []
        for data_center, ranges in by_data_center.items():
            size = self.evacuations.batch_size(
                data_center,
                len(ranges),
                now=now,
                interval=PLAN_INTERVAL_SECONDS,
            )
            due += ranges[:size]
        return due

    def place(
        self, planner: balance.Planner, lost: list[keys.Range], reason: str
    ) -> None:
        """Starts to move ranges whose owner may not keep them."""
        for key_range in lost:
            for move in planner.place(key_range):
                self.start_move(move, reason)

    def spread_load(self, planner: balance.Planner, now: float) -> None:
        """Starts to move keys of servers with too much load."""
        if not self.counts_changed:
            return
        self.counts_changed = False
        for move in planner.plan():
            self.recent_moves.append((now, move))
            self.start_move(move, "load")

    def planner(self, now: float) -> balance.Planner:
        """Returns a planner for whom the moves under way are already made."""
        self.recent_moves = [
            (moved_at, move)
            for moved_at, move in self.recent_moves
            if now - moved_at < HOLD_SECONDS or move in self.active_moves
        ]
        key_map = self.recorded_map()
        for move in self.active_moves:
            key_map = key_map.assign(move.start, move.end, move.target)
        held = [move.key_range for _, move in self.recent_moves]
        held += [
            move.key_range
            for move in self.active_moves
            if move.key_range not in held
        ]
        return balance.Planner(
            key_map=key_map,
            counts=self.key_counts,
            capacities=self.capacities(self.move_targets()),
            held=held,
            measured=frozenset(self.service_ms),
            cold=self.cold_servers(),
        )

    def is_moving(self, key_range: keys.Range) -> bool:
        """Returns whether some of the keys are being moved."""
        return any(
            move.start <= key_range.end and key_range.start <= move.end
            for move in self.active_moves
        )

    def capacities(self, usable: dict[str, cluster.Server]) -> dict[str, float]:
        """Returns each server's capacity, in requests per second.

        That of a cold server is what it stands.
        """
        measured = [
            self.service_ms[id] for id in usable if id in self.service_ms
        ]
        measured.sort()
        default = (
            measured[len(measured) // 2] if measured else DEFAULT_SERVICE_MS
        )
        found = {
            id: server.slots
            * 1000
            / max(MIN_SERVICE_MS, self.service_ms.get(id, default))
            for id, server in usable.items()
        }
        for id in self.cold_servers() & found.keys():
            found[id] = min(found[id], self.cold_rate)
        return found

    def cold_servers(self) -> frozenset[str]:
        """Returns the servers that are listed as cold, if these are limited."""
        if self.cold_rate <= 0:
            return frozenset()
        return frozenset(id for id, s in self.servers.items() if s.cold)

    def start_move(self, move: assignment.Move, reason: str) -> None:
        """Starts a move."""
        self.active_moves.append(move)
        log.write(
            events.KEYS_MOVING,
            pool=self.pool,
            start=move.start,
            end=move.end,
            source=move.source,
            target=move.target,
            reason=reason,
        )
        self.publish()
        self.spawn(self.execute_move(move))

    async def execute_move(self, move: assignment.Move) -> None:
        """Revokes the keys, records the new owner and grants to it."""
        started_at = self.clock.boottime()
        token = await self.revoke(move)
        if token is None:
            token = await self.wait_expiry(move)
        target = self.replacement(move)
        self.key_map = self.recorded_map().assign(move.start, move.end, target)
        await self.leader_store.write_map(self.pool, self.recorded_map)
        manager = self.lease_manager(target)
        if manager is None:
            self.active_moves.remove(move)
        else:
            if token:
                manager.handover_tokens[move.start] = token
            await self.hand_over(manager, move)
        log.write(
            events.KEYS_MOVED,
            pool=self.pool,
            start=move.start,
            end=move.end,
            target=target,
            warm=bool(token),
            took_ms=round((self.clock.boottime() - started_at) * 1000),
        )
        self.publish()

    async def revoke(self, move: assignment.Move) -> str | None:
        """Revokes the source's lease.

        Returns:
            As `LeaseManager.revoke`; None also without a listed source.
        """
        source = self.lease_manager(move.source) if move.source else None
        if source is None:
            return None
        key_range = keys.Range(start=move.start, end=move.end)
        return await source.revoke(key_range, REVOKE_ATTEMPTS)

    async def wait_expiry(self, move: assignment.Move) -> str:
        """Waits until every lease on the keys of a lost owner has expired.

        Records the expiry in the store's time first, and removes the owner, so
        that no leader grants to it any more and a successor waits no longer
        than this leader. Each attempt to revoke the keys grants a short lease
        (`FENCE_LEASE_SECONDS`), so attempts stop while that lease can still
        expire in time.

        Returns:
            The handover token if the owner answers in time, else "".
        """
        store_clock = self.platform.store_clock
        source = self.lease_manager(move.source) if move.source else None
        current = self.recorded_map().find(move.start)
        expires_at_ms = current.lease_expires_at_ms
        if current.owner:
            expires_at = self.lease_expiries(current.owner).latest(
                move.key_range
            )
            expires_at_ms = store_clock.upper_bound(expires_at)
            self.key_map = self.recorded_map().assign(
                move.start, move.end, "", lease_expires_at_ms=expires_at_ms
            )
            await self.leader_store.write_map(self.pool, self.recorded_map)
        while remaining := store_clock.seconds_until(
            expires_at_ms, self.clock.boottime()
        ):
            if source is None or remaining < leasemanager.FENCE_RAISE_SECONDS:
                await asyncio.sleep(remaining)
                continue
            key_range = keys.Range(start=move.start, end=move.end)
            token = await source.revoke(key_range, 1)
            if token is not None:
                return token
        return ""

    def replacement(self, move: assignment.Move) -> str:
        """Returns the target, or another server if the target was lost."""
        usable = self.usable()
        if move.target in usable or not usable:
            return move.target
        planner = self.planner(self.clock.boottime())
        return min(
            planner.assignment.capacities,
            key=planner.assignment.idle_utilisation,
            default="",
        )

    async def hand_over(
        self, manager: leasemanager.LeaseManager, move: assignment.Move
    ) -> None:
        """Grants moved keys to their new owner at once."""
        async with manager.lock:
            # Not before: a renewal that waits has too low a fencing token.
            self.active_moves.remove(move)
            try:
                await manager.connect()
                manager.fence = self.fences.next()
                await manager.grant(keys.Range(start=move.start, end=move.end))
            except ports.OrderError as error:
                manager.record_failure(str(error))
        manager.renewal_requested.set()
