"""Runs all tests under nose2 and passes over known failures only.

KNOWN-RED.txt names a test in each line that starts with ``test:``. A listed
test may fail; any other failure fails the run.
"""

import pathlib
import sys

import nose2

from tests import tally

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def known_red() -> set[str]:
    """Returns the ids of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test:")}


def main() -> int:
    """Runs the tests; returns the exit code."""
    argv = ["nose2", "--start-dir", "tests", "--top-level-directory", "."]
    argv += ["--plugin", "tests.tally", "--verbose", *sys.argv[1:]]
    nose2.discover(argv=argv, exit=False)
    broken = sorted(id for id, passed in tally.OUTCOMES.items() if not passed)
    red = known_red()
    unexpected = [id for id in broken if id not in red]
    for id in broken:
        print(("known red: " if id in red else "failed: ") + id)
    passed = len(tally.OUTCOMES) - len(broken)
    sys.stdout.flush()
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
