"""Records of the servers, and checks of callers' results against them.

A record is a file of JSON lines that outlives its server. The checks rely on
the records alone, never on logs of the system under test.
"""

import collections
import dataclasses
import json
import pathlib
import time

from standins import caller

DRAIN_GRACE_SECONDS = 2.0


class Recorder:
    """Writes the record of one server.

    Args:
        server: Id of the server.
        folder: Directory of the records; empty disables recording.
    """

    def __init__(self, *, server: str, folder: str):
        self.file = None
        if folder:
            path = pathlib.Path(folder) / f"{server}.record"
            self.file = path.open("a", buffering=1)

    def write(self, line: dict) -> None:
        """Writes one line."""
        if self.file is not None:
            self.file.write(json.dumps({"at": time.time(), **line}) + "\n")

    def assigned(
        self, fences: dict[str, int], excluded: list[str], until: float
    ) -> None:
        """Records an assignment that was applied."""
        self.write(
            {
                "kind": "assigned",
                "fences": fences,
                "excluded": list(excluded),
                "until": until,
            }
        )

    def renewed(self, until: float) -> None:
        """Records a lease renewal that was applied."""
        self.write({"kind": "renewed", "until": until})

    def ran(self, nonce: str, path: str, partition: str) -> None:
        """Records that a request took effect."""
        self.write(
            {"kind": "ran", "nonce": nonce, "path": path, "part": partition}
        )

    def received(self, path: str) -> None:
        """Records that a request arrived."""
        self.write({"kind": "received", "path": path})

    def draining(self) -> None:
        """Records that the server began to drain."""
        self.write({"kind": "draining"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnershipSpan:
    """Time span in which a server owned a partition.

    Attributes:
        server: Id of the server.
        partition: Name of the partition.
        fence: Fence of the ownership.
        since: Start, in wall-clock seconds.
        until: End, in wall-clock seconds.
    """

    server: str
    partition: str
    fence: int
    since: float
    until: float


def read(folder: str) -> dict[str, list[dict]]:
    """Returns the complete lines of each server's record."""
    records = {}
    for path in sorted(pathlib.Path(folder).glob("*.record")):
        lines = path.read_text().splitlines(keepends=True)
        records[path.stem] = [
            json.loads(line) for line in lines if line.endswith("\n")
        ]
    return records


def ownership_spans(server: str, lines: list[dict]) -> list[OwnershipSpan]:
    """Returns the time spans in which a server owned partitions."""
    open_spans: dict[str, tuple[int, float]] = {}
    spans = []
    until = 0.0

    def end_span(name: str, at: float) -> None:
        fence, since = open_spans.pop(name)
        spans.append(
            OwnershipSpan(
                server=server,
                partition=name,
                fence=fence,
                since=since,
                until=min(until, at),
            )
        )

    fences: dict[str, int] = {}
    for line in lines:
        if line["kind"] not in ("assigned", "renewed"):
            continue
        at = line["at"]
        fences = line.get("fences", fences)
        for name in list(open_spans):
            if fences.get(name) != open_spans[name][0] or until < at:
                end_span(name, at)
        until = line["until"]
        for name, fence in fences.items():
            open_spans.setdefault(name, (fence, at))
    for name in list(open_spans):
        end_span(name, float("inf"))
    return spans


def check_owners(records: dict[str, list[dict]]) -> list[str]:
    """Returns a problem for each overlap of two owners of a partition.

    Partition names are unique within a pool only, so servers are grouped by
    pool.
    """
    groups: dict[tuple[str, str], list[OwnershipSpan]] = (
        collections.defaultdict(list)
    )
    for server, lines in records.items():
        pool = server.rpartition("-")[0]
        for span in ownership_spans(server, lines):
            groups[(pool, span.partition)].append(span)
    problems = []
    for (pool, partition), spans in groups.items():
        spans.sort(key=lambda span: span.since)
        for earlier, later in zip(spans, spans[1:], strict=False):
            if later.since < earlier.until and earlier.server != later.server:
                problems.append(
                    f"{pool} partition {partition}: {earlier.server} until "
                    f"{earlier.until:.3f}, {later.server} since "
                    f"{later.since:.3f}"
                )
    return problems


def check_drains(records: dict[str, list[dict]]) -> list[str]:
    """Returns a problem for each request that reached a drained server.

    Requests within DRAIN_GRACE_SECONDS of the start of the drain are allowed.
    """
    problems = []
    for server, lines in records.items():
        since = None
        for line in lines:
            if line["kind"] == "draining" and since is None:
                since = line["at"]
            late = (
                since is not None and line["at"] > since + DRAIN_GRACE_SECONDS
            )
            if late and line["kind"] == "received":
                delay = line["at"] - since
                problems.append(
                    f"{server}: request {delay:.3f} s after its drain"
                )
    return problems


def check_answers(
    records: dict[str, list[dict]], results: list[caller.Result]
) -> list[str]:
    """Returns a problem for each result that contradicts the records."""
    run_counts = collections.Counter(
        line["nonce"]
        for lines in records.values()
        for line in lines
        if line["kind"] == "ran"
    )
    by_nonce: dict[str, list[caller.Result]] = collections.defaultdict(list)
    for result in results:
        by_nonce[result.nonce].append(result)
    problems = []
    for nonce, group in by_nonce.items():
        count = run_counts[nonce]
        outcomes = {result.outcome for result in group}
        kind = group[0].kind
        if caller.WRONG in outcomes:
            problems += [
                f"{kind} {result.detail}" for result in group if result.detail
            ]
        if caller.COMPLETE in outcomes and not count:
            problems.append(f"{kind} {nonce}: complete, but never executed")
        if outcomes == {caller.NOT_RUN} and count:
            problems.append(
                f"{kind} {nonce}: not-run, but executed {count} times"
            )
        if kind not in caller.REPEATABLE and count > 1:
            problems.append(f"{kind} {nonce}: executed {count} times")
    return problems
