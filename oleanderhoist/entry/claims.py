"""Claims on Idempotency-Keys, one record of the table each.

A claim is created conditionally before the one send, so that of any number of
entries at most one sends. Its record then takes the outcome.
"""

import asyncio
import base64
from collections.abc import Coroutine
import dataclasses
import hashlib

from oleanderhoist import clock
from oleanderhoist.clients import table
from oleanderhoist.http import messages
from oleanderhoist.policy import ratelimits

CLAIMS_PREFIX = "claims/"
KEPT_BODY_BYTES = 8_192
CHECKS_PER_SECOND = 50.0
DOWN_SECONDS = 0.5
CLEANUP_SECONDS = 1.0

RUNNING = "running"
DONE = "done"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fresh:
    """The key was not used before; this entry holds the claim."""

    key: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replay:
    """The request ran earlier.

    Attributes:
        response: Its answer, or None when it was too large to keep.
    """

    response: messages.Response | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Running:
    """Another try holds the claim; it may or may not have run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The key was used for another request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The table does not answer; nothing was sent."""


Claim = Fresh | Replay | Running | Mismatch | Unavailable


class Claims:
    """Claims Idempotency-Keys.

    Args:
        table: The table client.
        clock: Time source.
    """

    def __init__(self, *, table: table.TableClient, clock: clock.Clock):
        self.table = table
        self.clock = clock
        self.down_until = 0.0
        self.checks = ratelimits.TokenBucket(
            tokens=CHECKS_PER_SECOND, updated_at=clock.monotonic()
        )
        self.cleanups: set[asyncio.Task] = set()

    async def claim(
        self, customer: str, idempotency_key: str, fingerprint: str
    ) -> Claim:
        """Claims a key for one send.

        Args:
            customer: Whose key it is.
            idempotency_key: The caller's key.
            fingerprint: Tells one request from another.
        """
        if self.clock.monotonic() < self.down_until:
            return Unavailable()
        key = record_key(customer, idempotency_key)
        value = {"state": RUNNING, "fingerprint": fingerprint}
        match await self.table.put(key, value, expected=None):
            case table.Written(version=version):
                return Fresh(key=key, version=version, value=value)
            case table.Unresolved(token=token):
                self.note_failure()
                self.spawn(self.withdraw(key, token))
                return Unavailable()
        return await self.existing(key, fingerprint) or Running()

    async def check(
        self, customer: str, idempotency_key: str, fingerprint: str
    ) -> Claim | None:
        """Returns what an earlier try under a key says, without claiming it.

        Returns:
            None when there was no earlier try; Unavailable when the table
            does not answer or too many checks were made.
        """
        now = self.clock.monotonic()
        if now < self.down_until:
            return Unavailable()
        if not self.checks.take(CHECKS_PER_SECOND, CHECKS_PER_SECOND, now):
            return Unavailable()
        key = record_key(customer, idempotency_key)
        return await self.existing(key, fingerprint)

    async def existing(self, key: str, fingerprint: str) -> Claim | None:
        """Returns what an earlier claim says; None when there is none."""
        try:
            record = await self.table.get(key)
        except table.TableError:
            self.note_failure()
            return Unavailable()
        if record is None:
            return None
        if record.value["fingerprint"] != fingerprint:
            return Mismatch()
        if record.value["state"] != DONE:
            return Running()
        return Replay(response=restore(record.value))

    def note_failure(self) -> None:
        """Spares the table, and the callers the wait, for a moment."""
        self.down_until = self.clock.monotonic() + DOWN_SECONDS

    async def finish(self, claim: Fresh, response: messages.Response) -> None:
        """Records the answer, so that a resubmission receives it."""
        value = {**claim.value, "state": DONE, **keep(response)}
        await self.table.put(claim.key, value, expected=claim.version)

    async def abandon(self, claim: Fresh) -> None:
        """Frees a key whose request was surely not run.

        Tries once, so that the caller is not kept waiting; while the table
        is down the rest is done in the background.
        """
        try:
            await self.table.delete(claim.key, expected=claim.version)
        except table.TableError:
            self.note_failure()
            self.spawn(self.free(claim.key, claim.version))

    async def free(self, key: str, version: int) -> None:
        """Deletes a claim, trying again while the table is down."""
        while True:
            try:
                await self.table.delete(key, expected=version)
                return
            except table.TableError:
                await asyncio.sleep(CLEANUP_SECONDS)

    async def withdraw(self, key: str, token: str) -> None:
        """Deletes a claim whose write may yet have taken effect."""
        while True:
            await asyncio.sleep(CLEANUP_SECONDS)
            try:
                record = await self.table.get(key)
            except table.TableError:
                continue
            if record is not None and record.value[table.TOKEN_FIELD] == token:
                await self.free(key, record.version)
            return

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Runs a clean-up in the background."""
        task = asyncio.create_task(work)
        self.cleanups.add(task)
        task.add_done_callback(self.cleanups.discard)


def record_key(customer: str, idempotency_key: str) -> str:
    """Returns the key of a claim's record."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{customer}/{digest}"


def keep(response: messages.Response) -> dict:
    """Returns the parts of an answer that a replay needs."""
    if response.stream is not None or len(response.body) > KEPT_BODY_BYTES:
        return {"kept": False}
    kind = messages.find(response.headers, b"content-type") or ""
    return {
        "kept": True,
        "status": response.status,
        "content_type": kind,
        "body": base64.b64encode(response.body).decode("ascii"),
    }


def restore(value: dict) -> messages.Response | None:
    """Returns the kept answer."""
    if not value["kept"]:
        return None
    headers = []
    if value["content_type"]:
        headers.append((b"content-type", value["content_type"].encode()))
    return messages.Response(
        status=value["status"],
        headers=headers,
        body=base64.b64decode(value["body"]),
    )
