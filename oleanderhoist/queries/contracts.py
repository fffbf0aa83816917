"""Reads and checks contracts."""

import difflib

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import contract
from oleanderhoist import exits
from oleanderhoist import output


def parse(source: str) -> contract.Contract:
    """Parses a contract file.

    Raises:
        UserError: It is not valid.
    """
    try:
        return contract.parse(source)
    except contract.ContractError as error:
        raise console.UserError(
            "the contract is not valid",
            status=exits.ExitStatus.REFUSED,
            advice="mend the named fields; docs/CONTRACTS.md lists them all",
            details=error.problems,
        ) from error


def version(api_: adminclient.AdminClient, customer: str) -> int:
    """Returns the version in force; 0 without one."""
    return api_.call("GET", "/v1/contracts")["versions"].get(customer, 0)


def check(
    env: console.Console, api_: adminclient.AdminClient, source: str
) -> None:
    """Checks whether a contract could be accepted now.

    Raises:
        UserError: It would be refused.
    """
    wanted = parse(source)
    api_.call("POST", "/v1/check", body=source.encode())
    if env.as_json:
        output.write_json(env, {"customer": wanted.customer, "ok": True})
        return
    env.stdout.write(f"{wanted.customer}: can be accepted\n")


def show(
    env: console.Console, api_: adminclient.AdminClient, customer: str
) -> None:
    """Writes the contract in force."""
    found = api_.call("GET", f"/v1/contracts/{customer}")
    if env.as_json:
        output.write_json(env, found)
        return
    env.stdout.write(f"# version {found['version']}\n{found['source']}")


def diff(
    env: console.Console, api_: adminclient.AdminClient, source: str
) -> None:
    """Writes how a file differs from the contract in force."""
    wanted = parse(source)
    before = ""
    if version(api_, wanted.customer):
        found = api_.call("GET", f"/v1/contracts/{wanted.customer}")
        before = found["source"]
    lines = list(
        difflib.unified_diff(
            before.splitlines(),
            source.splitlines(),
            "in force",
            "file",
            "",
            "",
            1,
            "",
        )
    )
    if env.as_json:
        output.write_json(env, {"customer": wanted.customer, "diff": lines})
        return
    env.stdout.write("\n".join(lines or ["no difference"]) + "\n")


def history(
    env: console.Console, api_: adminclient.AdminClient, customer: str
) -> None:
    """Writes all stored versions of a contract."""
    found = api_.call("GET", f"/v1/contracts/{customer}/history")
    if env.as_json:
        output.write_json(env, found)
        return
    rows = [
        [row["version"], row["written_at"], row["in_force"]]
        for row in found["history"]
    ]
    output.write_table(env, ["version", "written at", "in force"], rows)
