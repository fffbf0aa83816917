"""HTTP/1.1 server: the listener and its stop."""

import asyncio

from oleanderhoist import deadline
from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import heldmemory
from oleanderhoist.http import serverconnection
from oleanderhoist.http import streams

LISTEN_BACKLOG = 1024  # Connections that wait to be accepted.
ARRIVAL_SECONDS = 0.05  # Lets the last accepted connections register.
# After a stall, lets responses be written that became due within it.
LAST_TURN_SECONDS = 0.05


class Server:
    """Serves one listening socket.

    Args:
        handler: Returns the response to a request.
        host: IP address to listen on.
        port: Port to listen on; 0 picks a free one.
        head_seconds: Longest wait for more bytes of a request head, in seconds.
        cancel_on_disconnect: Whether a handler is cancelled once its caller has
            closed the connection.

    Attributes:
        settings: Settings of all connections; they may change at any time.
        connections: Open connections.
        connection_limit: Largest number of them; None for any.
    """

    def __init__(
        self,
        *,
        handler: serverconnection.Handler,
        host: str,
        port: int,
        head_seconds: float = serverconnection.HEAD_SECONDS,
        cancel_on_disconnect: bool = False,
    ):
        self.host = host
        self.port = port
        self.settings = serverconnection.Settings(
            handler=handler,
            port=port,
            head_seconds=head_seconds,
            cancel_on_disconnect=cancel_on_disconnect,
        )
        self.listener: asyncio.Server | None = None
        self.connections: set[serverconnection.ServerConnection] = set()
        self.connection_limit: int | None = None

    async def start(self) -> None:
        """Binds the socket and sets `port` to the actual port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: streams.make_protocol(self.accept),
            self.host,
            self.port,
            backlog=LISTEN_BACKLOG,
        )
        for listening in self.listener.sockets:
            streams.bound_buffers(listening)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.settings.port = self.port

    async def accept(
        self, reader: streams.Reader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it closes."""
        if not self.make_room():
            heldmemory.reset(writer)
            return
        connection = serverconnection.ServerConnection(
            settings=self.settings, reader=reader, writer=writer
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        except (TimeoutError, OSError):
            heldmemory.reset(writer)
        finally:
            await connection.close()
            self.connections.discard(connection)

    def make_room(self) -> bool:
        """Returns whether there is room for one more connection.

        If there are too many, the one that has been without a whole request
        for longest is closed; one with a part of a request after idle ones.
        """
        if (
            self.connection_limit is None
            or len(self.connections) < self.connection_limit
        ):
            return True
        waiting = [one for one in self.connections if one.awaits_request]
        log.write_limited(
            events.CONNECTIONS_FULL,
            port=self.port,
            connections=len(self.connections),
            waiting=len(waiting),
        )
        if not waiting:
            return False
        longest = min(waiting, key=lambda one: (one.unanswered, one.idle_since))
        self.connections.discard(longest)
        heldmemory.reset(longest.writer)
        return True

    async def stop(self, grace: float) -> None:
        """Stops accepting, awaits running exchanges, then closes connections.

        A connection that was just accepted may have no task yet, so the
        connections are checked again until none is left.

        Args:
            grace: Longest time to wait for running exchanges, in seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + grace - LAST_TURN_SECONDS
        await deadline.catch_up()  # Connections that wait to be accepted.
        if self.listener is not None:
            self.listener.close()
        await asyncio.sleep(min(grace, ARRIVAL_SECONDS))
        await deadline.catch_up()  # Requests that came in a stall.
        log.write(
            events.EXCHANGES_AWAITED,
            port=self.port,
            connections=len(self.connections),
            unanswered=sum(c.unanswered for c in self.connections),
            grace_s=round(grace, 3),
        )
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
        if self.connections:
            await asyncio.sleep(min(grace, LAST_TURN_SECONDS))
            await deadline.catch_up()
            await deadline.catch_up()  # After the deadline of a response.
        for connection in list(self.connections):
            connection.cut()
