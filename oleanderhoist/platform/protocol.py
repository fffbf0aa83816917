"""Translates requests and answers of callers and servers."""

from oleanderhoist import codes
from oleanderhoist import outcomes
from oleanderhoist import ports
from oleanderhoist.http import messages
from oleanderhoist.platform import headers
from oleanderhoist.policy import cluster

MIN_LEFT_SECONDS = 0.001
REPLACED = frozenset(
    [b"host", b"content-length", headers.TIME_LEFT, headers.EXPECTED_SERVER]
)
STATUS_BY_CODE = {
    codes.TOO_LATE: 503,
    codes.OVER_LIMIT: 429,
    codes.OUTSIDE_CONTRACT: 404,
}


def parse(request: messages.Request) -> ports.Call:
    """Reads a caller's request head."""
    left = request.header(headers.TIME_LEFT)
    key = request.header(headers.KEY)
    return ports.Call(
        id=request.header(headers.REQUEST_ID) or "",
        host=(request.header(b"host") or "").partition(":")[0].lower(),
        path=request.path,
        left=int(left) / 1000 if left and left.isdigit() else None,
        key=int(key) if key and key.isdigit() else None,
    )


def forward(
    request: messages.Request, server: cluster.Server, left: float
) -> messages.Headers:
    """Returns the headers to send to a server, without Host."""
    kept = [
        (name, value)
        for name, value in messages.end_to_end(request.headers)
        if name not in REPLACED
    ]
    milliseconds = max(1, int(max(left, MIN_LEFT_SECONDS) * 1000))
    kept.append((headers.TIME_LEFT, b"%d" % milliseconds))
    kept.append((headers.EXPECTED_SERVER, server.id.encode()))
    return kept


def belongs(id: str, found: messages.Headers) -> bool:
    """Tells whether an answer's headers name this request."""
    named = messages.find(found, headers.REQUEST_ID)
    return named is None or named == id


def said(response: messages.Response) -> ports.Said:
    """Tells what a server's answer means."""
    if response.status == 421:
        return ports.Said.NOT_MINE
    if messages.find(response.headers, headers.NOT_RUN) is not None:
        return ports.Said.REFUSED
    if response.status < 300:
        signed = messages.find(response.headers, headers.SIGNATURE)
        return ports.Said.ANSWERED if signed else ports.Said.UNSIGNED
    return ports.Said.FAILED if response.status >= 500 else ports.Said.ANSWERED


def answer(outcome: outcomes.Outcome) -> messages.Response:
    """Returns the response to a caller."""
    if isinstance(outcome, outcomes.Complete):
        response = outcome.response
        return messages.Response(
            status=response.status,
            headers=messages.end_to_end(response.headers),
            body=response.body,
        )
    status = STATUS_BY_CODE.get(outcome.code, outcome.code.status)
    response = messages.problem(outcome.code)  # Details name our own hosts.
    response.status = status
    retry = getattr(outcome, "retry_after", None)
    if retry is not None:
        text = f"{retry:.3f}".encode()
        response.headers.append((headers.RETRY_AFTER, text))
    return response
