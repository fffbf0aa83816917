"""Codec of contracts on their way from the leader to its members."""

import msgspec

from oleanderhoist import ports
from oleanderhoist.node import fragments
from oleanderhoist.node import wire
from oleanderhoist.policy import contractset

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(contractset.Terms)


def pack(document: ports.Document) -> list[wire.TermsPart]:
    """Encodes contracts as parts that each fit into a datagram."""
    pieces = fragments.split(_ENCODER.encode(document.terms))
    return [
        wire.TermsPart(
            revision=document.revision,
            index=index,
            count=len(pieces),
            data=piece,
        )
        for index, piece in enumerate(pieces)
    ]


def unpack(data: bytes, *, revision: int) -> ports.Document:
    """Decodes contracts.

    Raises:
        wire.DecodeError: They are malformed.
    """
    try:
        decoded = _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise wire.DecodeError(str(error)) from error
    return ports.Document(terms=decoded, revision=revision)
