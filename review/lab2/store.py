"""Stand-in for the platform's row store, which may come back from a copy."""

import asyncio
import base64
import json
import time
import urllib.parse

from review.lab2 import web

MAX_WAIT_MS = 30_000


class Store:
    """Rows of tables in memory, with one counter of revisions.

    Attributes:
        rows: Value and revision by table and key.
        dropped: Revision at which rows were deleted, by table and key.
        revision: Counter that increases with each transaction.
        era: Rises by one each time the store comes back from a copy.
        is_away: Whether calls get 503 and nothing is done.
        external: What the operator and the servers wrote last, by table and
            key; None for a deleted row.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.dropped: dict[tuple[str, str], int] = {}
        self.revision = 100
        self.era = 1
        self.is_away = False
        self.external: dict[tuple[str, str], str | None] = {}
        self.changed = asyncio.Event()
        self.saved: tuple | None = None
        self.server = web.Server(handler=self.handle)

    def notify(self) -> None:
        """Wakes up the waiting reads."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> bool:
        """Writes a row as the operator or a server; None deletes it.

        Returns:
            Whether the store took it.
        """
        if self.is_away:
            return False
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self.external[(table, key)] = text
        self.write_external(table, key, text)
        return True

    def write_external(self, table: str, key: str, text: str | None) -> None:
        """Writes or deletes one row in a transaction of its own."""
        self.revision += 1
        if text is None:
            if self.rows.pop((table, key), None) is not None:
                self.dropped[(table, key)] = self.revision
        else:
            self.rows[(table, key)] = (text, self.revision)
        self.notify()

    def save_copy(self) -> None:
        """Takes the copy from which the store may come back."""
        self.saved = (dict(self.rows), dict(self.dropped), self.revision)

    def restore_copy(self) -> None:
        """Comes back from the copy.

        What the system wrote since is gone; what the operator and the servers
        wrote is written again.
        """
        self.rows, self.dropped, self.revision = self.saved
        self.era += 1
        self.is_away = False
        for (table, key), text in self.external.items():
            known = self.rows.get((table, key))
            if (known[0] if known else None) != text:
                self.write_external(table, key, text)
        self.notify()

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one call."""
        response = await self.respond(request)
        response.headers["store-era"] = str(self.era)
        return response

    async def respond(self, request: web.Request) -> web.Response:
        """Returns the response to one call, without the era."""
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        if self.is_away:
            return web.json_response({"error": "away"}, 503)
        if request.path == "/rows-tx":
            return self.transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self.get(query)
        if request.path == "/rows-feed":
            return await self.feed(query)
        return web.json_response({"error": "no such call"}, 404)

    def answer(self, **fields: object) -> web.Response:
        """Returns an answer with the newest revision and the time."""
        now_ms = int(time.monotonic() * 1000)
        return web.json_response(
            {**fields, "revision": self.revision, "now_ms": now_ms}
        )

    def transact(self, message: dict) -> web.Response:
        """Applies all entries of a call, or none."""
        puts, deletes = message.get("puts", []), message.get("delete", [])
        if any(one["table"] in ("op", "servers") for one in puts + deletes):
            return web.json_response({"error": "not yours"}, 403)
        for item in message.get("expected_rev", []):
            row_key = (item["table"], item["key"])
            _, revision = self.rows.get(row_key, ("", 0))
            if revision != item["revision"]:
                rows = [self.row(row_key)] if row_key in self.rows else []
                return web.json_response({"rows": rows}, 412)
        self.revision += 1
        for one in puts:
            self.rows[(one["table"], one["key"])] = (
                one["value"],
                self.revision,
            )
        for one in deletes:
            if self.rows.pop((one["table"], one["key"]), None) is not None:
                self.dropped[(one["table"], one["key"])] = self.revision
        self.notify()
        return self.answer()

    def row(self, row_key: tuple[str, str]) -> dict:
        """Returns a row as answers hold it."""
        value, revision = self.rows[row_key]
        return {
            "table": row_key[0],
            "part": "",
            "key": row_key[1],
            "value": value,
            "revision": revision,
        }

    def get(self, query: dict[str, str]) -> web.Response:
        """Returns the rows of a table in order of their keys."""
        first = query.get("from", "")
        found = sorted(
            row_key
            for row_key in self.rows
            if row_key[0] == query["table"] and row_key[1] >= first
        )
        rows = [self.row(row_key) for row_key in found]
        return self.answer(rows=rows, has_more=False)

    def changes(self, table: str, after: int) -> list[dict]:
        """Returns the rows of a table that changed after a revision."""
        rows = [
            self.row(row_key)
            for row_key, (_, revision) in self.rows.items()
            if row_key[0] == table and revision > after
        ]
        rows += [
            {
                "table": table,
                "part": "",
                "key": key,
                "revision": revision,
                "tombstone": True,
            }
            for (name, key), revision in self.dropped.items()
            if name == table and revision > after
        ]
        return sorted(rows, key=lambda row: row["revision"])

    async def feed(self, query: dict[str, str]) -> web.Response:
        """Waits for changes of a table after a revision."""
        after = int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), MAX_WAIT_MS) / 1000
        while True:
            if self.is_away:
                return web.json_response({"error": "away"}, 503)
            if after > self.revision:
                return web.json_response({"error": "no such revision"}, 410)
            rows = self.changes(query["table"], after)
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return self.answer(rows=rows)
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except TimeoutError:
                continue
