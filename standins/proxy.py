"""A TCP proxy that injects faults between two processes."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65_536


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What a proxy does to the bytes that pass.

    Attributes:
        delay: One-way delay, in seconds.
        refuse: New connections are reset.
        hole_forward: Bytes to the server vanish.
        hole_back: Bytes to the client vanish.
        drop_replies: So many replies are swallowed and their connections
            reset, after the request was delivered.
        truncate: So many replies are cut after half of their first bytes.
    """

    delay: float = 0.0
    refuse: bool = False
    hole_forward: bool = False
    hole_back: bool = False
    drop_replies: int = 0
    truncate: int = 0


class Proxy:
    """Stands between clients and one server.

    Args:
        target: ``host:port`` of the server.
    """

    def __init__(self, *, target: str):
        self.target = target
        self.faults = Faults()
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self, address: str) -> None:
        """Listens on ``host:port``."""
        host, _, port = address.rpartition(":")
        self.listener = await asyncio.start_server(self.accept, host, int(port))
        found = self.listener.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        tasks = {
            asyncio.create_task(self.carry(reader, far_writer, back=False)),
            asyncio.create_task(self.carry(far_reader, writer, back=True)),
        }
        self.tasks |= tasks
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for one in pair:
            one.close()
        self.writers -= pair
        self.silent -= pair
        self.tasks -= tasks

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        """Carries the bytes of one direction."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                faults = self.faults
                if writer in self.silent:
                    continue
                if faults.hole_back if back else faults.hole_forward:
                    continue
                if back and faults.drop_replies > 0:
                    faults.drop_replies -= 1
                    writer.transport.abort()
                    return
                if back and faults.truncate > 0:
                    faults.truncate -= 1
                    writer.write(data[: len(data) // 2])
                    return
                if faults.delay:
                    loop.call_later(faults.delay, self.late, writer, data)
                else:
                    writer.write(data)
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay)

    def late(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes delayed bytes unless the connection is gone."""
        if not writer.is_closing():
            writer.write(data)

    def cut(self) -> None:
        """Resets all connections and refuses new ones."""
        self.faults.refuse = True
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        self.silent |= self.writers

    def heal(self) -> None:
        """Ends all faults; connections that lost bytes are reset."""
        lossy = self.faults.hole_forward or self.faults.hole_back
        self.faults = Faults()
        if lossy:
            for writer in list(self.writers):
                writer.transport.abort()

    async def stop(self) -> None:
        """Closes everything."""
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


class Proxies:
    """One proxy for each route of a fleet."""

    def __init__(self):
        self.by_name: dict[str, Proxy] = {}

    async def route(self, name: str, target: str) -> str:
        """Returns the address that stands for a target.

        A name that is asked for again keeps its address and gets the new
        target, as when a process is replaced.
        """
        if name not in self.by_name:
            self.by_name[name] = Proxy(target=target)
            await self.by_name[name].start("127.0.0.1:0")
        self.by_name[name].target = target
        return self.by_name[name].address

    async def stop(self) -> None:
        """Closes all proxies."""
        for proxy in self.by_name.values():
            await proxy.stop()
