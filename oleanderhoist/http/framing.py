"""Checks of the framing of messages, and of how long connections may idle."""

import re

import h11

from oleanderhoist.http import messages

# h11 takes quadratic time over a run of blanks in a head or a chunk's header.
READ_BYTES = 2048
MAX_BLANKS_BYTES = 256
IDLE_SECONDS = 4.0  # Before a connection's reuse, if its peer names no time.
KEEP_ALIVE_FRACTION = 0.6  # Of the time that it names.

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def check_blanks(data: bytes) -> None:
    """Checks an incomplete head, chunk header or trailer.

    Raises:
        h11.RemoteProtocolError: It has a long run of blanks.
    """
    if b" " * MAX_BLANKS_BYTES in data.replace(b"\t", b" "):
        raise h11.RemoteProtocolError("too many blanks in a line")


def check_single_head(head: h11.Response | h11.InformationalResponse) -> None:
    """Checks that a head is not a truncated one that runs into the next.

    Raises:
        h11.RemoteProtocolError: It has a second status line.
    """
    texts = [head.reason, *(value for _, value in head.headers)]
    if any(_STATUS_LINE.search(text) for text in texts):
        raise h11.RemoteProtocolError("two heads in one")


def check_framing(response: messages.Response) -> None:
    """Checks that a response does not have both a length and chunks.

    Its body has the size of the chunks, which may differ from the length.

    Raises:
        h11.RemoteProtocolError: It has both.
    """
    names = {name for name, _ in response.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise h11.RemoteProtocolError("an answer with a length and chunks")


def keep_alive_seconds(headers: messages.Headers) -> float:
    """Returns how long a connection may stay idle, by its Keep-Alive header.

    Args:
        headers: Headers of its latest response.

    Returns:
        Time in seconds, well below the timeout that the peer states.
    """
    header = messages.find(headers, b"keep-alive") or ""
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * KEEP_ALIVE_FRACTION
    return IDLE_SECONDS
