"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json

MAX_LINE_BYTES = 65_536


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request that was read whole.

    Attributes:
        method: Its method.
        target: Path and query.
        headers: Values by lower-case name.
        body: The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(kw_only=True)
class Response:
    """A response.

    Attributes:
        status: Its status.
        headers: Values by lower-case name.
        body: The whole body, if there are no chunks.
        chunks: Parts of a body without a length, which ends with the
            connection.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    chunks: AsyncIterator[bytes] | None = None


Handler = Callable[[Request], Awaitable[Response]]


class IncompleteError(Exception):
    """A message was not complete; holds what had arrived."""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers; None at the stream's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a body in chunks.

    Raises:
        IncompleteError: It has no last chunk.
    """
    body = bytearray()
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise IncompleteError(
            f"{len(body)} bytes in chunks: {error}"
        ) from error
    return bytes(body)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_end: bool
) -> bytes:
    """Returns the body that belongs to a head.

    Raises:
        IncompleteError: It ended early.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    if "content-length" not in headers:
        try:
            return await reader.read() if until_end else b""
        except ConnectionError as error:
            raise IncompleteError(f"reset: {error}") from error
    try:
        return await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise IncompleteError(f"the body was cut: {error}") from error


class Server:
    """Serves requests, one at a time on each connection.

    Args:
        handler: Returns the response to a request.
    """

    def __init__(self, *, handler: Handler):
        self.handler = handler
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listens on ``IP:PORT``; port 0 takes a free one."""
        host, _, port = address.rpartition(":")
        self.listener = await asyncio.start_server(
            self.serve, host, int(port), limit=MAX_LINE_BYTES
        )
        bound = self.listener.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while await self.exchange(reader, writer):
                pass
        except (ConnectionError, IncompleteError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether another may follow."""
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers, until_end=False)
        response = await self.handler(
            Request(method=method, target=target, headers=headers, body=body)
        )
        lines = [f"HTTP/1.1 {response.status} -"]
        lines += [
            f"{name}: {value}" for name, value in response.headers.items()
        ]
        if response.chunks is None:
            lines.append(f"content-length: {len(response.body)}")
        text = "\r\n".join([*lines, "", ""]).encode("latin-1")
        writer.write(text + response.body)
        await writer.drain()
        if response.chunks is None:
            return True
        async for chunk in response.chunks:
            writer.write(chunk)
            await writer.drain()
        return False

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Response:
    """Sends one request on a new connection and returns the response.

    Raises:
        IncompleteError: The response was not complete, or there was none.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_LINE_BYTES
            )
            writer.write(encode_request(method, target, headers, body))
            head = await read_head(reader)
            if head is None:
                raise IncompleteError("no response")
            first, received = head
            data = await read_body(reader, received, until_end=True)
            return Response(
                status=int(first.split(" ")[1]), headers=received, body=data
            )
    except (TimeoutError, OSError) as error:
        raise IncompleteError(f"{type(error).__name__}: {error}") from error
    finally:
        if writer is not None:
            writer.transport.abort()


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def json_response(value: object, status: int = 200) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        status=status,
        headers={"content-type": "application/json"},
        body=json.dumps(value).encode(),
    )
