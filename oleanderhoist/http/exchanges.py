"""One HTTP/1.1 exchange on a connection, based on h11."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

import h11

from oleanderhoist import deadline
from oleanderhoist.http import bodystream
from oleanderhoist.http import framing
from oleanderhoist.http import messages
from oleanderhoist.http import requestsender
from oleanderhoist.http import streams
from oleanderhoist.policy import answermemory

READ_BYTES = 65_536
MAX_BUFFERED_BODY_BYTES = 262_144  # Of an answer that may be a stream.
# What a stream takes: buffers of both connections and of the server's socket.
STREAM_BYTES = 3 * streams.SOCKET_BUFFER_BYTES
# Of one exchange; a page of the platform's store is 1 MB before base64.
MAX_BODY_BYTES = 4_194_304
MAX_BODY_CHUNKS = 16_384
MAX_TOTAL_BODY_BYTES = 33_554_432  # Of all exchanges, unless it is set.
MAX_FOREIGN_RESPONSES = 4
MAX_FOREIGN_BYTES = 65_536
MAX_INFORMATIONAL_RESPONSES = 8
MAX_DETAIL_CHARS = 200  # A message of h11 may quote a whole line.
EVENTS_PER_TURN = 16  # Of h11, before other tasks run.

PLACEHOLDER_HEADERS = [(b"host", b"-")]

BODILESS_STATUSES = (204, 304)

ResponseFilter = Callable[[messages.Headers], messages.Match]
# Returns the largest body of a response with this head, in bytes; 0 if the body
# is of no use and the connection is closed instead.
BodyLimit = Callable[[messages.Response], int]
# Returns the largest body of a response that is returned whole, in bytes; a
# larger one is returned as a stream. None if it must be whole.
StreamLimit = Callable[[messages.Response], int | None]

# Of the bodies of all answers in this process.
MEMORY = answermemory.AnswerMemory(limit_bytes=MAX_TOTAL_BODY_BYTES)


def default_body_limit(response: messages.Response) -> int:
    """Returns the largest body of a response that any peer may send."""
    return MAX_BODY_BYTES


def never_stream(response: messages.Response) -> int | None:
    """Returns that a response must be whole."""
    return None


def stream_large(response: messages.Response) -> int | None:
    """Returns the largest body of a response that is not a stream."""
    return MAX_BUFFERED_BODY_BYTES


class ExchangeError(Exception):
    """An exchange failed.

    Attributes:
        maybe_sent: Whether a byte of the request may have left this process.
        response_started: Whether a byte of the response had arrived.
        timed_out: Whether it failed by a timeout.
        kept_connection: Whether its connection had carried an earlier exchange.
        unreachable: Whether nothing accepted a connection, in all of the time
            that is allowed for opening one.
    """

    def __init__(
        self,
        text: str,
        *,
        maybe_sent: bool,
        response_started: bool = False,
        timed_out: bool = False,
        kept_connection: bool = False,
        unreachable: bool = False,
    ):
        super().__init__(text)
        self.maybe_sent = maybe_sent
        self.response_started = response_started
        self.timed_out = timed_out
        self.kept_connection = kept_connection
        self.unreachable = unreachable


@dataclasses.dataclass(kw_only=True)
class Connection:
    """One connection to a peer.

    Attributes:
        reader: Reader of the connection's bytes.
        writer: Writer of the connection's bytes.
        protocol: State of the HTTP protocol.
        idle_since: When the last exchange ended, in monotonic seconds.
        keep_alive_seconds: Longest idle time before a reuse, in seconds.
        reused: Whether it has carried an earlier exchange.
    """

    reader: streams.Reader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    idle_since: float = 0.0
    keep_alive_seconds: float = framing.IDLE_SECONDS
    reused: bool = False

    def reusable(self, now: float, idle_seconds: float) -> bool:
        """Returns whether an idle connection may carry another request.

        Bytes that arrived without a pending request belong to no exchange, so
        such a connection is not reused.
        """
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        if self.reader.unread:
            return False
        return now - self.idle_since < min(
            idle_seconds, self.keep_alive_seconds
        )


class Exchange:
    """One request and its response on one connection.

    Args:
        connection: The connection.
        host: Value of the Host header.
        release: Takes the connection back after a complete exchange.
        due: When the whole response is due, on the event loop's clock.
        accept: Returns which request a response names.
        body_limit: Returns the largest body of a response.
        stream_limit: Returns the largest body that is returned whole.
    """

    def __init__(
        self,
        *,
        connection: Connection,
        host: bytes,
        release: Callable[[Connection], None],
        due: float,
        accept: ResponseFilter | None = None,
        body_limit: BodyLimit = default_body_limit,
        stream_limit: StreamLimit = never_stream,
    ):
        self.connection = connection
        self.host = host
        self.release = release
        self.accept = accept
        self.body_limit = body_limit
        self.stream_limit = stream_limit
        self.max_body_bytes = MAX_FOREIGN_BYTES  # Before the response's head.
        self.due = due
        self.foreign_responses = 0
        self.informational_responses = 0
        self.events = 0
        self.read_bytes = framing.READ_BYTES
        self.body_bytes = 0
        self.body_chunks = 0
        self.sender = requestsender.RequestSender(
            writer=connection.writer, protocol=connection.protocol, host=host
        )
        self.response_started = False
        self.finished = False

    def failure(self, text: str, timed_out: bool = False) -> ExchangeError:
        """Returns an error that states how far the exchange got."""
        return ExchangeError(
            text,
            maybe_sent=self.sender.maybe_sent,
            response_started=self.response_started,
            timed_out=timed_out,
            kept_connection=self.connection.reused,
        )

    def describe(self, error: Exception) -> str:
        """Describes an error; tells malformed bytes from a lost connection."""
        text = str(error)[:MAX_DETAIL_CHARS]
        _, disconnected = self.connection.protocol.trailing_data
        if isinstance(error, h11.RemoteProtocolError) and not disconnected:
            return f"not an answer: {text}"
        return text

    def abort(self) -> None:
        """Closes the connection, so that a late response is discarded."""
        self.sender.cancel()
        self.connection.writer.transport.abort()

    async def run(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: messages.Buffer | AsyncIterator[bytes],
    ) -> messages.Response:
        """Sends the request and reads the response."""
        await self.sender.send(method, target, headers, body)
        head = await self.read_head()
        response = messages.Response(
            status=head.status_code,
            headers=list(head.headers),
            kept_connection=self.connection.reused,
        )
        framing.check_framing(response)
        self.max_body_bytes = self.body_limit(response)
        if not self.max_body_bytes:
            self.abort()
            return response
        whole_bytes = self.stream_limit(response)
        if whole_bytes is None and method != "HEAD":
            self.check_length(response)
        if not messages.find(response.headers, b"transfer-encoding"):
            self.read_bytes = READ_BYTES
        await self.read_body(response, whole_bytes)
        if response.stream is None:
            self.finish(response)
        return response

    async def read_body(
        self, response: messages.Response, whole_bytes: int | None
    ) -> None:
        """Reads the whole body, or turns a large one into a stream.

        A body that is read whole can be replaced by that of a retry if it is
        cut short; a stream can't, but takes no more memory the larger it is.

        Args:
            response: The response, without its body.
            whole_bytes: Size above which it is a stream, also without need for
                memory; None if it must be whole.

        Raises:
            ExchangeError: The bodies of all exchanges take too much memory.
        """
        data = bytearray()
        body = answermemory.Body(give_up=self.abort)
        MEMORY.add(body)
        try:
            while (chunk := await self.read_bounded_chunk()) is not None:
                data += chunk
                if not MEMORY.grow(body, len(chunk)):
                    break
                if whole_bytes is not None and (
                    len(data) > whole_bytes or not MEMORY.may_keep_whole(body)
                ):
                    response.stream = self.to_stream(response, bytes(data))
                    return
        except OSError as error:
            self.check_memory(body, error)
            raise
        else:
            self.check_memory(body)
        finally:
            MEMORY.remove(body)
        response.body = bytes(data)

    def check_memory(
        self, body: answermemory.Body, error: Exception | None = None
    ) -> None:
        """Checks that a body was not given up.

        Raises:
            ExchangeError: It was, by the end of its connection or before.
        """
        if body not in MEMORY.bodies:
            text = "no memory for the rest of the body"
            raise self.failure(text) from error

    def to_stream(
        self, response: messages.Response, start: bytes
    ) -> bodystream.BodyStream:
        """Returns the body as a stream, which counts as memory."""
        held = answermemory.Body(
            give_up=self.abort, size_bytes=len(start) + STREAM_BYTES
        )
        MEMORY.add(held)

        def end() -> None:
            MEMORY.remove(held)
            if not self.finished:
                self.abort()

        return bodystream.BodyStream(
            chunks=self.stream_body(response, start, held), on_end=end
        )

    def finish(self, response: messages.Response) -> None:
        """Returns the connection to the idle pool.

        Closes it instead if it carried a response to another request, or if
        the server answered before it had the whole body.
        """
        self.finished = True
        if self.foreign_responses or self.sender.unwritten_bytes:
            self.abort()
            return
        self.connection.keep_alive_seconds = framing.keep_alive_seconds(
            response.headers
        )
        self.release(self.connection)

    async def read_head(self) -> h11.Response:
        """Returns the head of the final response.

        Raises:
            h11.RemoteProtocolError: It may belong to an earlier request.
        """
        while True:
            event = await self.next_event()
            if not isinstance(event, h11.Response):
                continue
            if self.accept is None:
                return event
            match = self.accept(list(event.headers))
            if match is messages.Match.FOREIGN:
                await self.skip_response()
                continue
            if match is messages.Match.UNNAMED and self.connection.reused:
                raise h11.RemoteProtocolError("the answer names no request")
            return event

    async def skip_response(self) -> None:
        """Drops a response that belongs to another request.

        Raises:
            h11.RemoteProtocolError: There were too many of them.
        """
        self.foreign_responses += 1
        if self.foreign_responses > MAX_FOREIGN_RESPONSES:
            raise h11.RemoteProtocolError("only answers to other requests")
        while await self.read_bounded_chunk() is not None:
            pass
        trailing = self.connection.protocol.trailing_data[0]
        # h11 accepts a response only after a request.
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(
            h11.Request(method="GET", target="/", headers=PLACEHOLDER_HEADERS)
        )
        protocol.send(h11.EndOfMessage())
        if trailing:
            protocol.receive_data(trailing)
        self.connection.protocol = protocol

    async def read_chunk(self) -> bytes | None:
        """Returns the next chunk of the response, or None at its end."""
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def read_due_chunk(self) -> bytes | None:
        """Returns the next chunk of a streamed body.

        Raises:
            TimeoutError: The whole body was due.
        """
        if asyncio.get_running_loop().time() >= self.due:
            raise TimeoutError
        async with deadline.CatchUpTimeout(self.due):
            return await self.read_chunk()

    async def read_bounded_chunk(self) -> bytes | None:
        """Returns the next chunk of a body that is not streamed.

        Raises:
            h11.RemoteProtocolError: The exchange has had too many.
        """
        chunk = await self.read_chunk()
        if chunk is not None:
            self.body_bytes += len(chunk)
            self.body_chunks += 1
        if self.body_bytes > self.max_body_bytes:
            raise h11.RemoteProtocolError("the body is too large")
        if self.body_chunks > MAX_BODY_CHUNKS:
            raise h11.RemoteProtocolError("the body has too many chunks")
        return chunk

    def check_length(self, response: messages.Response) -> None:
        """Checks the announced length of a body that is not streamed.

        Raises:
            h11.RemoteProtocolError: It is too large.
        """
        length = int(messages.find(response.headers, b"content-length") or 0)
        if (
            response.status not in BODILESS_STATUSES
            and length > self.max_body_bytes
        ):
            raise h11.RemoteProtocolError(
                f"a body of {length} bytes is too large"
            )

    async def next_event(self) -> h11.Event:
        """Returns the next h11 event, reading from the socket as needed."""
        while True:
            protocol = self.connection.protocol
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                framing.check_blanks(protocol.trailing_data[0])
                data = await self.connection.reader.read(self.read_bytes)
                self.response_started = self.response_started or bool(data)
                protocol.receive_data(data)
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the peer closed early")
            await self.check_event(event)
            return event

    async def check_event(self, event: h11.Event) -> None:
        """Bounds what the responses of an exchange may cost.

        Raises:
            h11.RemoteProtocolError: No answer can follow.
        """
        self.events += 1
        if self.events % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        if event is h11.PAUSED:
            raise h11.RemoteProtocolError("the protocol was switched")
        if isinstance(event, h11.Response | h11.InformationalResponse):
            framing.check_single_head(event)
        if isinstance(event, h11.InformationalResponse):
            self.informational_responses += 1
        if self.informational_responses > MAX_INFORMATIONAL_RESPONSES:
            raise h11.RemoteProtocolError("too many informational responses")

    async def stream_body(
        self, response: messages.Response, start: bytes, held: answermemory.Body
    ) -> AsyncGenerator[bytes, None]:
        """Yields the part already read, then the remaining chunks.

        The rest is read no faster than the chunks are taken.

        Raises:
            ConnectionAbortedError: The server broke off.
            TimeoutError: The body was due; the server or the receiver is slow.
        """
        try:
            for offset in range(0, len(start), READ_BYTES):
                yield start[offset : offset + READ_BYTES]
            del start
            MEMORY.resize(held, STREAM_BYTES)
            while (chunk := await self.read_due_chunk()) is not None:
                yield chunk
        except TimeoutError:
            self.abort()
            raise
        except (OSError, h11.ProtocolError) as error:
            self.abort()
            raise ConnectionAbortedError("the answer was cut short") from error
        except BaseException:
            self.abort()
            raise
        self.finish(response)
