"""What every long-running program does: health port, signals, loop lag."""

import asyncio
from collections.abc import Callable
import signal

import prometheus_client

from oleanderhoist import clock
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.http import server

LAG_INTERVAL_SECONDS = 0.05
LAG_MEMORY_SECONDS = 1.0

LOOP_LAG = prometheus_client.Gauge(
    "oleander_loop_lag_seconds", "Lateness of the event loop's last timer"
)


class LoopLag:
    """Measures how late the event loop runs its timers.

    A process that was paused must not take the silence of its own pause for
    the silence of others, so detectors ask for the recent lag.
    """

    def __init__(self, *, clock: clock.Clock):
        self.clock = clock
        self.seconds = 0.0
        self.worst = 0.0
        self.worst_at = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            before = self.clock.monotonic()
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            self.observe(self.clock.monotonic() - before - LAG_INTERVAL_SECONDS)

    def observe(self, late: float) -> None:
        """Takes in one measurement, in seconds."""
        self.seconds = max(0.0, late)
        LOOP_LAG.set(self.seconds)
        if self.seconds >= self.recent_max():
            self.worst = self.seconds
            self.worst_at = self.clock.monotonic()

    def recent_max(self) -> float:
        """Returns the worst lag of the last second."""
        age = self.clock.monotonic() - self.worst_at
        return self.worst if age < LAG_MEMORY_SECONDS else 0.0


class HealthServer:
    """Serves /livez, /readyz and /metrics.

    Args:
        address: Where to listen.
        ready: Returns why the program is not ready, or an empty text.
        ready_path: Path of the readiness probe.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        ready: Callable[[], str],
        ready_path: str = "/readyz",
    ):
        self.ready = ready
        self.ready_path = ready_path
        self.server = server.Server(
            handler=self.handle, host=address.host, port=address.port
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one probe."""
        if request.path == "/livez":
            return messages.json_response({"live": True})
        if request.path == self.ready_path:
            reason = self.ready()
            status = 503 if reason else 200
            return messages.json_response({"reason": reason}, status)
        if request.path == "/metrics":
            return messages.Response(
                headers=[(b"content-type", b"text/plain; version=0.0.4")],
                body=prometheus_client.generate_latest(),
            )
        return messages.json_response({"error": "not found"}, 404)


async def wait_for_stop(name: str) -> None:
    """Returns when SIGTERM or SIGINT arrives."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    log.write(events.PROGRAM_STOPPING, program=name)
