"""What a command-line program may touch, as one object."""

import dataclasses
import sys
import typing

from oleanderhoist import exits


@dataclasses.dataclass(kw_only=True)
class Console:
    """Streams of one run; tests pass their own.

    Attributes:
        stdout: Where results go.
        stderr: Where errors go.
        as_json: Whether results are written for programs.
    """

    stdout: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stdout
    )
    stderr: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stderr
    )
    as_json: bool = False


class UserError(Exception):
    """An error that tells the operator what to do.

    Attributes:
        status: Exit code of the program.
        advice: What to do next.
        details: Further lines.
    """

    def __init__(
        self,
        text: str,
        *,
        status: exits.ExitStatus,
        advice: str = "",
        details: list[str] | None = None,
    ):
        super().__init__(text)
        self.status = status
        self.advice = advice
        self.details = details or []
