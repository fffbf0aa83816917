"""The routers that the leader knows by their reports."""

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import program
from oleanderhoist.policy import cluster

MEMBER_TIMEOUT_SECONDS = 1.6


class Membership:
    """The members of the system while this router leads.

    Args:
        members: The members known so far, by address.
        own_member: This router as a member; it makes no reports.
        clock: Time source.
        lag: Delay of this router's own timers.

    Attributes:
        members: Members by address.
        last_report_at: When each last reported, in seconds.
    """

    def __init__(
        self,
        *,
        members: dict[str, cluster.Member],
        own_member: cluster.Member,
        clock: clock.Clock,
        lag: program.LoopLag,
    ):
        self.own_member = own_member
        self.clock = clock
        self.lag = lag
        self.members = {**members, own_member.address: own_member}
        now = clock.monotonic()
        self.last_report_at = {address: now for address in self.members}

    def remove_lost(self, now: float) -> bool:
        """Removes members whose reports have timed out.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether there were any.
        """
        timeout = MEMBER_TIMEOUT_SECONDS + self.lag.recent_max()
        silent = {
            address: now - reported_at
            for address, reported_at in self.last_report_at.items()
            if address != self.own_member.address
            and now - reported_at >= timeout
        }
        for address, seconds in silent.items():
            self.remove(address, silent_seconds=seconds)
        return bool(silent)

    def record_report(self, member: cluster.Member) -> bool:
        """Records a report of a member; returns whether it is news.

        Another process may report at an address that was known.
        """
        self.last_report_at[member.address] = self.clock.monotonic()
        if self.members.get(member.address) == member:
            return False
        self.members[member.address] = member
        log.write(events.MEMBER_JOINED, member=member.address)
        return True

    def remove(self, address: str, *, silent_seconds: float = 0.0) -> bool:
        """Removes a member; returns whether it was one.

        Args:
            address: Address of the member.
            silent_seconds: For how long it has not reported; 0 if it leaves.
        """
        self.last_report_at.pop(address, None)
        if self.members.pop(address, None) is None:
            return False
        log.write(
            events.MEMBER_LOST,
            member=address,
            silent_s=round(silent_seconds, 2),
        )
        return True
