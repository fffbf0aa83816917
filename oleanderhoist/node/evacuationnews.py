"""Learns from the store and from the leader which data centres are evacuated.

The leader reads it with the contracts and names it in each heartbeat, so a lost
one is made up for by the next.
"""

import asyncio

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.node import state
from oleanderhoist.node import wire
from oleanderhoist.policy import evacuations
from oleanderhoist.policy import storeeras

TICK_SECONDS = 0.1
# The leader names them all in a datagram.
MAX_DATA_CENTERS = 64

EVACUATED = prometheus_client.Gauge(
    "oleander_evacuated_data_centers",
    "Evacuated data centres, as known here",
)


class EvacuationNews:
    """Brings the evacuations of a router up to date.

    Args:
        state: Current snapshot, and the evacuations that this router knows.
        clock: Time source.

    Attributes:
        reported: The unusable rows that are logged, and why they are unusable.
    """

    def __init__(self, *, state: state.State, clock: clock.Clock):
        self.state = state
        self.clock = clock
        self.reported: dict[str, str] = {}

    def read(self, result: ports.ContractsRead) -> None:
        """Learns of what the store holds."""
        self.report(result.unusable)
        present = self.present()
        names = sorted(
            result.evacuated, key=lambda name: (name not in present, name)
        )
        self.learn(names[:MAX_DATA_CENTERS], result.seen_revision, "store")

    def hear(self, peer: str, message: wire.Heartbeat) -> None:
        """Learns of what the leader names, unless its build can't.

        What a leader of a build that names no era has read counts as older than
        what this router has read itself.
        """
        if message.evacuated is not None:
            revision = storeeras.Revision(
                era=message.evacuated_era or 0,
                number=message.evacuated_revision,
            )
            self.learn(message.evacuated, revision, peer)

    def learn(
        self, names: list[str], revision: storeeras.Revision, source: str
    ) -> None:
        """Adopts what was read of the store, unless a later read is known.

        Args:
            names: All evacuated data centres.
            revision: Revision of the store at which they were read.
            source: From whom it was learned, for the log.
        """
        change = self.state.evacuations.adopt(
            names,
            revision,
            now=self.clock.monotonic(),
            unseen_seconds=self.state.evacuations_confirmation.age(
                self.clock.boottime()
            ),
        )
        if change is None:
            return
        self.log_change(change, revision, source)
        EVACUATED.set(len(self.state.evacuations.known_since))
        self.state.apply_overlays()

    def log_change(
        self,
        change: evacuations.Change,
        revision: storeeras.Revision,
        source: str,
    ) -> None:
        """Logs which evacuations have begun or ended."""
        present = self.present()
        for name in sorted(change.begun | change.ended):
            log.write_limited(
                events.EVACUATION_CHANGED,
                data_center=name,
                evacuated=name in change.begun,
                era=revision.era,
                revision=revision.number,
                source=source,
            )
        if present:
            for name in sorted(change.begun - present):
                self.log_unusable(name, "nobody is in this data centre")

    def report(self, unusable: dict[str, str]) -> None:
        """Logs unusable rows, each once."""
        for row, reason in unusable.items():
            if self.reported.get(row) != reason:
                self.log_unusable(row, reason)
        self.reported = dict(unusable)

    def log_unusable(self, row: str, reason: str) -> None:
        """Logs a row that can't be used."""
        log.write_limited(events.EVACUATION_UNUSABLE, row=row, reason=reason)

    def present(self) -> set[str]:
        """Returns the data centres of all listed servers and members."""
        snapshot = self.state.snapshot
        return {
            one.data_center
            for one in (*snapshot.servers.values(), *snapshot.members.values())
        }

    async def run(self) -> None:
        """Stops using keyed owners once their time is up, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.state.evacuations.advance(self.clock.monotonic()):
                self.state.apply_overlays()
