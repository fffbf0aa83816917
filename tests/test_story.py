"""The trace of one request, and the limits on log lines."""

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

    def run_story(self, request: str) -> tuple[int, str, str]:
        """Runs the command on a log file; returns exit code and outputs."""
        env = console.Console(stdout=io.StringIO(), stderr=io.StringIO())
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            text = "".join(f"edge-1 {json.dumps(x)}\n" for x in LINES)
            path.write_text(text + "no json\n")
            arguments = ["story", "--request", request, str(path)]
            status = operator.run(arguments, env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    def test_lines_come_in_order_and_end_with_the_meaning(self):
        status, text, _ = self.run_story("a")
        self.assertEqual(exits.ExitStatus.OK, status)
        self.assertLess(text.index("i-1"), text.index("3001"))
        self.assertNotIn("i-2", text)
        self.assertIn("not-run", text)

    def test_an_unknown_request_says_what_to_do(self):
        status, _, errors = self.run_story("zzz")
        self.assertEqual(exits.ExitStatus.ERROR, status)
        self.assertIn("check the id", errors)


class BlockedStream(io.StringIO):
    """A stream whose pipe is full, since its reader has stopped."""

    def write(self, text: str) -> int:
        """Fails like a write to a full non-blocking pipe."""
        raise BlockingIOError("pipe is full")


class BoundTest(unittest.TestCase):
    """Log lines are limited in number and never block."""

    def test_repeated_lines_are_left_out_and_counted(self):
        limiter = log.RateLimiter()
        accepted = sum(limiter.try_acquire() for _ in range(10_000))
        self.assertLessEqual(accepted, log.LIMITED_BURST_LINES + 60)
        self.assertEqual(10_000 - accepted, limiter.suppressed)

    def test_a_stream_that_nobody_reads_blocks_nobody(self):
        writer = log.Writer(stream=BlockedStream())
        for number in range(log.MAX_QUEUED_LINES + 10):
            writer.put({"number": number})
        self.assertEqual(log.MAX_QUEUED_LINES, len(writer.queue))
        writer.flush()
        self.assertEqual(0, len(writer.queue))


if __name__ == "__main__":
    unittest.main()
