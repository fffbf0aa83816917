"""Callers that reuse a connection until its router closes it."""

import asyncio
import itertools
import random
import time

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from soak import invariants
from standins import platform_system

DEADLINE_SECONDS = 2.0
TIMEOUT_SLACK_SECONDS = 0.5
UNREPEATABLE_SHARE = 0.4
PROBE_SHARE = 0.2  # Of lookups: on the route that the newest contracts added.
IDLE_SECONDS = 12.0
MEAN_PAUSE_SECONDS = 0.03
KEY_COUNT = 65_536


class Caller:
    """Sends requests to one router over a persistent connection.

    Args:
        name: Prefix of the ids of its requests.
        router: Last octet of the router's address.
        system: System that the router belongs to.
        checker: Records the answers.
        seed: Seed of the random numbers.
    """

    def __init__(
        self,
        *,
        name: str,
        router: int,
        system: platform_system.System,
        checker: invariants.Checker,
        seed: int,
    ):
        self.name = name
        self.router = router
        self.checker = checker
        self.rng = random.Random(f"{seed}-{name}")
        self.counter = itertools.count(1)
        self.client = client.Client(
            address=client.Address(
                host=f"{system.subnet}.{router}",
                port=platform_system.FRONT_PORT,
            )
        )

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await self.send()
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def send(self) -> None:
        """Sends one request and records its answer."""
        id = f"{self.name}-{next(self.counter)}"
        repeatable = self.rng.random() > UNREPEATABLE_SHARE
        path, probe_version = ("/look/" if repeatable else "/order/"), 0
        if (
            repeatable
            and self.checker.contract_changes
            and self.rng.random() < PROBE_SHARE
        ):
            probe_version = max(self.checker.contract_changes)
            path = platform_system.probe_prefix(probe_version)
        sent_at = time.monotonic()
        opened_before = self.client.opened
        status, body, error_text, reached_router = 0, b"", "", True
        try:
            response = await self.exchange(id, repeatable, path)
            status, body = response.status, response.body
        except exchanges.ExchangeError as error:
            error_text = str(error)
            reached_router = error.maybe_sent
        self.checker.record_answer(
            invariants.Answer(
                id=id,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                router=f"r{self.router}",
                status=status,
                body_matches=body.startswith(f"done {id} ".encode()),
                repeatable=repeatable,
                probe_version=probe_version,
                reused=opened_before == self.client.opened,
                error=error_text,
                reached_router=reached_router,
            )
        )

    async def exchange(
        self, id: str, repeatable: bool, path: str
    ) -> messages.Response:
        """Performs one exchange.

        Raises:
            exchanges.ExchangeError: No complete response arrived.
        """
        key = self.rng.randrange(KEY_COUNT)
        headers = [
            (b"request-id", id.encode()),
            (b"deadline-ms", b"%d" % (DEADLINE_SECONDS * 1000)),
            (b"shard-key", b"%d" % key),
        ]
        return await self.client.request(
            "GET" if repeatable else "POST",
            f"{path}{key}",
            timeout=DEADLINE_SECONDS + TIMEOUT_SLACK_SECONDS,
            headers=headers,
            body=b"" if repeatable else b"order",
            idle_seconds=IDLE_SECONDS,
            host=b"a.example",
        )
