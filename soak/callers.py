"""Callers that reuse a connection until its router closes it."""

import asyncio
import dataclasses
import itertools
import random
import time

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from soak import invariants
from standins import platform_system

TIMEOUT_SLACK_SECONDS = 0.5
UNREPEATABLE_SHARE = 0.4
PROBE_SHARE = 0.2  # Of lookups: on the route that the newest contracts added.
IDLE_SECONDS = 12.0
MEAN_PAUSE_SECONDS = 0.03
KEY_COUNT = 65_536
MIN_LONG_WORK_SECONDS = 0.2
MAX_LONG_WORK_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What callers send.

    Attributes:
        long_share: Share of requests whose work takes long.
        deadline_seconds: Time that a caller gives its request; the timeout of
            all routes.
        slots: Slots of each server.
    """

    long_share: float = 0.0
    deadline_seconds: float = 2.0
    slots: int = platform_system.SERVER_SLOTS

    @property
    def max_work_seconds(self) -> float:
        """Longest work of a request."""
        return MAX_LONG_WORK_SECONDS if self.long_share else 0.0


SHORT_LOAD = Load()


def long_load(long_share: float) -> Load:
    """Returns a load with long work, for which requests wait for slots."""
    return Load(long_share=long_share, deadline_seconds=8.0, slots=1)


class Caller:
    """Sends requests to one router over a persistent connection.

    Args:
        name: Prefix of the ids of its requests.
        router: Last octet of the router's address.
        system: System that the router belongs to.
        checker: Records the answers.
        seed: Seed of the random numbers.
        load: What to send.
    """

    def __init__(
        self,
        *,
        name: str,
        router: int,
        system: platform_system.System,
        checker: invariants.Checker,
        seed: int,
        load: Load,
    ):
        self.load = load
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
        work_seconds = 0.0
        if self.rng.random() < self.load.long_share:
            work_seconds = self.rng.uniform(
                MIN_LONG_WORK_SECONDS, MAX_LONG_WORK_SECONDS
            )
        sent_at = time.monotonic()
        opened_before = self.client.opened
        status, body, error_text, reached_router = 0, b"", "", True
        try:
            response = await self.exchange(id, repeatable, path, work_seconds)
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
                deadline=sent_at + self.load.deadline_seconds,
                work_seconds=work_seconds,
            )
        )

    async def exchange(
        self, id: str, repeatable: bool, path: str, work_seconds: float
    ) -> messages.Response:
        """Performs one exchange.

        Raises:
            exchanges.ExchangeError: No complete response arrived.
        """
        key = self.rng.randrange(KEY_COUNT)
        query = f"?work_ms={work_seconds * 1000:.0f}" if work_seconds else ""
        headers = [
            (b"request-id", id.encode()),
            (b"deadline-ms", b"%d" % (self.load.deadline_seconds * 1000)),
            (b"shard-key", b"%d" % key),
        ]
        return await self.client.request(
            "GET" if repeatable else "POST",
            f"{path}{key}{query}",
            timeout=self.load.deadline_seconds + TIMEOUT_SLACK_SECONDS,
            headers=headers,
            body=b"" if repeatable else b"order",
            idle_seconds=IDLE_SECONDS,
            host=b"a.example",
        )
