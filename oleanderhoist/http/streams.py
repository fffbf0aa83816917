"""Stream readers that know what has not been read and when a peer leaves."""

import asyncio
from collections.abc import Callable

LIMIT_BYTES = 262_144


class Reader(asyncio.StreamReader):
    """A stream reader that counts unread bytes and reports the end.

    Attributes:
        unread: Bytes that arrived and were not read yet.
        ended: Whether the peer has closed or the connection broke.
        on_end: Called when that happens.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        super().__init__(limit=LIMIT_BYTES, loop=loop)
        self.unread = 0
        self.ended = False
        self.on_end: Callable[[], object] | None = None

    def feed_data(self, data: bytes) -> None:
        """Takes bytes from the socket."""
        self.unread += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Takes the peer's end of stream."""
        super().feed_eof()
        self.notify()

    def set_exception(self, exc: Exception) -> None:
        """Takes the failure of the connection."""
        super().set_exception(exc)
        self.notify()

    def notify(self) -> None:
        """Tells whoever waits that the peer has gone."""
        self.ended = True
        if self.on_end is not None:
            self.on_end()

    async def read(self, n: int = -1) -> bytes:
        """Reads up to n bytes."""
        data = await super().read(n)
        self.unread -= len(data)
        return data


def make_protocol(
    connected: Callable | None = None,
) -> asyncio.StreamReaderProtocol:
    """Returns a stream protocol with a `Reader`.

    Args:
        connected: Called with reader and writer of an accepted connection.
    """
    loop = asyncio.get_running_loop()
    return asyncio.StreamReaderProtocol(Reader(loop=loop), connected, loop=loop)


async def connect(host: str, port: int) -> tuple[Reader, asyncio.StreamWriter]:
    """Opens a connection.

    Raises:
        OSError: The peer refused or cannot be reached.
    """
    loop = asyncio.get_running_loop()
    reader = Reader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
