"""Outcomes of serving one request."""

import dataclasses

from oleanderhoist import codes
from oleanderhoist.http import messages

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Complete:
    """The request ran, now or earlier under the same Idempotency-Key.

    Attributes:
        response: The server's response, whose body may still be streaming; a
            replay of it; or a problem document if it was not kept.
        server: Id of the server; empty if it ran earlier.
        code: Result code.
    """

    response: messages.Response
    server: str
    code: codes.Code = codes.OK


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request definitely did not run.

    Attributes:
        code: Result code.
        detail: What happened.
        retry_after: Seconds to wait before another attempt.
    """

    code: codes.Code
    detail: str = ""
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may or may not have run.

    Attributes:
        code: Result code.
        detail: What happened.
    """

    code: codes.Code
    detail: str = ""


Outcome = Complete | NotRun | Unknown
