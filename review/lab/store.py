"""Stand-in for the platform's row store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.lab import http

OUTSIDE_TABLES = ("op", "servers")


class Store:
    """Rows in memory with one counter of revisions.

    Attributes:
        server: The HTTP server.
        down: Whether calls get 503.
        write_tried_at: When the last transaction came, on the monotonic clock.
    """

    def __init__(self):
        self.server = http.Server(handler=self.handle)
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.dropped: dict[tuple[str, str], int] = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.down = False
        self.write_tried_at = 0.0

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row of the operator or of an instance."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Writes a row with the given bytes."""
        self.revision += 1
        self.write(table, key, base64.b64encode(value).decode())
        self.notify()

    def write(self, table: str, key: str, value: str) -> None:
        """Writes a row at the current revision."""
        self.rows[(table, key)] = (value, self.revision)
        self.dropped.pop((table, key), None)

    def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        self.revision += 1
        self.rows.pop((table, key), None)
        self.dropped[(table, key)] = self.revision
        self.notify()

    def notify(self) -> None:
        """Wakes the feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, table: str, key: str) -> object:
        """Returns the decoded value of a row, or None."""
        row = self.rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    async def handle(self, request: http.Message) -> http.Message:
        """Performs one call."""
        if request.first[1] == "/rows-tx":
            self.write_tried_at = time.monotonic()
        if self.down:
            return http.response(503)
        path, _, query_text = request.first[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/rows-tx":
            return self.transact(request.json())
        if path == "/rows-get":
            return self.get(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return http.response(404)

    def answer(self, status: int = 200, **fields: object) -> http.Message:
        """Returns an answer with the revision and the store's time."""
        now_ms = int(time.monotonic() * 1000)
        return http.json_response(
            {**fields, "revision": self.revision, "now_ms": now_ms}, status
        )

    def transact(self, call: dict) -> http.Message:
        """Applies all entries of a transaction, or none."""
        if any(put["table"] in OUTSIDE_TABLES for put in call["puts"]):
            return http.response(403)
        for item in call["expected_rev"]:
            row = self.rows.get((item["table"], item["key"]), ("", 0))
            if row[1] != item["revision"]:
                return self.answer(412, rows=[])
        self.revision += 1
        for put in call["puts"]:
            self.write(put["table"], put["key"], put["value"])
        self.notify()
        return self.answer()

    def item(self, table: str, key: str) -> dict:
        """Returns a row as answers show it."""
        value, revision = self.rows[(table, key)]
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": value,
            "revision": revision,
        }

    def get(self, query: dict[str, str]) -> http.Message:
        """Returns the rows of a table, in order."""
        found = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= query.get("from", "")
        )
        rows = [self.item(query["table"], key) for key in found]
        return self.answer(rows=rows, has_more=False)

    def changes(self, table: str, after: int) -> list[dict]:
        """Returns the rows of a table that changed after a revision."""
        rows = [
            self.item(table, key)
            for (one, key), (_, revision) in self.rows.items()
            if one == table and revision > after
        ]
        rows += [
            {
                "table": table,
                "part": "",
                "key": key,
                "revision": revision,
                "tombstone": True,
            }
            for (one, key), revision in self.dropped.items()
            if one == table and revision > after
        ]
        return sorted(rows, key=lambda row: row["revision"])

    async def feed(self, query: dict[str, str]) -> http.Message:
        """Waits for changes of a table."""
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = self.changes(query["table"], int(query["after"]))
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return self.answer(rows=rows)
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except TimeoutError:
                continue
