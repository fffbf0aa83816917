"""Client of the inventory: the platform's list of servers.

It may be out of date.
"""

import pydantic

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.policy import topology

TIMEOUT_SECONDS = 1.0


class InventoryError(Exception):
    """The inventory could not be read."""


class ListedServer(pydantic.BaseModel):
    """One server of the inventory."""

    id: str
    pool: str
    address: str
    data_center: str
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(ge=1, le=1_000_000)
    checks_sender: bool
    keyed: bool
    leaving: bool = False


_SERVER_LIST = pydantic.TypeAdapter(list[ListedServer])


class InventoryClient:
    """Reads the inventory."""

    def __init__(self, *, address: client.Address):
        self.client = client.Client(address=address)

    async def servers(self) -> list[topology.Server]:
        """Returns the listed servers.

        Raises:
            InventoryError: The list could not be read or is malformed.
        """
        try:
            response = await self.client.request(
                "GET", "/servers", timeout=TIMEOUT_SECONDS
            )
            listed = _SERVER_LIST.validate_json(response.body)
        except (exchanges.ExchangeError, pydantic.ValidationError) as error:
            raise InventoryError(str(error)) from error
        return [to_server(item) for item in listed]


def to_server(item: ListedServer) -> topology.Server:
    """Converts a validated item to a server."""
    state = topology.ServerState.UP
    if item.leaving:
        state = topology.ServerState.LEAVING
    return topology.Server(
        id=item.id,
        pool=item.pool,
        address=item.address,
        data_center=item.data_center,
        slots=item.slots,
        connections=item.connections,
        checks_sender=item.checks_sender,
        keyed=item.keyed,
        state=state,
    )
