"""Codec of contracts that the leader sends to its members."""

import msgspec

from oleanderhoist import ports
from oleanderhoist.node import fragments
from oleanderhoist.node import wire
from oleanderhoist.policy import contractset

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(contractset.ContractSet)


def pack(versioned: ports.VersionedContracts) -> list[wire.ContractsFragment]:
    """Encodes contracts as fragments."""
    pieces = fragments.split(_ENCODER.encode(versioned.contracts))
    return [
        wire.ContractsFragment(
            revision=versioned.revision,
            index=index,
            count=len(pieces),
            data=piece,
            version=versioned.contracts.version,
        )
        for index, piece in enumerate(pieces)
    ]


def unpack(data: bytes, *, revision: int) -> ports.VersionedContracts:
    """Decodes contracts.

    Raises:
        wire.DecodeError: They are malformed.
    """
    try:
        decoded = _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise wire.DecodeError(str(error)) from error
    return ports.VersionedContracts(contracts=decoded, revision=revision)
