"""Memory that is held for callers: what they send, and what they don't read.

Requests that a caller sends ahead, heads that it does not finish and answers
that it does not read wait in this process and in its sockets. All callers
together have a bound; above it, the connection that holds most is closed.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

import h11

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import streams
from oleanderhoist.policy import answermemory

MAX_TOTAL_BYTES = 33_554_432  # Of all callers, unless it is set.
# What less waits in a socket is not looked at.
CHECKED_BYTES = 4096
CHECK_INTERVAL_SECONDS = 0.25

_QUEUED = struct.Struct("i")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of zero seconds.

# Of all callers of this process.
CALLERS = answermemory.AnswerMemory(limit_bytes=MAX_TOTAL_BYTES)


class HeldMemory:
    """Counts what is held for the caller of one connection.

    Args:
        reader: Reader of the connection's bytes.
        writer: Writer of the connection's bytes.
        protocol: State of the HTTP protocol.
        port: Port of the server, for the log.

    Attributes:
        head_bytes: Size of an unfinished head, in bytes.
        unsent_bytes: Size of what waits of an answer that is counted nowhere
            else, in bytes.
        socket_bytes: Size of what waits in the socket for the caller, at most,
            in bytes.
    """

    def __init__(
        self,
        *,
        reader: streams.Reader,
        writer: asyncio.StreamWriter,
        protocol: h11.Connection,
        port: int,
    ):
        self.reader = reader
        self.writer = writer
        self.protocol = protocol
        self.port = port
        self.head_bytes = 0
        self.unsent_bytes = 0
        self.socket_bytes = 0
        self.check: asyncio.TimerHandle | None = None
        self.held = answermemory.Body(
            give_up=self.give_up, measure=self.measure, spared=False
        )

    def begin(self) -> None:
        """Begins to count."""
        CALLERS.add(self.held)
        self.reader.on_unread = self.count

    def end(self) -> None:
        """Ends to count."""
        self.reader.on_unread = None
        if self.check is not None:
            self.check.cancel()
        CALLERS.remove(self.held)

    def count(self) -> None:
        """Counts anew; may close this connection or another one."""
        CALLERS.grow(self.held, self.size_bytes - self.held.size_bytes)

    @property
    def size_bytes(self) -> int:
        """Size of all that is held, in bytes."""
        return (
            self.head_bytes
            + self.ahead_bytes
            + self.unsent_bytes
            + self.socket_bytes
        )

    def measure(self) -> int:
        """Returns the size of all that is held, with the socket's now."""
        self.socket_bytes = waiting_bytes(self.writer)
        return self.size_bytes

    @property
    def ahead_bytes(self) -> int:
        """Size of what the caller has sent ahead of an answer, in bytes."""
        if self.protocol.their_state is not h11.DONE:
            return 0
        if self.reader.unread > streams.BUFFER_LIMIT_BYTES:
            return self.reader.unread + streams.SOCKET_BUFFER_BYTES
        return self.reader.unread

    def set_head(self, size_bytes: int) -> None:
        """Records how much of an unfinished head has arrived, in bytes."""
        if size_bytes != self.head_bytes:
            self.head_bytes = size_bytes
            self.count()

    def set_unsent(self, size_bytes: int) -> None:
        """Records how much of an answer waits to be sent, in bytes."""
        if size_bytes != self.unsent_bytes:
            self.unsent_bytes = size_bytes
            self.count()

    def add_sent(self, size_bytes: int) -> None:
        """Records that the socket has taken bytes of an answer."""
        self.socket_bytes += size_bytes
        if self.socket_bytes >= CHECKED_BYTES:
            self.count()
            self.check_later()

    def check_later(self) -> None:
        """Looks after a while how much of it the caller has taken."""
        if self.check is None:
            self.check = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL_SECONDS, self.check_socket
            )

    def check_socket(self) -> None:
        """Counts what the caller has taken no longer."""
        self.check = None
        self.socket_bytes = waiting_bytes(self.writer)
        self.count()
        if self.socket_bytes:
            self.check_later()

    def give_up(self) -> None:
        """Closes the connection."""
        log.write_limited(
            events.CALLER_GIVEN_UP,
            port=self.port,
            unread_bytes=self.reader.unread,
            head_bytes=self.head_bytes,
            unsent_bytes=self.unsent_bytes,
        )
        reset(self.writer)


def waiting_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns the size of what the peer has not taken of a socket's bytes.

    It is 0 where the system doesn't tell.
    """
    if writer.transport.is_closing():
        return 0
    descriptor = writer.get_extra_info("socket").fileno()
    try:
        result = fcntl.ioctl(descriptor, termios.TIOCOUTQ, _QUEUED.pack(0))
    except OSError:
        return 0
    return _QUEUED.unpack(result)[0]


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection.

    An orderly close would complete a response whose body ends with it.
    """
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()
