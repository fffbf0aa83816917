"""When a leader may give orders, and when an earlier order has lapsed.

A lease at a server runs from the arrival of the grant, on the server's clock,
which may be slow. A leader confirms in the store that nobody has replaced it;
for `TENURE_SECONDS` after a confirmation it may renew leases, so that a store
that is away takes no keys from their owners. A successor that cannot reach an
owner waits until no leader before it can have a grant in force there.
"""

import dataclasses

HOLD_SECONDS = 2.5
RENEW_SECONDS = 0.6
DOUBT_SECONDS = 0.9
FRESH_SECONDS = 0.6  # Shorter than a successor waits for the record.
BRIDGE_SECONDS = 7.0
TENURE_SECONDS = 4.0
CLOCK_DRIFT = 1.03
MARGIN_SECONDS = 0.25
ORDER_SECONDS = 0.5  # Longest time that a grant is on its way.


@dataclasses.dataclass(kw_only=True)
class Tenure:
    """A leader's right to give orders.

    Attributes:
        epoch: Number of this leadership.
        confirmed: When the store last confirmed it, on the suspend-aware
            clock, in seconds.
        began: When it began, on the same clock.
        longest_hold: Longest lease that servers accept, in seconds.
        resigned: Whether no more orders may be given.
        lapsed: When grants of earlier leaders have lapsed, where a
            predecessor has told that; on the suspend-aware clock.
    """

    epoch: int
    confirmed: float
    began: float
    longest_hold: float
    resigned: bool = False
    lapsed: float | None = None

    def may_order(self, now: float) -> bool:
        """Tells whether grants may be sent."""
        return not self.resigned and now - self.confirmed < TENURE_SECONDS

    def may_move(self, now: float) -> bool:
        """Tells whether the store answers, so that keys may move."""
        return not self.resigned and now - self.confirmed < DOUBT_SECONDS

    def may_connect(self, now: float) -> bool:
        """Tells whether orders may go over a new connection.

        A new connection may lead to a new process of a server, which has seen
        no fence. It must not get keys from a leader that may be replaced.
        """
        return not self.resigned and now - self.confirmed < FRESH_SECONDS

    def hold(self, now: float) -> float:
        """Returns the length of a lease that is granted now, in seconds.

        Leases are short while the store answers, so that a crashed owner is
        replaced soon, and long while it does not.
        """
        calm = now - self.confirmed < DOUBT_SECONDS
        return HOLD_SECONDS if calm else self.bridge()

    def bridge(self) -> float:
        """Returns the length of leases while the store does not answer."""
        return min(BRIDGE_SECONDS, self.longest_hold)

    def inherited_until(self) -> float:
        """Returns when grants of all earlier leaders have lapsed."""
        if self.lapsed is not None:
            return self.lapsed
        last = self.began + TENURE_SECONDS
        return lapse(last, self.bridge())

    def own_until(self, now: float) -> float:
        """Returns when orders that are on their way now have lapsed."""
        return lapse(now + ORDER_SECONDS, self.hold(now))


def lapse(arrived: float, hold: float) -> float:
    """Returns when a lease has surely ended.

    Args:
        arrived: Latest time at which the grant can have arrived.
        hold: Its length in seconds.
    """
    return arrived + hold * CLOCK_DRIFT + MARGIN_SECONDS
