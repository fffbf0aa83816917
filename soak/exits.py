"""Tells when a process ended, as seen by a process of its own.

On a busy machine the soak test's event loop learns late that a process has
ended. ``python -m soak.exits PIDFD`` prints the monotonic time at which the
process of that file descriptor ended.
"""

import asyncio
import os
import select
import sys
import time


async def wait(process: asyncio.subprocess.Process, pidfd: int) -> float:
    """Waits until a process has ended; returns when, on the monotonic clock.

    The event loop and the watching process both read the clock after the end,
    so the earlier time is the closer one.

    Args:
        process: The process.
        pidfd: A file descriptor of it, from `os.pidfd_open`; it gets closed.
    """
    try:
        watcher = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.exits",
            str(pidfd),
            pass_fds=(pidfd,),
            stdout=asyncio.subprocess.PIPE,
        )
    finally:
        os.close(pidfd)
    await process.wait()
    noticed_at = time.monotonic()
    watched_at, _ = await watcher.communicate()
    return min(noticed_at, float(watched_at))


def main() -> None:
    """Waits for the end of the process and prints the time."""
    poller = select.poll()
    poller.register(int(sys.argv[1]), select.POLLIN)
    poller.poll()
    print(time.monotonic())


if __name__ == "__main__":
    main()
