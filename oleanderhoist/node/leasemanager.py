"""Manages the leases of one server that owns keys."""

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
from oleanderhoist.policy import leaseexpiries

RETRY_SECONDS = 0.15
FENCE_LEASE_SECONDS = 0.5
# To connect, to raise the fence, and for the resulting lease to expire.
FENCE_RAISE_SECONDS = 1.6
UNREACHABLE_SECONDS = 0.5
# Answers of another server at the address before the server counts as gone.
MIN_REPLACED_ANSWERS = 2
TOKEN_COUNT_BITS = 20  # Of a fencing token; the epoch is above them.
# Left to a leader that resigns, for what it has begun.
RESERVED_TOKENS = 1 << 16
STABLE_SECONDS = 2.0  # Longer than a server that flaps stays up.


@dataclasses.dataclass(kw_only=True)
class FencingTokens:
    """Fencing tokens of one epoch, in increasing order."""

    epoch: int
    count: int = 0

    @property
    def is_used_up(self) -> bool:
        """Whether too few tokens are left below the next epoch's."""
        return self.count >= (1 << TOKEN_COUNT_BITS) - RESERVED_TOKENS

    def next(self) -> int:
        """Returns a token above all earlier ones."""
        self.count += 1
        return (self.epoch << TOKEN_COUNT_BITS) + self.count


class LeaseManager:
    """Grants, renews and revokes the leases of one server.

    A new connection may lead to a new process of the server, which holds no
    lease, so each connection has a fencing token of its own. A server that has
    seen a higher token rejects earlier grants that were still in flight.

    Args:
        server: The server.
        platform: Provides the lease channel.
        fences: Fencing tokens of this epoch.
        leader_lease: Leader lease of this epoch.
        clock: Time source.
        ranges: Returns the ranges that the server should own now.
        expiries: When earlier leases of the server expire, on the boot-time
            clock, which also runs while the VM is suspended.
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
        expiries: leaseexpiries.LeaseExpiries,
    ):
        self.server = server
        self.channel = platform.lease_channel(server)
        self.fences = fences
        self.leader_lease = leader_lease
        self.clock = clock
        self.ranges = ranges
        self.expiries = expiries
        self.fence = 0
        self.connection_number = -1
        self.handover_tokens: dict[int, str] = {}
        self.failing_since: float | None = None
        self.recovered_at = float("-inf")
        self.replaced_answers = 0
        self.closed = False
        self.renewal_requested = asyncio.Event()
        self.lock = asyncio.Lock()

    def is_unreachable(self) -> bool:
        """Returns whether renewals have failed for a while."""
        if self.failing_since is None:
            return False
        return self.clock.boottime() - self.failing_since > UNREACHABLE_SECONDS

    def is_stable(self) -> bool:
        """Returns whether the server may be given more keys.

        A server that flaps loses its keys and then looks idle each time it
        recovers. Keys that it is given would be lost again.
        """
        up_seconds = self.clock.boottime() - self.recovered_at
        return self.failing_since is None and up_seconds > STABLE_SECONDS

    async def run(self) -> None:
        """Renews the leases until closed."""
        while not self.closed:
            self.renewal_requested.clear()
            renewed = await self.renew()
            delay = leaderlease.RENEW_SECONDS if renewed else RETRY_SECONDS
            try:
                async with asyncio.timeout(delay):
                    await self.renewal_requested.wait()
            except TimeoutError:
                continue

    async def renew(self) -> bool:
        """Renews all ranges once; returns whether all were renewed.

        Connects to a server that failed recently even if it owns no range,
        since it may own keys again once it is stable.
        """
        async with self.lock:
            ranges = self.ranges()
            if not ranges and self.is_stable():
                return True
            if not self.leader_lease.may_grant(self.clock.boottime()):
                return False
            try:
                await self.connect()
                for key_range in ranges:
                    await self.grant(key_range)
            except ports.OrderError as error:
                self.record_failure(str(error))
                self.replaced_answers += error.server_replaced
                return False
            self.replaced_answers = 0 if ranges else self.replaced_answers
            self.record_success()
            return True

    def record_success(self) -> None:
        """Records that the server was reached and all ranges were granted."""
        self.expiries.forget_ended(self.clock.boottime())
        if self.failing_since is not None:
            self.failing_since = None
            self.recovered_at = self.clock.boottime()
            log.write(
                events.LEASE_BACK, server=self.server.id, fence=self.fence
            )

    async def connect(self) -> None:
        """Ensures a connection and a fencing token that belongs to it."""
        allow_new = self.leader_lease.may_open_connection(self.clock.boottime())
        connection_number = await self.channel.connect(allow_new=allow_new)
        if connection_number != self.connection_number or not self.fence:
            self.connection_number = connection_number
            self.fence = self.fences.next()

    async def grant(self, key_range: keys.Range) -> None:
        """Grants one range.

        The lease replaces earlier ones on these keys, and on no others.

        Raises:
            ports.OrderError: The server did not confirm the grant.
        """
        now = self.clock.boottime()
        lease_seconds = self.leader_lease.lease_seconds(now)
        lease_grant = ports.LeaseGrant(
            start=key_range.start,
            end=key_range.end,
            fence=self.fence,
            lease_seconds=lease_seconds,
            handover=self.handover_tokens.get(key_range.start, ""),
        )
        accepted = await self.send_grant(lease_grant)
        if not accepted:
            self.fence = self.fences.next()
            raise ports.OrderError("the server has seen a higher fence")
        self.handover_tokens.pop(key_range.start, None)
        self.expiries.replace(
            key_range,
            leaderlease.lease_expiry(self.clock.boottime(), lease_seconds),
        )

    async def send_grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Sends a grant, and records when it expires at the latest.

        Raises:
            ports.OrderError: The leader may no longer grant, or the server did
                not answer.
        """
        if not self.leader_lease.may_grant(self.clock.boottime()):
            raise ports.OrderError("the leader may no longer grant")
        try:
            return await self.channel.grant(lease_grant)
        finally:
            now = self.clock.boottime()
            self.expiries.extend(
                keys.Range(start=lease_grant.start, end=lease_grant.end),
                leaderlease.lease_expiry(now, lease_grant.lease_seconds),
            )

    def leases_expire_at(self) -> float:
        """Returns when the leases on all of its ranges have expired."""
        ranges = self.ranges() or [keys.all_keys()]
        return max(self.expiries.latest(one) for one in ranges)

    def record_failure(self, reason: str) -> None:
        """Records that a renewal failed, unless the leader may not grant."""
        may_grant = self.leader_lease.may_grant(self.clock.boottime())
        if self.failing_since is not None or not may_grant:
            return
        self.failing_since = self.clock.boottime()
        log.write(
            events.LEASE_FAILED,
            server=self.server.id,
            fence=self.fence,
            until_s=round(
                max(0.0, self.leases_expire_at() - self.failing_since), 2
            ),
            reason=reason,
        )

    async def revoke(self, key_range: keys.Range, attempts: int) -> str | None:
        """Revokes the server's lease on a range.

        Returns:
            The handover token; empty if another server now uses the address;
            None if no attempt succeeded.
        """
        for _ in range(attempts):
            if self.leader_lease.may_grant(self.clock.boottime()):
                try:
                    return await self.revoke_once(key_range)
                except ports.OrderError as error:
                    self.record_failure(str(error))
                    self.replaced_answers += error.server_replaced
            if self.replaced_answers >= MIN_REPLACED_ANSWERS:
                return ""
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def revoke_once(self, key_range: keys.Range) -> str:
        """Revokes the server's lease on a range; returns the handover token.

        First grants a short lease with a higher fence, so that the server
        rejects earlier grants that are still in flight.

        Raises:
            ports.OrderError: The server did not answer or did not accept.
        """
        async with self.lock:
            await self.connect()
            fence = self.fences.next()
            raised = await self.send_grant(
                ports.LeaseGrant(
                    start=key_range.start,
                    end=key_range.end,
                    fence=fence,
                    lease_seconds=FENCE_LEASE_SECONDS,
                )
            )
        if not raised:
            raise ports.OrderError("the server has seen a higher fence")
        return await self.channel.release(key_range.start, key_range.end, fence)

    def close(self) -> None:
        """Stops the renewals and closes the channel."""
        self.closed = True
        self.renewal_requested.set()
        self.channel.close()
