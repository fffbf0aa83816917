"""An admitted request and its body."""

from collections.abc import AsyncIterator
import dataclasses
import hashlib

from oleanderhoist import contract
from oleanderhoist import outcomes
from oleanderhoist.http import messages

# A larger body is streamed to the server instead of being buffered.
MAX_BUFFERED_BYTES = 65_536

_UNFORWARDED_HEADERS = (
    b"authorization",
    b"host",
    b"content-length",
    b"idempotency-key",
)


class BodyTooLargeError(Exception):
    """The body is larger than the contract allows."""


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request that its customer's contract admits.

    Attributes:
        id: Request id, returned to the caller.
        customer: Customer that sent the request.
        work: Kind of work.
        key: Key in the path; empty if there is none.
        request: The HTTP request.
        deadline: Deadline in monotonic seconds.
        idempotency_key: Value of the Idempotency-Key header; empty if there
            is none.
        body: The body, or the buffered beginning of a streamed one.
        remaining_body: The chunks after `body`; None unless it is streamed.
        streaming: Whether streaming the body to a server has begun.
        body_error: Error that ended the streaming of the body, if any.
        tried: Ids of the servers that it was sent to.
        possible_runs: Number of exchanges, running or ended, in which a server
            may have run it.
        completed: Its outcome once a server has answered; None before.
    """

    id: str
    customer: str
    work: contract.Work
    key: str
    request: messages.Request
    deadline: float
    idempotency_key: str = ""
    body: bytes = b""
    remaining_body: AsyncIterator[bytes] | None = None
    streaming: bool = False
    body_error: Exception | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    completed: outcomes.Complete | None = None

    @property
    def maybe_run(self) -> bool:
        """Whether a server may have run it, or may be running it now."""
        return self.possible_runs > 0

    @property
    def needs_claim(self) -> bool:
        """Whether its Idempotency-Key must be claimed before sending."""
        return bool(self.idempotency_key) and not self.work.repeatable

    async def buffer_body(self) -> None:
        """Buffers the body, up to MAX_BUFFERED_BYTES.

        What follows in a larger body stays in `remaining_body`.

        Raises:
            BodyError: The body was truncated, stalled or was malformed.
            BodyTooLargeError: The body is larger than the contract allows.
        """
        if (self.request.length or 0) > self.work.max_body_bytes:
            raise BodyTooLargeError
        if self.request.length == 0:
            async for _ in self.request.body:
                raise messages.BodyError("a body without a length")
            return
        chunks = []
        size = 0
        async for chunk in self.request.body:
            chunks.append(chunk)
            size += len(chunk)
            if size > self.work.max_body_bytes:
                raise BodyTooLargeError
            if size > MAX_BUFFERED_BYTES:
                self.remaining_body = self.request.body
                break
        self.body = b"".join(chunks)

    async def stream_body(self) -> AsyncIterator[bytes]:
        """Yields the whole body, up to the size that the contract allows."""
        self.streaming = True
        size = len(self.body)
        yield self.body
        try:
            async for chunk in self.remaining_body:
                size += len(chunk)
                if size > self.work.max_body_bytes:
                    raise BodyTooLargeError
                yield chunk
        except (messages.BodyError, BodyTooLargeError) as error:
            self.body_error = error
            raise ConnectionAbortedError(
                "reading the request body failed"
            ) from error

    def headers(self) -> messages.Headers:
        """Returns the request headers to forward to the server."""
        kept = messages.end_to_end(self.request.headers)
        return [
            (name, value)
            for name, value in kept
            if name not in _UNFORWARDED_HEADERS
            and not name.startswith(b"oleander-")
        ]

    def fingerprint(self) -> str:
        """Returns a hash of method, target and body.

        It detects a different request under the same Idempotency-Key.
        """
        parts = f"{self.request.method} {self.request.target}\n".encode()
        return hashlib.sha256(parts + self.body).hexdigest()
