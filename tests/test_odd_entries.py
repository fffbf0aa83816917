"""Odd entries of another writer end nothing and hide no other entry."""

import json
import unittest

from oleanderhoist import ports
from oleanderhoist.clients import inventory
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.node import snapshots
from oleanderhoist.node import wire
from oleanderhoist.platform import directory
from oleanderhoist.platform import protocol
from oleanderhoist.platform import store
from oleanderhoist.policy import cluster
from oleanderhoist.policy import storeeras
from tests import scripted

GOOD = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 3,
    "state": "ready",
    "sequence": 4,
    "born": 1_760_000_000_000,
}
ODD_FIELDS = [
    {"born": 2**70},
    {"born": 2**64},
    {"born": -1},
    {"born": 1e400},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:\u00b2"},
    {"address": "host.example:80"},
    {"address": "10.0.0.1\u0000:80"},
    {"slots": 2**70},
    {"slots": 1e400},
    {"service": "s" * 1000},
    {"zone": "z" * 1000},
    {"sequence": 1e400},
]
ODD_VALUES = [
    b'{"a":' * 20_000,
    b"[" * 20_000 + b"]" * 20_000,
    json.dumps(GOOD).replace("[", "").encode()[:-1]
    + b',"extra":'
    + b"[" * 20_000
    + b"]" * 20_000
    + b"}",
    json.dumps(GOOD).replace("1760000000000", "9" * 5000).encode(),
]


def row(key: str, value: bytes) -> ports.Row:
    """Returns a row of the directory."""
    return ports.Row(
        key=key, value=value, revision=storeeras.Revision(number=1)
    )


class DirectoryEntryTest(unittest.TestCase):
    """Entries that name no server are skipped; the others hold."""

    def test_an_odd_entry_is_passed_on_to_the_leader(self):
        values = [json.dumps({**GOOD, **odd}).encode() for odd in ODD_FIELDS]
        rows = [row(f"odd-{n}", v) for n, v in enumerate(values + ODD_VALUES)]
        rows.append(row("good", json.dumps(GOOD).encode()))
        listing = directory.decode(rows)
        self.assertEqual(["good"], list(listing.servers))
        self.assertEqual(len(rows) - 1, len(listing.rejected))

    def test_an_entry_at_its_limits_cannot_be_published(self):
        entry = {**GOOD, "born": directory.MAX_BORN_MS, "slots": 100_000}
        rows = [row("good", json.dumps(entry).encode())]
        listed = directory.decode(rows).servers
        snapshot = cluster.Snapshot(servers=listed)
        self.assertTrue(snapshots.pack(snapshot))
        wire.encode(snapshots.difference(cluster.Snapshot(), snapshot))

    def test_a_row_with_an_endless_revision_hides_the_others(self):
        item = {"key": "k", "value": "", "revision": float("inf")}
        self.assertIsNone(store.to_row(item, 0))
        self.assertIsNone(store.to_row({**item, "revision": 2**70}, 0))


class RequestHeadTest(unittest.TestCase):
    """Numbers of callers that are none, or too large, are ignored."""

    def test_an_odd_number_fails_the_request(self):
        for text in (b"\xb2", b"9" * 5000, b"9" * 400, b"-1", b""):
            request = messages.Request(
                method="GET",
                target="/",
                headers=[(b"deadline-ms", text), (b"shard-key", text)],
                body=None,
            )
            head = protocol.parse_request(request)
            self.assertIsNone(head.remaining, text)
            self.assertIsNone(head.key, text)


class InventoryTest(unittest.IsolatedAsyncioTestCase):
    """One odd server of the inventory hides no other."""

    async def test_an_odd_server_hides_the_others(self):
        good = {
            "id": "s1",
            "pool": "p",
            "address": "10.0.0.1:80",
            "data_center": "z",
            "slots": 3,
            "connections": 4,
            "checks_sender": True,
            "keyed": True,
        }
        listed = [
            good,
            {**good, "id": "s2", "address": "10.0.0.1:0"},
            {**good, "id": "s3", "slots": 2**70},
            {"id": "s4"},
            5,
        ]
        body = json.dumps(listed).encode()
        peer = scripted.Peer(
            scripted.write_and_end(scripted.answer(body=body), reset=False)
        )
        await peer.start(self)
        address = client.Address.parse(peer.address)
        servers = await inventory.InventoryClient(address=address).servers()
        self.assertEqual(["s1"], [server.id for server in servers])


if __name__ == "__main__":
    unittest.main()
