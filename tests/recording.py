"""A server on a real socket that records what it receives."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import unittest

from oleanderhoist.http import messages
from oleanderhoist.platform import headers


@dataclasses.dataclass(kw_only=True)
class Received:
    """A request as a server got it.

    Attributes:
        line: Method and target.
        headers: Its headers.
        body: Its body.
        closed: Set once its connection is closed.
    """

    line: bytes
    headers: messages.Headers
    body: bytes
    closed: asyncio.Event

    def header(self, name: bytes) -> str | None:
        """Returns the value of a header."""
        return messages.find(self.headers, name)

    @property
    def seconds(self) -> float:
        """The time that the server is told it has."""
        return int(self.header(headers.REMAINING_MS)) / 1000


Respond = Callable[[Received], Awaitable[bytes]]


def answer(request: Received, status: str = "200 OK", **more: str) -> bytes:
    """Returns an answer that names its request."""
    lines = [f"HTTP/1.1 {status}", "Content-Length: 4"]
    lines.append(f"Request-Id: {request.header(headers.REQUEST_ID)}")
    lines += [
        f"{name.replace('_', '-')}: {text}" for name, text in more.items()
    ]
    return "\r\n".join([*lines, "", "done"]).encode()


async def sign(request: Received) -> bytes:
    """Answers with a signed success."""
    return answer(request, response_signature="sig")


async def stay_silent(request: Received) -> bytes:
    """Never answers."""
    await request.closed.wait()
    return b""


class Connection(asyncio.Protocol):
    """A connection of a server that answers one request after the other."""

    def __init__(self, *, backend: "Backend"):
        self.backend = backend
        self.data = b""
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Counts the connection."""
        self.transport = transport
        self.backend.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end."""
        self.closed.set()

    def data_received(self, data: bytes) -> None:
        """Answers once a request is complete."""
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        line, *fields = head.split(b"\r\n")
        request = Received(
            line=line,
            headers=[tuple(field.split(b": ", 1)) for field in fields],
            body=body,
            closed=self.closed,
        )
        if len(body) < int(request.header(b"content-length") or 0):
            return
        self.data = b""
        self.backend.received.append(request)
        self.task = asyncio.create_task(self.answer(request))

    async def answer(self, request: Received) -> None:
        """Answers one request."""
        self.transport.write(await self.backend.respond(request))


class Backend:
    """A server that records what it receives.

    Attributes:
        respond: Returns the answer to a request.
        received: The requests, in order.
        connections: Number of connections.
    """

    def __init__(self):
        self.respond: Respond = sign
        self.received: list[Received] = []
        self.connections = 0

    async def start(self, test: unittest.IsolatedAsyncioTestCase) -> int:
        """Listens until the test ends; returns the port."""
        listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(backend=self), "127.0.0.1", 0
        )
        test.addCleanup(listener.close)
        return listener.sockets[0].getsockname()[1]
