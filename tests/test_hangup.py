"""The hang-up of a terminal that an entry or a placer was started from."""

import signal
import subprocess
import sys
import unittest

HANG_UP = """
import asyncio, os, signal
from oleanderhoist.cli import runner
async def program():
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0)
runner.run(program(), "-")
"""


class HangUpTest(unittest.TestCase):
    """A hang-up closes no caller's connection."""

    def test_a_program_outlives_its_terminal(self):
        result = subprocess.run([sys.executable, "-c", HANG_UP], check=False)
        self.assertNotEqual(-signal.SIGHUP, result.returncode)
        self.assertEqual(0, result.returncode)


if __name__ == "__main__":
    unittest.main()
