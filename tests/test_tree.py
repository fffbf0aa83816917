"""Rules of the source tree: documents, imports and the size of files."""

import ast
import importlib.util
import pathlib
import re
import unittest

from oleanderhoist import events
from oleanderhoist.queries import catalogue

ROOT = pathlib.Path("oleanderhoist")
LAYERS = [
    {"policy"},
    {"http"},
    {"peers", "clients", "platform"},
    {"entry", "placer", "node"},
    {"commands", "queries"},
    {"cli"},
]


def sources() -> list[pathlib.Path]:
    """Returns the project's Python files, without built dependencies."""
    paths = pathlib.Path(".").glob("[a-z]*/**/*.py")
    return [path for path in paths if path.parts[0] != "target"]


def imports(path: pathlib.Path) -> list[tuple[str, str]]:
    """Returns (module, name) of each `from` import of a file."""
    tree = ast.parse(path.read_text())
    return [
        (node.module or "", alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


def layer(package: str) -> int:
    """Returns a package's layer; modules at the root have none."""
    for number, packages in enumerate(LAYERS):
        if package in packages:
            return number
    return -1


class TreeTest(unittest.TestCase):
    """Rules that no linter checks."""

    def test_catalogues_match_the_code(self):
        for name, columns, rows in (
            ("CODES", catalogue.CODE_COLUMNS, catalogue.code_rows()),
            ("EVENTS", catalogue.EVENT_COLUMNS, catalogue.event_rows()),
        ):
            text = pathlib.Path(f"docs/{name}.md").read_text()
            self.assertIn(catalogue.markdown(columns, rows), text, name)

    def test_every_event_is_written_where_it_says(self):
        for name, event in vars(events).items():
            if isinstance(event, events.Event):
                path = pathlib.Path(event.source.replace(".", "/") + ".py")
                written = re.search(rf"events\.{name}\b", path.read_text())
                self.assertTrue(written, (event.number, event.source))

    def test_modules_are_imported_and_not_names(self):
        allowed = {"collections.abc", "typing"}
        for path in sources():
            for module, name in imports(path):
                if module in allowed or module.startswith("__"):
                    continue
                spec = importlib.util.find_spec(f"{module}.{name}")
                self.assertIsNotNone(spec, f"{path}: {module}.{name}")

    def test_no_layer_imports_a_higher_one(self):
        for path in ROOT.glob("*/*.py"):
            own_layer = layer(path.parent.name)
            for module, name in imports(path):
                parts = f"{module}.{name}".split(".")
                if parts[0] == "oleanderhoist" and len(parts) > 2:
                    self.assertLessEqual(layer(parts[1]), own_layer, path)

    def test_only_the_command_line_names_the_platform(self):
        for path in ROOT.rglob("*.py"):
            if path.parent.name in ("platform", "cli"):
                continue
            for module, name in imports(path):
                self.assertNotIn("oleanderhoist.platform", f"{module}.{name}")

    def test_no_file_has_grown_large(self):
        for path in sources():
            lines = len(path.read_text().splitlines())
            self.assertLessEqual(lines, 500, path)
