"""Grant and release calls to one server."""

import asyncio
import json

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.platform import headers
from oleanderhoist.policy import cluster

GRANT_PATH = "/grant"
RELEASE_PATH = "/release"
# A server that isn't the expected one, or takes no such orders.
REPLACED_STATUSES = (400, 404, 421)
GRANT_SECONDS = 0.4
RELEASE_SECONDS = 2.5


class LeaseChannel:
    """Orders to one server.

    Grants go over one connection: as long as it stands, the server's process
    is the same. A release may take long and has a connection of its own.
    """

    def __init__(self, *, server: cluster.Server):
        address = client.Address.parse(server.address)
        self.grants = client.Client(address=address)
        self.releases = client.Client(address=address)
        self.lock = asyncio.Lock()
        self.expected = (headers.EXPECTED_SERVER, server.id.encode())

    async def connect(self, *, allow_new: bool) -> int:
        """Makes sure that the connection for grants stands.

        Args:
            allow_new: Whether a new connection may be opened.

        Returns:
            A number that rises with each new connection.

        Raises:
            ports.OrderError: The server cannot be reached.
        """
        async with self.lock:
            try:
                return await self.grants.prepare(
                    GRANT_SECONDS, kept_only=not allow_new
                )
            except client.ExchangeError as error:
                raise ports.OrderError(str(error)) from error

    async def call(
        self, path: str, body: dict, timeout: float
    ) -> messages.Response:
        """Performs one call.

        Raises:
            ports.OrderError: No answer came.
        """
        try:
            grants = path == GRANT_PATH
            peer = self.grants if grants else self.releases
            return await peer.request(
                "POST",
                path,
                timeout=timeout,
                kept_only=grants,
                headers=[
                    (b"content-type", b"application/json"),
                    self.expected,
                ],
                body=json.dumps(body).encode(),
            )
        except client.ExchangeError as error:
            raise ports.OrderError(str(error)) from error

    async def grant(self, order: ports.LeaseGrant) -> bool:
        """Grants or renews; False when a higher fence was seen.

        Raises:
            ports.OrderError: There was no valid answer.
        """
        body: dict[str, object] = {
            "from": order.start,
            "to": order.end,
            "fence": order.fence,
            "hold_ms": round(order.lease_seconds * 1000),
        }
        if order.handover:
            body["handover"] = order.handover
        async with self.lock:
            response = await self.call(GRANT_PATH, body, GRANT_SECONDS)
        if response.status not in (200, 409):
            raise refusal("grant", response)
        return response.status == 200

    async def release(self, start: int, end: int, fence: int) -> str:
        """Takes keys back; returns the handover token.

        Raises:
            ports.OrderError: There was no valid answer.
        """
        body = {"from": start, "to": end, "fence": fence}
        response = await self.call(RELEASE_PATH, body, RELEASE_SECONDS)
        if response.status != 200:
            raise refusal("release", response)
        return messages.find(response.headers, headers.HANDOVER) or ""

    def close(self) -> None:
        """Closes the connections."""
        self.grants.drop_idle()
        self.releases.drop_idle()


def refusal(call: str, response: messages.Response) -> ports.OrderError:
    """Returns the error for an answer that is neither yes nor no."""
    return ports.OrderError(
        f"{call} answered {response.status}",
        server_replaced=response.status in REPLACED_STATUSES,
    )
