"""Client of the platform's row store."""

import base64
import dataclasses
import json
import urllib.parse

from oleanderhoist import clock
from oleanderhoist import ports
from oleanderhoist.http import client
from oleanderhoist.http import messages
from oleanderhoist.policy import storeclock

OWN_TABLE = "oleander"
CALL_SECONDS = 1.2
MAX_PAGES = 20
MAX_REVISION = 1 << 62


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Rows of a table.

    Attributes:
        rows: The rows in order of their keys.
        revision: Revision of the store when they were read.
    """

    rows: list[ports.Row]
    revision: int


class Store:
    """Calls of the store on kept connections.

    Args:
        address: The store.
        clock: Time source.
        store_clock: Takes in the store's time.
    """

    def __init__(
        self,
        *,
        address: client.Address,
        clock: clock.Clock,
        store_clock: storeclock.StoreClock,
    ):
        self.client = client.Client(address=address, connect_seconds=0.5)
        self.clock = clock
        self.store_clock = store_clock

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        timeout: float = CALL_SECONDS,
    ) -> messages.Response:
        """Performs one call.

        Raises:
            ports.StoreError: No answer came, or a refusal.
        """
        headers = [(b"content-type", b"application/json")] if body else []
        sent = self.clock.boottime()
        try:
            response = await self.client.request(
                method, path, timeout=timeout, headers=headers, body=body
            )
        except client.ExchangeError as error:
            raise ports.StoreError(
                str(error), maybe_applied=error.maybe_sent and method != "GET"
            ) from error
        if response.status not in (200, 410, 412):
            # 429 and 503 say that nothing was done.
            unclear = response.status not in (429, 503)
            raise ports.StoreError(
                f"status {response.status}", maybe_applied=unclear
            )
        self.note_time(response, sent)
        return response

    def note_time(self, response: messages.Response, sent: float) -> None:
        """Takes in the store's time, where an answer tells it."""
        if response.status != 200:
            return
        millis = decode(response).get("now_ms")
        if isinstance(millis, int):
            self.store_clock.observe(millis, sent, self.clock.boottime())

    async def rows(self, table: str) -> Snapshot:
        """Returns all rows of a table, without a part.

        Raises:
            ports.StoreError: The store did not answer.
        """
        found: list[ports.Row] = []
        start = ""
        revision = MAX_REVISION
        for _ in range(MAX_PAGES):
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            answer = decode(await self.call("GET", target("rows-get", query)))
            page = [to_row(item) for item in answer.get("rows", [])]
            found.extend(row for row in page if row is not None)
            revision = min(revision, int(answer.get("revision", 0)))
            if not answer.get("has_more") or not page:
                break
            start = answer["rows"][-1]["key"] + "\0"
        return Snapshot(rows=found, revision=revision)

    async def write(
        self, table: str, values: dict[str, bytes], expected: dict[str, int]
    ) -> ports.Written | ports.Conflict:
        """Writes rows of a table under conditions.

        Raises:
            ports.StoreError: There was no valid answer.
        """
        body = {
            # `expected_rev` holds rows, each with the revision it must have.
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
        return ports.Written(revision=decode(response).get("revision", 0))

    async def feed(
        self, table: str, after: int, seconds: float
    ) -> ports.WatchResult:
        """Waits for a change of a table.

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
            target("rows-feed", query),
            timeout=seconds + CALL_SECONDS,
        )
        if response.status == 410:
            return ports.WatchResult(changed=True, seen_revision=after)
        answer = decode(response)
        return ports.WatchResult(
            changed=bool(answer.get("rows")),
            seen_revision=int(answer.get("revision", after)),
        )


def target(call: str, query: dict[str, str]) -> str:
    """Returns the request target of a call."""
    return f"/{call}?{urllib.parse.urlencode(query)}"


def decode(response: messages.Response) -> dict:
    """Decodes an answer's body.

    Raises:
        ports.StoreError: It is no JSON object.
    """
    try:
        value = json.loads(response.body)
    except ValueError as error:
        raise ports.StoreError(
            "answer is no JSON", maybe_applied=True
        ) from error
    if not isinstance(value, dict):
        raise ports.StoreError("answer is no object", maybe_applied=True)
    return value


def to_row(item: object) -> ports.Row | None:
    """Converts a row, or returns None for one that cannot be read."""
    if not isinstance(item, dict):
        return None
    try:
        return ports.Row(
            key=item["key"],
            value=base64.b64decode(item["value"]),
            revision=int(item["revision"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
