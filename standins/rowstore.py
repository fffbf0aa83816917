"""Stand-in for the users' row store.

Rows with revisions, conditional transactions, ranges, and a feed of changes.
Faults are switched by ``PUT /faults``: ``refuse`` (IP numbers that get 503),
``lose`` (answers of writes to lose), ``compacted`` (whether feeds get 410).
Rows of the operator and of servers are written by ``PUT /seed``.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import click

from oleanderhoist.http import messages
from standins import base

OPERATORS_TABLES = ("op", "servers")


class RowStore:
    """Rows in memory."""

    def __init__(self):
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.faults: dict = {"down": False, "lose": 0, "compacted": False}
        self.calls = 0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one call."""
        body = await request.read()
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        if request.path == "/faults":
            self.faults.update(json.loads(body))
            return messages.json_response(self.faults)
        if request.path == "/seed":
            return self.seed(json.loads(body))
        self.calls += 1
        if self.faults["down"]:
            return base.plain(503, "down")
        if request.path == "/rows-tx":
            return self.transact(json.loads(body))
        if request.path == "/rows-get":
            return self.get(query)
        if request.path == "/rows-feed":
            return await self.feed(query)
        return base.plain(404, "no such call")

    def answer(self, **fields: object) -> messages.Response:
        """Returns an answer with revision and time."""
        millis = int(time.monotonic() * 1000)
        return messages.json_response(
            {**fields, "revision": self.revision, "now_ms": millis}
        )

    def write(self, puts: list[dict]) -> None:
        """Writes rows as one transaction."""
        self.revision += 1
        for put in puts:
            name = (put["table"], put["key"])
            self.rows[name] = (put["value"], self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def seed(self, item: dict) -> messages.Response:
        """Writes or drops a row of the operator or of a server."""
        name = (item["table"], item["key"])
        if item.get("value") is None:
            self.rows.pop(name, None)
            self.revision += 1
        else:
            text = json.dumps(item["value"]).encode()
            encoded = base64.b64encode(text).decode()
            self.write([{**item, "value": encoded}])
        return self.answer()

    def transact(self, call: dict) -> messages.Response:
        """Carries out a conditional transaction."""
        if any(p["table"] in OPERATORS_TABLES for p in call["puts"]):
            return base.plain(403, "not yours")
        for item in call["expected_rev"]:
            _, revision = self.rows.get((item["table"], item["key"]), ("", 0))
            if revision != item["revision"]:
                return messages.json_response({"rows": []}, 412)
        self.write(call["puts"])
        if self.faults["lose"] > 0:
            self.faults["lose"] -= 1
            raise ConnectionAbortedError("answer lost")
        return self.answer()

    def row(self, name: tuple[str, str]) -> dict:
        """Returns a row as answers show it."""
        value, revision = self.rows[name]
        return {
            "table": name[0],
            "part": "",
            "key": name[1],
            "value": value,
            "revision": revision,
        }

    def get(self, query: dict[str, str]) -> messages.Response:
        """Returns a table's rows in order."""
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"] and name[1] >= query.get("from", "")
        )
        rows = [self.row(name) for name in names]
        return self.answer(rows=rows, has_more=False)

    async def feed(self, query: dict[str, str]) -> messages.Response:
        """Waits for changes of a table."""
        if self.faults["compacted"]:
            return base.plain(410, "history is gone")
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                self.row(name)
                for name, (_, revision) in self.rows.items()
                if name[0] == query["table"] and revision > after
            ]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return self.answer(rows=rows)
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except TimeoutError:
                continue


@click.command()
@click.option("--listen", required=True, help="HOST:PORT")
def main(listen: str) -> None:
    """Runs the stand-in."""
    asyncio.run(base.serve([RowStore().handle], [listen]))


if __name__ == "__main__":
    main()
