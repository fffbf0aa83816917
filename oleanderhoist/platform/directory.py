"""Decodes the rows that servers write into the store."""

import ipaddress
import math
from typing import Annotated
from typing import Literal

import msgspec

from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.platform import documents
from oleanderhoist.policy import cluster

TABLE = "servers"
MAX_NAME_LENGTH = 200  # As that of the store's keys.
MAX_SHOWN_BYTES = 40  # Of a value that can't be read.
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
    # Decoded by itself: an odd value hides no server.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"0")

    def __post_init__(self):
        """Checks that the address is an IP address with a port above 0.

        Raises:
            ValueError: It is not.
        """
        parsed = client.Address.parse(self.address)
        ipaddress.ip_address(parsed.host)
        if not parsed.port:
            raise ValueError(f"{self.address!r} has no port")

    def cold_ms(self) -> float:
        """Returns for how long the server stays cold, in milliseconds.

        Raises:
            documents.DocumentError: The value is no time.
        """
        value = documents.decode(bytes(self.cold_remaining_ms), float)
        if not 0 <= value < math.inf:
            raise documents.DocumentError("not a time")
        return value


def decode(rows: list[ports.Row]) -> ports.ServerListing:
    """Decodes all rows; skips invalid ones and lists them as rejected.

    A server whose entry does not say in a valid way for how long it stays cold
    counts as cold.
    """
    servers = {}
    rejected = {}
    odd = {}
    for row in rows:
        try:
            entry = documents.decode(row.value, Entry)
        except documents.DocumentError as error:
            rejected[row.key] = str(error)
            continue
        try:
            cold = entry.cold_ms() > 0
        except documents.DocumentError:
            cold = True
            shown = bytes(entry.cold_remaining_ms)[:MAX_SHOWN_BYTES]
            odd[row.key] = shown.decode(errors="replace")
        servers[row.key] = cluster.Server(
            id=row.key,
            pool=entry.service,
            address=entry.address,
            data_center=entry.zone,
            slots=entry.slots,
            started_ms=entry.born,
            leaving=entry.state == "draining",
            cold=cold,
        )
    return ports.ServerListing(
        servers=servers, rejected=rejected, odd_cold_times=odd
    )
