"""Splits data into fragments that fit into a datagram, and joins them."""

import zlib

from oleanderhoist.node import wire

FRAGMENT_BYTES = 1200
MAX_INCOMPLETE_PAYLOADS = 4  # Newer ones supersede the rest.


def split(data: bytes) -> list[bytes]:
    """Compresses data and splits it into fragments."""
    packed = zlib.compress(data, 1)
    return [
        packed[start : start + FRAGMENT_BYTES]
        for start in range(0, len(packed), FRAGMENT_BYTES)
    ]


class Reassembler:
    """Joins the fragments of several payloads.

    Payload ids increase: once a payload is complete, the fragments of
    earlier ones are dropped.
    """

    def __init__(self):
        self.fragments: dict[tuple[int, ...], dict[int, bytes]] = {}

    def add(
        self, payload_id: tuple[int, ...], index: int, count: int, data: bytes
    ) -> bytes | None:
        """Adds a fragment.

        Returns:
            The decompressed payload once it is complete, else None.

        Raises:
            wire.DecodeError: The fragments do not form a valid payload.
        """
        received = self.fragments.setdefault(payload_id, {})
        received[index] = data
        if len(received) < count:
            self.drop_oldest()
            return None
        self.fragments = {
            i: f for i, f in self.fragments.items() if i > payload_id
        }
        try:
            return zlib.decompress(b"".join(received[i] for i in range(count)))
        except (zlib.error, KeyError) as error:
            raise wire.DecodeError(str(error)) from error

    def drop_oldest(self) -> None:
        """Drops the oldest incomplete payloads."""
        while len(self.fragments) > MAX_INCOMPLETE_PAYLOADS:
            del self.fragments[min(self.fragments)]
