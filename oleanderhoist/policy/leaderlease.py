"""When a leader may give orders, and when an earlier order has lapsed.

A lease at a server runs from the arrival of the grant, on the server's clock,
which may be slow. A leader confirms in the store that nobody has replaced it;
for `TENURE_SECONDS` after a confirmation it may renew leases, so that a store
that is away takes no keys from their owners. A successor that cannot reach an
owner waits until no leader before it can have a grant in force there.
"""

import dataclasses

LEASE_SECONDS = 2.5
RENEW_SECONDS = 0.6
MOVE_CONFIRM_SECONDS = 0.9
CONNECT_CONFIRM_SECONDS = 0.6  # Shorter than a successor waits for the record.
OUTAGE_LEASE_SECONDS = 7.0
LEADER_LEASE_SECONDS = 4.0
CLOCK_DRIFT = 1.03
LEASE_MARGIN_SECONDS = 0.25
GRANT_TRANSIT_SECONDS = 0.5  # Longest time that a grant is on its way.


@dataclasses.dataclass(kw_only=True)
class LeaderLease:
    """A leader's right to give orders.

    Attributes:
        epoch: Number of this leadership.
        confirmed_at: When the store last confirmed it, on the suspend-aware
            clock, in seconds.
        began_at: When it began, on the same clock.
        max_lease_seconds: Longest lease that servers accept, in seconds.
        resigned: Whether no more orders may be given.
        predecessors_expired_at: When grants of earlier leaders have
            expired, where a predecessor has told that; on the suspend-aware
            clock.
    """

    epoch: int
    confirmed_at: float
    began_at: float
    max_lease_seconds: float
    resigned: bool = False
    predecessors_expired_at: float | None = None

    def may_grant(self, now: float) -> bool:
        """Tells whether grants may be sent."""
        return (
            not self.resigned and now - self.confirmed_at < LEADER_LEASE_SECONDS
        )

    def may_move_keys(self, now: float) -> bool:
        """Tells whether the store answers, so that keys may move."""
        return (
            not self.resigned and now - self.confirmed_at < MOVE_CONFIRM_SECONDS
        )

    def may_open_connection(self, now: float) -> bool:
        """Tells whether orders may go over a new connection.

        A new connection may lead to a new process of a server, which has seen
        no fence. It must not get keys from a leader that may be replaced.
        """
        return (
            not self.resigned
            and now - self.confirmed_at < CONNECT_CONFIRM_SECONDS
        )

    def lease_seconds(self, now: float) -> float:
        """Returns the length of a lease that is granted now, in seconds.

        Leases are short while the store answers, so that a crashed owner is
        replaced soon, and long while it does not.
        """
        calm = now - self.confirmed_at < MOVE_CONFIRM_SECONDS
        return LEASE_SECONDS if calm else self.outage_lease_seconds()

    def outage_lease_seconds(self) -> float:
        """Returns the length of leases while the store does not answer."""
        return min(OUTAGE_LEASE_SECONDS, self.max_lease_seconds)

    def predecessor_grants_expire_at(self) -> float:
        """Returns when grants of all earlier leaders have lapsed."""
        if self.predecessors_expired_at is not None:
            return self.predecessors_expired_at
        last = self.began_at + LEADER_LEASE_SECONDS
        return lease_expiry(last, self.outage_lease_seconds())

    def inflight_grants_expire_at(self, now: float) -> float:
        """Returns when orders that are on their way now have lapsed."""
        return lease_expiry(
            now + GRANT_TRANSIT_SECONDS, self.lease_seconds(now)
        )


def lease_expiry(arrived: float, lease_seconds: float) -> float:
    """Returns when a lease has surely ended.

    Args:
        arrived: Latest time at which the grant can have arrived.
        lease_seconds: Its length in seconds.
    """
    return arrived + lease_seconds * CLOCK_DRIFT + LEASE_MARGIN_SECONDS
