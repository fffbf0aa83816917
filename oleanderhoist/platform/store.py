"""Client of the platform's row store."""

import base64
import dataclasses
import json
from typing import Any
import urllib.parse

import msgspec

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages
from oleanderhoist.platform import documents
from oleanderhoist.policy import storeclock

OWN_TABLE = "oleander"
CONNECT_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.2
FEED_ANSWER_SECONDS = 0.6  # For the answer, once the wait is over.
MAX_PAGES = 20
MAX_REVISION = 1 << 62


class Payload(msgspec.Struct, kw_only=True):
    """Body of an answer; which fields it has depends on the call.

    Attributes:
        rows: Rows, which may be malformed.
        revision: Revision of the store.
        has_more: Whether another page follows.
        now_ms: The store's time, in milliseconds, if it is a whole number.
    """

    rows: list[Any] = []
    revision: int = 0
    has_more: bool = False
    now_ms: Any = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRows:
    """Rows of a table.

    Attributes:
        rows: The rows in order of their keys.
        revision: Revision of the store when they were read; the lowest one if
            they came in several pages, so that a later wait misses no change.
    """

    rows: list[ports.Row]
    revision: int


class Store:
    """Calls the store over reused connections.

    Args:
        address: Address of the store.
        clock: Time source.
        store_clock: Records the store's time.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        clock: clock.Clock,
        store_clock: storeclock.StoreClock,
    ):
        self.client = client.Client(
            address=address, connect_seconds=CONNECT_TIMEOUT_SECONDS
        )
        self.clock = clock
        self.store_clock = store_clock

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> messages.Response:
        """Performs one call.

        Raises:
            ports.StoreError: There was no response, or an error status.
        """
        headers = [(b"content-type", b"application/json")] if body else []
        sent_at = self.clock.boottime()
        try:
            response = await self.client.request(
                method, path, timeout=timeout, headers=headers, body=body
            )
        except exchanges.ExchangeError as error:
            raise ports.StoreError(
                str(error), maybe_applied=error.maybe_sent and method != "GET"
            ) from error
        if response.status not in (200, 410, 412):
            # 429 and 503 mean that the call was not performed.
            maybe_applied = response.status not in (429, 503)
            raise ports.StoreError(
                f"status {response.status}", maybe_applied=maybe_applied
            )
        self.record_time(response, sent_at)
        return response

    def record_time(self, response: messages.Response, sent_at: float) -> None:
        """Records the store's time if the response has it."""
        if response.status != 200:
            return
        now_ms = decode(response).now_ms
        if isinstance(now_ms, int):
            self.store_clock.observe(now_ms, sent_at, self.clock.boottime())

    async def rows(self, table: str) -> TableRows:
        """Returns the valid rows of the first MAX_PAGES pages of a table.

        The store divides a table into parts; this system uses only the part
        with the empty name.

        Raises:
            ports.StoreError: The store did not answer.
        """
        collected: list[ports.Row] = []
        start_key = ""
        revision = MAX_REVISION
        for _ in range(MAX_PAGES):
            query = {"table": table, "part": ""}
            if start_key:
                query["from"] = start_key
            payload = decode(
                await self.call("GET", request_target("rows-get", query))
            )
            page = [to_row(item) for item in payload.rows]
            valid = [row for row in page if row is not None]
            collected.extend(valid)
            revision = min(revision, payload.revision)
            if not payload.has_more or not valid:
                break
            start_key = valid[-1].key + "\0"
        return TableRows(rows=collected, revision=revision)

    async def write(
        self, table: str, values: dict[str, bytes], expected: dict[str, int]
    ) -> ports.Written | ports.Conflict:
        """Writes rows of a table if the `expected` revisions are current.

        Raises:
            ports.StoreError: There was no valid response.
        """
        body = {
            # Each listed row must have the given revision.
            "expected_rev": [
                {"table": table, "part": "", "key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "puts": [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                }
                for key, value in values.items()
            ],
            "delete": [],
        }
        response = await self.call(
            "POST", "/rows-tx", body=json.dumps(body).encode()
        )
        if response.status == 412:
            return ports.Conflict()
        return ports.Written(revision=decode(response).revision)

    async def wait_for_change(
        self, table: str, after: int, seconds: float
    ) -> bool:
        """Waits for a change of a table; returns whether there may be one.

        Raises:
            ports.StoreError: The store did not answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(round(seconds * 1000)),
        }
        response = await self.call(
            "GET",
            request_target("rows-feed", query),
            timeout=seconds + FEED_ANSWER_SECONDS,
        )
        if response.status == 410:
            # The store no longer has the changes after this revision.
            return True
        return bool(decode(response).rows)


def request_target(call: str, query: dict[str, str]) -> str:
    """Returns the request target of a call."""
    return f"/{call}?{urllib.parse.urlencode(query)}"


def decode(response: messages.Response) -> Payload:
    """Decodes a response's body.

    Raises:
        ports.StoreError: The body is malformed.
    """
    try:
        return documents.decode(response.body, Payload, strict=False)
    except documents.DocumentError as error:
        raise ports.StoreError(
            "response is malformed", maybe_applied=True
        ) from error


def to_row(item: object) -> ports.Row | None:
    """Converts a row; returns None if it is malformed."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return None
    try:
        revision = int(item["revision"])
        value = base64.b64decode(item["value"])
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
    if not 0 <= revision <= MAX_REVISION:
        return None
    return ports.Row(key=item["key"], value=value, revision=revision)
