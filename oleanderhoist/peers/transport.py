"""ZeroMQ transport between the system's processes.

Each process binds one ROUTER socket to receive and opens one DEALER socket
for each peer to send. Sending never blocks: it returns False when the queue is
full or the peer is not connected, and the sender decides what to do.
"""

import asyncio
from collections.abc import Callable

import prometheus_client
import zmq

from oleanderhoist.peers import wire

HIGH_WATER_MESSAGES = 2_000
BATCH_MESSAGES = 256
HEARTBEAT_MS = 250
HEARTBEAT_TIMEOUT_MS = 750
RECONNECT_MS = 20
RECONNECT_MAX_MS = 200
MAX_MESSAGE_BYTES = 4 << 20

UNSENT = prometheus_client.Counter(
    "oleander_peer_unsent", "Messages a peer's queue could not take"
)
MALFORMED = prometheus_client.Counter(
    "oleander_peer_malformed", "Messages that could not be decoded"
)
RECEIVED_BYTES = prometheus_client.Counter(
    "oleander_peer_received_bytes", "Bytes of messages received from peers"
)
SENT_BYTES = prometheus_client.Counter(
    "oleander_peer_sent_bytes", "Bytes of messages sent to peers"
)

Receiver = Callable[[str, wire.Message], None]


class Transport:
    """Sends messages to peers and passes received messages to a receiver.

    Args:
        listen: ``host:port`` to bind; port 0 selects a free port.
        advertise: Address that peers reply to; the bound one if empty.
        receiver: Called with the sender's address and the message.
    """

    def __init__(self, *, listen: str, advertise: str, receiver: Receiver):
        self.listen = listen
        self.address = advertise
        self.receiver = receiver
        self.context = zmq.Context()
        self.router = self.context.socket(zmq.ROUTER)
        self.dealers: dict[str, zmq.Socket] = {}
        self.loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Binds the receiving socket and starts to receive."""
        self.router.setsockopt(zmq.LINGER, 0)
        self.router.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self.router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        host, _, port = self.listen.rpartition(":")
        self.router.bind(f"tcp://{host}:{'*' if port == '0' else port}")
        endpoint = self.router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.listen = endpoint.removeprefix("tcp://")
        self.address = self.address or self.listen
        self.loop = asyncio.get_running_loop()
        # The descriptor is edge-triggered: it signals no messages that are
        # already queued, so receive_batch is also scheduled without a signal.
        self.loop.add_reader(self.router.fileno(), self.receive_batch)
        self.loop.call_soon(self.receive_batch)

    def receive_batch(self) -> None:
        """Delivers received messages, one batch for each loop iteration."""
        if self.router.closed:
            return
        for _ in range(BATCH_MESSAGES):
            try:
                frames = self.router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            RECEIVED_BYTES.inc(len(frames[-1]))
            self.deliver(frames[-1])
        self.loop.call_soon(self.receive_batch)

    def deliver(self, data: bytes) -> None:
        """Decodes a message and passes it to the receiver."""
        try:
            envelope = wire.decode(data)
        except wire.DecodeError:
            MALFORMED.inc()
            return
        self.receiver(envelope.sender, envelope.body)

    def connect(self, address: str) -> zmq.Socket:
        """Returns the socket to a peer; opens it on the first call."""
        dealer = self.dealers.get(address)
        if dealer is None:
            dealer = self.context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
            dealer.setsockopt(zmq.IMMEDIATE, 1)
            dealer.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
            dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
            dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            dealer.connect(f"tcp://{address}")
            self.dealers[address] = dealer
        return dealer

    def send(self, address: str, message: wire.Message) -> bool:
        """Sends a message.

        Returns:
            False if the peer's queue is full or the peer is not connected.
        """
        if address == self.address:
            self.loop.call_soon(self.receiver, self.address, message)
            return True
        data = wire.encode(wire.Envelope(sender=self.address, body=message))
        try:
            self.connect(address).send(data, zmq.NOBLOCK)
        except zmq.Again:
            UNSENT.inc()
            return False
        SENT_BYTES.inc(len(data))
        return True

    def disconnect(self, address: str) -> None:
        """Closes the socket to a peer."""
        dealer = self.dealers.pop(address, None)
        if dealer is not None:
            dealer.close(linger=0)

    def stop(self) -> None:
        """Closes all sockets."""
        self.loop.remove_reader(self.router.fileno())
        self.router.close(linger=0)
        for address in list(self.dealers):
            self.disconnect(address)
        self.context.term()
