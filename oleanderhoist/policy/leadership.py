"""Leader lease, its extension by promises, and takeover by a new leader.

All times are wall-clock seconds. A leader's authority ends with its lease in
the table. While the table is unavailable the lease is extended as long as a
majority of the voters in its lease record promise that the table is
unavailable to them too. A later leader may move partitions only after a
majority of the same voters have fenced earlier epochs, since any two majorities
share a placer.
"""

import dataclasses

LEASE_SECONDS = 0.8
RENEW_SECONDS = 0.2
PROMISE_SECONDS = 0.8
MAX_PROMISE_SECONDS = 2 * PROMISE_SECONDS  # From the arrival of a request.


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaderRecord:
    """The leader's lease as stored in the table.

    Attributes:
        epoch: Increases by one with every leader.
        holder: Id of the leading placer.
        peer_address: Its address for peers.
        api_address: Its address for operators.
        expires_at: End of the lease.
        lent_until: Latest expiry of any delegation made under this record.
        roster: Peer addresses of the voters, by placer id; an extension
            needs promises of a majority.
    """

    epoch: int
    holder: str
    peer_address: str
    api_address: str
    expires_at: float
    lent_until: float
    roster: dict[str, str]


class Promises:
    """Promises of one placer to extend leases without the table.

    Args:
        started_at: When this process started; promises of an earlier process
            with the same id may be valid until PROMISE_SECONDS later.
    """

    def __init__(self, *, started_at: float):
        self.until = started_at + PROMISE_SECONDS
        self.fenced_epoch = 0

    def request(
        self, epoch: int, until: float, now: float, table_down: bool
    ) -> bool:
        """Handles a leader's request for a lease extension.

        Returns:
            Whether the promise is made.
        """
        if not table_down or epoch < self.fenced_epoch:
            return False
        if until > now + MAX_PROMISE_SECONDS:
            return False
        self.until = max(self.until, until)
        return True

    def fence_epochs(self, epoch: int) -> float:
        """Rejects requests of leaders before an epoch from now on.

        Returns:
            Until when the promises made so far are valid.
        """
        self.fenced_epoch = max(self.fenced_epoch, epoch)
        return self.until

    def may_lead(self, now: float, max_skew: float) -> bool:
        """Returns whether this placer may try to become leader."""
        return now > self.until + max_skew


class LeaseExtension:
    """Promises that extend a leader's lease while the table is unavailable.

    Args:
        rosters: The voters last known to be stored in the table, and those of
            a write whose outcome is unknown; a majority of each is needed,
            since a successor will read one or the other.
    """

    def __init__(self, *, rosters: list[dict[str, str]]):
        self.rosters = rosters
        self.promises: dict[str, float] = {}

    def addresses(self) -> set[str]:
        """Returns the addresses of all voters."""
        return {a for roster in self.rosters for a in roster.values()}

    def promise(self, placer: str, until: float) -> None:
        """Records a promise."""
        self.promises[placer] = max(until, self.promises.get(placer, 0.0))

    def until(self) -> float:
        """Returns until when all majorities have promised; 0 if any has not."""
        return min(self.promised(roster) for roster in self.rosters)

    def promised(self, roster: dict[str, str]) -> float:
        """Returns until when a majority of one roster has promised, or 0."""
        ends = [end for p, end in self.promises.items() if p in roster]
        needed = majority(roster)
        if len(ends) < needed:
            return 0.0
        return sorted(ends, reverse=True)[needed - 1]


class Takeover:
    """A new leader's wait until no earlier leader can be active.

    Args:
        previous: The record that it replaced; None for the first leader.
        max_skew: Maximum clock skew, in seconds.
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
        """Records that a placer has fenced earlier epochs.

        Args:
            placer: Id of the placer.
            until: Until when its promises are valid.
        """
        if self.previous is not None and placer in self.previous.roster:
            self.fenced[placer] = until

    def unfenced(self) -> dict[str, str]:
        """Returns the addresses of voters that have not fenced, by id."""
        if self.previous is None:
            return {}
        return {
            placer: address
            for placer, address in self.previous.roster.items()
            if placer not in self.fenced
        }

    def moves_allowed_after(self) -> float:
        """Returns when partitions may move; 0 for the first leader."""
        if self.previous is None:
            return 0.0
        expired_at = max(self.previous.expires_at, self.previous.lent_until)
        if len(self.fenced) >= majority(self.previous.roster):
            latest = max([expired_at, *self.fenced.values()])
            return latest + self.max_skew
        return expired_at + self.max_extension + self.max_skew


def majority(roster: dict[str, str]) -> int:
    """Returns how many voters make a majority."""
    return len(roster) // 2 + 1
