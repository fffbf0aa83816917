"""Structured logs, written by a thread so that requests never wait."""

import collections
import json
import threading
import typing

import eliot
import prometheus_client

from oleanderhoist import events

QUEUE_LINES = 20_000
FLUSH_SECONDS = 0.05

DROPPED = prometheus_client.Counter(
    "oleander_log_dropped", "Log lines dropped because the writer fell behind"
)


class Writer:
    """Takes eliot messages and writes them as JSON lines from a thread."""

    def __init__(self, *, stream: typing.TextIO):
        self.stream = stream
        self.lines: collections.deque[dict] = collections.deque()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Registers with eliot and starts the thread."""
        eliot.add_destinations(self.put)
        self.thread.start()

    def put(self, message: dict) -> None:
        """Queues a message, or counts it as dropped when the queue is full."""
        if len(self.lines) >= QUEUE_LINES:
            DROPPED.inc()
            return
        self.lines.append(message)

    def run(self) -> None:
        """Writes queued messages until stopped."""
        while not self.stopping.wait(FLUSH_SECONDS):
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Writes what is queued now."""
        batch = []
        while self.lines:
            batch.append(json.dumps(self.lines.popleft(), default=str))
        if not batch:
            return
        try:
            self.stream.write("\n".join(batch) + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            DROPPED.inc(len(batch))

    def stop(self) -> None:
        """Flushes and ends the thread."""
        eliot.remove_destination(self.put)
        self.stopping.set()
        self.thread.join(timeout=1)


def write(event: events.Event, **fields: object) -> None:
    """Logs one numbered event."""
    eliot.log_message(message_type=event.name, event=event.number, **fields)
