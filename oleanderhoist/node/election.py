"""Writes the leadership record to win an election, or to give it up again."""

import dataclasses

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import leaderstore
from oleanderhoist.policy import leaderlease
from oleanderhoist.policy import storeeras


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidacy:
    """An attempt to replace a leader.

    Attributes:
        predecessor: The leadership record to replace.
        replaced_revision: Revision of that record.
        epoch: Epoch of the leadership that this router stands for.
        is_current: Whether the record and the key maps beside it are those of
            the latest leader.
        max_lease_seconds: Longest lease that servers accept, in seconds.
    """

    predecessor: leaderstore.LeadershipRecord
    replaced_revision: storeeras.Revision
    epoch: int
    is_current: bool
    max_lease_seconds: float

    def record(
        self, address: str, *, lapse_ms: int = 0
    ) -> leaderstore.LeadershipRecord:
        """Returns the leadership record to write.

        Args:
            address: Address of the leader; empty to give the leadership up.
            lapse_ms: When all earlier leases have expired, in the store's time.
        """
        return leaderstore.LeadershipRecord(
            epoch=self.epoch,
            address=address,
            lapse_ms=lapse_ms,
            era=self.replaced_revision.era,
            owners_known=self.is_current,
        )


class Election:
    """The candidacies of one router.

    Args:
        platform: The store.
        clock: Time source.
        own_address: Address of this router.

    Attributes:
        candidacy: The latest candidacy whose record was or may be written,
            until this router leads; None without one.
    """

    def __init__(
        self, *, platform: ports.Platform, clock: clock.Clock, own_address: str
    ):
        self.platform = platform
        self.clock = clock
        self.own_address = own_address
        self.candidacy: Candidacy | None = None

    async def stand(self, candidacy: Candidacy) -> bool:
        """Records this router as the leader; returns whether it succeeded.

        Raises:
            ports.StoreError: There was no valid response.
        """
        record = candidacy.record(self.own_address)
        self.candidacy = candidacy
        try:
            result = await self.write(record, candidacy.replaced_revision)
        except ports.StoreError as error:
            if not error.maybe_applied:
                self.candidacy = None
            raise
        if isinstance(result, ports.Conflict):
            self.candidacy = None
            log.write(events.LEADERSHIP_FAILED, reason="conflict")
            return False
        return True

    def is_won(self, candidacy: Candidacy, stored: ports.OwnRows) -> bool:
        """Returns whether rows that were read since show this one as leader."""
        record = leaderstore.leadership_of(stored.rows)
        return (record.epoch, record.address, stored.revision.era) == (
            candidacy.epoch,
            self.own_address,
            candidacy.replaced_revision.era,
        )

    async def withdraw(self) -> None:
        """Vacates the record of the candidacy, so that another may lead.

        The candidacy stays for another attempt if a call fails, or while its
        write may still be applied.
        """
        if self.candidacy is None:
            return
        try:
            stored = await self.platform.read_rows()
            revision = stored.revision_of(leaderstore.LEADER_KEY)
            if revision == self.candidacy.replaced_revision:
                return
            record = leaderstore.leadership_of(stored.rows)
            own = (self.candidacy.epoch, self.own_address)
            if (record.epoch, record.address) == own:
                vacant = self.vacant_record(self.candidacy)
                result = await self.write(vacant, revision)
                if isinstance(result, ports.Conflict):
                    return
                log.write(events.LEADERSHIP_FAILED, reason="stopping")
        except ports.StoreError:
            return
        self.candidacy = None

    async def write(
        self,
        record: leaderstore.LeadershipRecord,
        replaced_revision: storeeras.Revision,
    ) -> ports.Written | ports.Conflict:
        """Writes the leadership record if its revision is as expected.

        Raises:
            ports.StoreError: There was no valid response.
        """
        return await self.platform.write_rows(
            {leaderstore.LEADER_KEY: leaderstore.encode_leadership(record)},
            {leaderstore.LEADER_KEY: replaced_revision},
        )

    def leader_lease(
        self, candidacy: Candidacy, confirmed_at: float
    ) -> leaderlease.LeaderLease:
        """Returns the leader lease of a leadership that begins now."""
        now = self.clock.boottime()
        leader_lease = leaderlease.LeaderLease(
            epoch=candidacy.epoch,
            confirmed_at=confirmed_at,
            began_at=now,
            max_lease_seconds=candidacy.max_lease_seconds,
        )
        if candidacy.is_current and candidacy.predecessor.lapse_ms:
            wait_seconds = self.platform.store_clock.seconds_until(
                candidacy.predecessor.lapse_ms, now
            )
            leader_lease.recorded_grants_expire_at = now + wait_seconds
        return leader_lease

    def vacant_record(
        self, candidacy: Candidacy
    ) -> leaderstore.LeadershipRecord:
        """Returns the record of a leader that resigned before any grant."""
        leader_lease = self.leader_lease(candidacy, self.clock.boottime())
        return candidacy.record(
            "",
            lapse_ms=self.platform.store_clock.upper_bound(
                leader_lease.predecessor_grants_expire_at()
            ),
        )
