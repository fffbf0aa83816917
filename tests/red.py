"""Shows that each proof fails without the mechanism it is meant for.

Every mutation takes one mechanism out of a scratch copy of the tree and runs
one scenario there, or some minutes of the soak, which must fail. Usage:
``python -m tests.red [SCENARIO]``.
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

TABLE = pathlib.Path("tests/mutations.toml")
COPIED = ("oleanderhoist", "standins", "soak", "tests", "bench", "examples")
PARALLEL = 2
LIMIT_SECONDS = 300
SOAK_PREFIX = "soak-"
SOAK = ["-m", "soak", "--runs", "3", "--seconds", "25", "--pause", "3"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Edit:
    """One replacement in one file."""

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutation:
    """A mechanism taken out, and the scenario that must then fail."""

    scenario: str
    mechanism: str
    edits: tuple[Edit, ...]
    arguments: tuple[str, ...] = ()


def read() -> list[Mutation]:
    """Returns all mutations."""
    rows = tomllib.loads(TABLE.read_text())["mutation"]
    return [
        Mutation(
            scenario=row["scenario"],
            mechanism=row["mechanism"],
            edits=tuple(Edit(**edit) for edit in row["edits"]),
            arguments=tuple(row.get("arguments", ())),
        )
        for row in rows
    ]


def run(mutation: Mutation) -> tuple[bool, str]:
    """Runs one mutation; returns whether it failed, and how."""
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED:
            shutil.copytree(name, f"{folder}/{name}")
        for edit in mutation.edits:
            path = pathlib.Path(folder) / edit.file
            source = path.read_text()
            if edit.old not in source:
                return False, f"{edit.file} has no {edit.old!r}"
            path.write_text(source.replace(edit.old, edit.new))
        status, output = finish(command_of(mutation), folder)
    marks = ("Error: ", "  broken ")
    lines = [x for x in output.splitlines() if any(m in x for m in marks)]
    return status != 0, lines[-1][:160] if lines else f"status {status}"


def command_of(mutation: Mutation) -> list[str]:
    """Returns the command that must fail."""
    if mutation.scenario.startswith(SOAK_PREFIX):
        return [sys.executable, *SOAK, *mutation.arguments]
    test = mutation.scenario.replace("-", "_")
    name = f"tests.test_scenarios.ScenarioTest.test_{test}"
    return [sys.executable, "-m", "unittest", name]


def finish(command: list[str], folder: str) -> tuple[int, str]:
    """Runs a command in a session of its own, which ends with it."""
    process = subprocess.Popen(
        command,
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=LIMIT_SECONDS)
    except subprocess.TimeoutExpired:
        output = f"TimeoutError: no end within {LIMIT_SECONDS} s"
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    return process.wait(), output


def main() -> int:
    """Runs the mutations; returns 1 when a scenario passed without its own."""
    wanted = set(sys.argv[1:])
    mutations = [m for m in read() if not wanted or m.scenario in wanted]
    green = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for mutation, (red, how) in zip(
            mutations, pool.map(run, mutations), strict=True
        ):
            green += not red
            verdict = "red" if red else "NOT RED"
            print(f"{verdict}: {mutation.scenario}: {mutation.mechanism}")
            print(f"    {how}", flush=True)
    return 1 if green else 0


if __name__ == "__main__":
    sys.exit(main())
