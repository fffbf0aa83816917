"""One test for each scenario file."""

import pathlib
import unittest

from tests import conditions  # noqa: F401 - fills the registries
from tests import scenario
from tests import verbs  # noqa: F401 - fills the registries

FOLDER = pathlib.Path(__file__).parent / "scenarios"


class ScenarioTest(unittest.IsolatedAsyncioTestCase):
    """Runs scenarios and checks the servers' records and the answers."""

    async def check(self, path: pathlib.Path) -> None:
        """Checks that one scenario runs without a violation."""
        problems = await scenario.Scenario(path=path).run()
        self.assertEqual([], problems)


def add_test(path: pathlib.Path) -> None:
    """Adds the test of one scenario to ScenarioTest."""

    async def test(self: ScenarioTest) -> None:
        await self.check(path)

    test.__doc__ = f"Scenario {path.stem}."
    setattr(ScenarioTest, f"test_{path.stem.replace('-', '_')}", test)


for scenario_path in sorted(FOLDER.glob("*.scn")):
    add_test(scenario_path)

if __name__ == "__main__":
    unittest.main()
