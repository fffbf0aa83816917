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
from soak import records
from standins import bodies
from standins import platform_system

TIMEOUT_SLACK_SECONDS = 0.5
UNREPEATABLE_SHARE = 0.4
PROBE_SHARE = 0.2  # Of lookups: on the route that the newest contracts added.
IDLE_SECONDS = 12.0
MEAN_PAUSE_SECONDS = 0.03
KEY_COUNT = 65_536
MIN_LONG_WORK_SECONDS = 0.2
MAX_LONG_WORK_SECONDS = 4.0
ORDER_BYTES = 20
UPLOAD_SHARE = 0.1  # Of what is not repeatable.
UPLOAD_BYTES = (100_000, 500_000)
SIGNATURE = b"response-signature"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What callers send.

    Attributes:
        long_share: Share of requests whose work takes long.
        deadline_seconds: Time that a caller gives its request; the timeout of
            all routes.
        slots: Slots of each server.
        connections: Connections that a server accepts; 0 for any number.
    """

    long_share: float = 0.0
    deadline_seconds: float = 2.0
    slots: int = platform_system.SERVER_SLOTS
    connections: int = 0

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
        self.finishing = False
        self.client = client.Client(
            address=client.Address(
                host=f"{system.subnet}.{router}",
                port=platform_system.FRONT_PORT,
            )
        )

    async def run(self) -> None:
        """Sends requests until it is told to finish."""
        while not self.finishing:
            await self.send()
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def send(self) -> None:
        """Sends one request and records its answer."""
        id = f"{self.name}-{next(self.counter)}"
        repeatable = self.rng.random() > UNREPEATABLE_SHARE
        path, body_bytes = self.draw_target(repeatable)
        probe_version = 0
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
        router = f"r{self.router}"
        self.checker.requests[id] = records.Request(
            router=router, sent_at=sent_at
        )
        status, body, signature = 0, b"", ""
        error_text, reached_router = "", True
        try:
            response = await self.exchange(id, path, body_bytes, work_seconds)
            status, body = response.status, response.body
            signature = messages.find(response.headers, SIGNATURE) or ""
        except exchanges.ExchangeError as error:
            error_text = str(error)
            reached_router = error.maybe_sent
        self.checker.record_answer(
            records.Answer(
                id=id,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                router=router,
                status=status,
                body_matches=body == bodies.answer(id),
                repeatable=repeatable,
                keyed=platform_system.pool_for(path) == "tables",
                probe_version=probe_version,
                reused=opened_before == self.client.opened,
                error=error_text,
                reached_router=reached_router,
                deadline=sent_at + self.load.deadline_seconds,
                work_seconds=work_seconds,
                signature=signature,
            )
        )

    def draw_target(self, repeatable: bool) -> tuple[str, int]:
        """Draws the path of a request and the size of its body."""
        if repeatable:
            return "/look/", 0
        if self.rng.random() < UPLOAD_SHARE:
            size_bytes = self.rng.randint(*UPLOAD_BYTES)
            return platform_system.UPLOAD_PREFIX, size_bytes
        return "/order/", ORDER_BYTES

    async def exchange(
        self, id: str, path: str, body_bytes: int, work_seconds: float
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
            "POST" if body_bytes else "GET",
            f"{path}{key}{query}",
            timeout=self.load.deadline_seconds + TIMEOUT_SLACK_SECONDS,
            headers=headers,
            body=bodies.request(id, body_bytes),
            idle_seconds=IDLE_SECONDS,
            host=b"a.example",
        )
