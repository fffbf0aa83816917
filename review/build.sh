#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile; they need no packages.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
test -d target/deps
