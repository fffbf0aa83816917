"""Stand-in for the platform's table service.

Versioned records, conditional writes, and faults switched by
``PUT /faults`` with ``{"outage": bool, "delay_ms": number,
"drop_replies": number, "drop_prefix": text}``; the prefix picks the records
whose writes take effect but lose their reply.
"""

import asyncio
import json
import urllib.parse

import click

from oleanderhoist.http import messages
from standins import base


class Table:
    """Records in memory."""

    def __init__(self):
        self.records: dict[str, tuple[int, dict]] = {}
        self.versions = 0
        self.faults = {
            "outage": False,
            "delay_ms": 0,
            "drop_replies": 0,
            "drop_prefix": "",
        }
        self.counts = {"reads": 0, "writes": 0}

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request, faults first."""
        body = await request.read()
        if request.path == "/faults":
            self.faults.update(json.loads(body or b"{}"))
            return messages.json_response(self.faults)
        if request.path == "/counts":
            return messages.json_response(self.counts)
        if self.faults["delay_ms"]:
            await asyncio.sleep(self.faults["delay_ms"] / 1000)
        if self.faults["outage"]:
            return base.plain(503, "outage")
        response = self.answer(request, body)
        if request.method == "PUT" and self.drops(request.path):
            raise ConnectionAbortedError("reply dropped")
        return response

    def drops(self, path: str) -> bool:
        """Tells whether a write's reply is to be lost, and counts it."""
        prefix = "/records/" + self.faults["drop_prefix"]
        if self.faults["drop_replies"] <= 0 or not path.startswith(prefix):
            return False
        self.faults["drop_replies"] -= 1
        return True

    def answer(
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
        return base.plain(405)

    def scan(self, target: str) -> messages.Response:
        """Lists records by prefix."""
        query = urllib.parse.parse_qs(target.partition("?")[2])
        prefix = query.get("prefix", [""])[0]
        found = [
            {"key": key, "version": version, "value": value}
            for key, (version, value) in sorted(self.records.items())
            if key.startswith(prefix)
        ]
        return messages.json_response(found)

    def get(self, key: str) -> messages.Response:
        """Reads one record."""
        if key not in self.records:
            return base.plain(404)
        version, value = self.records[key]
        response = messages.json_response(value)
        response.headers.append((b"etag", b'"%d"' % version))
        return response

    def delete(self, key: str, request: messages.Request) -> messages.Response:
        """Deletes one record if its version is the expected one."""
        if not self.matches(key, request):
            return base.plain(412)
        self.records.pop(key, None)
        return base.plain(204)

    def matches(self, key: str, request: messages.Request) -> bool:
        """Checks If-Match; true without the header."""
        expected = request.header(b"if-match")
        if expected is None:
            return True
        present = self.records.get(key)
        return present is not None and present[0] == int(expected.strip('"'))

    def put(
        self, key: str, request: messages.Request, body: bytes
    ) -> messages.Response:
        """Writes one record if its version is the expected one."""
        present = self.records.get(key)
        if not self.matches(key, request):
            return base.plain(412)
        if request.header(b"if-none-match") and present is not None:
            return base.plain(412)
        self.versions += 1
        self.records[key] = (self.versions, json.loads(body))
        response = base.plain(200 if present else 201)
        response.headers.append((b"etag", b'"%d"' % self.versions))
        return response


@click.command()
@click.option("--listen", default="127.0.0.1:0")
def main(listen: str) -> None:
    """Runs the table stand-in."""
    asyncio.run(base.serve([Table().handle], [listen]))


if __name__ == "__main__":
    main()
