"""What every stand-in does: serve HTTP, print its addresses, stop cleanly."""

import asyncio
import json
import signal

from oleanderhoist.http import messages
from oleanderhoist.http import server


async def serve(handlers: list[server.Handler], listen: list[str]) -> None:
    """Serves one handler on each address until SIGTERM or SIGINT.

    Prints one JSON line with the real addresses when all are bound.
    """
    servers = []
    for handler, address in zip(handlers, listen, strict=True):
        host, _, port = address.rpartition(":")
        one = server.Server(handler=handler, host=host, port=int(port))
        await one.start()
        servers.append(one)
    print(json.dumps([f"{s.host}:{s.port}" for s in servers]), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    for one in servers:
        await one.stop(0.2)


def plain(status: int, text: str = "") -> messages.Response:
    """Returns a short text answer."""
    return messages.Response(status=status, body=text.encode())
