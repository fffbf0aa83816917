"""Keeps the leases of one server that owns keys."""

import asyncio
from collections.abc import Callable
import dataclasses

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster
from oleanderhoist.policy import keys
from oleanderhoist.policy import leaderlease

RETRY_SECONDS = 0.15
RAISE_LEASE_SECONDS = 0.5
# To connect, to raise a fence, and for that hold to lapse.
RAISE_ROOM_SECONDS = 1.6
LOST_SECONDS = 0.5
REPLACED_ANSWERS = 2
STABLE_SECONDS = 2.0  # Longer than a server that flaps stays up.


@dataclasses.dataclass(kw_only=True)
class FencingTokens:
    """Fencing tokens of one epoch; each is above all earlier ones."""

    epoch: int
    count: int = 0

    def next(self) -> int:
        """Returns a token above all that were used before."""
        self.count += 1
        return (self.epoch << 20) + self.count


class LeaseManager:
    """Grants and renews the keys of one server, and takes them back.

    A new connection may lead to a new process of the server, which holds
    nothing; so each connection has a fencing token of its own. A higher token
    also shuts out earlier grants that are still on their way.

    Args:
        server: The server.
        platform: Gives the channel for orders.
        fences: Fencing tokens of this leadership.
        leader_lease: The right to give orders.
        clock: Time source.
        ranges: Returns the ranges that the server should hold now.
        leases_expire_at: When grants of earlier leaders have expired.
    """

    def __init__(
        self,
        *,
        server: cluster.Server,
        platform: ports.Platform,
        fences: FencingTokens,
        leader_lease: leaderlease.LeaderLease,
        clock: clock.Clock,
        ranges: Callable[[], list[keys.Range]],
        leases_expire_at: float,
    ):
        self.server = server
        self.channel = platform.lease_channel(server)
        self.fences = fences
        self.leader_lease = leader_lease
        self.clock = clock
        self.ranges = ranges
        self.leases_expire_at = leases_expire_at
        self.fence = 0
        self.generation = -1
        self.handover_tokens: dict[int, str] = {}
        self.failing_since: float | None = None
        self.back_at = float("-inf")
        self.replaced_answers = 0
        self.closed = False
        self.wake = asyncio.Event()
        self.lock = asyncio.Lock()

    def is_unreachable(self) -> bool:
        """Tells whether the server has failed renewals for a while."""
        if self.failing_since is None:
            return False
        return self.clock.boottime() - self.failing_since > LOST_SECONDS

    def is_stable(self) -> bool:
        """Tells whether the server may be given more keys.

        Load pattern: a server goes down and up by turns. With few keys it
        looks idle each time it is back, and what it is given is lost again.
        """
        up = self.clock.boottime() - self.back_at
        return self.failing_since is None and up > STABLE_SECONDS

    async def run(self) -> None:
        """Renews until closed."""
        while not self.closed:
            self.wake.clear()
            renewed = await self.renew()
            pause = leaderlease.RENEW_SECONDS if renewed else RETRY_SECONDS
            try:
                async with asyncio.timeout(pause):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def renew(self) -> bool:
        """Renews all ranges once; tells whether all were.

        A server that has failed lately is connected to even without any
        range, since it may own keys again once it stays up.
        """
        async with self.lock:
            ranges = self.ranges()
            if not ranges and self.is_stable():
                return True
            if not self.leader_lease.may_grant(self.clock.boottime()):
                return False
            try:
                await self.connect()
                holds = [await self.grant(one) for one in ranges]
            except ports.OrderError as error:
                self.note_failure(str(error))
                self.replaced_answers += error.server_replaced
                return False
            self.replaced_answers = 0 if ranges else self.replaced_answers
            self.record_renewal(holds)
            return True

    def record_renewal(self, holds: list[float]) -> None:
        """Takes in that the server was reached, and all ranges granted.

        Args:
            holds: Length of each lease, as it was sent.
        """
        if holds:
            now = self.clock.boottime()
            self.leases_expire_at = leaderlease.lease_expiry(now, max(holds))
        if self.failing_since is not None:
            self.failing_since = None
            self.back_at = self.clock.boottime()
            log.write(
                events.LEASE_BACK, server=self.server.id, fence=self.fence
            )

    async def connect(self) -> None:
        """Makes sure of a connection and of a fence that belongs to it."""
        fresh = self.leader_lease.may_open_connection(self.clock.boottime())
        generation = await self.channel.connect(allow_new=fresh)
        if generation != self.generation or not self.fence:
            self.generation = generation
            self.fence = self.fences.next()

    async def grant(self, one: keys.Range) -> float:
        """Grants one range; returns the length of the lease in seconds.

        Raises:
            ports.OrderError: It was not granted for sure.
        """
        now = self.clock.boottime()
        hold = self.leader_lease.lease_seconds(now)
        order = ports.LeaseGrant(
            start=one.start,
            end=one.end,
            fence=self.fence,
            lease_seconds=hold,
            handover=self.handover_tokens.get(one.start, ""),
        )
        accepted = await self.send_grant(order)
        if not accepted:
            self.fence = self.fences.next()
            raise ports.OrderError("a higher fence was seen")
        self.handover_tokens.pop(one.start, None)
        return hold

    async def send_grant(self, order: ports.LeaseGrant) -> bool:
        """Sends a grant and notes until when it may hold."""
        try:
            return await self.channel.grant(order)
        finally:
            now = self.clock.boottime()
            self.leases_expire_at = max(
                self.leases_expire_at,
                leaderlease.lease_expiry(now, order.lease_seconds),
            )

    def note_failure(self, reason: str) -> None:
        """Takes in that a renewal failed."""
        if self.failing_since is not None:
            return
        self.failing_since = self.clock.boottime()
        log.write(
            events.LEASE_FAILED,
            server=self.server.id,
            fence=self.fence,
            until_s=round(self.leases_expire_at - self.failing_since, 2),
            reason=reason,
        )

    async def revoke(self, one: keys.Range, tries: int) -> str | None:
        """Ends the server's hold on a range.

        Returns:
            The handover token, empty when another server has the address by
            now; None when the server did not answer.
        """
        for _ in range(tries):
            if self.leader_lease.may_grant(self.clock.boottime()):
                try:
                    return await self.release(one)
                except ports.OrderError as error:
                    self.note_failure(str(error))
                    self.replaced_answers += error.server_replaced
            if self.replaced_answers >= REPLACED_ANSWERS:
                return ""
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def release(self, one: keys.Range) -> str:
        """Raises the fence of a range, then takes the range back.

        Raises:
            ports.OrderError: The server did not answer, or refused.
        """
        async with self.lock:
            await self.connect()
            fence = self.fences.next()
            raised = await self.send_grant(
                ports.LeaseGrant(
                    start=one.start,
                    end=one.end,
                    fence=fence,
                    lease_seconds=RAISE_LEASE_SECONDS,
                )
            )
        if not raised:
            raise ports.OrderError("a higher fence was seen")
        return await self.channel.release(one.start, one.end, fence)

    def close(self) -> None:
        """Ends the renewals."""
        self.closed = True
        self.wake.set()
        self.channel.close()
