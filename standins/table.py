"""Stand-in for the platform's table service.

It has versioned records and conditional writes. Faults are set by
``PUT /faults`` with ``{"outage": bool, "delay_ms": number,
"drop_replies": number, "drop_prefix": text}``. The next ``drop_replies``
writes of records with the prefix take effect but lose their response.
"""

import asyncio
import json
import urllib.parse

import click

from oleanderhoist.http import messages
from standins import base


class Table:
    """Table in memory."""

    def __init__(self):
        self.records: dict[str, tuple[int, dict]] = {}
        self.last_version = 0
        self.faults = {
            "outage": False,
            "delay_ms": 0,
            "drop_replies": 0,
            "drop_prefix": "",
        }
        self.counts = {"reads": 0, "writes": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles one request, after applying faults."""
        body = await request.read()
        if request.path == "/faults":
            self.faults.update(json.loads(body or b"{}"))
            return messages.json_response(self.faults)
        if request.path == "/counts":
            return messages.json_response(self.counts)
        if self.faults["delay_ms"]:
            await asyncio.sleep(self.faults["delay_ms"] / 1000)
        if self.faults["outage"]:
            return base.text_response(503, "outage")
        response = self.execute(request, body)
        if request.method == "PUT" and self.drops_reply(request.path):
            raise ConnectionAbortedError("reply dropped")
        return response

    def drops_reply(self, path: str) -> bool:
        """Returns whether to drop the response of a write, and counts it."""
        prefix = "/records/" + self.faults["drop_prefix"]
        if self.faults["drop_replies"] <= 0 or not path.startswith(prefix):
            return False
        self.faults["drop_replies"] -= 1
        return True

    def execute(
        self, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Performs one operation."""
        kind = "reads" if request.method == "GET" else "writes"
        self.counts[kind] += 1
        if request.path == "/records":
            return self.scan(request.target)
        key = urllib.parse.unquote(request.path.removeprefix("/records/"))
        if request.method == "GET":
            return self.get(key)
        if request.method == "PUT":
            return self.put(key, request, body)
        if request.method == "DELETE":
            return self.delete(key, request)
        return base.text_response(405)

    def scan(self, target: str) -> messages.Response:
        """Lists records by prefix."""
        query = urllib.parse.parse_qs(target.partition("?")[2])
        prefix = query.get("prefix", [""])[0]
        matching = [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.records.items())
            if key.startswith(prefix)
        ]
        return messages.json_response(matching)

    def get(self, key: str) -> messages.Response:
        """Reads one record."""
        if key not in self.records:
            return base.text_response(404)
        version, value = self.records[key]
        response = messages.json_response(value)
        response.headers.append((b"etag", b'"%d"' % version))
        return response

    def delete(self, key: str, request: messages.Request) -> messages.Response:
        """Deletes one record if it has the expected version."""
        if not self.matches(key, request):
            return base.text_response(412)
        self.records.pop(key, None)
        return base.text_response(204)

    def matches(self, key: str, request: messages.Request) -> bool:
        """Returns whether If-Match holds; true without the header."""
        expected = request.header(b"if-match")
        if expected is None:
            return True
        current = self.records.get(key)
        return current is not None and current[0] == int(expected.strip('"'))

    def put(
        self, key: str, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Writes one record if it has the expected version."""
        current = self.records.get(key)
        if not self.matches(key, request):
            return base.text_response(412)
        if request.header(b"if-none-match") and current is not None:
            return base.text_response(412)
        self.last_version += 1
        self.records[key] = (self.last_version, json.loads(body))
        response = base.text_response(200 if current else 201)
        response.headers.append((b"etag", b'"%d"' % self.last_version))
        return response


@click.command()
@click.option("--listen", default="127.0.0.1:0")
def main(listen: str) -> None:
    """Runs the table stand-in."""
    asyncio.run(base.serve([Table().handle], [listen]))


if __name__ == "__main__":
    main()
