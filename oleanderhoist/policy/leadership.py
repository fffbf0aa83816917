"""Who may lead, until when, and when an earlier leader has surely stopped.

All times are wall-clock seconds. A leader's authority ends with its lease in
the table. While the table is down it may go on ("hold") as long as a majority
of the placers named in its lease record promise that the table is down for
them too. A later leader may move partitions only after a majority of that
same roster has stood down, since any two majorities share a placer.
"""

import dataclasses

LEASE_SECONDS = 0.8
RENEW_SECONDS = 0.2
PROMISE_SECONDS = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderRecord:
    """The leader's lease as it stands in the table.

    Attributes:
        epoch: Grows by one with every leader.
        holder: Placer that leads.
        peer_address: Where peers reach it.
        api_address: Where operators reach it.
        expires_at: End of the lease.
        lent_until: Latest limit of any delegation made under this record.
        roster: Peer address by placer id; a hold needs a majority of these.
    """

    epoch: int
    holder: str
    peer_address: str
    api_address: str
    expires_at: float
    lent_until: float
    roster: dict[str, str]


class Promises:
    """What one placer has promised to leaders without the table.

    Args:
        started_at: When this process started; promises made by an earlier
            process of the same name may last until PROMISE_SECONDS later.
    """

    def __init__(self, *, started_at: float):
        self.until = started_at + PROMISE_SECONDS
        self.fenced_epoch = 0

    def request(
        self, epoch: int, until: float, now: float, table_down: bool
    ) -> bool:
        """Answers a leader that asks to hold.

        Returns:
            Whether the promise is made.
        """
        if not table_down or epoch < self.fenced_epoch:
            return False
        if until > now + PROMISE_SECONDS * 2:
            return False
        self.until = max(self.until, until)
        return True

    def fence_epochs(self, epoch: int) -> float:
        """Ends promises to leaders before an epoch.

        Returns:
            The end of the last promise made.
        """
        self.fenced_epoch = max(self.fenced_epoch, epoch)
        return self.until

    def may_lead(self, now: float, max_skew: float) -> bool:
        """Tells whether this placer may try to become leader."""
        return now > self.until + max_skew


class LeaseExtension:
    """A leader's collection of promises while the table is down.

    Args:
        rosters: The roster last known to stand in the table, and the one of
            a write whose fate is not known; a majority of each is needed,
            since a successor will read one or the other.
    """

    def __init__(self, *, rosters: list[dict[str, str]]):
        self.rosters = rosters
        self.promises: dict[str, float] = {}

    def addresses(self) -> set[str]:
        """Returns whom to ask."""
        return {a for roster in self.rosters for a in roster.values()}

    def promise(self, placer: str, until: float) -> None:
        """Records a promise."""
        self.promises[placer] = max(until, self.promises.get(placer, 0.0))

    def until(self) -> float:
        """Returns until when the majorities have promised; 0 without."""
        return min(self.promised(roster) for roster in self.rosters)

    def promised(self, roster: dict[str, str]) -> float:
        """Returns until when a majority of one roster has promised."""
        ends = [end for p, end in self.promises.items() if p in roster]
        needed = majority(roster)
        if len(ends) < needed:
            return 0.0
        return sorted(ends, reverse=True)[needed - 1]


class Takeover:
    """A new leader's wait for every earlier one to have stopped.

    Args:
        previous: The record it replaced; None for the first leader ever.
        max_skew: Greatest difference of clocks, in seconds.
        max_extension: Longest extension after a lease's end, in seconds.
    """

    def __init__(
        self,
        *,
        previous: LeaderRecord | None,
        max_skew: float,
        max_extension: float,
    ):
        self.previous = previous
        self.max_skew = max_skew
        self.max_extension = max_extension
        self.fenced: dict[str, float] = {}

    def record_fenced(self, placer: str, until: float) -> None:
        """Records that a placer stood down."""
        if self.previous is not None and placer in self.previous.roster:
            self.fenced[placer] = until

    def unfenced(self) -> dict[str, str]:
        """Returns the placers that have not stood down, with addresses."""
        if self.previous is None:
            return {}
        return {
            placer: address
            for placer, address in self.previous.roster.items()
            if placer not in self.fenced
        }

    def moves_allowed_after(self) -> float:
        """Returns when partitions may move; infinity while unknown."""
        if self.previous is None:
            return 0.0
        lapsed = max(self.previous.expires_at, self.previous.lent_until)
        if len(self.fenced) >= majority(self.previous.roster):
            latest = max([lapsed, *self.fenced.values()])
            return latest + self.max_skew
        return lapsed + self.max_extension + self.max_skew


def majority(roster: dict[str, str]) -> int:
    """Returns how many placers make a majority."""
    return len(roster) // 2 + 1
