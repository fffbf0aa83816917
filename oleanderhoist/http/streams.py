"""Stream readers that count unread bytes and detect disconnects.

asyncio reports the end of the stream also for a connection that this process
has closed or aborted. A body that ends with its connection would then look
complete, so readers get an error in that case.
"""

import asyncio
from collections.abc import Callable
import contextlib
import os
import socket
import weakref

# Of a connection; its reader stops at twice as much.
BUFFER_LIMIT_BYTES = 32_768
# What waits in a socket, in either direction, counts as memory, too.
SOCKET_BUFFER_BYTES = 65_536

OPENED: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


class Reader(asyncio.StreamReader):
    """A stream reader that counts unread bytes and reports a disconnect.

    Args:
        loop: The running event loop.
        limit: Half of the bytes at which it stops to receive.
        delays_errors: Whether what arrived before an error of the connection
            is read first, as an answer is of use although the rest of its
            request could not be sent.

    Attributes:
        unread: Number of bytes received but not yet read.
        disconnected: Whether the peer or this process has closed, or the
            connection broke.
        on_disconnect: Callback for that event; None without one.
        on_data: Callback for the arrival of bytes; None without one.
        on_unread: Callback for a change of the unread bytes; None without one.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        limit: int = BUFFER_LIMIT_BYTES,
        delays_errors: bool = False,
    ):
        super().__init__(limit=limit, loop=loop)
        self.delays_errors = delays_errors
        self.delayed_error: Exception | None = None
        self.unread = 0
        self.disconnected = False
        self.on_disconnect: Callable[[], object] | None = None
        self.on_data: Callable[[], object] | None = None
        self.on_unread: Callable[[], object] | None = None

    def feed_data(self, data: bytes) -> None:
        """Receives bytes from the socket."""
        self.unread += len(data)
        super().feed_data(data)
        if self.on_data is not None:
            self.on_data()
        if self.on_unread is not None:
            self.on_unread()

    def feed_eof(self) -> None:
        """Receives the end of the peer's stream."""
        super().feed_eof()
        self.handle_disconnect()

    def set_exception(self, exc: Exception) -> None:
        """Receives the error that ended the connection."""
        if self.delays_errors and self.unread:
            self.delayed_error = exc
        else:
            super().set_exception(exc)
        self.handle_disconnect()

    def end_here(self) -> None:
        """Receives that this process has closed the connection."""
        if not self.disconnected:
            super().set_exception(
                ConnectionAbortedError("this process closed the connection")
            )
            self.handle_disconnect()

    def handle_disconnect(self) -> None:
        """Marks the connection as ended and calls the callback, once."""
        if self.disconnected:
            return
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    async def read(self, n: int = -1) -> bytes:
        """Reads up to n bytes."""
        data = await super().read(n)
        self.unread -= len(data)
        if self.delayed_error is not None and not self.unread:
            super().set_exception(self.delayed_error)
        if self.on_unread is not None:
            self.on_unread()
        return data


class Protocol(asyncio.StreamReaderProtocol):
    """A stream protocol that tells the peer's end from that of this process.

    Args:
        reader: Reader of the connection's bytes.
        on_accept: Called with the reader and writer of an accepted connection.
        loop: The running event loop.
    """

    def __init__(
        self,
        *,
        reader: Reader,
        on_accept: Callable | None = None,
        loop: asyncio.AbstractEventLoop,
    ):
        super().__init__(reader, on_accept, loop=loop)
        self.reader = weakref.ref(reader)
        self.descriptor = -1

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Receives that the connection is open."""
        self.descriptor = transport.get_extra_info("socket").fileno()
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Receives that the connection is closed; its socket is still open.

        Without an error and without the peer's end, this process closed it.
        """
        reader = self.reader()
        if reader is not None and exc is None:
            reader.end_here()
        elif reader is not None and reader.delays_errors:
            self.read_rest(reader)
        super().connection_lost(exc)

    def read_rest(self, reader: Reader) -> None:
        """Receives what has arrived before a write failed."""
        with (
            contextlib.suppress(OSError),
            socket.socket(fileno=os.dup(self.descriptor)) as rest,
        ):
            while data := rest.recv(SOCKET_BUFFER_BYTES):
                reader.feed_data(data)


def make_protocol(on_accept: Callable | None = None) -> Protocol:
    """Returns a stream protocol with a `Reader`.

    Args:
        on_accept: Called with the reader and writer of an accepted connection.
    """
    loop = asyncio.get_running_loop()
    return Protocol(reader=Reader(loop=loop), on_accept=on_accept, loop=loop)


async def connect(host: str, port: int) -> tuple[Reader, asyncio.StreamWriter]:
    """Opens a connection.

    Raises:
        OSError: The peer refused or cannot be reached.
    """
    loop = asyncio.get_running_loop()
    reader = Reader(loop=loop, delays_errors=True)
    protocol = Protocol(reader=reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    with contextlib.suppress(OSError):
        bound_buffers(transport.get_extra_info("socket"))
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    OPENED.add(writer)
    return reader, writer


def bound_buffers(bound_socket: socket.socket) -> None:
    """Bounds the bytes that wait in a socket, or in one that it accepts."""
    for direction in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        bound_socket.setsockopt(
            socket.SOL_SOCKET, direction, SOCKET_BUFFER_BYTES
        )


def close_opened() -> None:
    """Closes all connections that `connect` opened, at the end of a program.

    Otherwise each of them is reported as an error once the loop has ended.
    """
    for writer in list(OPENED):
        writer.transport.abort()
