"""The servers' own records, and the check of what callers were told.

A record is a file of JSON lines that outlives its server. The check trusts
the records alone, never the product's logs.
"""

import collections
import dataclasses
import json
import pathlib
import time

from standins import caller

DRAIN_SECONDS = 2.0


class Recorder:
    """Writes one server's record.

    Args:
        server: Id of the server.
        folder: Folder of the records; nothing is written without one.
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
        """Records an assignment that was followed."""
        self.write(
            {
                "kind": "assigned",
                "fences": fences,
                "excluded": list(excluded),
                "until": until,
            }
        )

    def renewed(self, until: float) -> None:
        """Records a renewal that was followed."""
        self.write({"kind": "renewed", "until": until})

    def ran(self, nonce: str, path: str, partition: str) -> None:
        """Records that a piece of work took effect."""
        self.write(
            {"kind": "ran", "nonce": nonce, "path": path, "part": partition}
        )

    def received(self, path: str) -> None:
        """Records that a piece of work arrived."""
        self.write({"kind": "received", "path": path})

    def draining(self) -> None:
        """Records that the server began to leave."""
        self.write({"kind": "draining"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
    """A time during which a server held a partition, wall-clock seconds."""

    server: str
    partition: str
    fence: int
    since: float
    until: float


def read(folder: str) -> dict[str, list[dict]]:
    """Returns the lines of every server's record."""
    found = {}
    for path in sorted(pathlib.Path(folder).glob("*.record")):
        lines = path.read_text().splitlines(keepends=True)
        found[path.stem] = [json.loads(x) for x in lines if x.endswith("\n")]
    return found


def spans(server: str, lines: list[dict]) -> list[Span]:
    """Returns when a server held which partition."""
    held: dict[str, tuple[int, float]] = {}
    found = []
    until = 0.0

    def end(name: str, at: float) -> None:
        fence, since = held.pop(name)
        found.append(
            Span(
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
        for name in list(held):
            if fences.get(name) != held[name][0] or until < at:
                end(name, at)
        until = line["until"]
        for name, fence in fences.items():
            held.setdefault(name, (fence, at))
    for name in list(held):
        end(name, float("inf"))
    return found


def check_owners(records: dict[str, list[dict]]) -> list[str]:
    """Returns every partition that two servers held at once.

    Pools have separate partitions, so servers are grouped by pool.
    """
    groups: dict[tuple[str, str], list[Span]] = collections.defaultdict(list)
    for server, lines in records.items():
        pool = server.rpartition("-")[0]
        for span in spans(server, lines):
            groups[(pool, span.partition)].append(span)
    problems = []
    for (pool, partition), found in groups.items():
        found.sort(key=lambda span: span.since)
        for one, other in zip(found, found[1:], strict=False):
            if other.since < one.until and one.server != other.server:
                problems.append(
                    f"{pool} partition {partition}: {one.server} until "
                    f"{one.until:.3f}, {other.server} since {other.since:.3f}"
                )
    return problems


def check_drains(records: dict[str, list[dict]]) -> list[str]:
    """Returns every piece of work sent to a server long since leaving."""
    problems = []
    for server, lines in records.items():
        since = None
        for line in lines:
            if line["kind"] == "draining" and since is None:
                since = line["at"]
            late = since is not None and line["at"] > since + DRAIN_SECONDS
            if late and line["kind"] == "received":
                after = line["at"] - since
                problems.append(f"{server}: work {after:.3f} s after its drain")
    return problems


def check_answers(
    records: dict[str, list[dict]], told: list[caller.Told]
) -> list[str]:
    """Returns every answer that the records contradict."""
    runs = collections.Counter(
        line["nonce"]
        for lines in records.values()
        for line in lines
        if line["kind"] == "ran"
    )
    by_nonce: dict[str, list[caller.Told]] = collections.defaultdict(list)
    for answer in told:
        by_nonce[answer.nonce].append(answer)
    problems = []
    for nonce, answers in by_nonce.items():
        count = runs[nonce]
        outcomes = {answer.outcome for answer in answers}
        kind = answers[0].kind
        if caller.WRONG in outcomes:
            problems += [f"{kind} {a.detail}" for a in answers if a.detail]
        if caller.COMPLETE in outcomes and not count:
            problems.append(f"{kind} {nonce}: complete but never run")
        if outcomes == {caller.NOT_RUN} and count:
            problems.append(f"{kind} {nonce}: not run, but run {count} times")
        if kind not in caller.REPEATABLE and count > 1:
            problems.append(f"{kind} {nonce}: run {count} times")
    return problems
