"""TCP proxies that inject network faults between two processes."""

import asyncio
import contextlib
import dataclasses
import socket

CHUNK_BYTES = 65_536


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults that a proxy injects.

    Attributes:
        delay_seconds: Delay in each direction, in seconds.
        refuse_connections: Whether new connections are reset.
        blackhole_forward: Whether bytes to the server are discarded.
        blackhole_back: Whether bytes to the client are discarded.
        drop_replies: Number of replies still to discard. Each drop resets
            the connection, after the request was delivered.
        truncate: Number of replies still to truncate. Only half of the first
            chunk is sent.
    """

    delay_seconds: float = 0.0
    refuse_connections: bool = False
    blackhole_forward: bool = False
    blackhole_back: bool = False
    drop_replies: int = 0
    truncate: int = 0


class Proxy:
    """Forwards connections from clients to one server.

    Args:
        target: ``host:port`` of the server.

    Attributes:
        reserved: Keeps the port while the proxy does not listen.
    """

    def __init__(self, *, target: str):
        self.target = target
        self.faults = Faults()
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.reserved: socket.socket | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.blackholed: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self, address: str) -> None:
        """Listens on ``host:port``."""
        host, _, port = address.rpartition(":")
        if self.reserved is None:
            self.reserved = socket.socket()
            self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.reserved.bind((host, int(port)))
            port = self.reserved.getsockname()[1]
        self.listener = await asyncio.start_server(
            self.accept, host, int(port), reuse_port=True
        )
        bound = self.listener.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Refuses connections, as an address does where nobody listens."""
        self.listener.close()

    async def reopen(self) -> None:
        """Accepts connections at the same address again."""
        if not self.listener.is_serving():
            await self.start(self.address)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection."""
        if self.faults.refuse_connections:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, server_writer}
        self.writers |= ends
        tasks = {
            asyncio.create_task(
                self.forward(reader, server_writer, to_client=False)
            ),
            asyncio.create_task(
                self.forward(server_reader, writer, to_client=True)
            ),
        }
        self.tasks |= tasks
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in ends:
            end.close()
        self.writers -= ends
        self.blackholed -= ends
        self.tasks -= tasks

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_client: bool,
    ) -> None:
        """Forwards the bytes of one direction."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                faults = self.faults
                if writer in self.blackholed:
                    continue
                if (
                    faults.blackhole_back
                    if to_client
                    else faults.blackhole_forward
                ):
                    continue
                if to_client and faults.drop_replies > 0:
                    faults.drop_replies -= 1
                    writer.transport.abort()
                    return
                if to_client and faults.truncate > 0:
                    faults.truncate -= 1
                    writer.write(data[: len(data) // 2])
                    return
                if faults.delay_seconds:
                    loop.call_later(
                        faults.delay_seconds, self.write_delayed, writer, data
                    )
                else:
                    writer.write(data)
            # The connection closes afterwards: let delayed bytes arrive first.
            if self.faults.delay_seconds:
                await asyncio.sleep(self.faults.delay_seconds)

    def write_delayed(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes delayed bytes unless the connection is closing."""
        if not writer.is_closing():
            writer.write(data)

    def disconnect(self) -> None:
        """Resets all connections and refuses new ones."""
        self.faults.refuse_connections = True
        for writer in list(self.writers):
            writer.transport.abort()

    def blackhole_connections(self) -> None:
        """Discards all further bytes of open connections; new ones work."""
        self.blackholed |= self.writers

    def heal(self) -> None:
        """Clears all faults.

        Resets all connections if bytes were discarded in one direction,
        since their streams are incomplete.
        """
        lost_bytes = self.faults.blackhole_forward or self.faults.blackhole_back
        self.faults = Faults()
        if lost_bytes:
            for writer in list(self.writers):
                writer.transport.abort()

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self.listener.close()
        self.reserved.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


class Proxies:
    """Proxies of a test cluster by name."""

    def __init__(self):
        self.by_name: dict[str, Proxy] = {}

    async def route(self, name: str, target: str) -> str:
        """Returns the address of the proxy of a target.

        The proxy of a known name keeps its address and forwards to the new
        target, so that a process can be replaced.
        """
        if name not in self.by_name:
            self.by_name[name] = Proxy(target=target)
            await self.by_name[name].start("127.0.0.1:0")
        self.by_name[name].target = target
        await self.by_name[name].reopen()
        return self.by_name[name].address

    async def stop(self) -> None:
        """Closes all proxies."""
        for proxy in self.by_name.values():
            await proxy.stop()
