"""When a router should try to replace the leader.

The leader may crash, freeze, or be cut off from its peers or from the store.
It rewrites its record in the store twice a second while it can reach the
store. A router reads the record once heartbeats stop or report an old read of
the directory, and tries only if the record has not changed either; a leader
that resigns clears it. Only a few routers try, one after the other, so that
the loss of a leader does not send all of them to the store at once.
"""

import dataclasses
import math

from oleanderhoist.policy import hashing
from oleanderhoist.policy import storeeras

# Before the timeout, since the record must be read twice.
RECORD_CHECK_SECONDS = 0.45
LEADER_TIMEOUT_SECONDS = 0.75
STALE_AGE_SECONDS = 1.3  # Of the leader's last read of the directory.
RECORD_UNCHANGED_SECONDS = 0.65
STAGGER_SECONDS = 0.2
CANDIDATES = 4
LATE_CANDIDATE_SECONDS = 2.0
LATE_STAGGER_SECONDS = 0.1
MAX_LATE_STAGGER_SECONDS = 2.5
MIN_CORES = 0.01
FIRST_ELECTION_JITTER_SECONDS = 0.3
LOW_CPU_CORES = 0.5  # With fewer, one second of delay per missing core.
INELIGIBLE_SECONDS = 8.0


@dataclasses.dataclass(kw_only=True)
class RecordWatch:
    """Tracks for how long the leadership record has not changed.

    Attributes:
        state: What was read last: the record's revision or, of a leader that
            is known to have been replaced, its epoch and address; None before
            the first read.
        since: When that was first read.
    """

    state: storeeras.Revision | tuple[int, str] | None = None
    since: float = 0.0

    def observe(
        self, state: storeeras.Revision | tuple[int, str], now: float
    ) -> None:
        """Records what was read."""
        if state != self.state:
            self.state = state
            self.since = now

    def unchanged(self, now: float) -> float:
        """Returns for how long the record has been unchanged, in seconds."""
        return now - self.since if self.state is not None else 0.0


def candidate_position(
    own_address: str, members: dict[str, float], epoch: int
) -> int:
    """Returns this router's position in the order of candidates.

    A leader communicates with all servers and members, which a member with
    little CPU cannot sustain. Members of a higher capacity class therefore
    come first; the order within a class changes with the epoch.
    """
    order = sorted(
        members,
        key=lambda address: (
            -capacity_class(members[address]),
            hashing.digest(f"{epoch}|{address}"),
        ),
    )
    return order.index(own_address) if own_address in order else len(order)


def capacity_class(cores: float) -> int:
    """Returns the capacity class of a member; each class doubles the cores."""
    return math.floor(math.log2(max(cores, MIN_CORES)))


def election_delay(
    own_address: str, cores: float, members: dict[str, float], epoch: int
) -> float:
    """Returns how long this router lets others go first, in seconds.

    Args:
        own_address: Address of this router.
        cores: CPU cores that this router may use.
        members: CPU cores of each known member except the leader, by address.
        epoch: Epoch of the leader to replace.
    """
    if not members:
        fraction = hashing.digest(f"{epoch}|{own_address}") / 2.0**64
        low_cpu_delay = max(0.0, LOW_CPU_CORES - cores)
        return fraction * FIRST_ELECTION_JITTER_SECONDS + low_cpu_delay
    position = candidate_position(own_address, members, epoch)
    if position < CANDIDATES:
        return position * STAGGER_SECONDS
    stagger = (position - CANDIDATES) * LATE_STAGGER_SECONDS
    return LATE_CANDIDATE_SECONDS + min(stagger, MAX_LATE_STAGGER_SECONDS)
