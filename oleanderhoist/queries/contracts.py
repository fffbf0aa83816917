"""Reads and checks contracts."""

import difflib

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import contract
from oleanderhoist import exits
from oleanderhoist import output

DIFF_CONTEXT_LINES = 1


def parse(source: str) -> contract.Contract:
    """Parses a contract file.

    Raises:
        UserError: The contract is not valid.
    """
    try:
        return contract.parse(source)
    except contract.ContractError as error:
        raise console.UserError(
            "the contract is not valid",
            status=exits.ExitStatus.REFUSED,
            advice="correct the named fields; docs/CONTRACTS.md lists them all",
            details=error.problems,
        ) from error


def version(api: adminclient.AdminClient, customer: str) -> int:
    """Returns the active version; 0 if there is none."""
    return api.call("GET", "/v1/contracts")["versions"].get(customer, 0)


def check(
    env: console.Console, api: adminclient.AdminClient, source: str
) -> None:
    """Checks whether a contract could be accepted now.

    Raises:
        UserError: The contract would be refused.
    """
    parsed = parse(source)
    api.call("POST", "/v1/check", body=source.encode())
    if env.as_json:
        output.write_json(env, {"customer": parsed.customer, "ok": True})
        return
    env.stdout.write(f"{parsed.customer}: can be accepted\n")


def show(
    env: console.Console, api: adminclient.AdminClient, customer: str
) -> None:
    """Writes the active contract."""
    document = api.call("GET", f"/v1/contracts/{customer}")
    if env.as_json:
        output.write_json(env, document)
        return
    env.stdout.write(f"# version {document['version']}\n{document['source']}")


def diff(
    env: console.Console, api: adminclient.AdminClient, source: str
) -> None:
    """Writes how a file differs from the active contract."""
    parsed = parse(source)
    active_source = ""
    if version(api, parsed.customer):
        document = api.call("GET", f"/v1/contracts/{parsed.customer}")
        active_source = document["source"]
    diff_lines = list(
        difflib.unified_diff(
            active_source.splitlines(),
            source.splitlines(),
            "in force",
            "file",
            "",
            "",
            DIFF_CONTEXT_LINES,
            "",
        )
    )
    if env.as_json:
        output.write_json(
            env, {"customer": parsed.customer, "diff": diff_lines}
        )
        return
    env.stdout.write("\n".join(diff_lines or ["no difference"]) + "\n")


def history(
    env: console.Console, api: adminclient.AdminClient, customer: str
) -> None:
    """Writes all stored versions of a contract."""
    document = api.call("GET", f"/v1/contracts/{customer}/history")
    if env.as_json:
        output.write_json(env, document)
        return
    rows = [
        [row["version"], row["written_at"], row["in_force"]]
        for row in document["history"]
    ]
    output.write_table(env, ["version", "written at", "in force"], rows)
