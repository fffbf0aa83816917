"""Bodies of requests and answers that tell whose they are."""

ANSWER_PADDING_BYTES = 100


def request(id: str, size_bytes: int) -> bytes:
    """Returns the body of a request: its id again and again."""
    pattern = f"{id} ".encode()
    return (pattern * (size_bytes // len(pattern) + 1))[:size_bytes]


def is_whole(body: bytes, id: str) -> bool:
    """Returns whether a request's body consists of nothing but its own."""
    return body == request(id, len(body))


def answer(id: str) -> bytes:
    """Returns the body of the answer to a request that was executed."""
    return b"done " + request(id, len(id) + ANSWER_PADDING_BYTES)
