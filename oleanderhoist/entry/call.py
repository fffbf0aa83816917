"""One admitted request on its way to a server."""

from collections.abc import AsyncIterator
import dataclasses
import hashlib

from oleanderhoist import contract
from oleanderhoist.http import messages
from oleanderhoist.http import server

BUFFER_BYTES = 65_536

_PRIVATE = (b"authorization", b"host", b"content-length", b"idempotency-key")


class BodyTooLargeError(Exception):
    """The body is larger than the contract allows."""


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request that its contract admits.

    Attributes:
        id: Request id, shown to the caller.
        customer: Whose request it is.
        work: Kind of work.
        key: Key in the path; empty without one.
        request: The caller's request.
        deadline: Monotonic seconds.
        idempotency_key: The caller's key; empty without one.
        body: The body read so far.
        rest: The body's further chunks when it is streamed.
        streamed: Whether a part of the body has left already.
        fault: What went wrong with the body, if anything.
    """

    id: str
    customer: str
    work: contract.Work
    key: str
    request: messages.Request
    deadline: float
    idempotency_key: str = ""
    body: bytes = b""
    rest: AsyncIterator[bytes] | None = None
    streamed: bool = False
    fault: Exception | None = None

    @property
    def claimed(self) -> bool:
        """Whether the request runs only under a claim on its key."""
        return bool(self.idempotency_key) and not self.work.repeatable

    async def buffer(self) -> None:
        """Reads a small body whole; leaves the rest of a large one.

        Raises:
            BodyError: The body ended early, stalled or was malformed.
            BodyTooLargeError: It is larger than the contract allows.
        """
        if (self.request.length or 0) > self.work.max_body_bytes:
            raise BodyTooLargeError
        if self.request.length == 0:
            async for _ in self.request.body:
                raise server.BodyError("a body without a length")
            return
        chunks = []
        size = 0
        async for chunk in self.request.body:
            chunks.append(chunk)
            size += len(chunk)
            if size > self.work.max_body_bytes:
                raise BodyTooLargeError
            if size > BUFFER_BYTES:
                self.rest = self.request.body
                break
        self.body = b"".join(chunks)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yields the whole body, bounded by the contract."""
        self.streamed = True
        size = len(self.body)
        yield self.body
        try:
            async for chunk in self.rest:
                size += len(chunk)
                if size > self.work.max_body_bytes:
                    raise BodyTooLargeError
                yield chunk
        except (server.BodyError, BodyTooLargeError) as error:
            self.fault = error
            raise ConnectionAbortedError("the caller's body failed") from error

    def headers(self) -> messages.Headers:
        """Returns the caller's headers that go to the server."""
        kept = messages.end_to_end(self.request.headers)
        return [
            (name, value)
            for name, value in kept
            if name not in _PRIVATE and not name.startswith(b"oleander-")
        ]

    def fingerprint(self) -> str:
        """Tells this request from others under the same key."""
        parts = f"{self.request.method} {self.request.target}\n".encode()
        return hashlib.sha256(parts + self.body).hexdigest()
