"""Datagrams of earlier versions, which have fewer fields, and their bytes."""

from oleanderhoist.node import wire as datagrams

# The missing fields have their defaults.
EARLIER_DATAGRAMS = [
    (
        datagrams.MemberReport(
            data_center="a",
            cores=0.5,
            epoch=2,
            version=3,
            keys={"p": [4, 5]},
            service_ms={"s": 1.5},
            leaving=True,
            contracts_revision=6,
        ),
        "99a548656c6c6fa161cb3fe0000000000000020381a17092040581a173cb3ff800000000"
        "0000c306",
    ),
    (
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
        ),
        "9aa548656c6c6fa161cb3fe0000000000000020381a17092040581a173cb3ff800000000"
        "0000c3069192a17307",
    ),
    (
        datagrams.Heartbeat(
            epoch=1,
            version=2,
            contracts_revision=3,
            age_ms=4,
            record=5,
            resigned=True,
            evacuated=["z"],
            evacuated_revision=6,
        ),
        "99a4426561740102030405c391a17a06",
    ),
    (
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
        ),
        "9ba4426561740102030405c391a17a060708",
    ),
    (
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
        ),
        "9ba548656c6c6fa161cb3fe0000000000000020381a17092040581a173cb3ff800000000"
        "0000c3069192a1730708",
    ),
    (
        datagrams.Delta(
            base_epoch=1,
            base_version=2,
            epoch=3,
            version=4,
            members=[
                datagrams.MemberItem(address="m", data_center="a", cores=0.5)
            ],
            lost_members=[],
            servers=[],
            lost_servers=[],
            ranges={},
        ),
        "9aa544656c7461010203049193a16da161cb3fe000000000000090909080",
    ),
    (
        datagrams.ContractsFragment(revision=1, index=2, count=3, data=b"d"),
        "95a95465726d7350617274010203c40164",
    ),
    (datagrams.SlotGranted(id=1, server="s"), "93a4536c6f7401a173"),
    (
        datagrams.SlotGranted(id=1, server="s", service_ms=2, silent_ms=3),
        "95a4536c6f7401a1730203",
    ),
    (
        datagrams.Heartbeat(
            epoch=1,
            version=2,
            contracts_revision=3,
            age_ms=4,
            record=5,
            resigned=True,
        ),
        "97a4426561740102030405c3",
    ),
    (
        datagrams.Delta(
            base_epoch=1,
            base_version=2,
            epoch=3,
            version=4,
            members=[
                datagrams.MemberItem(address="m", data_center="a", cores=0.5)
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
                )
            ],
            lost_servers=["t"],
            ranges={"p": [(7, 8, "s")]},
        ),
        "9aa544656c7461010203049193a16da161cb3fe000000000000091a16e9197a173a170a3"
        "683a31a1610506c391a17481a17091930708a173",
    ),
    (
        datagrams.ReleaseSlot(
            queue="q", id=1, server="s", took_ms=2.5, failed=True
        ),
        "96a4446f6e65a17101a173cb4004000000000000c3",
    ),
    (
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
        ),
        "9aa341736ba17101020304a1610591a173c3",
    ),
    (
        datagrams.CancelAcquire(queue="q", id=1),
        "93a643616e63656ca17101",
    ),
]
