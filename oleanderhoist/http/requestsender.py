"""Sends one request on a connection to a peer."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import h11

from oleanderhoist.http import messages

# A larger body is sent in parts of this size, so that there is no copy of it.
SEND_BYTES = 65_536


class RequestSender:
    """Sends one request.

    Args:
        writer: Writer of the connection's bytes.
        protocol: State of the HTTP protocol for this request.
        host: Value of the Host header.

    Attributes:
        maybe_sent: Whether a byte of the request may have left this process.
        unwritten_bytes: Size of what is not written yet of a large body, in
            bytes.
    """

    def __init__(
        self,
        *,
        writer: asyncio.StreamWriter,
        protocol: h11.Connection,
        host: bytes,
    ):
        self.writer = writer
        self.protocol = protocol
        self.host = host
        self.maybe_sent = False
        self.unwritten_bytes = 0
        self.sending: asyncio.Task | None = None

    def cancel(self) -> None:
        """Sends no more of a large body."""
        if self.sending is not None:
            self.sending.cancel()

    async def send(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: messages.Buffer | AsyncIterator[bytes],
    ) -> None:
        """Sends the head and the body; a large one while the answer is read."""
        all_headers = [(b"host", self.host), *headers]
        is_whole = isinstance(body, messages.Buffer)
        if is_whole and (body or method not in ("GET", "HEAD", "DELETE")):
            all_headers.append((b"content-length", b"%d" % len(body)))
        event = h11.Request(method=method, target=target, headers=all_headers)
        head = self.protocol.send(event)
        if is_whole and len(body) > SEND_BYTES:
            self.maybe_sent = True
            self.writer.write(head)
            self.unwritten_bytes = len(body)
            self.sending = asyncio.create_task(self.send_parts(body))
            return
        if is_whole:
            if body:
                head += self.protocol.send(h11.Data(data=body))
            head += self.protocol.send(h11.EndOfMessage())
            self.maybe_sent = True
            self.writer.write(head)
            return
        self.maybe_sent = True
        self.writer.write(head)
        async for chunk in body:
            self.writer.write(self.protocol.send(h11.Data(data=chunk)))
            await self.writer.drain()
        self.writer.write(self.protocol.send(h11.EndOfMessage()))

    async def send_parts(self, body: messages.Buffer) -> None:
        """Sends a body no faster than the server takes it.

        If the connection breaks, the end of the exchange tells.
        """
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            for start in range(0, len(body), SEND_BYTES):
                part = bytes(body[start : start + SEND_BYTES])
                data = self.protocol.send(h11.Data(data=part))
                self.unwritten_bytes -= len(part)
                if not self.unwritten_bytes:
                    data += self.protocol.send(h11.EndOfMessage())
                self.writer.write(data)
                await self.writer.drain()
