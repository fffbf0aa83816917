"""Translates HTTP requests and responses of callers and servers."""

from collections.abc import Callable
import re
import typing

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.platform import headers
from oleanderhoist.policy import cluster

MIN_REMAINING_SECONDS = 0.001
MAX_DIGITS = 15  # Of a number in a header.
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
PAUSE_STATUS = 503  # With which a server may name a pause.
LEAVING = "1"  # The only value that says that a server leaves.
MAX_LOGGED_CHARACTERS = 40  # Of the value of a header.
REPLACED_HEADERS = frozenset(
    [b"host", b"content-length", headers.REMAINING_MS, headers.EXPECTED_SERVER]
)
STATUS_BY_CODE = {
    codes.TOO_LATE: 503,
    codes.OVER_LIMIT: 429,
    codes.OUTSIDE_CONTRACT: 404,
}
Value = typing.TypeVar("Value")
# To callers, these statuses promise that the request never runs.
NOT_RUN_STATUSES = (408, 429, 503)


def parse_request(request: messages.Request) -> ports.RequestHead:
    """Reads a caller's request head."""
    remaining_ms = parse_number(request.header(headers.REMAINING_MS))
    return ports.RequestHead(
        id=request.header(headers.REQUEST_ID) or "",
        host=(request.header(b"host") or "").partition(":")[0].lower(),
        path=request.path,
        remaining=None if remaining_ms is None else remaining_ms / 1000,
        key=parse_number(request.header(headers.KEY)),
    )


def parse_number(text: str | None) -> int | None:
    """Returns a whole number of a header, or None if it is none to use."""
    if not text or len(text) > MAX_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdigit() else None


def server_headers(
    request: messages.Request, server: cluster.Server, remaining: float
) -> messages.Headers:
    """Returns the headers to send to a server, without Host."""
    forwarded = [
        (name, value)
        for name, value in messages.end_to_end(request.headers)
        if name not in REPLACED_HEADERS
    ]
    milliseconds = max(1, int(max(remaining, MIN_REMAINING_SECONDS) * 1000))
    forwarded.append((headers.REMAINING_MS, b"%d" % milliseconds))
    forwarded.append((headers.EXPECTED_SERVER, server.id.encode()))
    return forwarded


def match_request(
    id: str, response_headers: messages.Headers
) -> messages.Match:
    """Returns which request a response's headers name."""
    return messages.match_request(response_headers, headers.REQUEST_ID, id)


def classify(response: messages.Response) -> ports.AnswerKind:
    """Classifies a server's response."""
    if response.status == 421:
        return ports.AnswerKind.NOT_OWNER
    if messages.find(response.headers, headers.NOT_EXECUTED) is not None:
        return ports.AnswerKind.REFUSED
    if response.status in NOT_RUN_STATUSES:
        return ports.AnswerKind.UNFOUNDED
    if response.status < 300:
        signed = messages.find(response.headers, headers.SIGNATURE)
        return (
            ports.AnswerKind.ANSWERED if signed else ports.AnswerKind.UNSIGNED
        )
    return (
        ports.AnswerKind.FAILED
        if response.status >= 500
        else ports.AnswerKind.ANSWERED
    )


def server_notice(response: messages.Response) -> ports.ServerNotice:
    """Returns what a server says of itself in a response.

    A header that can't be read does not hide the others.
    """
    reader = NoticeReader(pairs=response.headers)
    return ports.ServerNotice(
        limit=reader.read(
            ports.NoticeField.LIMIT, headers.SERVER_LIMIT, parse_decimal
        ),
        leaving=reader.read(
            ports.NoticeField.LEAVING, headers.SERVER_LEAVING, parse_leaving
        )
        or False,
        pause=reader.read(
            ports.NoticeField.PAUSE, headers.RETRY_AFTER, parse_decimal
        )
        if response.status == PAUSE_STATUS
        else None,
        unreadable=reader.unreadable,
    )


class NoticeReader:
    """Reads the headers in which a server speaks of itself.

    Args:
        pairs: Headers of the response.

    Attributes:
        unreadable: Headers that could not be read, for the log, by field.
    """

    def __init__(self, *, pairs: messages.Headers):
        self.pairs = pairs
        self.unreadable: dict[ports.NoticeField, str] = {}

    def read(
        self,
        field: ports.NoticeField,
        name: bytes,
        parse: Callable[[str], Value | None],
    ) -> Value | None:
        """Returns the value of a header; None if there is none to use."""
        text = single_value(self.pairs, name)
        if text is None:
            return None
        value = parse(text)
        if value is None:
            shown = text[:MAX_LOGGED_CHARACTERS]
            self.unreadable[field] = f"{name.decode()}: {shown}"
        return value


def parse_decimal(text: str) -> float | None:
    """Returns a number that is not negative, or None if it is none."""
    return float(text) if DECIMAL.fullmatch(text) else None


def parse_leaving(text: str) -> bool | None:
    """Returns whether a server leaves, or None if that can't be read."""
    return True if text == LEAVING else None


def single_value(pairs: messages.Headers, name: bytes) -> str | None:
    """Returns the value of a header; None without it.

    Different values of a repeated header are joined, as HTTP has it, and so
    are no single value any more.
    """
    values = dict.fromkeys(value for key, value in pairs if key == name)
    return b", ".join(values).decode("latin-1") if values else None


def to_response(outcome: outcomes.Outcome) -> messages.Response:
    """Returns the response to a caller."""
    if isinstance(outcome, outcomes.Complete):
        response = outcome.response
        return messages.Response(
            status=response.status,
            headers=messages.end_to_end(response.headers),
            body=response.body,
            stream=response.stream,
        )
    status = STATUS_BY_CODE.get(outcome.code, outcome.code.status)
    # Leaves out details, which name internal hosts.
    response = messages.problem(outcome.code)
    response.status = status
    retry_after = getattr(outcome, "retry_after", None)
    if retry_after is not None:
        text = f"{retry_after:.3f}".encode()
        response.headers.append((headers.RETRY_AFTER, text))
    return response
