"""HTTP/1.1 server: h11 for the protocol, asyncio streams for the sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re

import h11

from oleanderhoist import codes
from oleanderhoist.http import messages
from oleanderhoist.http import streams

READ_BYTES = 65_536
HEAD_BYTES = 16_384
HEAD_SECONDS = 5.0
BODY_STALL_SECONDS = 10.0
IDLE_SECONDS = 60.0
WRITE_SECONDS = 10.0
ARRIVAL_SECONDS = 0.05  # For what was accepted last to be read and counted.

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

_BARE_LF = re.compile(rb"(?<!\r)\n")


class BodyError(Exception):
    """The caller's body ended early, stalled or was malformed."""


class Server:
    """Serves one listening socket.

    Args:
        handler: Turns a request into a response.
        host: IP number to listen on.
        port: Port to listen on; 0 picks a free one.
        head_seconds: Time allowed for a request head, in seconds.
        cancel_when_gone: Whether a handler is cancelled once its caller has
            closed the connection.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        host: str,
        port: int,
        head_seconds: float = HEAD_SECONDS,
        cancel_when_gone: bool = False,
    ):
        self.handler = handler
        self.host = host
        self.port = port
        self.head_seconds = head_seconds
        self.head_bytes = HEAD_BYTES
        self.idle_seconds = IDLE_SECONDS
        self.cancel_when_gone = cancel_when_gone
        self.closing_answers = False
        self.listener: asyncio.Server | None = None
        self.connections: set[Connection] = set()

    async def start(self) -> None:
        """Binds the socket; `port` then holds the real port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: streams.make_protocol(self.accept),
            self.host,
            self.port,
            backlog=1024,
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    async def accept(
        self, reader: streams.Reader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it closes."""
        connection = Connection(server=self, reader=reader, writer=writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        except (TimeoutError, OSError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def stop(self, grace: float) -> None:
        """Stops accepting, lets running exchanges end, then closes.

        A connection that was accepted a moment before may have no task yet,
        so the connections are looked at until none is left.

        Args:
            grace: Longest time to wait for running exchanges, in seconds.
        """
        if self.listener is not None:
            self.listener.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + grace
        await asyncio.sleep(min(grace, ARRIVAL_SECONDS))
        while self.connections and (remaining := end - loop.time()) > 0:
            for connection in self.connections:
                connection.finish()
            tasks = [
                asyncio.ensure_future(connection.closed.wait())
                for connection in self.connections
            ]
            await asyncio.wait(tasks, timeout=remaining)
            for task in tasks:
                task.cancel()
        for connection in list(self.connections):
            connection.writer.close()


class Connection:
    """One caller's connection."""

    def __init__(
        self,
        *,
        server: Server,
        reader: streams.Reader,
        writer: asyncio.StreamWriter,
    ):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.head_bytes
        )
        self.busy = False
        self.finishing = False
        self.closed = asyncio.Event()

    async def serve(self) -> None:
        """Serves requests one after another."""
        try:
            while await self.exchange():
                self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            pass
        finally:
            self.closed.set()

    def finish(self) -> None:
        """Closes after the running exchange, or now when idle."""
        self.finishing = True
        if not self.busy and not self.reader.unread:
            self.writer.close()

    async def exchange(self) -> bool:
        """Serves one request.

        Returns:
            Whether the connection can serve another.
        """
        request = await self.read_head()
        if request is None:
            return False
        self.busy = True
        response = await self.handle(request)
        if response is None:
            return False
        self.busy = False
        close = response.close or self.finishing or self.server.closing_answers
        if self.protocol.their_state is not h11.DONE:
            close = True
        await self.write(response, request.method, close)
        return not close and self.protocol.our_state is h11.DONE

    async def handle(
        self, request: messages.Request
    ) -> messages.Response | None:
        """Runs the handler; returns None when the caller left meanwhile."""
        if not self.server.cancel_when_gone:
            return await self.server.handler(request)
        task = asyncio.ensure_future(self.server.handler(request))
        self.reader.on_end = task.cancel
        if self.reader.ended:
            task.cancel()
        try:
            return await task
        except asyncio.CancelledError:
            if not self.reader.ended:
                raise
            return None
        finally:
            self.reader.on_end = None
            task.cancel()

    async def read_head(self) -> messages.Request | None:
        """Returns the next request, or None when the connection ends."""
        wait = self.server.idle_seconds
        seen = bytearray(self.protocol.trailing_data[0])
        while True:
            refused = check_head(seen)
            if refused is not None:
                await self.refuse(refused)
                return None
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                large = error.error_status_hint == 431
                code = codes.HEAD_TOO_LARGE if large else codes.MALFORMED
                await self.refuse(code)
                return None
            if event is h11.NEED_DATA:
                if seen:
                    wait = self.server.head_seconds
                data = await self.receive(wait, bool(seen))
                if data is None:
                    return None
                seen.extend(data)
                self.busy = self.busy or bool(data)
                self.protocol.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                return self.to_request(event)
            return None

    async def receive(self, wait: float, started: bool) -> bytes | None:
        """Reads bytes, or answers 408 when a started head stalls."""
        try:
            async with asyncio.timeout(wait):
                return await self.reader.read(READ_BYTES)
        except TimeoutError:
            if started:
                await self.refuse(codes.HEAD_TIMEOUT)
            return None

    def to_request(self, event: h11.Request) -> messages.Request:
        """Converts h11's head into a request with a body stream."""
        headers = list(event.headers)
        length: int | None = 0
        if messages.find(headers, b"transfer-encoding"):
            length = None
        elif declared := messages.find(headers, b"content-length"):
            length = int(declared)
        return messages.Request(
            method=event.method.decode("ascii"),
            target=event.target.decode("ascii"),
            headers=headers,
            body=self.read_body(),
            length=length,
        )

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yields the body's chunks.

        Raises:
            BodyError: The body ended early, stalled or was malformed.
        """
        if self.protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.protocol.send(go_on))
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise BodyError(str(error)) from error
            if event is h11.NEED_DATA:
                await self.receive_body()
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise BodyError("the connection closed within the body")

    async def receive_body(self) -> None:
        """Feeds h11 with the next bytes of a body."""
        try:
            async with asyncio.timeout(BODY_STALL_SECONDS):
                data = await self.reader.read(READ_BYTES)
        except TimeoutError as error:
            raise BodyError("the body stalled") from error
        except OSError as error:
            raise BodyError(str(error)) from error
        self.protocol.receive_data(data)

    async def refuse(self, code: codes.Code) -> None:
        """Answers a request that could not be parsed, and closes."""
        response = messages.problem(code, close=True)
        with contextlib.suppress(h11.LocalProtocolError, OSError):
            await self.write(response, "GET", True)

    async def write(
        self, response: messages.Response, method: str, close: bool
    ) -> None:
        """Sends a response; a failing stream cuts the connection."""
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
            async for chunk in response.stream:
                self.writer.write(self.protocol.send(h11.Data(data=chunk)))
                await self.drain()
        elif response.body and method != "HEAD":
            parts.append(self.protocol.send(h11.Data(data=response.body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        self.writer.write(b"".join(parts))
        await self.drain()

    async def drain(self) -> None:
        """Waits until the socket takes more, within a bound."""
        if self.writer.transport.get_write_buffer_size() == 0:
            return
        async with asyncio.timeout(WRITE_SECONDS):
            await self.writer.drain()


def check_head(data: bytes | bytearray) -> codes.Code | None:
    """Finds framing that parsers disagree about in a request head.

    Args:
        data: What has been received of the head so far.

    Returns:
        The code to refuse with, or None when nothing is wrong so far.
    """
    head, found, _ = bytes(data).partition(b"\r\n\r\n")
    if not found and len(data) > HEAD_BYTES:
        return codes.HEAD_TOO_LARGE
    if _BARE_LF.search(head):
        return codes.MALFORMED
    names = [
        line.partition(b":")[0].strip().lower()
        for line in head.split(b"\r\n")[1:]
    ]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths > 1 or codings > 1 or (lengths and codings):
        return codes.MALFORMED
    return None
