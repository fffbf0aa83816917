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
from oleanderhoist.platform import headers
from oleanderhoist.policy import storeclock
from oleanderhoist.policy import storeeras

OWN_TABLE = "oleander"
CONNECT_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.2
FEED_ANSWER_SECONDS = 0.6  # For the answer, once the wait is over.
MAX_PAGES = 20
MAX_REVISION = 1 << 62
MAX_ERA_DIGITS = 18


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
    revision: storeeras.Revision


class Store:
    """Calls the store over reused connections.

    Args:
        address: Address of the store.
        clock: Time source.
        store_clock: Records the store's time.
        store_eras: Records the store's eras.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        clock: clock.Clock,
        store_clock: storeclock.StoreClock,
        store_eras: storeeras.StoreEras,
    ):
        self.client = client.Client(
            address=address, connect_seconds=CONNECT_TIMEOUT_SECONDS
        )
        self.clock = clock
        self.store_clock = store_clock
        self.store_eras = store_eras

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
            ports.StoreError: There was no response, or an error status, or the
                store has come back from a copy since it answered.
        """
        content = [(b"content-type", b"application/json")] if body else []
        sent_at = self.clock.boottime()
        try:
            response = await self.client.request(
                method, path, timeout=timeout, headers=content, body=body
            )
        except exchanges.ExchangeError as error:
            raise ports.StoreError(
                str(error), maybe_applied=error.maybe_sent and method != "GET"
            ) from error
        self.check_era(response, maybe_applied=method != "GET")
        if response.status not in (200, 410, 412):
            # 429 and 503 mean that the call was not performed.
            maybe_applied = response.status not in (429, 503)
            raise ports.StoreError(
                f"status {response.status}", maybe_applied=maybe_applied
            )
        self.record_time(response, sent_at)
        return response

    def check_era(
        self, response: messages.Response, *, maybe_applied: bool
    ) -> None:
        """Records the era of the store that a response names.

        Raises:
            ports.StoreError: It is an earlier one than that of another answer.
        """
        era = era_of(response)
        if era is None:
            return
        if not self.store_eras.observe(era, self.clock.monotonic()):
            raise ports.StoreError(
                f"answer of the earlier era {era}", maybe_applied=maybe_applied
            )

    def revision(self, number: int) -> storeeras.Revision:
        """Returns a revision that was named in the latest answer."""
        return storeeras.Revision(era=self.store_eras.newest, number=number)

    def record_time(self, response: messages.Response, sent_at: float) -> None:
        """Records the store's time if the response has it."""
        if response.status != 200:
            return
        now_ms = decode(response).now_ms
        if isinstance(now_ms, int):
            self.store_clock.observe(
                now_ms,
                sent_at,
                self.clock.boottime(),
                era=self.store_eras.newest,
            )

    async def rows(self, table: str) -> TableRows:
        """Returns the valid rows of the first MAX_PAGES pages of a table.

        The store divides a table into parts; this system uses only the part
        with the empty name.

        Raises:
            ports.StoreError: The store did not answer.
        """
        collected: list[ports.Row] = []
        start_key = ""
        number = MAX_REVISION
        era = None
        for _ in range(MAX_PAGES):
            query = {"table": table, "part": ""}
            if start_key:
                query["from"] = start_key
            payload = decode(
                await self.call("GET", request_target("rows-get", query))
            )
            if era is not None and era != self.store_eras.newest:
                raise ports.StoreError(
                    "the store came back from a copy between two pages",
                    maybe_applied=False,
                )
            era = self.store_eras.newest
            page = [to_row(item, era) for item in payload.rows]
            valid = [row for row in page if row is not None]
            collected.extend(valid)
            number = min(number, payload.revision)
            if not payload.has_more or not valid:
                break
            start_key = valid[-1].key + "\0"
        return TableRows(rows=collected, revision=self.revision(number))

    async def write(
        self,
        table: str,
        values: dict[str, bytes],
        expected: dict[str, storeeras.Revision],
    ) -> ports.Written | ports.Conflict:
        """Writes rows of a table if the `expected` revisions are current.

        The store compares the numbers only. After its return from a copy, they
        may be those of other writes.

        Raises:
            ports.StoreError: There was no valid response.
        """
        if self.is_outdated(expected):
            return ports.Conflict()
        body = {
            # Each listed row must have the given revision.
            "expected_rev": [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "revision": revision.number,
                }
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
        if self.is_outdated(expected):
            raise ports.StoreError(
                "the store came back from a copy", maybe_applied=True
            )
        return ports.Written(revision=self.revision(decode(response).revision))

    def is_outdated(self, expected: dict[str, storeeras.Revision]) -> bool:
        """Returns whether any of some revisions is of an earlier era."""
        newest = self.store_eras.newest
        return any(one.era != newest for one in expected.values())

    async def wait_for_change(
        self, table: str, after: storeeras.Revision, seconds: float
    ) -> bool:
        """Waits for a change of a table; returns whether there may be one.

        Raises:
            ports.StoreError: The store did not answer.
        """
        if after.era != self.store_eras.newest:
            return True
        query = {
            "table": table,
            "after": str(after.number),
            "wait_ms": str(round(seconds * 1000)),
        }
        response = await self.call(
            "GET",
            request_target("rows-feed", query),
            timeout=seconds + FEED_ANSWER_SECONDS,
        )
        if response.status == 410 or after.era != self.store_eras.newest:
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


def era_of(response: messages.Response) -> int | None:
    """Returns the era of the store that a response names; None if it can't."""
    text = messages.find(response.headers, headers.STORE_ERA) or ""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)


def to_row(item: object, era: int) -> ports.Row | None:
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
    return ports.Row(
        key=item["key"],
        value=value,
        revision=storeeras.Revision(era=era, number=revision),
    )
