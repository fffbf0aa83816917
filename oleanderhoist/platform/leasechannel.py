"""Grant and release calls to one server."""

import asyncio
import json

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.platform import headers
from oleanderhoist.policy import cluster

GRANT_PATH = "/grant"
RELEASE_PATH = "/release"
# Another server answers at the address, or one that takes no leases.
REPLACED_STATUSES = (400, 404, 421)
GRANT_TIMEOUT_SECONDS = 0.4
RELEASE_TIMEOUT_SECONDS = 2.5
MAX_ANSWER_BYTES = 16_384  # Answers need no body.


class LeaseChannel:
    """Lease channel to one server.

    Grants use a single connection: while it stays open, the server's process
    is the same. A release may take long and uses a connection of its own, on
    which no answer to an earlier release can arrive.
    """

    def __init__(self, *, server: cluster.Server):
        address = client.Address.parse(server.address)
        self.grant_client = client.Client(address=address)
        self.release_client = client.Client(address=address)
        self.lock = asyncio.Lock()
        self.expected_header = (headers.EXPECTED_SERVER, server.id.encode())

    async def connect(self, *, allow_new: bool) -> int:
        """Ensures that the connection for grants is open.

        Args:
            allow_new: Whether a new connection may be opened.

        Returns:
            A number that increases with each new connection.

        Raises:
            ports.OrderError: The server is unreachable, or there is no
                connection and none may be opened.
        """
        async with self.lock:
            try:
                return await self.grant_client.prepare(
                    GRANT_TIMEOUT_SECONDS, reuse_only=not allow_new
                )
            except exchanges.ExchangeError as error:
                raise ports.OrderError(str(error)) from error

    async def call(
        self, path: str, body: dict, timeout: float
    ) -> messages.Response:
        """Performs one call.

        Raises:
            ports.OrderError: There was no response, or a grant had no open
                connection.
        """
        try:
            is_grant = path == GRANT_PATH
            sender = self.grant_client if is_grant else self.release_client
            return await sender.request(
                "POST",
                path,
                timeout=timeout,
                reuse_only=is_grant,
                fresh=not is_grant,
                headers=[
                    (b"content-type", b"application/json"),
                    self.expected_header,
                ],
                body=json.dumps(body).encode(),
                body_limit=lambda response: MAX_ANSWER_BYTES,
            )
        except exchanges.ExchangeError as error:
            raise ports.OrderError(str(error)) from error

    async def grant(self, lease_grant: ports.LeaseGrant) -> bool:
        """Grants or renews a lease.

        Returns:
            False when the server has seen a higher fence.

        Raises:
            ports.OrderError: There was no valid response, or no connection.
        """
        body: dict[str, object] = {
            "from": lease_grant.start,
            "to": lease_grant.end,
            "fence": lease_grant.fence,
            "hold_ms": round(lease_grant.lease_seconds * 1000),
        }
        if lease_grant.handover:
            body["handover"] = lease_grant.handover
        async with self.lock:
            response = await self.call(GRANT_PATH, body, GRANT_TIMEOUT_SECONDS)
        if response.status not in (200, 409):
            raise unexpected_status("grant", response)
        return response.status == 200

    async def release(self, start: int, end: int, fence: int) -> str:
        """Revokes the lease on a range of keys; returns the handover token.

        Raises:
            ports.OrderError: There was no valid response.
        """
        body = {"from": start, "to": end, "fence": fence}
        response = await self.call(RELEASE_PATH, body, RELEASE_TIMEOUT_SECONDS)
        if response.status != 200:
            raise unexpected_status("release", response)
        return messages.find(response.headers, headers.HANDOVER_TOKEN) or ""

    def close(self) -> None:
        """Closes the connections."""
        self.grant_client.close()
        self.release_client.close()


def unexpected_status(
    call: str, response: messages.Response
) -> ports.OrderError:
    """Returns the error for a response with an unexpected status."""
    return ports.OrderError(
        f"{call} returned status {response.status}",
        server_replaced=response.status in REPLACED_STATUSES,
    )
