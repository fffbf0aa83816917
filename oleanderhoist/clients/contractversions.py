"""Reads immutable contract versions from the table."""

from oleanderhoist.clients import table

CONTRACTS_PREFIX = "contracts/"


async def read(
    table_client: table.TableClient, customer: str, version: int
) -> str | None:
    """Returns the TOML of one contract version, or None if absent.

    Raises:
        TableError: The table did not answer.
    """
    record = await table_client.get(f"{CONTRACTS_PREFIX}{customer}/{version}")
    return record.value["source"] if record is not None else None
