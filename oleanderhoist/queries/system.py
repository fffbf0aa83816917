"""Reads the state of the system."""

import urllib.parse

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import output


def explain(
    env: console.Console, api_: adminclient.AdminClient, pool: str, key: str
) -> None:
    """Writes who owns a key, and why."""
    quoted = urllib.parse.quote(key, safe="")
    found = api_.call("GET", f"/v1/keys/{pool}/{quoted}")
    if env.as_json:
        output.write_json(env, found)
        return
    output.write_fields(env, found)


def status(env: console.Console, api_: adminclient.AdminClient) -> None:
    """Writes the leader's snapshot of the system."""
    found = api_.call("GET", "/v1/status")
    if env.as_json:
        output.write_json(env, found)
        return
    output.write_fields(env, found["leader"])
    env.stdout.write("\n")
    versions = found["contracts"]["versions"]
    output.write_table(
        env, ["customer", "version"], [list(i) for i in versions.items()]
    )
    env.stdout.write("\n")
    write_rows(env, found["entries"])
    env.stdout.write("\n")
    write_rows(env, found["servers"])


def write_rows(env: console.Console, rows: list[dict]) -> None:
    """Writes rows of equal fields as a table."""
    if not rows:
        env.stdout.write("none\n")
        return
    columns = list(rows[0])
    output.write_table(
        env,
        [column.replace("_", " ") for column in columns],
        [[row[column] for column in columns] for row in rows],
    )
