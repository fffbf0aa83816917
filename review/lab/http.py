"""A small HTTP/1.1 server and client for stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json

MAX_HEAD_BYTES = 65_536


class ClosedError(Exception):
    """The connection ended before the message was complete."""


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or a response.

    Attributes:
        first: Method and target, or status and reason.
        headers: Values by lower-case name.
        body: The whole body.
        late_copy: Whether a copy of this response follows late, where the next
            response of the connection is expected.
    """

    first: tuple[str, str]
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    late_copy: bool = False

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[0])

    def json(self) -> dict:
        """Returns the body as JSON."""
        return json.loads(self.body)


Handler = Callable[[Message], Awaitable[Message]]


def response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> Message:
    """Returns a response."""
    return Message(first=(str(status), "x"), headers=headers or {}, body=body)


def json_response(value: object, status: int = 200) -> Message:
    """Returns a response with a JSON body."""
    return response(
        status, json.dumps(value).encode(), {"content-type": "application/json"}
    )


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Returns the lines of a head.

    Raises:
        ClosedError: The peer closed first.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ClosedError("closed within a head") from error
    return data.decode("latin-1").split("\r\n")[:-2]


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a chunked body."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message; a body without a length ends with the connection.

    Raises:
        ClosedError: The peer closed first.
    """
    first, *lines = await read_head(reader)
    parts = first.split(" ", 2)
    is_response = parts[0].startswith("HTTP/")
    pair = (parts[1], parts[2]) if is_response else (parts[0], parts[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(first=pair, headers=headers)
    try:
        if "transfer-encoding" in headers:
            message.body = await read_chunks(reader)
        elif "content-length" in headers:
            size = int(headers["content-length"])
            message.body = await reader.readexactly(size)
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ClosedError("closed within a body") from error
    return message


def encode(message: Message, *, is_response: bool) -> bytes:
    """Encodes a message with the length of its body."""
    one, two = message.first
    first = f"HTTP/1.1 {one} {two}" if is_response else f"{one} {two} HTTP/1.1"
    headers = {**message.headers, "content-length": str(len(message.body))}
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + message.body


class Server:
    """Serves requests; a handler ends when its connection closes.

    Args:
        handler: Returns the response to a request.

    Attributes:
        address: The bound ``host:port``.
        listener: The listener, once it is started.
        writers: The open connections.
    """

    def __init__(self, *, handler: Handler):
        self.handler = handler
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Binds ``host:port``."""
        host, _, port = address.rpartition(":")
        self.listener = await asyncio.start_server(self.accept, host, int(port))
        bound = self.listener.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        copy = b""
        try:
            while True:
                request = await read_message(reader)
                writer.write(copy)
                answer = await self.handle(request, reader)
                if answer is None:
                    break
                data = encode(answer, is_response=True)
                copy = data if answer.late_copy else b""
                writer.write(data)
                await writer.drain()
                if answer.headers.get("connection") == "close":
                    break
        except (ClosedError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, request: Message, reader: asyncio.StreamReader
    ) -> Message | None:
        """Runs the handler; returns None if the caller closed meanwhile."""
        task = asyncio.create_task(self.handler(request))
        closed = asyncio.create_task(wait_closed(reader))
        try:
            await asyncio.wait(
                {task, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            return task.result() if task.done() else None
        finally:
            for one in (task, closed):
                one.cancel()

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Waits until the peer has closed."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


@dataclasses.dataclass(kw_only=True)
class Connection:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def call(self, request: Message, timeout: float) -> Message:
        """Sends a request and returns the response.

        Raises:
            ClosedError: The connection ended first.
            TimeoutError: It took longer than the timeout, in seconds.
        """
        async with asyncio.timeout(timeout):
            self.writer.write(encode(request, is_response=False))
            return await read_message(self.reader)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


async def connect(address: str) -> Connection:
    """Opens a connection to ``host:port``."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=MAX_HEAD_BYTES
    )
    return Connection(reader=reader, writer=writer)


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 2.0,
) -> Message:
    """Performs one call on a new connection.

    Raises:
        ClosedError: The connection ended first.
        OSError: The peer cannot be reached.
        TimeoutError: It took longer than the timeout, in seconds.
    """
    async with asyncio.timeout(timeout):
        connection = await connect(address)
    request = Message(
        first=(method, target),
        headers={"host": address, **(headers or {})},
        body=body,
    )
    try:
        return await connection.call(request, timeout)
    finally:
        with contextlib.suppress(OSError):
            connection.close()
