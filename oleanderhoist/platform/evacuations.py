"""Decodes the operator's rows about evacuations."""

import msgspec

from oleanderhoist import ports
from oleanderhoist.platform import documents

PREFIX = "evacuate/"


class Evacuation(msgspec.Struct, kw_only=True):
    """Value of a row; unknown fields are ignored."""


def decode(rows: list[ports.Row]) -> tuple[frozenset[str], dict[str, str]]:
    """Decodes the rows about evacuations, among those of the whole table.

    A row that names a data centre evacuates it, whatever its value says.

    Returns:
        The evacuated data centres; and unusable rows with the reason, by key.
    """
    evacuated = set()
    unusable = {}
    for row in rows:
        if not row.key.startswith(PREFIX):
            continue
        data_center = row.key.removeprefix(PREFIX)
        if not data_center.strip():
            unusable[row.key] = "names no data centre"
            continue
        evacuated.add(data_center)
        try:
            documents.decode(row.value, Evacuation)
        except documents.DocumentError as error:
            unusable[row.key] = str(error)
    return frozenset(evacuated), unusable
