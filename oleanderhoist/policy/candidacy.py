"""When a process should try to replace the leader.

Load pattern: the leader dies, freezes, or is cut off from its peers or from
the store. Its record in the store is rewritten twice a second while it can
reach the store, so a record that stays the same shows that it cannot, whatever
this process hears or does not hear. Only a few processes try, one after the
other, so that a loss does not send all of them to the store at once.
"""

import dataclasses
import math

from oleanderhoist.policy import hashing

RECORD_CHECK_SECONDS = 0.45  # Early, since the record must be seen twice.
LEADER_TIMEOUT_SECONDS = 0.75
STALE_AGE_SECONDS = 1.3
UNCHANGED_SECONDS = 0.65
STAGGER_SECONDS = 0.2
CANDIDATES = 4
LATE_CANDIDATE_SECONDS = 2.0
LATE_STAGGER_SECONDS = 0.1
MAX_LATE_STAGGER_SECONDS = 2.5
MIN_WEIGHT = 0.01
FIRST_ELECTION_JITTER_SECONDS = 0.3
LOW_CPU_SHARE = 0.5  # Strength under which a process lets others go first.
INELIGIBLE_SECONDS = 8.0


@dataclasses.dataclass(kw_only=True)
class RecordWatch:
    """What a process has seen of the leadership record.

    Attributes:
        revision: Revision that was read last; None before the first.
        since: When that revision was read for the first time.
    """

    revision: int | None = None
    since: float = 0.0

    def observe(self, revision: int, now: float) -> None:
        """Takes in a revision that was read."""
        if revision != self.revision:
            self.revision = revision
            self.since = now

    def unchanged(self, now: float) -> float:
        """Returns for how long the record has been the same, in seconds."""
        return now - self.since if self.revision is not None else 0.0


def candidate_position(
    own_address: str, members: dict[str, float], epoch: int
) -> int:
    """Returns this process's place in the order of candidates.

    A leader talks to all servers and processes, which is beyond a weak one,
    so strong processes always come first, and take turns among themselves.
    """
    order = sorted(
        members,
        key=lambda name: (
            -capacity_class(members[name]),
            hashing.digest(f"{epoch}|{name}"),
        ),
    )
    return order.index(own_address) if own_address in order else len(order)


def capacity_class(weight: float) -> int:
    """Returns the class of strength; each is twice as strong as the last."""
    return math.floor(math.log2(max(weight, MIN_WEIGHT)))


def election_delay(
    own_address: str, weight: float, members: dict[str, float], epoch: int
) -> float:
    """Returns how long this process lets others go first, in seconds.

    Args:
        own_address: This process.
        weight: Its strength.
        members: Strength of each known process but the leader.
        epoch: Epoch of the leader that is to be replaced.
    """
    if not members:
        part = hashing.digest(f"{epoch}|{own_address}") / 2.0**64
        weakness = max(0.0, LOW_CPU_SHARE - weight)
        return part * FIRST_ELECTION_JITTER_SECONDS + weakness
    place = candidate_position(own_address, members, epoch)
    if place < CANDIDATES:
        return place * STAGGER_SECONDS
    later = (place - CANDIDATES) * LATE_STAGGER_SECONDS
    return LATE_CANDIDATE_SECONDS + min(later, MAX_LATE_STAGGER_SECONDS)
