"""Shared by the long-running programs: health port, signals, loop lag."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.http import server

TASK_RESTART_SECONDS = 0.2
LAG_INTERVAL_SECONDS = 0.1
LAG_WINDOW_SECONDS = 1.0

LOOP_LAG = prometheus_client.Gauge(
    "oleander_loop_lag_seconds", "Lateness of the event loop's last timer"
)


class LoopLag:
    """Measures how late the event loop runs its timers.

    After a pause of its own, a process would mistake the gap for silence of
    its peers, so failure detectors allow for the recent lag.

    Attributes:
        seconds: Lag of the last timer, in seconds.
        worst: Largest recent lag, in seconds.
        worst_at: Monotonic time of the largest recent lag, in seconds.
    """

    def __init__(self, *, clock: clock.Clock):
        self.clock = clock
        self.seconds = 0.0
        self.worst = 0.0
        self.worst_at = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            started = self.clock.monotonic()
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            self.observe(
                self.clock.monotonic() - started - LAG_INTERVAL_SECONDS
            )

    def observe(self, lag: float) -> None:
        """Records one measurement, in seconds."""
        self.seconds = max(0.0, lag)
        LOOP_LAG.set(self.seconds)
        if self.seconds >= self.recent_max():
            self.worst = self.seconds
            self.worst_at = self.clock.monotonic()

    def recent_max(self) -> float:
        """Returns the largest lag within the window, in seconds."""
        age = self.clock.monotonic() - self.worst_at
        return self.worst if age < LAG_WINDOW_SECONDS else 0.0


async def supervise(
    name: str,
    run: Callable[[], Awaitable[None]],
    *,
    fatal: tuple[type[Exception], ...] = (),
) -> None:
    """Runs a task, restarting it when it fails.

    Args:
        name: Name of the task, for the log.
        run: Runs the task.
        fatal: Errors that end the task.
    """
    while True:
        try:
            await run()
            return
        except fatal:
            raise
        except Exception as error:
            log.write(
                events.TASK_FAILED, task=name, reason=describe_error(error)
            )
        await asyncio.sleep(TASK_RESTART_SECONDS)


def describe_error(error: BaseException) -> str:
    """Returns an error as text; for a group, with its first error."""
    if isinstance(error, BaseExceptionGroup):
        return f"{error}: {describe_error(error.exceptions[0])}"
    return f"{type(error).__name__}: {error}"


class HealthServer:
    """Serves /livez, /readyz and /metrics.

    Args:
        address: Address to listen on.
        unready_reason: Returns why the program is not ready; empty when it
            is.
        ready_path: Path of the readiness probe.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        unready_reason: Callable[[], str],
        ready_path: str = "/readyz",
    ):
        self.unready_reason = unready_reason
        self.ready_path = ready_path
        self.server = server.Server(
            handler=self.handle, host=address.host, port=address.port
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one probe."""
        if request.path == "/livez":
            return messages.json_response({"live": True})
        if request.path == self.ready_path:
            reason = self.unready_reason()
            status = 503 if reason else 200
            return messages.json_response({"reason": reason}, status)
        if request.path == "/metrics":
            return messages.Response(
                headers=[(b"content-type", b"text/plain; version=0.0.4")],
                body=prometheus_client.generate_latest(),
            )
        return messages.json_response({"error": "not found"}, 404)


async def wait_for_stop(name: str) -> None:
    """Waits for SIGTERM or SIGINT.

    Args:
        name: Name of the program, for the log.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await stop.wait()
    log.write(events.PROGRAM_STOPPING, program=name)
