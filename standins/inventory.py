"""Stand-in for the platform's configuration and lagging list of servers.

``PUT /servers`` sets the list, ``PUT /lag`` with ``{"lag_ms": number}`` makes
``GET /servers`` answer with what was true that long ago.
"""

import asyncio
import json
import time

import click

from oleanderhoist.http import messages
from standins import base


class Inventory:
    """The list and its history."""

    def __init__(self):
        self.history: list[tuple[float, list]] = [(0.0, [])]
        self.lag_seconds = 0.0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        body = await request.read()
        if request.path == "/lag":
            self.lag_seconds = json.loads(body)["lag_ms"] / 1000
            return base.plain(204)
        if request.path != "/servers":
            return base.plain(404)
        if request.method == "PUT":
            self.history.append((time.monotonic(), json.loads(body)))
            return base.plain(204)
        seen = time.monotonic() - self.lag_seconds
        past = [servers for since, servers in self.history if since <= seen]
        return messages.json_response(past[-1])


@click.command()
@click.option("--listen", default="127.0.0.1:0")
def main(listen: str) -> None:
    """Runs the inventory stand-in."""
    asyncio.run(base.serve([Inventory().handle], [listen]))


if __name__ == "__main__":
    main()
