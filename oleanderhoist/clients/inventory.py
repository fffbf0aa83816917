"""Client of the inventory: the platform's list of servers.

It may be out of date, and other writers may have added entries to it.
"""

import pydantic

from oleanderhoist import events
from oleanderhoist import log
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

    @pydantic.field_validator("address")
    @classmethod
    def has_port(cls, text: str) -> str:
        """Checks that the address has a port above 0."""
        if not client.Address.parse(text).port:
            raise ValueError(f"{text!r} has no port")
        return text


_ITEMS = pydantic.TypeAdapter(list[object])


class InventoryClient:
    """Reads the inventory."""

    def __init__(self, *, address: client.Address):
        self.client = client.Client(address=address)

    async def servers(self) -> list[topology.Server]:
        """Returns the listed servers; skips entries that are none.

        Raises:
            InventoryError: The list could not be read.
        """
        try:
            response = await self.client.request(
                "GET", "/servers", timeout=TIMEOUT_SECONDS
            )
            items = _ITEMS.validate_json(response.body)
        except (exchanges.ExchangeError, pydantic.ValidationError) as error:
            raise InventoryError(str(error)) from error
        listed = [parse_item(item) for item in items]
        return [to_server(item) for item in listed if item is not None]


def parse_item(item: object) -> ListedServer | None:
    """Returns one entry; logs one that names no server and returns None."""
    try:
        return ListedServer.model_validate(item)
    except pydantic.ValidationError as error:
        log.write_limited(
            events.INVENTORY_ENTRY_REJECTED,
            reason=str(error).splitlines()[0],
        )
        return None


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
