"""Logging to a stream that is not read."""

import os
import subprocess
import sys
import time
import unittest

from oleanderhoist import log

LINES = 60_000
PUT_SECONDS = 10.0  # For all lines, on a slow and busy machine.
EXIT_SECONDS = 20.0
# Processor time from the program's end to its process's end. Ten routers that
# stop together on one processor then end within the time reserved for it.
EXIT_PROCESSOR_SECONDS = 0.05

FLOOD = """
from oleanderhoist import events, log
from oleanderhoist.cli import runner
import asyncio

async def work():
    for number in range(60_000):
        log.write(events.CALL_ENDED, request=str(number), detail="x" * 100)
        if number % 5_000 == 0:
            await asyncio.sleep(0.01)

runner.run(work(), "-")
"""

ROUTER = """
from oleanderhoist.cli import runner
from oleanderhoist.cli import routercommand
import time

async def work():
    print(time.process_time(), flush=True)

runner.run(work(), "-")
"""


class PipeTest(unittest.TestCase):
    """A full pipe without a reader blocks neither requests nor the exit."""

    def test_lines_are_bounded_and_never_wait(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        stream = os.fdopen(write_end, "w")
        writer = log.Writer(stream=stream)
        writer.thread.start()
        started = time.monotonic()
        for number in range(LINES):
            writer.put({"number": number, "text": "x" * 100})
        self.assertLess(time.monotonic() - started, PUT_SECONDS)
        self.assertLessEqual(len(writer.queue), log.MAX_QUEUED_LINES)

    def test_a_program_ends_though_its_lines_are_not_read(self):
        process = subprocess.Popen(
            [sys.executable, "-c", FLOOD], stdout=subprocess.PIPE
        )
        try:
            self.assertEqual(0, process.wait(EXIT_SECONDS))
        finally:
            process.kill()
            process.wait()
            process.stdout.close()

    def test_a_program_ends_soon_after_its_last_line(self):
        process = subprocess.Popen(
            [sys.executable, "-c", ROUTER], stdout=subprocess.PIPE
        )
        self.addCleanup(process.stdout.close)
        ended_work = float(process.stdout.readline())
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        self.assertEqual(0, process.returncode)
        processor_seconds = usage.ru_utime + usage.ru_stime
        self.assertLess(processor_seconds - ended_work, EXIT_PROCESSOR_SECONDS)

    def test_a_flood_of_one_event_is_thinned_and_says_so(self):
        limiter = log.RateLimiter()
        accepted = sum(limiter.try_acquire() for _ in range(LINES))
        self.assertLess(accepted, 1_000)
        self.assertEqual(LINES - accepted, limiter.suppressed)


if __name__ == "__main__":
    unittest.main()
