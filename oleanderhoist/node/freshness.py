"""How current the state of a follower is, by what its leader announces."""

import dataclasses
import math

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist import program
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import candidacy
from oleanderhoist.policy import hashing
from oleanderhoist.policy import storeclock

# For the read, and for updates missed shortly before the leader fell silent.
STORE_READ_MARGIN_SECONDS = 0.75
# The jitter lets most failovers end before the last routers read.
STORE_READ_JITTER_SECONDS = 0.35
OWN_READ_MARGIN_SECONDS = 0.35  # For the read itself.
OWN_READ_JITTER_SECONDS = 0.2
# A leader's first snapshot comes after its first heartbeat.
FIRST_SNAPSHOT_SECONDS = 0.6
LATE_HEARTBEAT_SECONDS = 0.5

HEARTBEAT_DELAY = prometheus_client.Gauge(
    "oleander_heartbeat_delay_seconds",
    "Time from the sending of the leader's last heartbeat to its handling, at "
    "most",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """What the leader's latest heartbeat said.

    Attributes:
        epoch: The leader's epoch.
        age: Age of what the leader knew, in seconds.
        known_at: When the leader knew it to be current, on the clock that
            counts suspended time.
        contracts: The leader's contracts; None before the first heartbeat.
    """

    epoch: int = 0
    age: float = 0.0
    known_at: float = -math.inf
    contracts: ports.ContractsName | None = None


class Freshness:
    """Tells when a follower must read the store itself.

    Args:
        state: Snapshot and contracts of this router.
        clock: Time source.
        store_clock: Bounds of the store's time, in which leaders date what
            they know.
        lag: Delay of this router's own timers.
        own_address: Address of this router.
        propagation_seconds: Maximum age of the snapshot and the contracts, in
            seconds.

    Attributes:
        announced: What the leader's latest heartbeat said.
        last_heartbeat_at: When it arrived, on the monotonic clock.
        store_read_after: Staleness at which everything is read, in seconds.
        own_read_after: Age at which contracts or snapshot are read although
            the leader is heard, in seconds.
        heard_since: Since when the leader has been heard without a gap, on
            the monotonic clock.
    """

    def __init__(
        self,
        *,
        state: state.State,
        clock: clock.Clock,
        store_clock: storeclock.StoreClock,
        lag: program.LoopLag,
        own_address: str,
        propagation_seconds: float,
    ):
        self.state = state
        self.clock = clock
        self.store_clock = store_clock
        self.lag = lag
        self.announced = Announcement()
        # A new process acts at once instead of waiting for a heartbeat.
        self.last_heartbeat_at = (
            clock.monotonic() - candidacy.LEADER_TIMEOUT_SECONDS
        )
        fraction = hashing.digest(own_address) / 2.0**64
        self.store_read_after = max(
            candidacy.LEADER_TIMEOUT_SECONDS,
            propagation_seconds
            - STORE_READ_MARGIN_SECONDS
            + fraction * STORE_READ_JITTER_SECONDS,
        )
        self.own_read_after = (
            propagation_seconds
            - OWN_READ_MARGIN_SECONDS
            + fraction * OWN_READ_JITTER_SECONDS
        )
        self.heard_since = math.inf
        state.contract_listeners.append(self.confirm_contracts)

    def staleness(self, now: float) -> float:
        """Returns for how long the leader was silent or stale, in seconds.

        Silence while this router's own timers were late does not count.
        """
        silence = now - self.last_heartbeat_at - self.lag.recent_max()
        if self.announced.age > candidacy.STALE_AGE_SECONDS:
            return max(silence, self.announced.age)
        return silence

    def store_overdue(self, now: float) -> bool:
        """Returns whether this router must read servers and owners itself."""
        return self.staleness(now) > self.store_read_after

    def contracts_overdue(self) -> bool:
        """Returns whether this router must read its contracts itself.

        A delay of its own timers is no excuse: changes apply to it, too. It
        also must if its leader is of a build that names no evacuations, or
        neither an era nor a version of its contracts.
        """
        if self.state.contracts is None:
            return False
        confirmed_at = min(
            self.state.contracts_confirmation.at,
            self.state.evacuations_confirmation.at,
        )
        return self.clock.boottime() - confirmed_at > self.own_read_after

    def snapshot_overdue(self) -> bool:
        """Returns whether the snapshot is old although the leader is heard.

        Snapshots get lost, and heartbeats may be late.
        """
        now = self.clock.monotonic()
        is_heard = (
            now - self.last_heartbeat_at < candidacy.LEADER_TIMEOUT_SECONDS
            and now - self.heard_since > FIRST_SNAPSHOT_SECONDS
        )
        age = self.state.snapshot_confirmation.age(self.clock.boottime())
        return is_heard and age > self.own_read_after

    @property
    def has_heard(self) -> bool:
        """Whether this process has heard any heartbeat."""
        return not math.isinf(self.announced.known_at)

    def hear(self, message: wire.Heartbeat) -> None:
        """Records a heartbeat of the leader."""
        self.record_arrival(message.epoch)
        self.record_delay(message)
        age = message.age_ms / 1000
        known_at = self.clock.boottime() - age
        earliest = self.earliest_known_at(message)
        if earliest is not None:
            known_at = min(known_at, earliest)
        self.announced = Announcement(
            epoch=message.epoch,
            age=age,
            known_at=known_at,
            contracts=named_contracts(message),
        )
        if message.evacuated is not None and message.evacuated_era is not None:
            self.state.evacuations_confirmation.confirm(self.announced.known_at)
        if self.state.snapshot.name >= (message.epoch, message.version):
            # Else the newer one is on its way, or was lost.
            self.state.snapshot_confirmation.confirm(self.announced.known_at)
        self.confirm_contracts()

    def record_arrival(self, epoch: int) -> None:
        """Records that a heartbeat of an epoch's leader is handled."""
        now = self.clock.monotonic()
        silence = now - self.last_heartbeat_at
        if (
            silence >= candidacy.LEADER_TIMEOUT_SECONDS
            or epoch != self.announced.epoch
        ):
            self.heard_since = now
        self.last_heartbeat_at = now

    def earliest_known_at(self, message: wire.Heartbeat) -> float | None:
        """Returns a lower bound of when the leader's knowledge was current.

        It is in seconds on the clock that counts suspended time, and None if
        the leader or this router cannot tell, or if the store came back from
        a copy after one of them read its time.
        """
        if (
            message.known_ms is None
            or not self.store_clock.is_known
            or message.known_era != self.store_clock.era
        ):
            return None
        return self.store_clock.earliest(message.known_ms)

    def record_delay(self, message: wire.Heartbeat) -> None:
        """Records how long after its sending a heartbeat is handled."""
        known_at = self.earliest_known_at(message)
        if known_at is None:
            return
        age = self.clock.boottime() - known_at
        delay = max(0.0, age - message.age_ms / 1000)
        HEARTBEAT_DELAY.set(delay)
        if delay > LATE_HEARTBEAT_SECONDS:
            log.write_limited(
                events.HEARTBEAT_LATE,
                epoch=message.epoch,
                version=message.version,
                terms=message.contracts_version,
                delay_ms=round(delay * 1000),
                uncertain_ms=round(self.store_clock.uncertainty * 1000),
            )

    def confirm_contracts(self) -> None:
        """Confirms the contracts if the leader announced no newer ones.

        A leader of an earlier build may announce a number that stands for older
        ones than the store has.
        """
        named = self.announced.contracts
        if named is None or named.version is None:
            return
        if self.state.has_contracts(named):
            self.state.contracts_confirmation.confirm(self.announced.known_at)


def named_contracts(
    message: wire.Heartbeat | wire.MemberReport,
) -> ports.ContractsName:
    """Returns which contracts the sender of a message has."""
    return ports.ContractsName(
        version=message.contracts_version, revision=message.contracts_revision
    )
