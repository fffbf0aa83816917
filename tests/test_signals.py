"""Signals that come when a program has ended its stop, but not yet exited."""

import json
import signal
import subprocess
import sys
import unittest

# Repeats the signal at each step between the program's end and the exit.
PROGRAM = """
import asyncio, os, signal, sys
from oleanderhoist import events, log
from oleanderhoist import program
from oleanderhoist.cli import runner

signum = int(sys.argv[1])

def repeat(owner, name):
    original = getattr(owner, name)
    def repeated(*args):
        os.kill(os.getpid(), signum)
        result = original(*args)
        os.kill(os.getpid(), signum)
        return result
    setattr(owner, name, repeated)

async def work():
    loop = asyncio.get_running_loop()
    if int(sys.argv[2]):
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
    loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
    await program.wait_for_stop("last")
    repeat(loop, "close")
    repeat(log.Writer, "stop")

runner.run(work(), "-")
os.kill(os.getpid(), signum)
"""


class LastSignalTest(unittest.TestCase):
    """A signal at the end of a stop neither kills nor loses log lines."""

    def check(self, signum: int, *, handles_hangup: bool) -> None:
        """Checks that a program ends by itself despite a signal."""
        arguments = [str(int(signum)), str(int(handles_hangup))]
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM, *arguments],
            check=False,
            capture_output=True,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertEqual(b"", result.stderr)
        lines = [json.loads(line) for line in result.stdout.splitlines()]
        self.assertEqual([301], [line["event"] for line in lines])

    def test_a_repeated_stop_signal_does_not_kill(self):
        for handles_hangup in (False, True):
            self.check(signal.SIGTERM, handles_hangup=handles_hangup)

    def test_a_repeated_interrupt_does_not_kill(self):
        self.check(signal.SIGINT, handles_hangup=False)

    def test_a_late_reload_does_not_kill(self):
        self.check(signal.SIGHUP, handles_hangup=True)


if __name__ == "__main__":
    unittest.main()
