"""Mutation tests: a scenario must fail once its mechanism is removed.

Each mutation removes one mechanism from a temporary copy of the tree and runs
one scenario there, or some minutes of the soak test, which must then fail.
Usage: ``python -m tests.red [SCENARIO]``.
"""

import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib

MUTATIONS_FILE = pathlib.Path("tests/mutations.toml")
COPIED_FOLDERS = (
    "oleanderhoist",
    "standins",
    "soak",
    "tests",
    "bench",
    "examples",
)
PARALLEL_RUNS = 2
RUN_LIMIT_SECONDS = 300
SOAK_PREFIX = "soak-"
SOAK_ARGUMENTS = [
    "-m",
    "soak",
    "--runs",
    "3",
    "--seconds",
    "25",
    "--pause",
    "3",
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edit:
    """One text replacement in one file."""

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutation:
    """The removal of a mechanism.

    Attributes:
        scenario: The scenario that must then fail; with SOAK_PREFIX, a run of
            the soak test.
        mechanism: What is removed, for the output.
        edits: Text replacements that remove it.
        arguments: Further arguments of the soak test.
    """

    scenario: str
    mechanism: str
    edits: tuple[Edit, ...]
    arguments: tuple[str, ...] = ()


def read_mutations() -> list[Mutation]:
    """Returns all mutations."""
    rows = tomllib.loads(MUTATIONS_FILE.read_text())["mutation"]
    return [
        Mutation(
            scenario=row["scenario"],
            mechanism=row["mechanism"],
            edits=tuple(Edit(**edit) for edit in row["edits"]),
            arguments=tuple(row.get("arguments", ())),
        )
        for row in rows
    ]


def run_mutation(mutation: Mutation) -> tuple[bool, str]:
    """Runs one mutation; returns whether the run failed, and the reason."""
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED_FOLDERS:
            shutil.copytree(name, f"{folder}/{name}")
        for edit in mutation.edits:
            path = pathlib.Path(folder) / edit.file
            source = path.read_text()
            if edit.old not in source:
                return False, f"{edit.file} has no {edit.old!r}"
            path.write_text(source.replace(edit.old, edit.new))
        status, output = run_command(failing_command(mutation), folder)
    marks = ("Error: ", "  broken ")
    lines = [x for x in output.splitlines() if any(m in x for m in marks)]
    return status != 0, lines[-1][:160] if lines else f"status {status}"


def failing_command(mutation: Mutation) -> list[str]:
    """Returns the command that must fail under a mutation."""
    if mutation.scenario.startswith(SOAK_PREFIX):
        return [sys.executable, *SOAK_ARGUMENTS, *mutation.arguments]
    test = mutation.scenario.replace("-", "_")
    name = f"tests.test_scenarios.ScenarioTest.test_{test}"
    return [sys.executable, "-m", "unittest", name]


def run_command(command: list[str], folder: str) -> tuple[int, str]:
    """Runs a command in its own session and kills the session afterwards.

    Returns:
        The exit status and the output.
    """
    process = subprocess.Popen(
        command,
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=RUN_LIMIT_SECONDS)
    except subprocess.TimeoutExpired:
        output = f"TimeoutError: no end within {RUN_LIMIT_SECONDS} s"
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    return process.wait(), output


def main() -> int:
    """Runs the mutations; returns 1 if any of them goes undetected."""
    selected = set(sys.argv[1:])
    mutations = [
        m for m in read_mutations() if not selected or m.scenario in selected
    ]
    undetected = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for mutation, (failed, reason) in zip(
            mutations, pool.map(run_mutation, mutations), strict=True
        ):
            undetected += not failed
            verdict = "red" if failed else "NOT RED"
            print(f"{verdict}: {mutation.scenario}: {mutation.mechanism}")
            print(f"    {reason}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
