"""Streams, output format and errors of a command-line program."""

import dataclasses
import sys
import typing

from oleanderhoist import exits


@dataclasses.dataclass(kw_only=True)
class Console:
    """Streams and output format of one run; tests pass their own.

    Attributes:
        stdout: Stream for results.
        stderr: Stream for errors.
        as_json: Whether results are written as JSON.
    """

    stdout: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stdout
    )
    stderr: typing.TextIO = dataclasses.field(
        default_factory=lambda: sys.stderr
    )
    as_json: bool = False


class UserError(Exception):
    """An error with advice for the operator.

    Attributes:
        status: Exit code of the program.
        advice: What the operator should do next.
        details: Further lines to show.
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
