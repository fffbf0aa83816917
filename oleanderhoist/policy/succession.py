"""What the leadership record proves once the store came back from a copy.

The record of a copy may name a leader that others have followed since, and the
owners of keys beside it may have changed. A leader therefore writes the era of
the store into its record, and whether the owners that are stored are its own. A
record of an earlier era proves neither who led last nor who owns a key.
"""

import dataclasses
import enum

from oleanderhoist.policy import storeeras

# More than elections fit between a copy and the return of the store from it.
EPOCHS_PER_ERA = 1 << 10
MAX_ERAS_SKIPPED = 1 << 10  # Fencing tokens have an upper limit.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """The leadership record.

    Attributes:
        epoch: Epoch of the leader.
        address: Address of the leader; empty after a resignation.
        era: Era of the store in which it was written; None from a router of an
            earlier build.
        owners_known: Whether the owners that are stored are those of its
            leader; False while that leader waits for earlier leases to expire.
    """

    epoch: int
    address: str
    era: int | None
    owners_known: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Knowledge:
    """What a router knows that reads the record.

    Attributes:
        epoch: Highest epoch of a leader that it has heard of.
        first_era: Era of the store's first answer to this router.
        era: Era of the store in which the record was read.
    """

    epoch: int
    first_era: int
    era: int

    @classmethod
    def at_read(
        cls, eras: storeeras.StoreEras, *, epoch: int, era: int
    ) -> "Knowledge":
        """Returns what a router knows once it has read the record.

        Args:
            eras: The eras that it has seen.
            epoch: Highest epoch of a leader that it has heard of.
            era: Era of the store in which the record was read.
        """
        first_era = era if eras.first is None else eras.first
        return cls(epoch=epoch, first_era=first_era, era=era)


def is_current(record: Record, known: Knowledge) -> bool:
    """Returns whether a successor may believe the stored owners.

    A leader of an earlier build writes no owners anew after a return of the
    store, so its record counts only if there was none as far as is known.
    """
    if record.epoch < known.epoch or not record.owners_known:
        return False
    if record.era is None:
        return known.era == known.first_era
    return record.era == known.era


def next_epoch(record: Record, known: Knowledge) -> int:
    """Returns an epoch above those of all earlier leaders.

    Those that were elected after the copy was made aren't in the record.
    """
    era = known.first_era if record.era is None else record.era
    skipped = min(MAX_ERAS_SKIPPED, max(0, known.era - era))
    return max(record.epoch + skipped * EPOCHS_PER_ERA, known.epoch) + 1


class Verdict(enum.Enum):
    """What a leader does after it has read the leadership record."""

    KEEP = enum.auto()
    RESTORE = enum.auto()  # Write its record and its owners anew.
    STEP_DOWN = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """What a leader holds against the record.

    Attributes:
        epoch: Its epoch.
        address: Its address.
        era: Era of the store in which its record was last stored.
        may_restore: Whether no later leader can have moved keys without their
            owner's consent, or have ended the wait for earlier leases.
    """

    epoch: int
    address: str
    era: int
    may_restore: bool


def judge(record: Record, era: int, claim: Claim) -> Verdict:
    """Returns what a leader does after it has read the record.

    Args:
        record: The record.
        era: Era of the store in which it was read.
        claim: What the leader holds against it.
    """
    is_own = record.epoch == claim.epoch and record.address in (
        claim.address,
        "",
    )
    if era == claim.era:
        return Verdict.KEEP if is_own else Verdict.STEP_DOWN
    is_later = record.epoch > claim.epoch
    is_rival = record.epoch == claim.epoch and not is_own
    if is_later or is_rival or not claim.may_restore:
        return Verdict.STEP_DOWN
    return Verdict.RESTORE
