"""Validation of contracts: errors name the field and the fix."""

import pathlib
import tomllib
import unittest

import hypothesis
from hypothesis import strategies

from oleanderhoist import contract

GUILD = pathlib.Path("examples/guild.toml").read_text()
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


def problems(source: str) -> str:
    """Returns the problems of an invalid contract as one text."""
    try:
        contract.parse(source)
    except contract.ContractError as error:
        return "\n".join(error.problems)
    return ""


class ContractTest(unittest.TestCase):
    """Valid contracts are parsed; errors name the field."""

    def test_both_examples_are_valid(self):
        for name in ("guild", "council"):
            source = pathlib.Path(f"examples/{name}.toml").read_text()
            self.assertEqual(name, contract.parse(source).customer)

    def test_errors_name_the_field(self):
        cases = {
            "work.0.rank": ("rank = 1", "rank = 4"),
            "work.0.worth": ("worth = 10.0", "worth = -1.0"),
            "work.0.repeatable": ("repeatable = true", 'repeatable = "yes"'),
            "work.0.rate_per_second": (
                "rate_per_second = 2000.0",
                "rate_per_second = 1e300",
            ),
            "work.0.burst": ("burst = 400", "burst = 99999999999999999999"),
            "work.0.colour": ('pool = "phase', 'colour = "x"\npool = "phase'),
            "credential_sha256": ("credential_sha256 = ", "secret = "),
            "work.0.methods.0": ('methods = ["GET"]', 'methods = ["BREW"]'),
            "work.0.path": ("/phase-tables/{key}", "/phase tables/{key}"),
        }
        for field, (old, new) in cases.items():
            with self.subTest(field=field):
                found = problems(GUILD.replace(old, new, 1))
                self.assertIn(field, found)

    def test_duplicate_names_are_refused(self):
        source = GUILD.replace('name = "orders"', 'name = "proofs"')
        self.assertIn("'proofs' stands twice", problems(source))

    def test_overlapping_paths_are_refused(self):
        source = GUILD.replace('path = "/archive/{key}"', 'path = "/{key}/x"')
        source = source.replace('path = "/phase-tables/{key}"', 'path = "/a/x"')
        self.assertIn("overlap", problems(source))

    def test_oversized_and_deep_sources_are_refused(self):
        self.assertIn("longer than", problems("#" * 300_000))
        self.assertIn("TOML", problems("a = " + "[" * 50_000))

    @FIXED
    @hypothesis.given(strategies.text(max_size=300))
    def test_any_text_is_parsed_or_refused(self, text):
        problems(text)

    @FIXED
    @hypothesis.given(
        strategies.sampled_from(sorted(contract.Work.model_fields)),
        strategies.one_of(
            strategies.integers(),
            strategies.floats(allow_nan=True),
            strategies.booleans(),
            strategies.text(max_size=20),
            strategies.lists(strategies.integers(), max_size=3),
        ),
    )
    def test_any_value_is_taken_or_its_field_named(self, field, value):
        raw = tomllib.loads(GUILD)
        raw["work"][0][field] = value
        try:
            contract.Contract.model_validate(raw)
        except contract.pydantic.ValidationError as error:
            found = [contract.describe(e) for e in error.errors()]
            self.assertTrue(
                all(
                    line.startswith("work")
                    or field in line
                    or "contract" in line
                    for line in found
                )
            )

    def test_a_key_is_one_segment(self):
        work = contract.parse(GUILD).work[0]
        self.assertEqual("k1", work.match("/phase-tables/k1"))
        for path in ("/phase-tables/", "/phase-tables/a/b", "/phase-tables"):
            self.assertIsNone(work.match(path))
