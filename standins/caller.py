"""Callers that send requests and verify each response."""

import dataclasses
import hashlib
import json
import random
import time
import uuid

from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages

TIMEOUT_SECONDS = 40.0
NONCE_BYTES = 32
MAX_EXCERPT_BYTES = 60

COMPLETE = "complete"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
WRONG = "wrong"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Template of the requests of one kind of work.

    Attributes:
        customer: Customer that sends the request.
        name: Kind of work.
        method: HTTP method.
        path: Path, with ``{key}`` in place of the key.
        keys: Number of keys to draw from.
        body_bytes: Size of the body.
        weight: Relative share of the traffic mix.
        idempotent: Whether requests carry an Idempotency-Key.
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
class Result:
    """Outcome of one request, as its caller saw it.

    Attributes:
        kind: Kind of work.
        nonce: Value that identifies the request in the servers' records.
        outcome: ``complete``, ``not-run``, ``unknown`` or ``wrong``.
        code: Code of the response; ``transport`` without one.
        seconds: Duration of the request.
        began: Start time, in wall-clock seconds.
        entry: Entry that the request was sent to.
        detail: Cause of any other outcome than ``complete``.
    """

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
        rng: Random number generator.
    """

    def __init__(self, *, entries: dict[str, str], rng: random.Random):
        self.rng = rng
        self.clients: dict[str, client.Client] = {}
        for name, address in entries.items():
            self.add(name, address)

    def add(self, name: str, address: str) -> None:
        """Adds an entry, or updates the address of one."""
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
    ) -> Result:
        """Sends one request and verifies the response."""
        entry = entry or self.rng.choice(sorted(self.clients))
        nonce = nonce or uuid.UUID(int=self.rng.getrandbits(128)).hex
        path = kind.path.replace("{key}", f"k{self.rng.randrange(kind.keys)}")
        body = (nonce.encode() * (kind.body_bytes // NONCE_BYTES + 1))[
            : kind.body_bytes
        ]
        headers = [
            (b"authorization", f"Bearer {kind.customer}-credential".encode()),
            (b"x-nonce", nonce.encode()),
        ]
        if kind.idempotent:
            key = idempotency_key or nonce
            headers.append((b"idempotency-key", key.encode()))
        began = time.time()
        began_monotonic = time.monotonic()
        outcome, code, detail = await self.exchange(
            entry, kind, path, headers, body, nonce, timeout
        )
        return Result(
            kind=kind.name,
            nonce=nonce,
            outcome=outcome,
            code=code,
            seconds=time.monotonic() - began_monotonic,
            began=began,
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
        """Performs one exchange; returns its outcome, code and detail."""
        try:
            response = await self.clients[entry].request(
                kind.method, path, timeout=timeout, headers=headers, body=body
            )
        except exchanges.ExchangeError as error:
            outcome = UNKNOWN if error.maybe_sent else NOT_RUN
            return outcome, "transport", str(error)
        outcome = messages.find(response.headers, b"oleander-outcome")
        code = messages.find(response.headers, b"oleander-code") or ""
        if outcome is None:
            return WRONG, code, f"status {response.status} without an outcome"
        if outcome != COMPLETE:
            return outcome, code, response.body.decode("utf-8", "replace")
        mismatch = find_mismatch(response, path, body, nonce)
        return (WRONG if mismatch else COMPLETE), code, mismatch


def find_mismatch(
    response: messages.Response, path: str, body: bytes, nonce: str
) -> str:
    """Returns the first mismatch in a response; empty if there is none."""
    try:
        answer = json.loads(response.body)
    except ValueError:
        excerpt = response.body[:MAX_EXCERPT_BYTES]
        return f"status {response.status}, not JSON: {excerpt!r}"
    expected = {
        "path": path,
        "nonce": nonce,
        "body_sha256": hashlib.sha256(body).hexdigest(),
    }
    for name, value in expected.items():
        if answer.get(name) != value:
            return f"{name} is {answer.get(name)!r}, not {value!r}"
    return ""
