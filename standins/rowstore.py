"""Stand-in for the users' row store.

It has rows with revisions, conditional transactions, range reads and a feed of
changes. Faults are set by ``PUT /faults``: ``down`` (whether calls get 503),
``lose`` (number of transactions that take effect but lose their response) and
``compacted`` (whether feeds get 410). ``PUT /seed`` writes the rows of the
operator and of servers. ``PUT /copy`` makes a copy, and ``PUT /restore`` comes
back from it: what routers wrote since is gone, other rows are written again.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import click

from oleanderhoist.http import messages
from standins import base

EXTERNAL_TABLES = ("op", "servers")  # Routers may only read them.


class RowStore:
    """Row store in memory."""

    def __init__(self):
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.faults: dict = {"down": False, "lose": 0, "compacted": False}
        self.calls = 0
        self.era = 1
        self.copy: tuple[dict, int] = ({}, 0)
        self.external: dict[tuple[str, str], dict] = {}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one call; each response names the era."""
        response = await self.dispatch(request)
        response.headers.append((b"store-era", b"%d" % self.era))
        return response

    async def dispatch(self, request: messages.Request) -> messages.Response:
        """Handles one call."""
        body = await request.read()
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        if request.path == "/faults":
            self.faults.update(json.loads(body))
            return messages.json_response(self.faults)
        if request.path == "/seed":
            return self.seed(json.loads(body))
        if request.path == "/copy":
            self.copy = dict(self.rows), self.revision
            return self.respond()
        if request.path == "/restore":
            return self.restore()
        self.calls += 1
        if self.faults["down"]:
            return base.text_response(503, "down")
        if request.path == "/rows-tx":
            return self.transact(json.loads(body))
        if request.path == "/rows-get":
            return self.get(query)
        if request.path == "/rows-feed":
            return await self.feed(query)
        return base.text_response(404, "no such call")

    def respond(self, **fields: object) -> messages.Response:
        """Returns a response with the current revision and time."""
        now_ms = int(time.monotonic() * 1000)
        return messages.json_response(
            {**fields, "revision": self.revision, "now_ms": now_ms}
        )

    def write(self, puts: list[dict]) -> None:
        """Writes rows as one transaction."""
        self.revision += 1
        for put in puts:
            row_key = (put["table"], put["key"])
            self.rows[row_key] = (put["value"], self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self) -> messages.Response:
        """Comes back from the copy, in a new era."""
        rows, self.revision = self.copy
        self.rows = dict(rows)
        self.era += 1
        for item in list(self.external.values()):
            self.seed(item)
        return self.respond()

    def seed(self, item: dict) -> messages.Response:
        """Writes or deletes a row of the operator or of a server."""
        row_key = (item["table"], item["key"])
        self.external[row_key] = item
        if item.get("value") is None:
            self.rows.pop(row_key, None)
            self.revision += 1
        else:
            text = json.dumps(item["value"]).encode()
            encoded = base64.b64encode(text).decode()
            self.write([{**item, "value": encoded}])
        return self.respond()

    def transact(self, call: dict) -> messages.Response:
        """Executes a conditional transaction."""
        if any(put["table"] in EXTERNAL_TABLES for put in call["puts"]):
            return base.text_response(403, "not yours")
        for item in call["expected_rev"]:
            _, revision = self.rows.get((item["table"], item["key"]), ("", 0))
            if revision != item["revision"]:
                return messages.json_response({"rows": []}, 412)
        self.write(call["puts"])
        if self.faults["lose"] > 0:
            self.faults["lose"] -= 1
            raise ConnectionAbortedError("answer lost")
        return self.respond()

    def row(self, row_key: tuple[str, str]) -> dict:
        """Returns a row in the form of responses."""
        value, revision = self.rows[row_key]
        return {
            "table": row_key[0],
            "part": "",
            "key": row_key[1],
            "value": value,
            "revision": revision,
        }

    def get(self, query: dict[str, str]) -> messages.Response:
        """Returns the rows of a table from a key on, in order."""
        row_keys = sorted(
            row_key
            for row_key in self.rows
            if row_key[0] == query["table"]
            and row_key[1] >= query.get("from", "")
        )
        rows = [self.row(row_key) for row_key in row_keys]
        return self.respond(rows=rows, has_more=False)

    async def feed(self, query: dict[str, str]) -> messages.Response:
        """Waits for rows of a table that changed after a revision."""
        if self.faults["compacted"]:
            return base.text_response(410, "history is gone")
        after = int(query["after"])
        if after > self.revision:
            return base.text_response(410, "no such revision")
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                self.row(row_key)
                for row_key, (_, revision) in self.rows.items()
                if row_key[0] == query["table"] and revision > after
            ]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return self.respond(rows=rows)
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
