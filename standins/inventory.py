"""Stand-in for the platform's configuration and lagging list of servers.

``PUT /servers`` sets the list. After ``PUT /lag`` with ``{"lag_ms": number}``,
``GET /servers`` returns the list as it was that long ago.
"""

import asyncio
import json
import time

import click

from oleanderhoist.http import messages
from standins import base


class Inventory:
    """Server list with its history."""

    def __init__(self):
        self.history: list[tuple[float, list]] = [(0.0, [])]
        self.lag_seconds = 0.0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request."""
        body = await request.read()
        if request.path == "/lag":
            self.lag_seconds = json.loads(body)["lag_ms"] / 1000
            return base.text_response(204)
        if request.path != "/servers":
            return base.text_response(404)
        if request.method == "PUT":
            self.history.append((time.monotonic(), json.loads(body)))
            return base.text_response(204)
        as_of = time.monotonic() - self.lag_seconds
        versions = [
            servers for set_at, servers in self.history if set_at <= as_of
        ]
        return messages.json_response(versions[-1])


@click.command()
@click.option("--listen", default="127.0.0.1:0")
def main(listen: str) -> None:
    """Runs the inventory stand-in."""
    asyncio.run(base.serve([Inventory().handle], [listen]))


if __name__ == "__main__":
    main()
