"""Writes responses to one caller, no faster than the caller reads them."""

import asyncio
import contextlib

import h11

from oleanderhoist.http import exchanges
from oleanderhoist.http import heldmemory
from oleanderhoist.http import messages
from oleanderhoist.policy import answermemory
from oleanderhoist.policy import linkpace

WRITE_BYTES = 65_536
PACED_BYTES = linkpace.PIECE_BYTES
WRITE_TIMEOUT_SECONDS = 10.0  # Without any progress.


class ResponseWriter:
    """Writes the responses of one connection.

    Args:
        writer: Writer of the connection's bytes.
        protocol: State of the HTTP protocol.
        held: Counts what the caller has not read.
        link: Paces large responses; None if the link is wide.
    """

    def __init__(
        self,
        *,
        writer: asyncio.StreamWriter,
        protocol: h11.Connection,
        held: heldmemory.HeldMemory,
        link: linkpace.LinkPace | None,
    ):
        self.writer = writer
        self.protocol = protocol
        self.held = held
        self.link = link
        # The next request is read once the socket has all of an answer.
        writer.transport.set_write_buffer_limits(high=0)

    async def write(
        self, response: messages.Response, method: str, close: bool
    ) -> None:
        """Sends a response; an error of its stream closes the connection."""
        headers = list(response.headers)
        if response.stream is None and not messages.find(
            headers, b"content-length"
        ):
            headers.append((b"content-length", b"%d" % len(response.body)))
        if close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self.protocol.send(head)]
        if response.stream is not None:
            self.writer.write(parts.pop())
            async with contextlib.aclosing(response.stream) as chunks:
                async for chunk in chunks:
                    await self.write_parts(chunk)
        elif len(response.body) > self.part_bytes and method != "HEAD":
            self.writer.write(parts.pop())
            await self.write_long_body(response.body)
        elif response.body and method != "HEAD":
            parts.append(self.protocol.send(h11.Data(data=response.body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        await self.write_last(b"".join(parts))

    async def write_long_body(self, body: bytes) -> None:
        """Writes a body in parts, so that there is no second copy of it."""
        written = answermemory.Body(size_bytes=len(body))
        exchanges.MEMORY.add(written)
        try:
            await self.write_parts(body)
        finally:
            exchanges.MEMORY.remove(written)

    @property
    def part_bytes(self) -> int:
        """Size of the parts in which a long body is written, in bytes."""
        return WRITE_BYTES if self.link is None else PACED_BYTES

    async def write_parts(self, data: bytes) -> None:
        """Writes a part of a body after the other, each in its turn."""
        for start in range(0, len(data), self.part_bytes):
            part = data[start : start + self.part_bytes]
            await self.wait_for_turn(len(part))
            self.writer.write(self.protocol.send(h11.Data(data=part)))
            await self.drain()

    async def wait_for_turn(self, size_bytes: int) -> None:
        """Waits until a narrow link has room for a part of a large body."""
        if self.link is None:
            return
        now = asyncio.get_running_loop().time()
        delay = self.link.delay(size_bytes, now)
        if delay > 0:
            await asyncio.sleep(delay)

    async def write_last(self, data: bytes) -> None:
        """Writes the last bytes of a response; counts them until they leave."""
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size():
            self.held.set_unsent(len(data))
        try:
            await self.drain()
        finally:
            self.held.set_unsent(0)
        self.held.add_sent(len(data))

    async def drain(self) -> None:
        """Waits until the socket has all data, while the caller reads.

        Raises:
            ConnectionResetError: The connection is closed.
            TimeoutError: The caller has taken nothing for too long.
        """
        if self.writer.transport.is_closing():
            raise ConnectionResetError("the caller has closed")
        while self.writer.transport.get_write_buffer_size():
            left_bytes = self.left_bytes()
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                    await self.writer.drain()
            except TimeoutError:
                if self.left_bytes() >= left_bytes:
                    raise

    def left_bytes(self) -> int:
        """Returns the size of what the caller has not taken, in bytes."""
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        return unsent_bytes + heldmemory.waiting_bytes(self.writer)
