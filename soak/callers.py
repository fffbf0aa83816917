"""Callers that keep connections open until the other end is gone."""

import asyncio
import itertools
import random
import time

from oleanderhoist.http import client
from oleanderhoist.http import messages
from soak import promises
from standins import platform_system

DEADLINE_SECONDS = 2.0
SLACK_SECONDS = 0.5
UNREPEATABLE_SHARE = 0.4
PROBE_SHARE = 0.2  # Lookups on the route that the newest contracts added.
IDLE_SECONDS = 12.0
PAUSE_SECONDS = 0.03


class Caller:
    """Sends requests to one router, over a connection that it keeps.

    Args:
        name: Name that its requests' ids begin with.
        router: Number of the router.
        system: The routers.
        found: Takes in what it sees.
        seed: Seed of what it draws.
    """

    def __init__(
        self,
        *,
        name: str,
        router: int,
        system: platform_system.System,
        found: promises.Promises,
        seed: int,
    ):
        self.name = name
        self.router = router
        self.found = found
        self.rng = random.Random(f"{seed}-{name}")
        self.numbers = itertools.count(1)
        self.kept = client.Client(
            address=client.Address(
                host=f"{system.subnet}.{router}",
                port=platform_system.FRONT_PORT,
            )
        )

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await self.one()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))

    async def one(self) -> None:
        """Sends one request, and tells what came of it."""
        id = f"{self.name}-{next(self.numbers)}"
        repeatable = self.rng.random() > UNREPEATABLE_SHARE
        path, probe = ("/look/" if repeatable else "/order/"), 0
        if (
            repeatable
            and self.found.changed
            and self.rng.random() < PROBE_SHARE
        ):
            probe = max(self.found.changed)
            path = platform_system.probe_prefix(probe)
        sent = time.monotonic()
        opened = self.kept.opened
        status, body, failure, reached = 0, b"", "", True
        try:
            response = await self.exchange(id, repeatable, path)
            status, body = response.status, response.body
        except client.ExchangeError as error:
            failure = str(error)
            reached = error.maybe_sent
        self.found.take(
            promises.Answer(
                id=id,
                sent=sent,
                ended=time.monotonic(),
                router=f"r{self.router}",
                status=status,
                whole=body.startswith(f"done {id} ".encode()),
                repeatable=repeatable,
                probe=probe,
                reused=opened == self.kept.opened,
                error=failure,
                reached=reached,
            )
        )

    async def exchange(
        self, id: str, repeatable: bool, path: str
    ) -> messages.Response:
        """Performs one exchange.

        Raises:
            client.ExchangeError: No whole answer came.
        """
        key = self.rng.randrange(65_536)
        headers = [
            (b"request-id", id.encode()),
            (b"deadline-ms", b"%d" % (DEADLINE_SECONDS * 1000)),
            (b"shard-key", b"%d" % key),
        ]
        return await self.kept.request(
            "GET" if repeatable else "POST",
            f"{path}{key}",
            timeout=DEADLINE_SECONDS + SLACK_SECONDS,
            headers=headers,
            body=b"" if repeatable else b"order",
            idle_seconds=IDLE_SECONDS,
            host=b"a.example",
        )
