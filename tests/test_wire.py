"""Codec of the messages between entries and placers."""

import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist.peers import conversion
from oleanderhoist.peers import wire
from oleanderhoist.policy import topology

FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
NAMES = strategies.text(min_size=1, max_size=5)


class WireTest(unittest.TestCase):
    """Messages survive a round trip; invalid bytes raise DecodeError."""

    @FIXED
    @hypothesis.given(NAMES, NAMES, strategies.floats(0, 1e9))
    def test_round_trip(self, entry, server, number):
        body = wire.Acquire(
            entry=entry,
            request=1,
            server=server,
            rank=1,
            worth=number,
            remaining_ms=number,
            expected_ms=1.0,
            started=False,
        )
        sent = wire.Envelope(sender=entry, body=body)
        self.assertEqual(sent, wire.decode(wire.encode(sent)))

    @FIXED
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_decoded_or_refused(self, data):
        try:
            wire.decode(data)
        except wire.DecodeError:
            pass

    @FIXED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(NAMES, strategies.integers(0, 1000)), min_size=1
        ),
        strategies.dictionaries(NAMES, NAMES, max_size=5),
    )
    def test_maps_survive_the_wire(self, ownerships, hot):
        partition_map = topology.PartitionMap(
            pool="p",
            partitions=[
                topology.Ownership(owner=o, fence=f) for o, f in ownerships
            ],
            isolated_keys={
                k: topology.Ownership(owner=o, fence=1) for k, o in hot.items()
            },
            assignment_versions={"s": 3},
        )
        self.assertEqual(
            partition_map,
            conversion.unpack_partition_map(
                conversion.pack_partition_map(partition_map)
            ),
        )
