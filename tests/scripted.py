"""A server on a real socket that answers with given bytes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import struct
import unittest

PAUSE_SECONDS = 0.02  # Lets written bytes arrive apart from later ones.

Script = Callable[["Peer", asyncio.StreamWriter], Awaitable[None]]


def answer(id: str = "", body: bytes = b"done") -> bytes:
    """Returns a signed success, with the id of a request if there is one."""
    named = f"Request-Id: {id}\r\n".encode() if id else b""
    return (
        b"HTTP/1.1 200 OK\r\n%bResponse-Signature: s\r\nContent-Length: "
        b"%d\r\n\r\n%b" % (named, len(body), body)
    )


def refusal(id: str = "") -> bytes:
    """Returns a refusal, with the id of a request if there is one."""
    names = ("Request-Id", "Oleander-Request-Id")
    named = "".join(f"{name}: {id}\r\n" for name in names) if id else ""
    return (
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nOleander-Refused: 1\r\n"
        f"{named}Content-Length: 0\r\n\r\n"
    ).encode()


class Peer:
    """A server that writes given bytes after each request.

    Attributes:
        script: Called after each request.
        connections: Number of connections accepted.
        requests: Number of requests received.
        ran: Number of requests that the script ran.
    """

    def __init__(self, script: Script):
        self.script = script
        self.connections = 0
        self.requests = 0
        self.ran = 0
        self.address = ""

    async def start(self, test: unittest.IsolatedAsyncioTestCase) -> None:
        """Listens until the test ends."""
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        test.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection; `writer.served` counts its requests."""
        self.connections += 1
        writer.served = 0
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int((length or b"0").split()[0]))
                self.requests += 1
                writer.served += 1
                await self.script(self, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection once its peer may have read what was written."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def write_and_end(data: bytes, *, reset: bool) -> Script:
    """Returns a script that writes bytes, then closes or resets."""

    async def script(peer: Peer, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if reset:
            reset_connection(writer)
        writer.close()

    return script


def write_and_stay(data: bytes) -> Script:
    """Returns a script that writes bytes and leaves the connection open."""

    async def script(peer: Peer, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return script


async def run_and_repeat_refusal(
    peer: Peer, writer: asyncio.StreamWriter
) -> None:
    """Refuses the first request; runs later ones.

    On a kept connection, it writes the refusal once more before the answer.
    """
    if peer.requests == 1:
        writer.write(refusal("r"))
        return
    peer.ran += 1
    if writer.served > 1:
        writer.write(refusal("r"))
        await asyncio.sleep(PAUSE_SECONDS)
    writer.write(answer("r"))
