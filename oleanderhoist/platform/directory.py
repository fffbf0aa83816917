"""Decodes the rows that servers write into the store."""

import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.policy import cluster

TABLE = "servers"
MAX_NAME_LENGTH = 200  # As that of the store's keys.
MAX_BORN_MS = 2**53 - 1  # The largest that every JSON encoder keeps exact.

Name = Annotated[str, pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)]


class Entry(pydantic.BaseModel):
    """Value of a server's row; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(strict=True)

    service: Name
    address: str
    zone: Annotated[str, pydantic.Field(max_length=MAX_NAME_LENGTH)]
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    state: Literal["ready", "draining"]
    # Counts the writes of one incarnation; it has no other meaning.
    sequence: int
    # Start of the process, in Unix milliseconds.
    born: Annotated[int, pydantic.Field(ge=0, le=MAX_BORN_MS)] = 0

    @pydantic.field_validator("address")
    @classmethod
    def is_reachable(cls, text: str) -> str:
        """Checks that the address is an IP address with a port above 0."""
        parsed = client.Address.parse(text)
        ipaddress.ip_address(parsed.host)
        if not parsed.port:
            raise ValueError(f"{text!r} has no port")
        return text


def decode(rows: list[ports.Row]) -> ports.ServerListing:
    """Decodes all rows; skips invalid ones and lists them as rejected."""
    servers = {}
    rejected = {}
    for row in rows:
        try:
            entry = Entry.model_validate_json(row.value)
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
