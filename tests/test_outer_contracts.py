"""Names in the contracts that routers send each other stay as they are.

As in `test_outer_names`, the literals are bytes of the code before.
"""

import unittest

import msgspec

from oleanderhoist import ports
from oleanderhoist.node import contractcodec
from oleanderhoist.node import fragments
from oleanderhoist.policy import contractset
from tests import test_outer_names

CONTRACTS = ports.VersionedContracts(
    contracts=contractset.build(
        version=1,
        works=[
            contractset.Work(
                name="w",
                host="h",
                prefix="/",
                rank=2,
                repeatable=True,
                objective=0.25,
                timeout=3.5,
                attempts=4,
                shares=(contractset.Share(pool="p", weight=5.5),),
            )
        ],
        pools=[
            contractset.Pool(
                name="p",
                keyed=True,
                connections=6,
                cold_rate=11.5,
                cold_seconds=12.5,
            )
        ],
        limits=contractset.MessageLimits(
            head_bytes=7, body_bytes=8, head_seconds=9.5, idle_seconds=10.5
        ),
    ),
    revision=11,
)
CONTRACT_BYTES = """
84a776657273696f6e01a5776f726b7381a1689189a46e616d65a177a4686f7374a168a6707265
666978a12fa472616e6b02aa72657065617461626c65c3a96f626a656374697665cb3fd0000000
000000a774696d656f7574cb400c000000000000a8617474656d70747304a67368617265739182
a4706f6f6ca170a6776569676874cb4016000000000000a5706f6f6c7381a17085a46e616d65a1
70a56b65796564c3ab636f6e6e656374696f6e7306a9636f6c645f72617465cb40270000000000
00ac636f6c645f7365636f6e6473cb4029000000000000a66c696d69747384aa686561645f6279
74657307aa626f64795f627974657308ac686561645f7365636f6e6473cb4023000000000000ac
69646c655f7365636f6e6473cb4025000000000000
"""
# Of versions whose pools say nothing of cold servers.
EARLIER_CONTRACT_BYTES = """
84a776657273696f6e01a5776f726b7381a1689189a46e616d65a177a4686f7374a168a6707265
666978a12fa472616e6b02aa72657065617461626c65c3a96f626a656374697665cb3fd0000000
000000a774696d656f7574cb400c000000000000a8617474656d70747304a67368617265739182
a4706f6f6ca170a6776569676874cb4016000000000000a5706f6f6c7381a17083a46e616d65a1
70a56b65796564c3ab636f6e6e656374696f6e7306a66c696d69747384aa686561645f62797465
7307aa626f64795f627974657308ac686561645f7365636f6e6473cb4023000000000000ac6964
6c655f7365636f6e6473cb4025000000000000
"""


class OuterContractsTest(unittest.TestCase):
    """What other versions read of contracts stays the same to the byte."""

    def test_contracts_are_encoded_as_before(self):
        (data,) = test_outer_names.unhex(CONTRACT_BYTES)
        (part,) = contractcodec.pack(CONTRACTS)
        reassembler = fragments.Reassembler()
        joined = reassembler.add((11,), part.index, part.count, part.data)
        self.assertEqual(data, joined)
        self.assertEqual(CONTRACTS, contractcodec.unpack(data, revision=11))

    def test_contracts_of_earlier_versions_are_read(self):
        (data,) = test_outer_names.unhex(EARLIER_CONTRACT_BYTES)
        decoded = contractcodec.unpack(data, revision=11).contracts
        pool = contractset.Pool(name="p", keyed=True, connections=6)
        self.assertEqual({"p": pool}, decoded.pools)
        self.assertEqual(CONTRACTS.contracts.works, decoded.works)

    def test_earlier_versions_ignore_later_fields_of_contracts(self):
        earlier = msgspec.defstruct(
            "Pool", [("name", str), ("keyed", bool), ("connections", int)]
        )
        pool = CONTRACTS.contracts.pools["p"]
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(pool), type=earlier
        )
        self.assertEqual(("p", 6), (decoded.name, decoded.connections))


if __name__ == "__main__":
    unittest.main()
