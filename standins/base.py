"""Common parts of the stand-ins: serving HTTP and stopping on a signal."""

import asyncio
from collections.abc import Callable
import json
import signal

from oleanderhoist.http import messages
from oleanderhoist.http import server
from oleanderhoist.http import serverconnection

STOP_GRACE_SECONDS = 0.2


async def serve(
    handlers: list[serverconnection.Handler],
    listen: list[str],
    *,
    server_type: Callable[..., server.Server] = server.Server,
) -> None:
    """Serves one handler on each address until SIGTERM or SIGINT.

    Prints the bound addresses as one line of JSON once all servers listen.

    Args:
        handlers: The handlers.
        listen: An address of each handler.
        server_type: Makes the HTTP servers.
    """
    servers = []
    for handler, address in zip(handlers, listen, strict=True):
        host, _, port = address.rpartition(":")
        http_server = server_type(handler=handler, host=host, port=int(port))
        await http_server.start()
        servers.append(http_server)
    print(json.dumps([f"{s.host}:{s.port}" for s in servers]), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    for http_server in servers:
        await http_server.stop(STOP_GRACE_SECONDS)


def text_response(status: int, text: str = "") -> messages.Response:
    """Returns a response with a plain text body."""
    return messages.Response(status=status, body=text.encode())
