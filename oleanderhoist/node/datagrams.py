"""The datagram socket between routers.

Datagrams need no connection, so an unresponsive or unreachable peer blocks
nothing. Senders repeat the messages that must arrive.
"""

import asyncio
from collections.abc import Callable

import prometheus_client

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.node import wire

MAX_DATAGRAM_BYTES = 65_000

MALFORMED = prometheus_client.Counter(
    "oleander_datagrams_malformed", "Datagrams that could not be decoded"
)

Handler = Callable[[str, wire.AnyMessage], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Attributes:
        address: ``host:port`` of this router.
        handlers: Message handlers by message type.
    """

    def __init__(self, *, host: str, port: int):
        self.host = host
        self.port = port
        self.handlers: dict[type, Handler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.targets: dict[str, tuple[str, int]] = {}

    @property
    def address(self) -> str:
        """Address that identifies this router."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Binds the socket.

        Raises:
            OSError: The address is in use or not an address of this VM.
        """
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )
        self.port = self.transport.get_extra_info("sockname")[1]

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
        """Decodes a datagram and calls the handler of its type."""
        try:
            message = wire.decode(data)
        except wire.DecodeError as error:
            MALFORMED.inc()
            log.write_limited(
                events.DATAGRAM_MALFORMED, peer=addr[0], reason=str(error)
            )
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(f"{addr[0]}:{addr[1]}", message)

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram could not be sent."""
        log.write(events.DATAGRAM_FAILED, reason=str(exc))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
