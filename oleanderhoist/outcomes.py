"""Tagged outcomes of serving one request."""

import dataclasses

from oleanderhoist import codes
from oleanderhoist.http import messages

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Complete:
    """The server's whole answer.

    Attributes:
        response: The answer.
        server: Who gave it; empty for a replay.
        code: Result code.
    """

    response: messages.Response
    server: str
    code: codes.Code = codes.OK


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request surely did not run.

    Attributes:
        code: Result code.
        detail: What happened.
        retry_after: Seconds after which a new try makes sense.
    """

    code: codes.Code
    detail: str = ""
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may or may not have run."""

    code: codes.Code
    detail: str = ""


Outcome = Complete | NotRun | Unknown
