"""Decodes the rows that servers write into the store."""

from typing import Annotated
from typing import Literal

import pydantic

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.policy import cluster

TABLE = "servers"


class Entry(pydantic.BaseModel):
    """Value of a server's row; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(strict=True)

    service: Annotated[str, pydantic.Field(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    state: Literal["ready", "draining"]
    # Counts the writes of one incarnation; it has no other meaning.
    sequence: int
    # Start of the process, in Unix milliseconds.
    born: int = 0


def decode(rows: list[ports.Row]) -> ports.ServerListing:
    """Decodes all rows; skips invalid ones and lists them as rejected."""
    servers = {}
    rejected = {}
    for row in rows:
        try:
            entry = Entry.model_validate_json(row.value)
            client.Address.parse(entry.address)
        except ValueError as error:
            rejected[row.key] = str(error).splitlines()[0]
            continue
        servers[row.key] = cluster.Server(
            id=row.key,
            pool=entry.service,
            address=entry.address,
            data_center=entry.zone,
            slots=entry.slots,
            started_ms=entry.born,
            leaving=entry.state == "draining",
        )
    return ports.ServerListing(servers=servers, rejected=rejected)
