"""The platform as one object that fills the product's ports."""

from oleanderhoist import clock
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist import settings
from oleanderhoist.http import messages
from oleanderhoist.platform import contracts
from oleanderhoist.platform import directory
from oleanderhoist.platform import leasechannel
from oleanderhoist.platform import protocol
from oleanderhoist.platform import store
from oleanderhoist.policy import cluster
from oleanderhoist.policy import storeclock

READY_PATH = "/readiness"


@ports.PLATFORMS.register("row-store")
class Adapter:
    """Fills the ports with the users' platform.

    Args:
        settings: Where the store is.
    """

    ready_path = READY_PATH

    def __init__(self, *, settings: settings.RouterSettings):
        self.store_clock = storeclock.StoreClock()
        self.store = store.Store(
            address=settings.store,
            clock=clock.Clock(),
            store_clock=self.store_clock,
        )

    async def read_rows(self) -> dict[str, ports.Row]:
        """Returns the system's own rows by key."""
        snapshot = await self.store.rows(store.OWN_TABLE)
        return {row.key: row for row in snapshot.rows}

    async def write_rows(
        self, values: dict[str, bytes], expected: dict[str, int]
    ) -> ports.Written | ports.Conflict:
        """Writes own rows if others have the expected revisions."""
        return await self.store.write(store.OWN_TABLE, values, expected)

    async def read_servers(self) -> ports.Listing:
        """Returns the directory's servers."""
        return directory.decode((await self.store.rows(directory.TABLE)).rows)

    async def read_terms(self) -> ports.TermsRead:
        """Reads the contracts."""
        snapshot = await self.store.rows(contracts.TABLE)
        document = problem = None
        for row in snapshot.rows:
            if row.key != contracts.KEY:
                continue
            try:
                document = contracts.decode(row)
            except ports.TermsError as error:
                problem = error
        return ports.TermsRead(
            document=document, problem=problem, seen=snapshot.revision
        )

    async def watch_terms(self, after: int, seconds: float) -> ports.Watched:
        """Waits until the contracts may have changed."""
        return await self.store.feed(contracts.TABLE, after, seconds)

    def orders(self, server: cluster.Server) -> ports.Orders:
        """Returns a new order channel to a server."""
        return leasechannel.Orders(server=server)

    def parse(self, request: messages.Request) -> ports.Call:
        """Reads a caller's request head."""
        return protocol.parse(request)

    def forward(
        self, request: messages.Request, server: cluster.Server, left: float
    ) -> messages.Headers:
        """Returns the headers to send to a server, without Host."""
        return protocol.forward(request, server, left)

    def belongs(self, id: str, headers: messages.Headers) -> bool:
        """Tells whether an answer's headers name this request."""
        return protocol.belongs(id, headers)

    def said(self, response: messages.Response) -> ports.Said:
        """Tells what a server's answer means."""
        return protocol.said(response)

    def answer(self, outcome: outcomes.Outcome) -> messages.Response:
        """Returns the response to a caller."""
        return protocol.answer(outcome)
