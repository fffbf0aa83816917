"""Follows the directory of servers."""

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist import ports
from oleanderhoist.policy import cluster

NEVER = float("-inf")


class Directory:
    """The servers that count, as last read.

    Args:
        platform: Store of the directory.
        clock: Time source.
        servers: Servers that counted so far.
        last_failure_at: When this process last saw the store fail, on the
            monotonic clock.

    Attributes:
        servers: Servers by id.
        read_at: When the directory was last read, on the monotonic clock.
        lost: Whether the store does not answer.
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
        self.read_at = clock.monotonic()
        self.last_failure_at = last_failure_at
        self.lost = False
        self.rejected: set[str] = set()

    def note(self, error: ports.StoreError) -> None:
        """Takes in that the store did not answer."""
        self.last_failure_at = self.clock.monotonic()
        if not self.lost:
            self.lost = True
            log.write(events.STORE_LOST, reason=str(error))

    async def read(self) -> bool:
        """Reads the directory; tells whether the servers have changed."""
        try:
            listing = await self.platform.read_servers()
        except ports.StoreError as error:
            self.note(error)
            return False
        now = self.clock.monotonic()
        if self.lost:
            self.lost = False
            log.write(events.STORE_BACK, away_s=round(now - self.read_at, 2))
        self.read_at = now
        self.note_rejected(listing.rejected)
        merged = cluster.merge_listing(
            self.servers,
            listing.servers,
            last_failure_at=self.last_failure_at,
            now=now,
        )
        changed = merged != self.servers
        self.servers = merged
        return changed

    def note_rejected(self, rejected: dict[str, str]) -> None:
        """Logs each entry that cannot be read once."""
        for key, reason in rejected.items():
            if key not in self.rejected:
                log.write(events.ENTRY_REJECTED, key=key, reason=reason)
        self.rejected = set(rejected)
