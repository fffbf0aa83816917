"""When a leader may grant leases, and when earlier grants have expired.

A server's lease runs from the arrival of the grant, on the server's clock,
which may run slow. A leader confirms in the store that it has not been
replaced. For `LEADER_LEASE_SECONDS` after a confirmation it may renew leases,
so that owners keep their keys while the store is unavailable. A successor that
cannot reach an owner waits until all grants of earlier leaders have expired
there.
"""

import dataclasses
import math

LEASE_SECONDS = 2.5
RENEW_SECONDS = 0.6
MAX_CONFIRMATION_AGE_TO_MOVE_SECONDS = 0.9
# Below candidacy.RECORD_UNCHANGED_SECONDS.
MAX_CONFIRMATION_AGE_TO_CONNECT_SECONDS = 0.6
OUTAGE_LEASE_SECONDS = 7.0
LEADER_LEASE_SECONDS = 4.0
# For routers to replace this one if they know of a later leader, of whom the
# store has lost all traces.
RESTORE_SETTLE_SECONDS = 2.0
CLOCK_DRIFT_FACTOR = 1.03
LEASE_MARGIN_SECONDS = 0.25
GRANT_TRANSIT_SECONDS = 0.5  # Longest time that a grant is in flight.


@dataclasses.dataclass(kw_only=True)
class LeaderLease:
    """A leader's authority to grant leases.

    Attributes:
        epoch: Epoch of this leadership.
        confirmed_at: When the store last confirmed the leadership, on the
            boot-time clock, which also runs while the VM is suspended, in
            seconds.
        began_at: When the leadership began, on the same clock.
        max_lease_seconds: Longest lease that servers accept, in seconds.
        resigned: Whether the leader has given up its authority.
        recorded_grants_expire_at: When all grants of earlier leaders have
            expired, on the same clock, as the predecessor recorded when it
            resigned; None if it recorded nothing.
        restored_at: When the leader last wrote its rows anew, after the store
            came back from a copy, on the same clock.
    """

    epoch: int
    confirmed_at: float
    began_at: float
    max_lease_seconds: float
    resigned: bool = False
    recorded_grants_expire_at: float | None = None
    restored_at: float = -math.inf

    def may_grant(self, now: float) -> bool:
        """Returns whether grants may be sent."""
        return (
            not self.resigned and now - self.confirmed_at < LEADER_LEASE_SECONDS
        )

    def may_move_keys(self, now: float) -> bool:
        """Returns whether the store responds, so that keys may move."""
        return (
            not self.resigned
            and now - self.confirmed_at < MAX_CONFIRMATION_AGE_TO_MOVE_SECONDS
            and now - self.restored_at >= RESTORE_SETTLE_SECONDS
        )

    def may_restore(self, now: float) -> bool:
        """Returns whether this leader may write its rows anew.

        The store came back from a copy and can't tell whether there was a later
        leader. One that was elected since the last confirmation can't yet have
        moved keys but those that their owner gave up, which then refuses the
        lower fencing tokens of this leader. If this leader waits for earlier
        leases to expire, that one still waits, too.
        """
        return now - self.confirmed_at < (
            LEADER_LEASE_SECONDS + self.outage_lease_seconds()
        )

    def record_restore(self, now: float) -> None:
        """Records that this leader wrote its rows anew."""
        self.restored_at = now

    def may_open_connection(self, now: float) -> bool:
        """Returns whether grants may be sent over a new connection.

        A new connection may reach a restarted server process, which has seen
        no fence. It must not get keys from a leader that may be replaced.
        """
        return (
            not self.resigned
            and now - self.confirmed_at
            < MAX_CONFIRMATION_AGE_TO_CONNECT_SECONDS
        )

    def lease_seconds(self, now: float) -> float:
        """Returns the length of a lease that is granted now, in seconds.

        Leases are short while the store responds, so that a crashed owner is
        replaced soon, and long while it does not.
        """
        store_available = (
            now - self.confirmed_at < MAX_CONFIRMATION_AGE_TO_MOVE_SECONDS
        )
        if not store_available:
            return self.outage_lease_seconds()
        return min(LEASE_SECONDS, self.max_lease_seconds)

    def outage_lease_seconds(self) -> float:
        """Returns the lease length during a store outage, in seconds."""
        return min(OUTAGE_LEASE_SECONDS, self.max_lease_seconds)

    def predecessor_grants_expire_at(self) -> float:
        """Returns when the grants of all earlier leaders have expired.

        Unless a predecessor recorded it, the last grant counts as sent and
        arrived when a leader lease that was confirmed at `began_at` ends.
        """
        if self.recorded_grants_expire_at is not None:
            return self.recorded_grants_expire_at
        latest_grant = self.began_at + LEADER_LEASE_SECONDS
        return lease_expiry(latest_grant, self.outage_lease_seconds())

    def inflight_grants_expire_at(self, now: float) -> float:
        """Returns when grants that are now in flight have expired."""
        return lease_expiry(
            now + GRANT_TRANSIT_SECONDS, self.lease_seconds(now)
        )


def lease_expiry(arrived: float, lease_seconds: float) -> float:
    """Returns when a lease has definitely expired.

    Args:
        arrived: Latest time at which the grant can have arrived.
        lease_seconds: Length of the lease in seconds.
    """
    return arrived + lease_seconds * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_SECONDS
