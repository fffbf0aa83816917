"""The datagram socket between routers.

Datagrams need no connection, so an unresponsive or unreachable peer blocks
nothing. Senders repeat the messages that must arrive.
"""

import asyncio
from collections.abc import Callable
import socket

import prometheus_client

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import wire
from oleanderhoist.policy import backlog

MAX_DATAGRAM_BYTES = 65_000
MAX_READ_PER_TURN = 500
COORDINATION = (
    wire.AcquireSlot,
    wire.ReleaseSlot,
    wire.CancelAcquire,
    wire.ServerLimit,
    wire.ServerSilent,
)

MALFORMED = prometheus_client.Counter(
    "oleander_datagrams_malformed", "Datagrams that could not be decoded"
)
WAITING = prometheus_client.Gauge(
    "oleander_datagrams_waiting",
    "Datagrams of coordination that were read and wait to be handled",
)
DROPPED = prometheus_client.Counter(
    "oleander_datagrams_dropped",
    "Datagrams of coordination that were dropped as too many waited",
)

Handler = Callable[[str, wire.AnyMessage], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    The event loop announces one datagram a turn; all that wait in the socket
    are read then, as the leader's are among them.

    Attributes:
        address: ``host:port`` of this router.
        handlers: Message handlers by message type.
        backlog: Datagrams of coordination, which wait for the others.
    """

    def __init__(self, *, host: str, port: int):
        self.host = host
        self.port = port
        self.handlers: dict[type, Handler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.socket: socket.socket | None = None
        self.targets: dict[str, tuple[str, int]] = {}
        self.backlog = backlog.Backlog()
        self.is_turn_due = False

    @property
    def address(self) -> str:
        """Address that identifies this router."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Binds the socket.

        Raises:
            OSError: The address is in use or not an address of this VM.
        """
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        try:
            self.socket.bind((self.host, self.port))
        except OSError:
            self.socket.close()
            raise
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=self.socket
        )
        self.port = self.socket.getsockname()[1]

    def send(self, address: str, message: wire.Message) -> None:
        """Sends a message without a guarantee of delivery."""
        self.send_raw(address, wire.encode(message))

    def send_raw(self, address: str, data: bytes) -> None:
        """Sends an encoded message."""
        if self.transport is None or self.transport.is_closing():
            return
        target = self.targets.get(address)
        if target is None:
            host, _, port = address.rpartition(":")
            target = (host, int(port))
            self.targets[address] = target
        self.transport.sendto(data, target)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Handles a datagram, and those that wait behind it."""
        self.receive(data, addr)
        self.read_waiting()
        if not self.is_turn_due:
            self.take_turn()

    def read_waiting(self) -> None:
        """Reads what waits in the socket, up to a limit."""
        if self.socket is None:
            return
        for _ in range(MAX_READ_PER_TURN):
            try:
                data, addr = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.error_received(error)
                return
            self.receive(data, addr)

    def receive(self, data: bytes, addr: tuple) -> None:
        """Decodes a datagram, and handles it unless it has to wait."""
        try:
            message = wire.decode(data)
        except wire.DecodeError as error:
            MALFORMED.inc()
            log.write_limited(
                events.DATAGRAM_MALFORMED, peer=addr[0], reason=str(error)
            )
            return
        peer = f"{addr[0]}:{addr[1]}"
        if not isinstance(message, COORDINATION):
            self.handle(peer, message)
            return
        waiting = backlog.Datagram(
            peer=peer, message=message, size_bytes=len(data)
        )
        if not self.backlog.add(waiting):
            DROPPED.inc()

    def take_turn(self) -> None:
        """Handles some of the datagrams of coordination."""
        self.is_turn_due = False
        try:
            for datagram in self.backlog.take_turn():
                self.handle(datagram.peer, datagram.message)
        finally:
            WAITING.set(len(self.backlog.waiting))
            if self.backlog.waiting:
                self.is_turn_due = True
                asyncio.get_running_loop().call_soon(self.take_turn)

    def handle(self, peer: str, message: wire.AnyMessage) -> None:
        """Calls the handler of a message's type."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(peer, message)

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram could not be sent."""
        log.write(events.DATAGRAM_FAILED, reason=str(exc))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
