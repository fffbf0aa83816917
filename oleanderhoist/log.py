"""Structured logs, written by a thread so that requests never wait."""

import collections
from collections.abc import Callable
import itertools
import os
import threading
import time
import typing

import msgspec
import prometheus_client

from oleanderhoist import events

MAX_QUEUED_LINES = 20_000
FLUSH_INTERVAL_SECONDS = 0.2
STOP_TIMEOUT_SECONDS = 1
LIMITED_LINES_PER_SECOND = 60.0
LIMITED_BURST_LINES = 120.0

# All lines of a process are the numbered steps of one task.
TASK_ID = os.urandom(16).hex()
_STEPS = itertools.count(1)
_ENCODER = msgspec.json.Encoder(enc_hook=str)

DESTINATIONS: list[Callable[[dict], object]] = []

DROPPED = prometheus_client.Counter(
    "oleander_log_dropped", "Log lines dropped because the writer fell behind"
)


class Writer:
    """Queues messages and writes them as JSON lines from a thread."""

    def __init__(self, *, stream: typing.TextIO):
        self.stream = stream
        self.queue: collections.deque[dict] = collections.deque()
        self.stopping = threading.Event()
        self.arrived = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Registers as a destination and starts the thread."""
        DESTINATIONS.append(self.put)
        self.thread.start()

    def put(self, message: dict) -> None:
        """Queues a message, or counts it as dropped when the queue is full."""
        if len(self.queue) >= MAX_QUEUED_LINES:
            DROPPED.inc()
            return
        self.queue.append(message)
        if not self.arrived.is_set():
            self.arrived.set()

    def run(self) -> None:
        """Writes queued messages until stopped; sleeps while there are none."""
        while not self.stopping.is_set():
            self.arrived.wait()
            self.stopping.wait(FLUSH_INTERVAL_SECONDS)
            self.arrived.clear()
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Writes all queued messages."""
        batch = []
        while self.queue:
            batch.append(_ENCODER.encode(self.queue.popleft()).decode())
        if not batch:
            return
        try:
            self.stream.write("\n".join(batch) + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            DROPPED.inc(len(batch))

    def stop(self) -> None:
        """Unregisters, flushes and ends the thread."""
        DESTINATIONS.remove(self.put)
        self.stopping.set()
        self.arrived.set()
        self.thread.join(timeout=STOP_TIMEOUT_SECONDS)


def write(event: events.Event, **fields: object) -> None:
    """Logs one numbered event."""
    message = {
        "event": event.number,
        **fields,
        "timestamp": time.time(),
        "task_uuid": TASK_ID,
        "task_level": [next(_STEPS)],
        "message_type": event.name,
    }
    for destination in DESTINATIONS:
        destination(message)


class RateLimiter:
    """Token bucket that limits the lines of one event.

    Attributes:
        tokens: Number of lines that may be written now.
        updated: Monotonic time of the last refill, in seconds.
        suppressed: Number of lines dropped since the last written one.
    """

    def __init__(self):
        self.tokens = LIMITED_BURST_LINES
        self.updated = time.monotonic()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Takes a token; returns whether a line may be written."""
        now = time.monotonic()
        refill = (now - self.updated) * LIMITED_LINES_PER_SECOND
        self.tokens = min(LIMITED_BURST_LINES, self.tokens + refill)
        self.updated = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


RATE_LIMITERS: collections.defaultdict[int, RateLimiter] = (
    collections.defaultdict(RateLimiter)
)


def write_limited(event: events.Event, **fields: object) -> None:
    """Logs one event of a kind that load may repeat without bound.

    Drops lines over the rate limit; the next line counts them in `left_out`.
    """
    limiter = RATE_LIMITERS[event.number]
    if not limiter.try_acquire():
        return
    suppressed = limiter.suppressed
    limiter.suppressed = 0
    if suppressed:
        fields["left_out"] = suppressed
    write(event, **fields)
