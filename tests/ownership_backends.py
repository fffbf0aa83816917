"""Simulated servers that own keys, and the routers' channels to them.

The servers check the ownership guarantees when a grant takes effect.
"""

import asyncio
import dataclasses
import typing

from oleanderhoist import ports

if typing.TYPE_CHECKING:
    from tests import ownership_world

SERVER_CLOCK_FACTOR = 1.02  # Clocks run slow, within CLOCK_DRIFT_FACTOR.
GRANT_TIMEOUT_SECONDS = 0.4  # As in platform.leasechannel.


@dataclasses.dataclass(kw_only=True)
class Lease:
    """A server's lease on one key."""

    fence: int = 0
    expires_at: float = 0.0


class FakeServer:
    """A server that owns keys and checks the ownership guarantees."""

    def __init__(self, *, world: "ownership_world.World", id: str):
        self.world = world
        self.id = id
        self.incarnation = 0
        self.up = True
        self.leases: dict[int, Lease] = {}

    def restart(self) -> None:
        """Starts a new process without leases and fencing tokens."""
        self.incarnation += 1
        self.leases.clear()

    def grant(
        self, lease_grant: ports.LeaseGrant, arrived_at: float, incarnation: int
    ) -> bool:
        """Applies a grant and checks that no other server owns the keys."""
        if incarnation != self.incarnation or not self.up:
            return False
        key_samples = self.world.sampled_keys(
            lease_grant.start, lease_grant.end
        )
        if any(
            self.leases.get(k, Lease()).fence > lease_grant.fence
            for k in key_samples
        ):
            return False
        now = self.world.loop.now
        for key in key_samples:
            lease = self.leases.setdefault(key, Lease())
            lease.fence = lease_grant.fence
            lease.expires_at = (
                arrived_at + lease_grant.lease_seconds * SERVER_CLOCK_FACTOR
            )
            if lease.expires_at > now:
                self.world.check_exclusive(self, key, lease_grant.fence)
        return True

    def release(self, start: int, end: int) -> str:
        """Ends the leases on keys."""
        for key in self.world.sampled_keys(start, end):
            if key in self.leases:
                self.leases[key].expires_at = 0.0
        return "token"


class FakeLeaseChannel:
    """A router's lease channel to a server."""

    def __init__(
        self,
        *,
        world: "ownership_world.World",
        router: str,
        backend: FakeServer,
    ):
        self.world = world
        self.router = router
        self.backend = backend
        self.generation = 0
        self.incarnation: int | None = None

    async def connect(self, *, allow_new: bool) -> int:
        """Ensures a connection."""
        await self.world.delay_message()
        self.require_reachable()
        if self.incarnation != self.backend.incarnation and not allow_new:
            raise ports.OrderError("no connection")
        if self.incarnation != self.backend.incarnation:
            self.incarnation = self.backend.incarnation
            self.generation += 1
        return self.generation

    def require_reachable(self) -> None:
        """Checks that the server is reachable.

        Raises:
            ports.OrderError: The server is unreachable.
        """
        blocked = (self.router, self.backend.id) in self.world.blocked_links
        if blocked or not self.backend.up:
            self.incarnation = None
            raise ports.OrderError("unreachable")

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Sends a grant; it may apply late, or its reply may be lost."""
        await self.world.delay_message()
        self.require_reachable()
        if self.incarnation != self.backend.incarnation:
            self.incarnation = None
            raise ports.OrderError("connection reset")
        arrived_at = self.world.loop.now
        if self.world.draw_fault("grant_late"):
            incarnation = self.backend.incarnation
            self.world.loop.call_later(
                self.world.rng.uniform(1, 6),
                lambda: self.backend.grant(
                    lease_grant, arrived_at, incarnation
                ),
            )
            self.incarnation = None
            await asyncio.sleep(GRANT_TIMEOUT_SECONDS)
            raise ports.OrderError("no answer in time")
        granted = self.backend.grant(
            lease_grant, arrived_at, self.backend.incarnation
        )
        if self.world.draw_fault("reply_lost"):
            self.incarnation = None
            raise ports.OrderError("reply lost")
        return granted

    async def release(self, start: int, end: int, fence: int) -> str:
        """Releases keys; the reply may be lost."""
        await self.world.delay_message()
        self.require_reachable()
        token = self.backend.release(start, end)
        await asyncio.sleep(self.world.rng.uniform(0.01, 0.3))
        if self.world.draw_fault("reply_lost"):
            raise ports.OrderError("reply lost")
        return token

    def close(self) -> None:
        """Does nothing."""
