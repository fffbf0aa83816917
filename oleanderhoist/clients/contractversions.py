"""Reads the immutable contract versions in the table."""

from oleanderhoist.clients import table

CONTRACTS_PREFIX = "contracts/"


async def read(
    table_: table.TableClient, customer: str, version: int
) -> str | None:
    """Returns the TOML of one contract version, or None without it.

    Raises:
        TableError: The table did not answer.
    """
    record = await table_.get(f"{CONTRACTS_PREFIX}{customer}/{version}")
    return record.value["source"] if record is not None else None
