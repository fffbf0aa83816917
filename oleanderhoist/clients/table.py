"""Client of the platform's transactional table service.

Records are JSON values with a version. Writes are HTTP conditional requests
(RFC 9110, If-Match and If-None-Match).
"""

import dataclasses
import json
import urllib.parse
import uuid

from oleanderhoist import events
from oleanderhoist import log
from oleanderhoist.http import client
from oleanderhoist.http import exchanges
from oleanderhoist.http import messages

TIMEOUT_SECONDS = 0.6
TOKEN_FIELD = "token"


class TableError(Exception):
    """The table could not be reached or did not answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """A record, as read at one version."""

    key: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """The write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The record had another version; nothing was written."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unresolved:
    """The write may have taken effect; reading it back failed too."""

    token: str


WriteOutcome = Written | Conflict | Unresolved


class TableClient:
    """Reads and conditionally writes records.

    Args:
        address: Address of the table service.
        timeout: Time limit of one exchange, in seconds.
    """

    def __init__(
        self, *, address: client.Address, timeout: float = TIMEOUT_SECONDS
    ):
        self.client = client.Client(address=address)
        self.timeout = timeout

    async def get(self, key: str) -> Record | None:
        """Returns a record, or None when there is none.

        Raises:
            TableError: The table did not answer.
        """
        response = await self.exchange("GET", record_target(key))
        if response.status == 404:
            return None
        check_status(response, 200)
        return Record(
            key=key,
            version=parse_etag(response),
            value=json.loads(response.body),
        )

    async def scan(self, prefix: str) -> list[Record]:
        """Returns all records whose key starts with a prefix.

        Raises:
            TableError: The table did not answer.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self.exchange("GET", f"/records?{query}")
        check_status(response, 200)
        return [
            Record(key=r["key"], version=r["version"], value=r["value"])
            for r in json.loads(response.body)
        ]

    async def put(
        self, key: str, value: dict, *, expected: int | None
    ) -> WriteOutcome:
        """Writes a record if it has the expected version.

        When the reply is lost, reads the record back and compares the token
        that this write put into it.

        Args:
            key: Record key.
            value: New value.
            expected: Version the record must have; None when there must be
                no record.
        """
        token = uuid.uuid4().hex
        condition = (b"if-none-match", b"*")
        if expected is not None:
            condition = (b"if-match", b'"%d"' % expected)
        body = json.dumps({**value, TOKEN_FIELD: token}).encode()
        try:
            response = await self.exchange(
                "PUT", record_target(key), headers=[condition], body=body
            )
        except TableError:
            return await self.resolve(key, token, expected)
        if response.status == 412:
            return Conflict()
        if response.status not in (200, 201):
            return await self.resolve(key, token, expected)
        return Written(version=parse_etag(response))

    async def resolve(
        self, key: str, token: str, expected: int | None
    ) -> WriteOutcome:
        """Finds out whether a write whose reply was lost took effect.

        A record that still has the expected version leaves the outcome open,
        since the write may arrive later; any other version decides it.
        """
        try:
            record = await self.get(key)
        except TableError:
            return Unresolved(token=token)
        if record is not None and record.value.get(TOKEN_FIELD) == token:
            log.write(events.WRITE_RESOLVED, key=key, written=True)
            return Written(version=record.version)
        current = record.version if record is not None else None
        if current == expected:
            return Unresolved(token=token)
        log.write(events.WRITE_RESOLVED, key=key, written=False)
        return Conflict()

    async def delete(self, key: str, *, expected: int) -> None:
        """Deletes a record if it has the expected version.

        Raises:
            TableError: The table did not answer.
        """
        condition = (b"if-match", b'"%d"' % expected)
        await self.exchange("DELETE", record_target(key), headers=[condition])

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        headers: messages.Headers | None = None,
        body: bytes = b"",
    ) -> messages.Response:
        """Sends a request and returns the response.

        Raises:
            TableError: The table did not answer or reported a server error.
        """
        try:
            response = await self.client.request(
                method, path, timeout=self.timeout, headers=headers, body=body
            )
        except exchanges.ExchangeError as error:
            raise TableError(str(error)) from error
        if response.status >= 500:
            raise TableError(f"status {response.status}")
        return response


def record_target(key: str) -> str:
    """Returns the request target of a record."""
    return "/records/" + urllib.parse.quote(key, safe="/")


def parse_etag(response: messages.Response) -> int:
    """Returns the version from the ETag header.

    Raises:
        TableError: The header is missing or not a number.
    """
    value = (messages.find(response.headers, b"etag") or "").strip('"')
    if not value.isdigit():
        raise TableError("answer without a version")
    return int(value)


def check_status(response: messages.Response, status: int) -> None:
    """Checks the status of a response.

    Raises:
        TableError: The status is not the expected one.
    """
    if response.status != status:
        raise TableError(f"status {response.status}")
