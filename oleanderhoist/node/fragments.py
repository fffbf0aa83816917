"""Cuts what is too large for a datagram into parts, and joins them again."""

import zlib

from oleanderhoist.node import wire

FRAGMENT_BYTES = 1200
MAX_UNFINISHED = 4  # Older ones are superseded by what is being sent now.


def split(data: bytes) -> list[bytes]:
    """Returns compressed data in pieces that each fit into a datagram."""
    packed = zlib.compress(data, 1)
    return [
        packed[start : start + FRAGMENT_BYTES]
        for start in range(0, len(packed), FRAGMENT_BYTES)
    ]


class Reassembler:
    """Joins parts of several documents, each known by its name.

    Names rise: once a document is whole, the parts of earlier ones are dropped.
    """

    def __init__(self):
        self.parts: dict[tuple[int, ...], dict[int, bytes]] = {}

    def add(
        self, name: tuple[int, ...], index: int, count: int, data: bytes
    ) -> bytes | None:
        """Takes a part.

        Returns:
            The whole data once every part is there, else None.

        Raises:
            wire.DecodeError: The parts do not fit together.
        """
        found = self.parts.setdefault(name, {})
        found[index] = data
        if len(found) < count:
            self.trim()
            return None
        self.parts = {n: p for n, p in self.parts.items() if n > name}
        try:
            return zlib.decompress(b"".join(found[i] for i in range(count)))
        except (zlib.error, KeyError) as error:
            raise wire.DecodeError(str(error)) from error

    def trim(self) -> None:
        """Drops the oldest unfinished documents."""
        while len(self.parts) > MAX_UNFINISHED:
            del self.parts[min(self.parts)]
