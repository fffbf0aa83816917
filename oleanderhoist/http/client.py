"""HTTP/1.1 client with a pool of keep-alive connections."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Collection
import dataclasses
import time

import h11

from oleanderhoist import deadline
from oleanderhoist.http import exchanges
from oleanderhoist.http import framing
from oleanderhoist.http import messages
from oleanderhoist.http import streams

CONNECT_TIMEOUT_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Address:
    """IP address and port of a peer."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses ``host:port``.

        Raises:
            ValueError: The text has no port, or one out of range.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > 65_535:
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Client:
    """Sends requests to one peer over a pool of idle connections.

    Args:
        address: The peer.
        connect_seconds: Time allowed for opening a connection, in seconds.

    Attributes:
        max_idle: Idle connections that are kept at most; None for any number.
    """

    def __init__(
        self,
        *,
        address: Address,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ):
        self.address = address
        self.connect_seconds = connect_seconds
        self.idle: collections.deque[exchanges.Connection] = collections.deque()
        self.max_idle: int | None = None
        self.opened = 0
        self.closed = False

    async def request(
        self,
        method: str,
        target: str,
        *,
        timeout: float,
        headers: messages.Headers | None = None,
        body: messages.Buffer | AsyncIterator[bytes] = b"",
        stream_limit: exchanges.StreamLimit = exchanges.never_stream,
        idle_seconds: float = framing.IDLE_SECONDS,
        host: bytes | None = None,
        accept: exchanges.ResponseFilter | None = None,
        reuse_only: bool = False,
        fresh: bool = False,
        body_limit: exchanges.BodyLimit = exchanges.default_body_limit,
    ) -> messages.Response:
        """Performs one exchange, without retries.

        Args:
            method: HTTP method.
            target: Origin-form target.
            timeout: Time allowed for the whole exchange, a stream included, in
                seconds.
            headers: Additional headers.
            body: The body, whole or as chunks.
            stream_limit: Returns the largest body of a response that is
                returned whole, in bytes; None if it must be whole.
            idle_seconds: Longest idle time of a reused connection, in seconds.
            host: Value of the Host header; the peer's address by default.
            accept: Returns which request a response names, given its headers.
                Foreign responses are read and dropped.
            reuse_only: Whether to fail without an idle connection instead of
                opening one.
            fresh: Whether to open a connection even if there is an idle one,
                which is then closed.
            body_limit: Returns the largest body of a response, in bytes; 0 to
                close the connection without reading it.

        Returns:
            The response, complete unless it is a stream.

        Raises:
            ExchangeError: No complete response was received.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        connection = self.take_idle(idle_seconds)
        if connection is None and reuse_only:
            raise exchanges.ExchangeError(
                "the connection has closed", maybe_sent=False
            )
        if connection is not None and fresh:
            connection.writer.close()
            connection = None
        if connection is None:
            connection = await self.open(timeout)
        if loop.time() >= end:
            self.add_idle(connection)
            raise exchanges.ExchangeError(
                "no time left to send", maybe_sent=False, timed_out=True
            )
        running = exchanges.Exchange(
            connection=connection,
            host=host or str(self.address).encode(),
            release=self.put_idle,
            due=end,
            accept=accept,
            body_limit=body_limit,
            stream_limit=stream_limit,
        )
        try:
            async with deadline.CatchUpTimeout(end):
                return await running.run(method, target, headers or [], body)
        except TimeoutError as error:
            running.abort()
            self.drop_idle()
            raise running.failure(
                "no answer in time", timed_out=True
            ) from error
        except (OSError, h11.ProtocolError) as error:
            running.abort()
            raise running.failure(running.describe(error)) from error
        except BaseException:
            running.abort()
            raise

    def take_idle(self, idle_seconds: float) -> exchanges.Connection | None:
        """Removes and returns a reusable idle connection, or None."""
        now = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            connection.reader.on_data = None
            connection.reader.on_disconnect = None
            if connection.reusable(now, idle_seconds):
                return connection
            connection.writer.close()
        return None

    async def prepare(self, timeout: float, *, reuse_only: bool) -> int:
        """Ensures that there is an idle connection.

        Args:
            timeout: Time allowed for opening one, in seconds.
            reuse_only: Whether to fail without one instead of opening it.

        Returns:
            The number of connections opened so far.

        Raises:
            ExchangeError: The peer cannot be reached, or there is no idle
                connection and none may be opened.
        """
        connection = self.take_idle(framing.IDLE_SECONDS)
        if connection is None and reuse_only:
            raise exchanges.ExchangeError(
                "the connection has closed", maybe_sent=False
            )
        if connection is None:
            connection = await self.open(timeout)
        self.add_idle(connection)
        return self.opened

    async def open(self, timeout: float) -> exchanges.Connection:
        """Opens a connection.

        Raises:
            ExchangeError: The peer cannot be reached.
        """
        try:
            async with deadline.CatchUpTimeout(
                asyncio.get_running_loop().time()
                + min(timeout, self.connect_seconds)
            ):
                reader, writer = await streams.connect(
                    self.address.host, self.address.port
                )
        except TimeoutError as error:
            raise exchanges.ExchangeError(
                f"cannot connect to {self.address} in time",
                maybe_sent=False,
                timed_out=True,
                unreachable=timeout >= self.connect_seconds,
            ) from error
        except OSError as error:
            raise exchanges.ExchangeError(
                str(error), maybe_sent=False, unreachable=True
            ) from error
        self.opened += 1
        protocol = h11.Connection(h11.CLIENT)
        return exchanges.Connection(
            reader=reader, writer=writer, protocol=protocol
        )

    def put_idle(self, connection: exchanges.Connection) -> None:
        """Returns a connection to the idle pool after a complete exchange.

        A connection with bytes after the complete response, or with unsent
        bytes of the request, cannot carry another request and is closed.
        """
        leftover = (
            connection.reader.unread or connection.protocol.trailing_data[0]
        )
        if leftover or connection.writer.transport.get_write_buffer_size():
            connection.writer.transport.abort()
            return
        try:
            connection.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            connection.writer.close()
            return
        connection.reused = True
        self.add_idle(connection)

    def add_idle(self, connection: exchanges.Connection) -> None:
        """Adds a connection to the idle pool.

        It closes if bytes arrive or the peer closes, and at once if this client
        or the peer has closed.
        """
        if self.closed or connection.reader.disconnected:
            connection.writer.close()
            return
        connection.idle_since = time.monotonic()
        connection.reader.on_data = connection.writer.transport.abort
        connection.reader.on_disconnect = connection.writer.transport.abort
        self.idle.append(connection)
        self.trim_idle()

    def trim_idle(self) -> None:
        """Closes the connections that were idle for longest, if too many."""
        while self.max_idle is not None and len(self.idle) > self.max_idle:
            self.idle.popleft().writer.close()

    def drop_idle(self) -> None:
        """Closes all idle connections to the peer."""
        while self.idle:
            self.idle.pop().writer.close()

    def close(self) -> None:
        """Closes all connections, those of running exchanges at their end."""
        self.closed = True
        self.drop_idle()


class Clients:
    """One client for each peer, created on first use.

    A peer is known by its address and its id: a connection to one at an address
    is not used for another one there, whose answers could not be told apart.

    Args:
        connect_seconds: Time allowed for opening a connection, in seconds.
    """

    def __init__(self, *, connect_seconds: float = CONNECT_TIMEOUT_SECONDS):
        self.connect_seconds = connect_seconds
        self.by_peer: dict[tuple[str, str], Client] = {}

    def get(self, address: str, id: str) -> Client:
        """Returns the client of a peer.

        Args:
            address: Its ``host:port``.
            id: Its id; peers with different ids share no connection.
        """
        client = self.by_peer.get((address, id))
        if client is None:
            client = self.by_peer[(address, id)] = Client(
                address=Address.parse(address),
                connect_seconds=self.connect_seconds,
            )
        return client

    def retain(self, peers: Collection[tuple[str, str]]) -> None:
        """Closes and forgets the clients of all peers but some.

        Args:
            peers: Address and id of each peer that is still in use.
        """
        for peer in [one for one in self.by_peer if one not in peers]:
            self.by_peer.pop(peer).close()
