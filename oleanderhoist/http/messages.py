"""HTTP requests and responses as data classes."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import dataclasses
import enum
import json

from oleanderhoist import codes
from oleanderhoist.http import bodystream

HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    ]
)

Headers = list[tuple[bytes, bytes]]
Buffer = bytes | bytearray  # A whole body.


class BodyError(Exception):
    """A request's body ended early, stalled or was malformed."""


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request whose body is a stream.

    Attributes:
        method: Upper-case method.
        target: Origin-form target, path and query.
        headers: Lower-case names and values, in order.
        body: Chunks of the body; ends when the body is complete, or raises a
            BodyError.
        length: Declared length in bytes, or None when chunked.
    """

    method: str
    target: str
    headers: Headers
    body: AsyncIterator[bytes]
    length: int | None = 0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, given in lower case."""
        return find(self.headers, name)

    async def read(self) -> bytes:
        """Returns the whole body."""
        return b"".join([chunk async for chunk in self.body])


@dataclasses.dataclass(kw_only=True)
class Response:
    """A response with either a whole body or a stream of chunks.

    Attributes:
        status: HTTP status code.
        headers: Lower-case names and values, in order.
        body: The whole body, when there is no stream.
        stream: Chunks of the body; None for a whole body.
        close: Whether the connection is closed after it.
        kept_connection: Whether it came on a connection that had carried an
            earlier exchange.
    """

    status: int = 200
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    stream: AsyncGenerator[bytes, None] | bodystream.BodyStream | None = None
    close: bool = False
    kept_connection: bool = False


class Match(enum.Enum):
    """Whether a response names the request that it is read for."""

    OURS = enum.auto()
    FOREIGN = enum.auto()
    UNNAMED = enum.auto()  # It names no request.


def match_request(headers: Headers, name: bytes, id: str) -> Match:
    """Returns which request a response names.

    Args:
        headers: Headers of the response.
        name: Header that holds the request's id, in lower case.
        id: Id of the request that the response is read for.
    """
    ids = {value for key, value in headers if key == name}
    if not ids:
        return Match.UNNAMED
    return Match.OURS if ids == {id.encode("latin-1")} else Match.FOREIGN


def find(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, given in lower case."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def end_to_end(headers: Headers) -> Headers:
    """Drops hop-by-hop headers and those the Connection header names."""
    dropped = set(HOP_BY_HOP)
    for key, value in headers:
        if key == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    return [(key, value) for key, value in headers if key not in dropped]


def json_response(value: object, status: int = 200) -> Response:
    """Returns a JSON response."""
    return Response(
        status=status,
        headers=[(b"content-type", b"application/json")],
        body=json.dumps(value).encode(),
    )


def problem(
    code: codes.Code,
    *,
    detail: str = "",
    retry_after: float | None = None,
    close: bool = False,
    **extra: object,
) -> Response:
    """Returns an RFC 9457 problem document for a result code.

    Args:
        code: The result code.
        detail: Description of this occurrence; the code's advice by default.
        retry_after: Time after which to retry, in seconds.
        close: Whether the connection is closed after the response.
        **extra: Additional members of the document.
    """
    document = {
        "type": f"urn:oleanderhoist:code:{code.number}",
        "title": code.title,
        "status": code.status,
        "detail": detail or code.advice,
        "code": code.number,
        "outcome": code.outcome.value,
        "advice": code.advice,
        **extra,
    }
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"oleander-outcome", code.outcome.value.encode()),
        (b"oleander-code", str(code.number).encode()),
    ]
    if retry_after is not None:
        headers.append(
            (b"retry-after", str(max(1, round(retry_after))).encode())
        )
    return Response(
        status=code.status,
        headers=headers,
        body=json.dumps(document).encode(),
        close=close,
    )
