"""Decodes the rows that servers write into the store."""

import ipaddress
from typing import Annotated
from typing import Literal

import msgspec

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.platform import documents
from oleanderhoist.policy import cluster

TABLE = "servers"
MAX_NAME_LENGTH = 200  # As that of the store's keys.
MAX_BORN_MS = 2**53 - 1  # The largest that every JSON encoder keeps exact.

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class Entry(msgspec.Struct, kw_only=True):
    """Value of a server's row; unknown fields are ignored."""

    service: Name
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    state: Literal["ready", "draining"]
    # Counts the writes of one incarnation; it has no other meaning.
    sequence: int
    # Start of the process, in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = (
        cluster.UNKNOWN_START_MS
    )

    def __post_init__(self):
        """Checks that the address is an IP address with a port above 0.

        Raises:
            ValueError: It is not.
        """
        parsed = client.Address.parse(self.address)
        ipaddress.ip_address(parsed.host)
        if not parsed.port:
            raise ValueError(f"{self.address!r} has no port")


def decode(rows: list[ports.Row]) -> ports.ServerListing:
    """Decodes all rows; skips invalid ones and lists them as rejected."""
    servers = {}
    rejected = {}
    for row in rows:
        try:
            entry = documents.decode(row.value, Entry)
        except documents.DocumentError as error:
            rejected[row.key] = str(error)
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
