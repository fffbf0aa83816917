"""Adapter that implements the router's ports on the platform."""

from oleanderhoist import clock
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.http import messages
from oleanderhoist.platform import contracts
from oleanderhoist.platform import directory
from oleanderhoist.platform import evacuations
from oleanderhoist.platform import leasechannel
from oleanderhoist.platform import protocol
from oleanderhoist.platform import store
from oleanderhoist.policy import cluster
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras

READY_PATH = "/readiness"


@ports.PLATFORMS.register("row-store")
class RowStorePlatform:
    """Implements `ports.Platform` on the users' platform.

    Args:
        settings: Settings that name the store's address.
    """

    ready_path = READY_PATH

    def __init__(self, *, settings: settings.RouterSettings):
        self.store_clock = storeclock.StoreClock()
        self.store_eras = storeeras.StoreEras()
        self.store = store.Store(
            address=settings.store,
            clock=clock.Clock(),
            store_clock=self.store_clock,
            store_eras=self.store_eras,
        )
        self.latest_row: ports.Row | None = None
        self.latest_contracts: ports.VersionedContracts | None = None

    async def read_rows(self) -> ports.OwnRows:
        """Returns the system's own rows."""
        snapshot = await self.store.rows(store.OWN_TABLE)
        return ports.OwnRows(
            rows={row.key: row for row in snapshot.rows},
            revision=snapshot.revision,
        )

    async def write_rows(
        self,
        values: dict[str, bytes],
        expected: dict[str, storeeras.Revision],
    ) -> ports.Written | ports.Conflict:
        """Writes the system's own rows if `expected` revisions are current."""
        return await self.store.write(store.OWN_TABLE, values, expected)

    async def read_servers(self) -> ports.ServerListing:
        """Returns the servers that the directory lists."""
        return directory.decode((await self.store.rows(directory.TABLE)).rows)

    async def read_contracts(self) -> ports.ContractsRead:
        """Reads the contracts, and the evacuations in the same table."""
        snapshot = await self.store.rows(contracts.TABLE)
        versioned = problem = None
        for row in snapshot.rows:
            if row.key != contracts.KEY:
                continue
            try:
                versioned = self.decode_contracts(row)
            except ports.TermsError as error:
                problem = error
        evacuated, unusable = evacuations.decode(snapshot.rows)
        return ports.ContractsRead(
            versioned=versioned,
            error=problem,
            seen_revision=snapshot.revision,
            evacuated=evacuated,
            unusable=unusable,
        )

    def decode_contracts(self, row: ports.Row) -> ports.VersionedContracts:
        """Decodes the contracts, unless it did so at the latest read.

        Raises:
            ports.TermsError: They cannot be applied.
        """
        if self.latest_contracts is None or self.latest_row != row:
            self.latest_contracts = contracts.decode(row)
            self.latest_row = row
        return self.latest_contracts

    async def watch_contracts(
        self, after: storeeras.Revision, seconds: float
    ) -> bool:
        """Waits until the contracts may have changed."""
        return await self.store.wait_for_change(contracts.TABLE, after, seconds)

    def lease_channel(self, server: cluster.Server) -> ports.LeaseChannel:
        """Returns a new lease channel to a server."""
        return leasechannel.LeaseChannel(server=server)

    def parse_request(self, request: messages.Request) -> ports.RequestHead:
        """Reads a caller's request head."""
        return protocol.parse_request(request)

    def server_headers(
        self,
        request: messages.Request,
        server: cluster.Server,
        remaining: float,
    ) -> messages.Headers:
        """Returns the headers to send to a server, without Host."""
        return protocol.server_headers(request, server, remaining)

    def match_request(
        self, id: str, headers: messages.Headers
    ) -> messages.Match:
        """Returns which request a response's headers name."""
        return protocol.match_request(id, headers)

    def classify(self, response: messages.Response) -> ports.AnswerKind:
        """Classifies a server's response."""
        return protocol.classify(response)

    def server_notice(self, response: messages.Response) -> ports.ServerNotice:
        """Returns what a server says of itself in a response."""
        return protocol.server_notice(response)

    def to_response(self, outcome: outcomes.Outcome) -> messages.Response:
        """Returns the response to a caller."""
        return protocol.to_response(outcome)
