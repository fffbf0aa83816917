"""One caller's connection to the HTTP server."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import re

import h11

from oleanderhoist import codes
from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import framing
from oleanderhoist.http import heldmemory
from oleanderhoist.http import messages
from oleanderhoist.http import responsewriter
from oleanderhoist.http import streams
from oleanderhoist.policy import linkpace

READ_BYTES = 65_536
DEFAULT_HEAD_BYTES = 16_384
HEAD_SECONDS = 5.0
BODY_STALL_SECONDS = 10.0
IDLE_SECONDS = 60.0

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

_BARE_LF = re.compile(rb"(?<!\r)\n")


class Phase(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "reading a head"
    HANDLING = "handling a request"
    WRITING = "writing a response"


@dataclasses.dataclass(kw_only=True)
class Settings:
    """Settings that all connections of a server share.

    Attributes:
        handler: Returns the response to a request.
        port: Port of the server, for the log.
        head_seconds: Longest wait for more bytes of a request head, in seconds.
        head_bytes: Largest incomplete request head, in bytes; a connection
            also keeps the limit with which it began.
        idle_seconds: Longest idle time between requests, in seconds.
        cancel_on_disconnect: Whether a handler is cancelled once its caller has
            closed the connection.
        close_after_response: Whether each response closes its connection.
        link: Paces large responses; None if the link is wide.
    """

    handler: Handler
    port: int
    head_seconds: float = HEAD_SECONDS
    head_bytes: int = DEFAULT_HEAD_BYTES
    idle_seconds: float = IDLE_SECONDS
    cancel_on_disconnect: bool = False
    close_after_response: bool = False
    link: linkpace.LinkPace | None = None


class ServerConnection:
    """One caller's connection.

    Attributes:
        idle_since: When it was accepted, or its last response was written, on
            the event loop's clock.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        reader: streams.Reader,
        writer: asyncio.StreamWriter,
    ):
        self.settings = settings
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=settings.head_bytes
        )
        self.phase = Phase.IDLE
        self.target = ""
        self.body_left = 0  # Bytes of a body with a length, at most.
        self.held = heldmemory.HeldMemory(
            reader=reader,
            writer=writer,
            protocol=self.protocol,
            port=settings.port,
        )
        self.responses = responsewriter.ResponseWriter(
            writer=writer,
            protocol=self.protocol,
            held=self.held,
            link=settings.link,
        )
        self.finishing = False
        self.idle_since = asyncio.get_running_loop().time()
        self.closed = asyncio.Event()

    @property
    def unanswered(self) -> bool:
        """Whether a request has arrived, at least in part, unanswered."""
        return self.phase is not Phase.IDLE or self.next_begun

    @property
    def awaits_request(self) -> bool:
        """Whether no whole head of a request is read and unanswered."""
        return self.phase in (Phase.IDLE, Phase.HEAD)

    @property
    def next_begun(self) -> bool:
        """Whether bytes have arrived that the current phase has not used."""
        return self.reader.unread > 0 or bool(self.protocol.trailing_data[0])

    @property
    def may_stop(self) -> bool:
        """Whether a stop closes this connection: nothing else has arrived."""
        stopping = self.finishing or self.settings.close_after_response
        return stopping and not self.next_begun

    async def serve(self) -> None:
        """Serves requests sequentially until the connection ends."""
        self.held.begin()
        try:
            while await self.exchange():
                self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            pass
        finally:
            self.held.end()

    async def close(self) -> None:
        """Closes the connection once the bytes that were written are sent."""
        self.writer.close()
        try:
            async with asyncio.timeout(responsewriter.WRITE_TIMEOUT_SECONDS):
                await self.writer.wait_closed()
        except OSError:
            self.writer.transport.abort()
        finally:
            self.closed.set()

    def finish(self) -> None:
        """Closes the connection after the running exchange, or now if idle."""
        self.finishing = True
        if not self.unanswered:
            self.writer.close()

    def cut(self) -> None:
        """Closes the connection whatever it is doing; logs a lost request."""
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        if self.unanswered or unsent_bytes:
            log.write_limited(
                events.REQUEST_CUT,
                port=self.settings.port,
                path=self.target.partition("?")[0],
                phase=self.phase.value,
                unread_bytes=self.reader.unread,
                unsent_bytes=unsent_bytes,
            )
        if unsent_bytes or self.phase is Phase.WRITING:
            heldmemory.reset(self.writer)
        else:
            self.writer.transport.abort()

    async def exchange(self) -> bool:
        """Serves one request.

        Returns:
            Whether the connection can serve another.
        """
        request = await self.read_head()
        if request is None:
            return False
        self.phase = Phase.HANDLING
        self.target = request.target
        response = await self.handle(request)
        if response is None:
            return False
        self.phase = Phase.WRITING
        close = response.close or self.may_stop
        if self.protocol.their_state is not h11.DONE:
            close = True
        await self.responses.write(response, request.method, close)
        self.phase = Phase.IDLE
        self.idle_since = asyncio.get_running_loop().time()
        if close or (self.finishing and not self.next_begun):
            return False
        return self.protocol.our_state is h11.DONE

    async def handle(
        self, request: messages.Request
    ) -> messages.Response | None:
        """Returns the response; None when the caller disconnected.

        Raises:
            ConnectionError: The handler gives up the connection.
        """
        try:
            return await self.run_handler(request)
        except ConnectionError:
            raise
        except Exception as error:
            log.write_limited(
                events.HANDLER_FAILED,
                port=self.settings.port,
                path=request.path,
                reason=f"{type(error).__name__}: {error}",
            )
            return messages.problem(codes.HANDLER_FAILED, close=True)

    async def run_handler(
        self, request: messages.Request
    ) -> messages.Response | None:
        """Runs the handler; returns None when the caller disconnected."""
        if not self.settings.cancel_on_disconnect:
            return await self.settings.handler(request)
        task = asyncio.ensure_future(self.settings.handler(request))
        self.reader.on_disconnect = task.cancel
        if self.reader.disconnected:
            task.cancel()
        try:
            return await task
        except asyncio.CancelledError:
            if not self.reader.disconnected:
                raise
            return None
        finally:
            self.reader.on_disconnect = None
            task.cancel()

    async def read_head(self) -> messages.Request | None:
        """Returns the next request, or None when the connection ends."""
        try:
            return await self.read_whole_head()
        finally:
            self.held.set_head(0)

    async def read_whole_head(self) -> messages.Request | None:
        """Reads until a head is whole, or the connection ends."""
        timeout = self.settings.idle_seconds
        while True:
            received, _ = self.protocol.trailing_data
            if received:
                self.phase = Phase.HEAD
            error_code = check_head(received, self.settings.head_bytes)
            if error_code is not None:
                await self.send_error(error_code)
                return None
            try:
                head = received.partition(b"\r\n\r\n")[0]
                framing.check_blanks(head)
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                too_large = error.error_status_hint == 431
                code = codes.HEAD_TOO_LARGE if too_large else codes.MALFORMED
                await self.send_error(code)
                return None
            if event is h11.NEED_DATA:
                if received:
                    timeout = self.settings.head_seconds
                    self.held.set_head(len(received))
                data = await self.receive(timeout, bool(received))
                if data is None:
                    return None
                self.protocol.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                return self.to_request(event)
            return None

    async def receive(self, timeout: float, started: bool) -> bytes | None:
        """Reads bytes, or answers 408 when a started head stalls."""
        try:
            return await self.read(timeout, framing.READ_BYTES)
        except TimeoutError:
            if started:
                await self.send_error(codes.HEAD_TIMEOUT)
            return None

    async def read(self, timeout: float, max_bytes: int) -> bytes:
        """Reads bytes; those that arrived in time count after a stall, too.

        Raises:
            TimeoutError: None arrived in time.
        """
        end = asyncio.get_running_loop().time() + timeout
        async with deadline.CatchUpTimeout(end):
            return await self.reader.read(max_bytes)

    def to_request(self, event: h11.Request) -> messages.Request:
        """Converts an h11 request head into a request with a body stream."""
        headers = list(event.headers)
        length: int | None = 0
        if messages.find(headers, b"transfer-encoding"):
            length = None
        elif declared := messages.find(headers, b"content-length"):
            length = int(declared)
        self.body_left = length or 0
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
            messages.BodyError: The body ended early, stalled or was malformed.
        """
        if self.protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.protocol.send(proceed))
        while True:
            try:
                event = self.protocol.next_event()
                if event is h11.NEED_DATA:
                    framing.check_blanks(self.protocol.trailing_data[0])
            except h11.RemoteProtocolError as error:
                raise messages.BodyError(str(error)) from error
            if event is h11.NEED_DATA:
                await self.receive_body()
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise messages.BodyError(
                    "the connection closed within the body"
                )

    async def receive_body(self) -> None:
        """Passes the next bytes of a body to h11."""
        try:
            data = await self.read(
                BODY_STALL_SECONDS,
                min(
                    READ_BYTES,
                    max(framing.READ_BYTES, self.body_left),
                ),
            )
        except TimeoutError as error:
            raise messages.BodyError("the body stalled") from error
        except OSError as error:
            raise messages.BodyError(str(error)) from error
        self.body_left -= len(data)
        self.protocol.receive_data(data)

    async def send_error(self, code: codes.Code) -> None:
        """Sends an error response to an unreadable request, and closes."""
        response = messages.problem(code, close=True)
        with contextlib.suppress(h11.LocalProtocolError, OSError):
            await self.responses.write(response, "GET", True)


def check_head(data: bytes, max_bytes: int) -> codes.Code | None:
    """Checks a request head for framing on which parsers disagree.

    Such framing allows request smuggling. An incomplete head that is too large
    is rejected, too.

    Args:
        data: The bytes of the head received so far.
        max_bytes: Largest incomplete head, in bytes.

    Returns:
        The code to reject the request with, or None without a fault so far.
    """
    head, separator, _ = data.partition(b"\r\n\r\n")
    if not separator and len(data) > max_bytes:
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
