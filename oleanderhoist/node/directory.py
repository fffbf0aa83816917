"""Follows the directory of servers."""

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster
from oleanderhoist.policy import confirmation

NEVER = float("-inf")


class Directory:
    """The servers that are considered present.

    Args:
        platform: Store of the directory.
        clock: Time source.
        servers: Servers that were considered present so far.
        last_failure_at: When a store call of this router last failed, as
            recorded before, on the monotonic clock.

    Attributes:
        servers: Servers by id.
        confirmation: When the latest successful read started.
        store_unavailable: Whether the store has failed since the last read.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        clock: clock.Clock,
        servers: dict[str, cluster.Server],
        last_failure_at: float = NEVER,
    ):
        self.platform = platform
        self.clock = clock
        self.servers = servers
        self.confirmation = confirmation.Confirmation()
        self.last_failure_at = last_failure_at
        self.store_unavailable = False
        self.rejected_keys: set[str] = set()
        self.odd_cold_times: dict[str, str] = {}

    def record_failure(self, error: ports.StoreError) -> None:
        """Records that the store did not answer."""
        self.last_failure_at = self.clock.monotonic()
        if not self.store_unavailable:
            self.store_unavailable = True
            log.write(events.STORE_LOST, reason=str(error))

    async def read(self) -> bool:
        """Reads the directory; returns whether the servers have changed."""
        sent_at = self.clock.boottime()
        try:
            listing = await self.platform.read_servers()
        except ports.StoreError as error:
            self.record_failure(error)
            return False
        now = self.clock.monotonic()
        if self.store_unavailable:
            self.store_unavailable = False
            away_ms = self.confirmation.age_ms(sent_at)
            away_s = None if away_ms is None else away_ms / 1000
            log.write(events.STORE_BACK, away_s=away_s)
        self.confirmation.confirm(sent_at)
        self.log_rejected(listing.rejected)
        self.log_odd_cold_times(listing.odd_cold_times)
        merged = cluster.merge_listing(
            self.servers,
            listing.servers,
            last_failure_at=max(
                self.last_failure_at, self.platform.store_eras.changed_at
            ),
            now=now,
        )
        changed = merged != self.servers
        self.servers = merged
        return changed

    def log_rejected(self, rejected: dict[str, str]) -> None:
        """Logs each newly rejected row once."""
        for key, reason in rejected.items():
            if key not in self.rejected_keys:
                log.write(events.ENTRY_REJECTED, key=key, reason=reason)
        self.rejected_keys = set(rejected)

    def log_odd_cold_times(self, odd: dict[str, str]) -> None:
        """Logs once what a server says in place of its cold time."""
        for key, value in odd.items():
            if self.odd_cold_times.get(key) != value:
                log.write_limited(
                    events.COLD_TIME_UNREADABLE, key=key, value=value
                )
        self.odd_cold_times = odd
