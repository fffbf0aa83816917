"""The owners of the keys of all pools while this router leads."""

import asyncio
from collections.abc import Callable

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.node import leasemanager
from oleanderhoist.node import rebalancer
from oleanderhoist.policy import cluster
from oleanderhoist.policy import evacuations
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease


class KeyOwners:
    """Has a rebalancer for each pool, once the present owners are known.

    Args:
        platform: Provides the store clock and the lease channels.
        leader_store: Writes the owners to the store.
        fences: Fencing tokens of this epoch.
        leader_lease: Leader lease of this epoch.
        clock: Time source.
        publish: Called when the published owners have changed.
        spawn: Starts a task that ends with the leadership.
        evacuations: Data centres whose servers may own no keys.
        servers_of: Returns the servers of a pool.

    Attributes:
        inherited_maps: The owners at the begin of the leadership, by pool.
        are_assigned: Whether the owners are known, so that keys may be granted.
        rebalancers: Rebalancers by pool.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        leader_store: leaderstore.LeaderStore,
        fences: leasemanager.FencingTokens,
        leader_lease: leaderlease.LeaderLease,
        clock: clock.Clock,
        publish: Callable[[], None],
        spawn: rebalancer.Spawn,
        evacuations: evacuations.Evacuations,
        servers_of: Callable[[str], dict[str, cluster.Server]],
    ):
        self.platform = platform
        self.leader_store = leader_store
        self.fences = fences
        self.leader_lease = leader_lease
        self.clock = clock
        self.publish = publish
        self.spawn = spawn
        self.evacuations = evacuations
        self.servers_of = servers_of
        self.inherited_maps = leaderstore.maps_of(leader_store.rows)
        self.are_assigned = leader_store.owners_known
        self.rebalancers: dict[str, rebalancer.Rebalancer] = {}
        leader_store.key_maps = self.recorded_maps

    def inherit(self, maps: dict[str, keys.KeyMap]) -> None:
        """Takes over the owners that this router has heard of.

        They are newer than those of a copy from which the store came back.
        """
        for pool, key_map in maps.items():
            if any(key_range.owner for key_range in key_map.ranges):
                self.inherited_maps[pool] = key_map

    def start(self) -> None:
        """Starts to assign keys, as soon as it is safe."""
        if self.are_assigned:
            self.assign()
        else:
            self.spawn(self.await_earlier_leases())

    def assign(self) -> None:
        """Starts to assign the keys whose owners are known."""
        self.are_assigned = True
        for pool, key_map in self.inherited_maps.items():
            self.add(pool, key_map)

    def add(self, pool: str, key_map: keys.KeyMap | None) -> None:
        """Starts to assign the keys of a pool."""
        pool_rebalancer = rebalancer.Rebalancer(
            pool=pool,
            key_map=key_map,
            platform=self.platform,
            leader_store=self.leader_store,
            fences=self.fences,
            leader_lease=self.leader_lease,
            clock=self.clock,
            publish=self.publish,
            spawn=self.spawn,
            evacuations=self.evacuations,
        )
        self.rebalancers[pool] = pool_rebalancer
        pool_rebalancer.update(self.servers_of(pool))
        self.spawn(pool_rebalancer.run())

    def add_new_pools(self, names: set[str]) -> None:
        """Starts to assign the keys of pools that had no owners yet."""
        if not self.are_assigned:
            return
        for name in sorted(names - self.rebalancers.keys()):
            self.add(name, None)

    async def await_earlier_leases(self) -> None:
        """Assigns keys once no earlier leader's lease can be left.

        The store came back from a copy before the latest leader had written its
        rows anew, so nothing proves who holds which keys.

        Raises:
            leaderstore.DeposedError: Another router leads.
        """
        expire_at = self.leader_lease.predecessor_grants_expire_at()
        log.write(
            events.OWNERS_AWAITED,
            epoch=self.leader_lease.epoch,
            era=self.leader_store.era,
            seconds=round(expire_at - self.clock.boottime(), 2),
        )
        while (left := expire_at - self.clock.boottime()) > 0:
            await asyncio.sleep(left)
        await self.leader_store.vouch()
        self.assign()
        self.publish()

    def recorded_maps(self) -> dict[str, keys.KeyMap]:
        """Returns the owners that are, or are being, recorded, by pool."""
        if not self.are_assigned:
            return self.inherited_maps
        return {
            pool: pool_rebalancer.key_map
            for pool, pool_rebalancer in self.rebalancers.items()
            if pool_rebalancer.key_map is not None
        }

    def published_maps(self) -> dict[str, keys.KeyMap]:
        """Returns the owners that requests may be sent to, by pool."""
        if not self.are_assigned:
            return dict.fromkeys(self.inherited_maps, keys.unowned_map())
        return {
            pool: pool_rebalancer.published_map()
            for pool, pool_rebalancer in self.rebalancers.items()
        }

    def leases_expire_at(self) -> float:
        """Returns when all leases have expired, in seconds."""
        if not self.are_assigned:
            return self.leader_lease.predecessor_grants_expire_at()
        return max(
            (one.leases_expire_at() for one in self.rebalancers.values()),
            default=0.0,
        )

    def lease_managers(self) -> list[leasemanager.LeaseManager]:
        """Returns the lease managers of all servers."""
        return [
            manager
            for pool_rebalancer in self.rebalancers.values()
            for manager in pool_rebalancer.lease_managers.values()
        ]

    def close(self) -> None:
        """Closes all lease managers."""
        for manager in self.lease_managers():
            manager.close()
