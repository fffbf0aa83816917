"""Gives every key of a pool one owner, and moves keys between servers.

A move takes the keys back first, or waits until no grant can be in force;
then records the new owner in the store; and only then grants to it. Whoever
reads the record later can thus grant to the recorded owner and to no other.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import statistics

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.policy import balance
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import rates

PLAN_SECONDS = 0.2
RATE_SECONDS = 0.4
SETTLE_SECONDS = 0.8
RELEASE_TRIES = 2
DEFAULT_SERVICE_MS = 100.0

Spawn = Callable[[Coroutine], object]


class Rebalancer:
    """Owners of one pool's keys, while this process leads.

    Args:
        pool: Name of the pool.
        key_map: Recorded owners; None when nobody was ever recorded.
        platform: Gives the channels for orders.
        leader_store: Writes the owners down.
        fences: Fencing tokens of this leadership.
        leader_lease: The right to give orders.
        clock: Time source.
        publish: Called when the published owners have changed.
        spawn: Starts a task that ends with the leadership.
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
        self.servers: dict[str, cluster.Server] = {}
        self.lease_managers: dict[str, leasemanager.LeaseManager] = {}
        recorded = key_map.ranges if key_map else []
        self.inherited = {one.owner for one in recorded if one.owner}
        self.moving: list[balance.Move] = []
        self.rates = rates.KeyRates()
        self.service_ms: dict[str, float] = {}
        self.settled_at = 0.0

    def update(self, servers: dict[str, cluster.Server]) -> None:
        """Takes in the pool's servers."""
        if servers.keys() != self.servers.keys():
            self.settled_at = self.clock.boottime() + SETTLE_SECONDS
        self.servers = servers
        for id, server in servers.items():
            known = self.lease_managers.get(id)
            if known is not None and known.server.address != server.address:
                self.drop(id)

    def drop(self, id: str) -> None:
        """Forgets the channel to a server."""
        known = self.lease_managers.pop(id)
        known.close()

    def usable(self) -> dict[str, cluster.Server]:
        """Returns the servers that may be given keys."""
        return {
            id: server
            for id, server in self.servers.items()
            if not server.leaving
            and not (
                id in self.lease_managers
                and self.lease_managers[id].is_unreachable()
            )
        }

    def targets(self) -> dict[str, cluster.Server]:
        """Returns the servers that keys may move to."""
        usable = self.usable()
        steady = {
            id: server
            for id, server in usable.items()
            if id not in self.lease_managers
            or self.lease_managers[id].is_stable()
        }
        return steady or usable

    def recorded(self) -> keys.KeyMap:
        """Returns the owners that are, or are about to be, recorded."""
        return self.key_map or keys.unowned_map()

    def recorded_owners(self) -> set[str]:
        """Returns the ids of all recorded owners."""
        return {one.owner for one in self.recorded().ranges if one.owner}

    def published(self) -> keys.KeyMap:
        """Returns the owners that requests may be sent to."""
        shown = self.recorded()
        for move in self.moving:
            shown = shown.assign(move.start, move.end, "")
        return shown

    def held_by(self, id: str) -> list[keys.Range]:
        """Returns the ranges that a server should hold now."""
        return [one for one in self.published().ranges if one.owner == id]

    def lease_manager(self, id: str) -> leasemanager.LeaseManager | None:
        """Returns the keeper of a server's leases, made at first use."""
        if id in self.lease_managers:
            return self.lease_managers[id]
        server = self.servers.get(id)
        if server is None:
            return None
        until = 0.0
        if id in self.inherited:
            until = self.leader_lease.predecessor_grants_expire_at()
        made = leasemanager.LeaseManager(
            server=server,
            platform=self.platform,
            fences=self.fences,
            leader_lease=self.leader_lease,
            clock=self.clock,
            ranges=lambda: self.held_by(id),
            leases_expire_at=until,
        )
        self.lease_managers[id] = made
        self.spawn(made.run())
        return made

    async def run(self) -> None:
        """Plans until cancelled."""
        rated = 0.0
        while True:
            now = self.clock.boottime()
            if now - rated >= RATE_SECONDS:
                self.rates.advance(now)
                rated = now
            if self.key_map is None:
                await self.begin(now)
            else:
                self.plan(now)
            await asyncio.sleep(PLAN_SECONDS)

    async def begin(self, now: float) -> None:
        """Divides the keys for the first time."""
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
        for one in self.key_map.ranges:
            if one.owner in self.servers:
                self.lease_manager(one.owner)
        self.evict(usable)
        busy = frozenset(
            id for move in self.moving for id in (move.source, move.target)
        )
        moves = balance.plan(
            self.published(),
            self.rates.rates,
            self.capacities(self.targets()),
            busy=busy,
        )
        for move in moves:
            self.start(move, "load")

    def evict(self, usable: dict[str, cluster.Server]) -> None:
        """Moves keys away from servers that cannot keep them."""
        capacities = self.capacities(self.targets())
        loads = balance.loads(self.published(), self.rates.rates)
        for move in self.moving:
            taken = keys.Range(start=move.start, end=move.end)
            loads[move.target] = loads.get(move.target, 0.0) + balance.load_of(
                taken, self.rates.rates
            )
        for one in self.published().ranges:
            if one.owner in usable or self.is_moving(one):
                continue
            load = balance.load_of(one, self.rates.rates)
            target = balance.least_utilised(loads, capacities, load)
            loads[target] = loads.get(target, 0.0) + load + one.size * 1e-6
            move = balance.Move(
                start=one.start, end=one.end, source=one.owner, target=target
            )
            self.start(move, "owner lost or leaving")

    def is_moving(self, one: keys.Range) -> bool:
        """Tells whether a move of some of the keys is under way."""
        return any(
            move.start <= one.end and one.start <= move.end
            for move in self.moving
        )

    def capacities(self, usable: dict[str, cluster.Server]) -> dict[str, float]:
        """Returns the requests per second that each server can run."""
        known = [self.service_ms[id] for id in usable if id in self.service_ms]
        default = statistics.median(known) if known else DEFAULT_SERVICE_MS
        return {
            id: server.slots * 1000 / max(1.0, self.service_ms.get(id, default))
            for id, server in usable.items()
        }

    def start(self, move: balance.Move, reason: str) -> None:
        """Starts a move."""
        self.moving.append(move)
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
        self.spawn(self.move(move))

    async def move(self, move: balance.Move) -> None:
        """Carries out a move."""
        began = self.clock.boottime()
        token = await self.revoke(move)
        if token is None:
            token = await self.wait_expiry(move)
        target = self.replacement(move)
        self.key_map = self.recorded().assign(move.start, move.end, target)
        await self.leader_store.write_map(self.pool, self.recorded)
        self.moving.remove(move)
        receiver = self.lease_manager(target)
        if receiver is not None:
            if token:
                receiver.handover_tokens[move.start] = token
            await self.hand_over(receiver, move)
        log.write(
            events.KEYS_MOVED,
            pool=self.pool,
            start=move.start,
            end=move.end,
            target=target,
            warm=bool(token),
            took_ms=round((self.clock.boottime() - began) * 1000),
        )
        self.publish()

    async def revoke(self, move: balance.Move) -> str | None:
        """Ends the source's hold; None when it could not be reached."""
        source = self.lease_manager(move.source) if move.source else None
        if source is None:
            return None
        taken = keys.Range(start=move.start, end=move.end)
        return await source.revoke(taken, RELEASE_TRIES)

    async def wait_expiry(self, move: balance.Move) -> str:
        """Waits until no lease on the keys of a lost owner is in force.

        The time is written down in the store's clock first, together with
        the promise that nobody grants to the lost owner any more; a later
        leader then waits no longer than this one. Taking back again would
        begin a short hold, so it ends early enough for that to lapse, too.

        Returns:
            The handover token, if the owner answers meanwhile, else nothing.
        """
        clock = self.platform.store_clock
        source = self.lease_manager(move.source) if move.source else None
        present = self.recorded().find(move.start)
        free_at = present.lease_expires_at_ms
        if present.owner:
            until = (
                source.leases_expire_at
                if source
                else self.leader_lease.predecessor_grants_expire_at()
            )
            free_at = clock.upper_bound(until)
            self.key_map = self.recorded().assign(
                move.start, move.end, "", lease_expires_at_ms=free_at
            )
            await self.leader_store.write_map(self.pool, self.recorded)
        while remaining := clock.seconds_until(free_at, self.clock.boottime()):
            if source is None or remaining < leasemanager.RAISE_ROOM_SECONDS:
                await asyncio.sleep(remaining)
                continue
            taken = keys.Range(start=move.start, end=move.end)
            token = await source.revoke(taken, 1)
            if token is not None:
                return token
        return ""

    def replacement(self, move: balance.Move) -> str:
        """Returns the target, or another server if it was lost meanwhile."""
        usable = self.usable()
        if move.target in usable or not usable:
            return move.target
        loads = balance.loads(self.published(), self.rates.rates)
        capacities = self.capacities(self.targets())
        return balance.least_utilised(loads, capacities, 0.0) or ""

    async def hand_over(
        self, receiver: leasemanager.LeaseManager, move: balance.Move
    ) -> None:
        """Grants moved keys to their new owner without delay."""
        async with receiver.lock:
            try:
                await receiver.connect()
                receiver.fence = self.fences.next()
                await receiver.grant(keys.Range(start=move.start, end=move.end))
            except ports.OrderError as error:
                receiver.note_failure(str(error))
        receiver.wake.set()
