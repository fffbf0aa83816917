"""The story of a request, told from log lines."""

import io
import json
import pathlib
import tempfile
import unittest

from oleanderhoist import console
from oleanderhoist import exits
from oleanderhoist import log
from oleanderhoist.cli import operator

LINES = [
    {"event": 410, "request": "a", "code": "3001", "timestamp": 2.02},
    {"event": 411, "request": "a", "server": "i-1", "timestamp": 2.0},
    {"event": 411, "request": "b", "server": "i-2", "timestamp": 2.0},
]


class StoryTest(unittest.TestCase):
    """`oleander story`."""

    def tell(self, request: str) -> tuple[int, str, str]:
        """Runs the program on a log file; returns code and outputs."""
        env = console.Console(stdout=io.StringIO(), stderr=io.StringIO())
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            text = "".join(f"edge-1 {json.dumps(v)}\n" for v in LINES)
            path.write_text(text + "no json\n")
            arguments = ["story", "--request", request, str(path)]
            status = operator.run(arguments, env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    def test_lines_come_in_order_and_end_with_the_meaning(self):
        status, text, _ = self.tell("a")
        self.assertEqual(exits.ExitStatus.OK, status)
        self.assertLess(text.index("i-1"), text.index("3001"))
        self.assertNotIn("i-2", text)
        self.assertIn("not-run", text)

    def test_an_unknown_request_says_what_to_do(self):
        status, _, errors = self.tell("zzz")
        self.assertEqual(exits.ExitStatus.ERROR, status)
        self.assertIn("check the id", errors)


class Blocked(io.StringIO):
    """A stream whose reader has stopped."""

    def write(self, text: str) -> int:
        """Fails as a full pipe that is not waited for does."""
        raise BlockingIOError("nobody reads")


class BoundTest(unittest.TestCase):
    """Logs stay bounded, and never block."""

    def test_repeated_lines_are_left_out_and_counted(self):
        limiter = log.RateLimiter()
        taken = sum(limiter.try_acquire() for _ in range(10_000))
        self.assertLessEqual(taken, log.LIMITED_BURST_LINES + 60)
        self.assertEqual(10_000 - taken, limiter.suppressed)

    def test_a_stream_that_nobody_reads_blocks_nobody(self):
        writer = log.Writer(stream=Blocked())
        for number in range(log.MAX_QUEUED_LINES + 10):
            writer.put({"number": number})
        self.assertEqual(log.MAX_QUEUED_LINES, len(writer.queue))
        writer.flush()
        self.assertEqual(0, len(writer.queue))


if __name__ == "__main__":
    unittest.main()
