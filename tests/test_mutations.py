"""The mutations can be applied to the code as it is."""

import pathlib
import unittest

from tests import red


class MutationsTest(unittest.TestCase):
    """Mutations of tests/mutations.toml."""

    def test_every_edit_finds_its_text(self):
        missing = [
            (mutation.scenario, edit.file, edit.old)
            for mutation in red.read_mutations()
            for edit in mutation.edits
            if edit.old not in pathlib.Path(edit.file).read_text()
        ]
        self.assertEqual([], missing)


if __name__ == "__main__":
    unittest.main()
