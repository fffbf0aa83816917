"""Names that leave the process do not follow the names in the code.

Routers, entries and placers of two versions run side by side during an
update. A class or field that is renamed must therefore give the same bytes as
before; the literals are bytes of the code before the names changed.
"""

import unittest

import msgspec

from oleanderhoist.node import datagrams as datagram_endpoint
from oleanderhoist.node import leaderstore
from oleanderhoist.node import wire as datagrams
from oleanderhoist.peers import wire as messages
from oleanderhoist.policy import slotrequests
from tests import earlier_datagrams

DATAGRAMS = [
    datagrams.MemberReport(
        data_center="a",
        cores=0.5,
        epoch=2,
        version=3,
        keys={"p": [4, 5]},
        service_ms={"s": 1.5},
        leaving=True,
        contracts_revision=6,
        departed=[("s", 7)],
        contracts_version=8,
        coordination=9,
    ),
    datagrams.Heartbeat(
        epoch=1,
        version=2,
        contracts_revision=3,
        age_ms=4,
        record=5,
        resigned=True,
        evacuated=["z"],
        evacuated_revision=6,
        contracts_version=7,
        evacuated_era=8,
        known_ms=9,
        known_era=10,
    ),
    datagrams.SnapshotFragment(epoch=1, version=2, index=3, count=4, data=b"d"),
    datagrams.ContractsFragment(
        revision=1, index=2, count=3, data=b"d", version=4
    ),
    datagrams.Delta(
        base_epoch=1,
        base_version=2,
        epoch=3,
        version=4,
        members=[
            datagrams.MemberItem(
                address="m", data_center="a", cores=0.5, coordination=1
            )
        ],
        lost_members=["n"],
        servers=[
            datagrams.ServerItem(
                id="s",
                pool="p",
                address="h:1",
                data_center="a",
                slots=5,
                started_ms=6,
                leaving=True,
                cold=True,
            )
        ],
        lost_servers=["t"],
        ranges={"p": [(7, 8, "s")]},
    ),
    datagrams.AcquireSlot(
        queue="q",
        id=1,
        rank=2,
        remaining_ms=3,
        objective_ms=4,
        data_center="a",
        body_bytes=5,
        excluded=["s"],
        retransmitted=True,
        ended=[6],
        kind="k",
        age_ms=7,
    ),
    datagrams.SlotQueued(id=1, wait_ms=2),
    datagrams.SlotGranted(
        id=1, server="s", service_ms=2, silent_ms=3, queue="q"
    ),
    datagrams.SlotRefused(id=1, retry_ms=2, wait_ms=3),
    datagrams.ReleaseSlot(
        queue="q",
        id=1,
        server="s",
        took_ms=2.5,
        failed=True,
        load=(1, 2, 3, 150),
        unanswered=True,
    ),
    datagrams.CancelAcquire(queue="q", id=1, started="s"),
    datagrams.ServerLimit(queue="q", server="s", started_ms=1, per_second=2.5),
    datagrams.ServerLeaving(server="s", started_ms=1),
    datagrams.ServerSilent(queue="q", server="s"),
]
DATAGRAM_BYTES = """
9ca548656c6c6fa161cb3fe0000000000000020381a17092040581a173cb3ff8000000000000c3
069192a173070809

9da4426561740102030405c391a17a060708090a

96a45061727401020304c40164

96a95465726d7350617274010203c4016404

9aa544656c7461010203049194a16da161cb3fe00000000000000191a16e9198a173a170a3683a31
a1610506c3c391a17481a17091930708a173

9da341736ba17101020304a1610591a173c39106a16b07

93a757616974696e670102

96a4536c6f7401a1730203a171

94a75265667573616c010203

98a4446f6e65a17101a173cb4004000000000000c394010203cc96c3

94a643616e63656ca17101a173

95a54c696d6974a171a17301cb4004000000000000

93a74c656176696e67a17301

93a653696c656e74a171a173
"""
MESSAGES = [
    messages.Hello(
        entry="e",
        incarnation=1,
        address="h:1",
        data_center="a",
        epoch=2,
        revision=3,
    ),
    messages.Goodbye(entry="e", incarnation=1),
    messages.Snapshot(
        epoch=1,
        revision=2,
        entries=[messages.EntryItem(id="e", address="h:1", data_center="a")],
        servers=[
            messages.ServerItem(
                id="s",
                pool="p",
                address="h:2",
                data_center="b",
                slots=3,
                connections=4,
                checks_sender=True,
                keyed=False,
                state="up",
            )
        ],
        partition_maps=[
            messages.PartitionMapItem(
                pool="p",
                owners=["s"],
                partitions=[(0, 5)],
                isolated_keys={"k": (0, 6)},
                assignment_versions={"s": 7},
            )
        ],
        contracts={"c": 8},
        contracts_revision=9,
    ),
    messages.Delegation(
        epoch=1,
        sequence=2,
        revision=3,
        contracts_revision=4,
        sent_at=5.5,
        expires_at=6.5,
    ),
    messages.Status(
        entry="e",
        epoch=1,
        sequence=2,
        revision=3,
        contracts_revision=4,
        confirmed=True,
        lag_ms=5.5,
        servers=[
            messages.ServerReport(
                server="s",
                state="up",
                acked_epoch=6,
                acked_version=7,
                sent={8: 9.5},
            )
        ],
        demands={"c": 10.5},
        hot={"p": {"k": 11.5}},
        incarnation=12,
    ),
    messages.RateAllocation(epoch=1, window=2, rates={"c": 3.5}),
    messages.Acquire(
        entry="e",
        request=1,
        server="s",
        rank=2,
        worth=3.5,
        remaining_ms=4.5,
        expected_ms=5.5,
        started=True,
    ),
    messages.SlotReply(request=1, server="s", state="busy", code=2, depth=3),
    messages.Release(entry="e", request=1, server="s", took_ms=2.5),
    messages.ExtensionRequest(placer="p", epoch=1, until=2.5),
    messages.ExtensionPromise(placer="p", epoch=1, until=2.5, granted=True),
    messages.FenceEpochs(placer="p", epoch=1),
    messages.EpochsFenced(placer="p", epoch=1, until=2.5),
]
MESSAGE_BYTES = """
92a17897a548656c6c6fa16501a3683a31a1610203

92a17893a7476f6f64627965a16501

92a17898a45669657701029193a165a3683a31a1619199a173a170a3683a32a1620304c3c2a275
709195a17091a1739192000581a16b92000681a1730781a1630809

92a17897a44c656e6401020304cb4016000000000000cb401a000000000000

92a1789ca6537461747573a16501020304c3cb40160000000000009195a173a2757006078108cb
402300000000000081a163cb402500000000000081a17081a16bcb40270000000000000c

92a17894a6536861726573010281a163cb400c000000000000

92a17899a741637175697265a16501a17302cb400c000000000000cb4012000000000000cb4016
000000000000c3

92a17896a65065726d697401a173a4627573790203

92a17895a752656c65617365a16501a173cb4004000000000000

92a17894ab486f6c6452657175657374a17001cb4004000000000000

92a17895ab486f6c6450726f6d697365a17001cb4004000000000000c3

92a17893a95374616e64446f776ea17001

92a17894a953746f6f64446f776ea17001cb4004000000000000
"""
EARLIER_STATUS = """
92a1789ba6537461747573a16501020304c3cb40160000000000009195a173a2757006078108cb
402300000000000081a163cb402500000000000081a17081a16bcb4027000000000000
"""


def unhex(lines: str) -> list[bytes]:
    """Returns the bytes of hexadecimal paragraphs."""
    return [bytes.fromhex(text) for text in lines.split("\n\n")]


class OuterNamesTest(unittest.TestCase):
    """What other versions read stays the same to the byte."""

    def test_datagrams_are_encoded_as_before(self):
        expected = unhex(DATAGRAM_BYTES)
        for message, data in zip(DATAGRAMS, expected, strict=True):
            self.assertEqual(data, datagrams.encode(message))
            self.assertEqual(message, datagrams.decode(data))

    def test_datagrams_of_earlier_versions_are_read(self):
        for message, data in earlier_datagrams.EARLIER_DATAGRAMS:
            self.assertEqual(message, datagrams.decode(bytes.fromhex(data)))

    def test_earlier_versions_ignore_later_fields(self):
        message = datagrams.SlotGranted(
            id=1, server="s", service_ms=2, silent_ms=3
        )
        earlier = msgspec.defstruct(
            "SlotGranted",
            [("id", int), ("server", str)],
            tag="Slot",
            array_like=True,
        )
        decoded = msgspec.msgpack.decode(
            datagrams.encode(message), type=earlier
        )
        self.assertEqual((1, "s"), (decoded.id, decoded.server))

    def test_earlier_versions_ignore_which_servers_a_report_names(self):
        fields = datagrams.MemberReport.__annotations__
        earlier = msgspec.defstruct(
            "MemberReport",
            [
                item
                for item in fields.items()
                if item[0]
                not in ("departed", "contracts_version", "coordination")
            ],
            tag="Hello",
            array_like=True,
        )
        decoded = msgspec.msgpack.decode(
            datagrams.encode(DATAGRAMS[0]), type=earlier
        )
        self.assertEqual(
            ("a", True, 6),
            (decoded.data_center, decoded.leaving, decoded.contracts_revision),
        )

    def test_an_unknown_datagram_is_malformed_and_ends_nothing(self):
        unknown = msgspec.defstruct(
            "Later", [("server", str)], tag="Later", array_like=True
        )
        endpoint = datagram_endpoint.DatagramEndpoint(host="h", port=1)
        data = msgspec.msgpack.encode(unknown(server="s"))
        with self.assertRaises(datagrams.DecodeError):
            datagrams.decode(data)
        endpoint.datagram_received(data, ("10.0.0.1", 1))

    def test_messages_of_entries_and_placers_are_encoded_as_before(self):
        expected = unhex(MESSAGE_BYTES)
        for message, data in zip(MESSAGES, expected, strict=True):
            envelope = messages.Envelope(sender="x", body=message)
            self.assertEqual(data, messages.encode(envelope))
            self.assertEqual(envelope, messages.decode(data))

    def test_messages_of_earlier_versions_are_read(self):
        data = bytes.fromhex(EARLIER_STATUS.replace("\n", ""))
        status = messages.decode(data).body
        self.assertEqual(("e", 0), (status.entry, status.incarnation))

    def test_every_message_is_checked(self):
        for module, checked in ((datagrams, DATAGRAMS), (messages, MESSAGES)):
            self.assertEqual(
                set(module.AnyMessage.__args__), {type(m) for m in checked}
            )

    def test_the_leadership_record_is_stored_as_before(self):
        record = leaderstore.LeadershipRecord(
            epoch=1, address="h:1", beat=2, lapse_ms=3
        )
        self.assertEqual(
            b'{"epoch":1,"address":"h:1","beat":2,"lapse_ms":3}',
            leaderstore.encode_leadership(record),
        )

    def test_earlier_versions_ignore_later_fields_of_other_datagrams(self):
        later = {
            datagrams.MemberReport: ["contracts_version", "coordination"],
            datagrams.Heartbeat: [
                "evacuated",
                "evacuated_revision",
                "contracts_version",
                "evacuated_era",
                "known_ms",
                "known_era",
            ],
            datagrams.ContractsFragment: ["version"],
            datagrams.ReleaseSlot: ["load", "unanswered"],
            datagrams.AcquireSlot: ["ended", "kind", "age_ms"],
            datagrams.CancelAcquire: ["started"],
        }
        for message in DATAGRAMS:
            names = later.get(type(message), [])
            fields = type(message).__annotations__
            earlier = msgspec.defstruct(
                "Earlier",
                [item for item in fields.items() if item[0] not in names],
                tag=type(message).__struct_config__.tag,
                array_like=True,
            )
            decoded = msgspec.msgpack.decode(
                datagrams.encode(message), type=earlier
            )
            for name in earlier.__struct_fields__:
                self.assertEqual(getattr(message, name), getattr(decoded, name))

    def test_verdicts_keep_their_label_values(self):
        self.assertEqual("Granted", slotrequests.Granted.__name__)
        self.assertEqual("Refused", slotrequests.Refused.__name__)


if __name__ == "__main__":
    unittest.main()
