"""HTTP server whose answers come early, twice or not whole."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import http
import sys

import h11

from oleanderhoist.http import heldmemory
from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.http import serverconnection
from oleanderhoist.http import streams


@dataclasses.dataclass(kw_only=True)
class Answer(messages.Response):
    """A response with what follows it on its connection.

    Attributes:
        repeated: Whether a second copy comes where the next response is due.
        read_rest: Reads the rest of the request after the response; None if it
            was read before.
        on_sent: Called once the response was sent on a connection that the
            caller had not closed.
    """

    repeated: bool = False
    read_rest: Callable[[], Awaitable[None]] | None = None
    on_sent: Callable[[], None] | None = None


class Connection(serverconnection.ServerConnection):
    """A connection that goes on after early answers and repeats answers."""

    copy = b""

    async def exchange(self) -> bool:
        """Serves one request.

        Returns:
            Whether the connection can serve another.
        """
        request = await self.read_head()
        if request is None:
            return False
        if self.copy:
            self.writer.write(self.copy)
            self.copy = b""
        self.phase = serverconnection.Phase.HANDLING
        response = await self.handle(request)
        if response is None:
            return False
        self.phase = serverconnection.Phase.WRITING
        close = response.close or self.may_stop
        await self.responses.write(response, request.method, close)
        on_sent = getattr(response, "on_sent", None)
        if on_sent is not None and not self.reader.disconnected:
            on_sent()
        if not await self.read_rest(response):
            return False
        if getattr(response, "repeated", False):
            self.copy = encode(response)
        self.phase = serverconnection.Phase.IDLE
        if close or (self.finishing and not self.next_begun):
            return False
        return self.protocol.our_state is h11.DONE

    async def read_rest(self, response: messages.Response) -> bool:
        """Reads what an early answer left of its request.

        Returns:
            Whether the whole request has been read.
        """
        read_rest = getattr(response, "read_rest", None)
        if read_rest is not None:
            try:
                await read_rest()
            except messages.BodyError:
                return False
        return self.protocol.their_state is h11.DONE


class Server(server.Server):
    """Serves one listening socket over such connections.

    Attributes:
        max_connections: Connections that it accepts; further ones are reset.
        on_reset: Called for each of these.
    """

    max_connections = sys.maxsize
    on_reset: Callable[[], None]

    async def accept(
        self, reader: streams.Reader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it closes, or resets it."""
        if len(self.connections) >= self.max_connections:
            heldmemory.reset(writer)
            self.on_reset()
            return
        connection = Connection(
            settings=self.settings, reader=reader, writer=writer
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        except (TimeoutError, OSError, asyncio.CancelledError):
            heldmemory.reset(writer)
        finally:
            await connection.close()
            self.connections.discard(connection)


def encode(response: messages.Response) -> bytes:
    """Returns the bytes of a response with a whole body."""
    phrase = http.HTTPStatus(response.status).phrase
    lines = [f"HTTP/1.1 {response.status} {phrase}".encode()]
    headers = [
        *response.headers,
        (b"content-length", b"%d" % len(response.body)),
    ]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", response.body])


async def cut(body: bytes) -> AsyncGenerator[bytes, None]:
    """Yields the first half of a body and resets the connection.

    Raises:
        ConnectionAbortedError: The half was sent.
    """
    yield body[: len(body) // 2]
    raise ConnectionAbortedError("cut within the body")
