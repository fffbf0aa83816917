"""The table of what the users' pages ask names only what exists."""

import dataclasses
import importlib
import pathlib
import re
import unittest

from tests import red

PAGE = pathlib.Path("docs/PROOFS.md")
SECTION = "## What the pages say\n"
GAPS = "### Gaps, "
PACKAGE = pathlib.Path("oleanderhoist")
HEADER = ["no.", "asked of a router", "acts on it", "fails without it"]
GAP = re.compile(r"\bnothing\b")
NUMBER = re.compile(r"\b[RPNDL][1-9][0-9]*\b")
REFERENCE = re.compile(r"`([^`]*)`")
MUTATION = "red "


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A sentence of the pages.

    Attributes:
        number: Number of the row.
        asked: What the sentence asks of a router.
        actors: Modules that act on it.
        proofs: Tests, checks of the soak and mutations that would fail.
    """

    number: str
    asked: str
    actors: str
    proofs: str

    @property
    def is_gap(self) -> bool:
        """Whether nothing acts on it, or nothing would fail, if only in part.

        A cell without a reference is a gap that must say so.
        """
        return any(GAP.search(cell) for cell in (self.actors, self.proofs))


def cells(line: str) -> list[str]:
    """Returns the cells of a line of a table."""
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def read_rows(text: str) -> list[Row]:
    """Returns the rows of all tables.

    Raises:
        ValueError: A line of a table is no row, header or rule.
    """
    rows = []
    for line in text.splitlines():
        if not line.startswith("|"):
            continue
        found = cells(line)
        if found == HEADER or set("".join(found)) <= set("- "):
            continue
        if len(found) != len(HEADER) or not NUMBER.fullmatch(found[0]):
            raise ValueError(f"no row: {line}")
        number, asked, actors, proofs = found
        rows.append(
            Row(number=number, asked=asked, actors=actors, proofs=proofs)
        )
    return rows


def module_exists(name: str) -> bool:
    """Returns whether a file exists in the package or in the repository."""
    return (PACKAGE / name).is_file() or pathlib.Path(name).is_file()


def proof_exists(name: str) -> bool:
    """Returns whether a test, a check of the soak or a mutation exists."""
    if name.startswith(MUTATION):
        scenario = name.removeprefix(MUTATION)
        return scenario in {one.scenario for one in red.read_mutations()}
    package, _, rest = name.partition(".")
    if package != "soak":
        package, rest = "tests", name
    module, _, path = rest.partition(".")
    try:
        found = importlib.import_module(f"{package}.{module}")
        for part in path.split("."):
            found = getattr(found, part)
    except (ImportError, AttributeError):
        return False
    return True


class PagesTest(unittest.TestCase):
    """Each row is whole, and each gap is ranked."""

    def setUp(self):
        section = PAGE.read_text().partition(SECTION)[2].partition("\n## ")[0]
        tables, _, self.gaps = section.partition(GAPS)
        self.rows = read_rows(tables)
        self.assertTrue(self.rows)

    def test_every_row_has_its_cells_and_a_number_of_its_own(self):
        numbers = [row.number for row in self.rows]
        self.assertEqual(sorted(set(numbers)), sorted(numbers))
        for row in self.rows:
            self.assertTrue(row.asked, row)
            for cell in (row.actors, row.proofs):
                told = REFERENCE.search(cell) or cell.startswith("nothing")
                self.assertTrue(told, row)

    def test_every_module_that_is_named_exists(self):
        for row in self.rows:
            for name in REFERENCE.findall(row.actors):
                self.assertTrue(module_exists(name), (row.number, name))

    def test_every_test_that_is_named_exists(self):
        for row in self.rows:
            for name in REFERENCE.findall(row.proofs):
                self.assertTrue(proof_exists(name), (row.number, name))

    def test_every_gap_is_ranked_once_and_nothing_else_is(self):
        ranked = NUMBER.findall(self.gaps)
        gaps = [row.number for row in self.rows if row.is_gap]
        self.assertEqual(sorted(gaps), sorted(ranked))


class CheckTest(unittest.TestCase):
    """What the checks of the table reject."""

    def test_a_name_that_does_not_exist_is_seen(self):
        self.assertTrue(module_exists("node/forwarder.py"))
        self.assertFalse(module_exists("node/forwarders.py"))
        known = "test_pages.CheckTest.test_a_name_that_does_not_exist_is_seen"
        self.assertTrue(proof_exists(known))
        for name in (
            "test_pages.CheckTest.test_another",
            "test_page.CheckTest",
            "soak.invariants.Checker.check_nothing",
            "red soak-nothing",
        ):
            self.assertFalse(proof_exists(name), name)

    def test_a_row_without_its_cells_is_seen(self):
        with self.assertRaises(ValueError):
            read_rows("| R1 | asked | `node/forwarder.py` |")
        with self.assertRaises(ValueError):
            read_rows("| R | asked | `node/forwarder.py` | nothing |")


if __name__ == "__main__":
    unittest.main()
