"""Exit codes of every program."""

import enum


class ExitStatus(enum.IntEnum):
    """What a program's exit code means."""

    OK = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
