"""Callers: send requests and check each answer against what was asked."""

import dataclasses
import hashlib
import json
import random
import time
import uuid

from oleanderhoist.http import client
from oleanderhoist.http import messages

TIMEOUT_SECONDS = 40.0

COMPLETE = "complete"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
WRONG = "wrong"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request that callers send.

    Attributes:
        customer: Whose request it is.
        name: Kind of work.
        method: HTTP method.
        path: Path, with ``{key}`` for the key.
        keys: Number of keys to draw from.
        body_bytes: Size of the body.
        weight: Part of the mix.
        idempotent: Whether it carries an Idempotency-Key.
    """

    customer: str
    name: str
    method: str
    path: str
    keys: int = 1
    body_bytes: int = 0
    weight: float = 1.0
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Told:
    """What a caller was told of one request."""

    kind: str
    nonce: str
    outcome: str
    code: str
    seconds: float
    began: float
    entry: str
    detail: str = ""


MIX = [
    Kind(
        customer="guild",
        name="phase-tables",
        method="GET",
        path="/phase-tables/{key}",
        keys=2_000,
        weight=30,
    ),
    Kind(
        customer="guild",
        name="orders",
        method="POST",
        path="/orders",
        body_bytes=300,
        weight=8,
        idempotent=True,
    ),
    Kind(
        customer="guild",
        name="proofs",
        method="POST",
        path="/proofs",
        body_bytes=200_000,
        weight=2,
    ),
    Kind(
        customer="guild",
        name="archive",
        method="GET",
        path="/archive/{key}",
        keys=500,
        weight=3,
    ),
    Kind(
        customer="council",
        name="routes",
        method="GET",
        path="/routes/{key}",
        keys=2_000,
        weight=30,
    ),
    Kind(
        customer="council",
        name="bookings",
        method="POST",
        path="/bookings",
        body_bytes=300,
        weight=8,
        idempotent=True,
    ),
    Kind(
        customer="council",
        name="case-files",
        method="POST",
        path="/case-files",
        body_bytes=200_000,
        weight=2,
    ),
    Kind(
        customer="council",
        name="reports",
        method="GET",
        path="/reports/{key}",
        keys=500,
        weight=3,
    ),
]

REPEATABLE = frozenset(kind.name for kind in MIX if kind.method == "GET")


class Caller:
    """Sends requests to entries.

    Args:
        entries: Address of each entry by name.
        rng: Source of chance.
    """

    def __init__(self, *, entries: dict[str, str], rng: random.Random):
        self.rng = rng
        self.clients: dict[str, client.Client] = {}
        for name, address in entries.items():
            self.add(name, address)

    def add(self, name: str, address: str) -> None:
        """Adds an entry, or gives one a new address."""
        parsed = client.Address.parse(address)
        self.clients[name] = client.Client(address=parsed)

    async def send(
        self,
        kind: Kind,
        *,
        entry: str | None = None,
        idempotency_key: str = "",
        nonce: str = "",
        timeout: float = TIMEOUT_SECONDS,
    ) -> Told:
        """Sends one request and judges the answer."""
        entry = entry or self.rng.choice(sorted(self.clients))
        nonce = nonce or uuid.UUID(int=self.rng.getrandbits(128)).hex
        path = kind.path.replace("{key}", f"k{self.rng.randrange(kind.keys)}")
        body = (nonce.encode() * (kind.body_bytes // 32 + 1))[: kind.body_bytes]
        headers = [
            (b"authorization", f"Bearer {kind.customer}-credential".encode()),
            (b"x-nonce", nonce.encode()),
        ]
        if kind.idempotent:
            key = idempotency_key or nonce
            headers.append((b"idempotency-key", key.encode()))
        wall = time.time()
        began = time.monotonic()
        outcome, code, detail = await self.exchange(
            entry, kind, path, headers, body, nonce, timeout
        )
        return Told(
            kind=kind.name,
            nonce=nonce,
            outcome=outcome,
            code=code,
            seconds=time.monotonic() - began,
            began=wall,
            entry=entry,
            detail=detail,
        )

    async def exchange(
        self,
        entry: str,
        kind: Kind,
        path: str,
        headers: messages.Headers,
        body: bytes,
        nonce: str,
        timeout: float,
    ) -> tuple[str, str, str]:
        """Returns outcome, code and detail of one exchange."""
        try:
            response = await self.clients[entry].request(
                kind.method, path, timeout=timeout, headers=headers, body=body
            )
        except client.ExchangeError as error:
            outcome = UNKNOWN if error.maybe_sent else NOT_RUN
            return outcome, "transport", str(error)
        outcome = messages.find(response.headers, b"oleander-outcome")
        code = messages.find(response.headers, b"oleander-code") or ""
        if outcome is None:
            return WRONG, code, f"status {response.status} without an outcome"
        if outcome != COMPLETE:
            return outcome, code, response.body.decode("utf-8", "replace")
        problem = judge(response, path, body, nonce)
        return (WRONG if problem else COMPLETE), code, problem


def judge(
    response: messages.Response, path: str, body: bytes, nonce: str
) -> str:
    """Returns what is wrong with an answer; empty when it is right."""
    try:
        answer = json.loads(response.body)
    except ValueError:
        return f"status {response.status}, not JSON: {response.body[:60]!r}"
    wanted = {
        "path": path,
        "nonce": nonce,
        "body_sha256": hashlib.sha256(body).hexdigest(),
    }
    for name, value in wanted.items():
        if answer.get(name) != value:
            return f"{name} is {answer.get(name)!r}, not {value!r}"
    return ""
