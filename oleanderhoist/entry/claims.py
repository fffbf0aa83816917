"""Claims on Idempotency-Keys, stored as one table record each.

A claim is created by a conditional write before the request is sent, so that
at most one entry sends it. The record then stores the response.
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
MAX_KEPT_BODY_BYTES = 8_192
MAX_CHECKS_PER_SECOND = 50.0
# While the table fails, requests are refused at once instead of waiting for it.
TABLE_BACKOFF_SECONDS = 0.5
CLEANUP_RETRY_SECONDS = 1.0

RUNNING = "running"
DONE = "done"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acquired:
    """The Idempotency-Key was unused; this entry holds the claim.

    Attributes:
        key: Key of the claim's record.
        version: Version of the record.
        value: Value of the record.
    """

    key: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replay:
    """The request ran earlier under the same Idempotency-Key.

    Attributes:
        response: The stored response, or None if it was too large to store.
    """

    response: messages.Response | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another submission holds the claim; it may or may not have run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mismatch:
    """The Idempotency-Key was used for a different request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The table is unavailable; nothing was sent."""


ClaimResult = Acquired | Replay | InProgress | Mismatch | Unavailable


class Claims:
    """Claims Idempotency-Keys.

    Args:
        table: The table client.
        clock: Time source.
    """

    def __init__(self, *, table: table.TableClient, clock: clock.Clock):
        self.table = table
        self.clock = clock
        self.backoff_until = 0.0
        self.check_bucket = ratelimits.TokenBucket(
            tokens=MAX_CHECKS_PER_SECOND, updated_at=clock.monotonic()
        )
        self.cleanup_tasks: set[asyncio.Task] = set()

    async def claim(
        self, customer: str, idempotency_key: str, fingerprint: str
    ) -> ClaimResult:
        """Claims an Idempotency-Key before its request is sent.

        A claim whose caller is cancelled is withdrawn in the background.

        Args:
            customer: Customer that sent the request.
            idempotency_key: Value of the Idempotency-Key header.
            fingerprint: Hash that identifies the request.
        """
        claiming = asyncio.create_task(
            self.write_claim(customer, idempotency_key, fingerprint)
        )
        try:
            return await asyncio.shield(claiming)
        except asyncio.CancelledError:
            self.run_in_background(self.withdraw(claiming))
            raise

    async def withdraw(self, claiming: asyncio.Task[ClaimResult]) -> None:
        """Deletes the claim that a task acquires."""
        claim = await claiming
        if isinstance(claim, Acquired):
            await self.delete_claim(claim.key, claim.version)

    async def write_claim(
        self, customer: str, idempotency_key: str, fingerprint: str
    ) -> ClaimResult:
        """Writes a claim, or reads the earlier one."""
        if self.clock.monotonic() < self.backoff_until:
            return Unavailable()
        key = record_key(customer, idempotency_key)
        value = {"state": RUNNING, "fingerprint": fingerprint}
        match await self.table.put(key, value, expected=None):
            case table.Written(version=version):
                return Acquired(key=key, version=version, value=value)
            case table.Unresolved(token=token):
                self.start_backoff()
                self.run_in_background(self.delete_unresolved(key, token))
                return Unavailable()
        return await self.read_claim(key, fingerprint) or InProgress()

    async def check(
        self, customer: str, idempotency_key: str, fingerprint: str
    ) -> ClaimResult | None:
        """Returns the state of an Idempotency-Key without claiming it.

        Returns:
            None if it is unclaimed; Unavailable if the table is
            unavailable or the rate of checks is exceeded.
        """
        now = self.clock.monotonic()
        if now < self.backoff_until:
            return Unavailable()
        if not self.check_bucket.take(
            MAX_CHECKS_PER_SECOND, MAX_CHECKS_PER_SECOND, now
        ):
            return Unavailable()
        key = record_key(customer, idempotency_key)
        return await self.read_claim(key, fingerprint)

    async def read_claim(
        self, key: str, fingerprint: str
    ) -> ClaimResult | None:
        """Returns the state of an earlier claim, or None if there is none."""
        try:
            record = await self.table.get(key)
        except table.TableError:
            self.start_backoff()
            return Unavailable()
        if record is None:
            return None
        if record.value["fingerprint"] != fingerprint:
            return Mismatch()
        if record.value["state"] != DONE:
            return InProgress()
        return Replay(response=unpack_response(record.value))

    def start_backoff(self) -> None:
        """Stops claims and checks for TABLE_BACKOFF_SECONDS."""
        self.backoff_until = self.clock.monotonic() + TABLE_BACKOFF_SECONDS

    async def complete(
        self, claim: Acquired, response: messages.Response
    ) -> None:
        """Stores the response, so that a resubmission receives it.

        Goes on in the background if its caller is cancelled.
        """
        await asyncio.shield(
            self.run_in_background(self.write_response(claim, response))
        )

    async def write_response(
        self, claim: Acquired, response: messages.Response
    ) -> None:
        """Stores a response in the claim's record."""
        value = {**claim.value, "state": DONE, **pack_response(response)}
        await self.table.put(claim.key, value, expected=claim.version)

    async def abandon(self, claim: Acquired) -> None:
        """Deletes the claim of a request that certainly did not run.

        Tries once while the caller waits; if the table is unavailable, the
        claim is deleted in the background, as it is if the caller is cancelled.
        """
        try:
            await self.table.delete(claim.key, expected=claim.version)
        except (table.TableError, asyncio.CancelledError) as error:
            self.run_in_background(self.delete_claim(claim.key, claim.version))
            if isinstance(error, asyncio.CancelledError):
                raise
            self.start_backoff()

    async def delete_claim(self, key: str, version: int) -> None:
        """Deletes a claim, with retries while the table is unavailable."""
        while True:
            try:
                await self.table.delete(key, expected=version)
                return
            except table.TableError:
                await asyncio.sleep(CLEANUP_RETRY_SECONDS)

    async def delete_unresolved(self, key: str, token: str) -> None:
        """Deletes a claim whose unconfirmed write may have taken effect."""
        while True:
            await asyncio.sleep(CLEANUP_RETRY_SECONDS)
            try:
                record = await self.table.get(key)
            except table.TableError:
                continue
            if record is not None and record.value[table.TOKEN_FIELD] == token:
                await self.delete_claim(key, record.version)
            return

    async def wait_for_cleanups(self, timeout: float) -> None:
        """Waits for the background tasks, for at most `timeout` seconds."""
        if self.cleanup_tasks:
            await asyncio.wait(self.cleanup_tasks, timeout=timeout)

    def run_in_background(
        self, cleanup: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Runs a cleanup in a background task."""
        task = asyncio.create_task(cleanup)
        self.cleanup_tasks.add(task)
        task.add_done_callback(self.cleanup_tasks.discard)
        return task


def record_key(customer: str, idempotency_key: str) -> str:
    """Returns the key of a claim's record."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{customer}/{digest}"


def pack_response(response: messages.Response) -> dict:
    """Returns the fields of a record that store a response."""
    if response.stream is not None or len(response.body) > MAX_KEPT_BODY_BYTES:
        return {"kept": False}
    content_type = messages.find(response.headers, b"content-type") or ""
    return {
        "kept": True,
        "status": response.status,
        "content_type": content_type,
        "body": base64.b64encode(response.body).decode("ascii"),
    }


def unpack_response(value: dict) -> messages.Response | None:
    """Returns the stored response, or None if it was too large to store."""
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
