"""Reads the state of the system."""

import urllib.parse

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import output


def explain(
    env: console.Console, api: adminclient.AdminClient, pool: str, key: str
) -> None:
    """Writes which server owns a key, and why."""
    quoted_key = urllib.parse.quote(key, safe="")
    document = api.call("GET", f"/v1/keys/{pool}/{quoted_key}")
    if env.as_json:
        output.write_json(env, document)
        return
    output.write_fields(env, document)


def status(env: console.Console, api: adminclient.AdminClient) -> None:
    """Writes the state of the system as the leader sees it."""
    document = api.call("GET", "/v1/status")
    if env.as_json:
        output.write_json(env, document)
        return
    output.write_fields(env, document["leader"])
    env.stdout.write("\n")
    versions = document["contracts"]["versions"]
    output.write_table(
        env, ["customer", "version"], [list(i) for i in versions.items()]
    )
    env.stdout.write("\n")
    write_rows(env, document["entries"])
    env.stdout.write("\n")
    write_rows(env, document["servers"])


def write_rows(env: console.Console, rows: list[dict]) -> None:
    """Writes rows that have the same fields as a table."""
    if not rows:
        env.stdout.write("none\n")
        return
    columns = list(rows[0])
    output.write_table(
        env,
        [column.replace("_", " ") for column in columns],
        [[row[column] for column in columns] for row in rows],
    )
