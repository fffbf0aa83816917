"""Cost per unit for docs/CAPACITY.md: bytes, processor time, table operations.

The printed keys keep the names under which the results are recorded: a "view"
is a snapshot of the cluster state, a "home" a coordinator and "lend" a
delegation of lease renewal.
"""

import asyncio
import json
import os
import pathlib
import statistics
import time
import tracemalloc

import click

from bench import demo
from oleanderhoist.entry import snapshots
from oleanderhoist.peers import conversion
from oleanderhoist.peers import wire
from oleanderhoist.policy import hashing
from oleanderhoist.policy import topology
from standins import fleet

IDLE_SECONDS = 10.0
LOAD_RATE_PER_SECOND = 150.0
LOAD_SECONDS = 10.0
SETTLE_SECONDS = 1.0
TARGET_ENTRIES = 690
TARGET_SERVERS = 2000
TARGET_PARTITIONS = 4096
TIMED_BATCHES = 5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def make_snapshot(entries: int, servers: int, partitions: int) -> wire.Snapshot:
    """Returns a snapshot of the cluster state of the given size."""
    listed = [
        topology.Server(
            id=f"phase-tables-{n}",
            pool="phase-tables",
            address=f"10.0.{n // 250}.{n % 250}:8080",
            data_center=f"dc{n % 7}",
            slots=3,
            connections=300,
            checks_sender=True,
            keyed=True,
        )
        for n in range(servers)
    ]
    partition_map = topology.PartitionMap(
        pool="phase-tables",
        partitions=[
            topology.Ownership(owner=listed[n % servers].id, fence=n % 1000)
            for n in range(partitions)
        ],
        assignment_versions={server.id: 17 for server in listed},
    )
    live = [
        topology.Entry(
            id=f"entry-{n}",
            address=f"10.1.{n // 250}.{n % 250}:7000",
            data_center=f"dc{n % 7}",
        )
        for n in range(entries)
    ]
    return wire.Snapshot(
        epoch=3,
        revision=9,
        entries=[conversion.pack_entry(entry) for entry in live],
        servers=[conversion.pack_server(server) for server in listed],
        partition_maps=[conversion.pack_partition_map(partition_map)],
        contracts={"guild": 1},
        contracts_revision=5,
    )


def wire_bytes(message: wire.Message) -> int:
    """Returns the encoded size of a message in its envelope."""
    envelope = wire.Envelope(sender="10.1.0.1:7000", body=message)
    return len(wire.encode(envelope))


def median_microseconds(call, batch_size: int = 2000) -> float:
    """Returns a call's mean time in the median batch, in microseconds."""
    times = []
    for _ in range(TIMED_BATCHES):
        began = time.perf_counter()
        for _ in range(batch_size):
            call()
        times.append((time.perf_counter() - began) / batch_size)
    return round(statistics.median(times) * 1e6, 2)


def snapshot_slopes() -> dict:
    """Returns bytes per entry, server and partition of a snapshot.

    Also measures memory and build time of a snapshot at the target size.
    """
    small = make_snapshot(10, 50, 256)
    variants = {
        "entry": make_snapshot(110, 50, 256),
        "server": make_snapshot(10, 150, 256),
        "partition": make_snapshot(10, 50, 1256),
    }
    added_counts = {"entry": 100, "server": 100, "partition": 1000}
    slopes = {"view_bytes_small": wire_bytes(small)}
    for name, large in variants.items():
        added_bytes = wire_bytes(large) - wire_bytes(small)
        slopes[f"view_bytes_per_{name}"] = round(
            added_bytes / added_counts[name], 2
        )
    large = make_snapshot(TARGET_ENTRIES, TARGET_SERVERS, TARGET_PARTITIONS)
    began = time.perf_counter()
    tracemalloc.start()
    built = snapshots.build(large)
    slopes["view_target_memory_mb"] = round(
        tracemalloc.get_traced_memory()[0] / 1e6, 2
    )
    tracemalloc.stop()
    began = time.perf_counter()
    built = snapshots.build(large)
    slopes["view_target_build_ms"] = round(
        (time.perf_counter() - began) * 1000, 1
    )
    slopes["view_target_bytes"] = wire_bytes(large)
    slopes["view_target_homes"] = len(built.coordinators)
    return slopes


def message_slopes() -> dict:
    """Returns sizes and encoding times of the periodic messages."""
    delegation = wire.Delegation(
        epoch=3,
        sequence=10_000,
        revision=9,
        contracts_revision=5,
        sent_at=1.7e9,
        expires_at=1.7e9,
    )
    report = wire.ServerReport(
        server="phase-tables-10",
        state="up",
        acked_epoch=3,
        acked_version=17,
        sent={17: 1.7e9},
    )

    def status(count: int) -> wire.Status:
        return wire.Status(
            entry="entry-10",
            epoch=3,
            sequence=10_000,
            revision=9,
            contracts_revision=5,
            confirmed=True,
            lag_ms=0.1,
            servers=[report] * count,
            demands={"guild/orders": 10.0},
            hot={},
        )

    envelope = wire.Envelope(sender="10.1.0.1:7000", body=status(3))
    data = wire.encode(envelope)
    partition_map = conversion.unpack_partition_map(
        make_snapshot(1, 15, 256).partition_maps[0]
    )
    return {
        "lend_bytes": wire_bytes(delegation),
        "status_bytes": wire_bytes(status(0)),
        "status_bytes_per_server": wire_bytes(status(1))
        - wire_bytes(status(0)),
        "status_encode_us": median_microseconds(lambda: wire.encode(envelope)),
        "status_decode_us": median_microseconds(lambda: wire.decode(data)),
        "locate_key_us": median_microseconds(
            lambda: partition_map.locate("k17")
        ),
        "home_pick_us_per_entry": median_microseconds(
            lambda: hashing.digest("server-1|entry-1")
        ),
    }


def processor_seconds(process: fleet.Process) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.handle.pid}/stat").read_text()
    parts = fields.rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / TICKS_PER_SECOND


def resident_mb(process: fleet.Process) -> float:
    """Returns a process's resident memory in megabytes."""
    text = pathlib.Path(f"/proc/{process.handle.pid}/statm").read_text()
    pages = int(text.split()[1])
    return round(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)


async def table_operations(system: fleet.Fleet) -> dict:
    """Returns the table's operation counts so far."""
    response = await system.call("table", "GET", "/counts")
    return json.loads(response.body)


async def fleet_slopes(entries: int) -> dict:
    """Returns what entries and placers use when idle and under load."""
    system = fleet.Fleet(pools=demo.POOLS, entries=entries)
    try:
        await system.start()
        await demo.apply_contracts(system)
        await asyncio.sleep(SETTLE_SECONDS)
        names = system.named("entry-") + system.named("placer-")
        before = {n: processor_seconds(system.processes[n]) for n in names}
        table_before = await table_operations(system)
        await asyncio.sleep(IDLE_SECONDS)
        table_after = await table_operations(system)
        idle = {
            n: (processor_seconds(system.processes[n]) - before[n])
            / IDLE_SECONDS
            for n in names
        }
        status = await system.status()
        leader = status["leader"]["id"]
        before = {n: processor_seconds(system.processes[n]) for n in names}
        requests = int(LOAD_RATE_PER_SECOND * LOAD_SECONDS)
        answers = await demo.send_load(
            system, requests, LOAD_RATE_PER_SECOND, ""
        )
        loaded = {
            n: (processor_seconds(system.processes[n]) - before[n])
            / LOAD_SECONDS
            for n in names
        }
        memory = {n: resident_mb(system.processes[n]) for n in names}
    finally:
        await system.stop()
    entry_names = [n for n in names if n.startswith("entry-")]
    idle_entries = sum(idle[n] for n in entry_names)
    loaded_entries = sum(loaded[n] for n in entry_names)
    followers = [n for n in names if n.startswith("placer-") and n != leader]
    return {
        "entries": entries,
        "servers": len(system.servers),
        "idle_core_per_entry": round(idle_entries / entries, 4),
        "idle_core_per_server": round(idle_entries / len(system.servers), 5),
        "idle_core_leader": round(idle[leader], 4),
        "idle_core_follower": round(
            sum(idle[n] for n in followers) / len(followers), 4
        ),
        "table_reads_per_s": round(
            (table_after["reads"] - table_before["reads"]) / IDLE_SECONDS, 1
        ),
        "table_writes_per_s": round(
            (table_after["writes"] - table_before["writes"]) / IDLE_SECONDS, 1
        ),
        "entry_us_per_request": round(
            (loaded_entries - idle_entries) * LOAD_SECONDS / len(answers) * 1e6
        ),
        "entry_mb": max(memory[n] for n in entry_names),
        "leader_mb": memory[leader],
    }


@click.command()
@click.option("--entries", multiple=True, default=[3, 6], type=int)
def main(entries: tuple[int, ...]) -> None:
    """Measures costs per unit and prints one JSON line for each group."""
    click.echo(json.dumps({"view": snapshot_slopes()}))
    click.echo(json.dumps({"messages": message_slopes()}))
    for count in entries:
        click.echo(json.dumps({"fleet": asyncio.run(fleet_slopes(count))}))


if __name__ == "__main__":
    main()
