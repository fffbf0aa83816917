"""Command line of ``oleander``, the operators' program."""

import sys
import typing

import click

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import exits
from oleanderhoist import output
from oleanderhoist.cli import parameters
from oleanderhoist.commands import contracts as contract_commands
from oleanderhoist.http import client
from oleanderhoist.queries import catalogue
from oleanderhoist.queries import contracts
from oleanderhoist.queries import system
from oleanderhoist.queries import trace


class Context:
    """Options of the whole program, shared with the sub-commands."""

    def __init__(
        self,
        *,
        env: console.Console,
        addresses: tuple[client.Address, ...],
        token: str,
    ):
        self.env = env
        self.addresses = addresses
        self.token = token

    def api(self) -> adminclient.AdminClient:
        """Returns a client of the administration API.

        Raises:
            UserError: The address or the token is missing.
        """
        if not self.addresses:
            raise console.UserError(
                "no placer's address was given",
                status=exits.ExitStatus.USAGE,
                advice="give --api IP:PORT or set OLEANDER_API",
            )
        if not self.token:
            raise console.UserError(
                "no operators' token was given",
                status=exits.ExitStatus.USAGE,
                advice="set OLEANDER_ADMIN_TOKEN",
            )
        return adminclient.AdminClient(
            addresses=self.addresses, token=self.token
        )


FILE = click.File("r", encoding="utf-8")


@click.group()
@click.option(
    "--api",
    "addresses",
    multiple=True,
    type=parameters.ADDRESS,
    envvar="OLEANDER_API",
    help="Address of a placer's API; may be given more than once.",
)
@click.option("--token", envvar="OLEANDER_ADMIN_TOKEN", default="")
@click.option("--json", "as_json", is_flag=True, help="Write JSON.")
@click.pass_context
def cli(
    context: click.Context,
    addresses: tuple[client.Address, ...],
    token: str,
    as_json: bool,
) -> None:
    """Reads the system's state and changes contracts."""
    env = context.obj or console.Console()
    env.as_json = as_json
    context.obj = Context(env=env, addresses=addresses, token=token)


@cli.group()
def contract() -> None:
    """Checks, applies and shows contracts."""


@contract.command()
@click.argument("file", type=FILE)
@click.pass_obj
def check(context: Context, file: typing.TextIO) -> None:
    """Checks whether the contract in FILE could be accepted now."""
    contracts.check(context.env, context.api(), file.read())


@contract.command()
@click.argument("file", type=FILE)
@click.option(
    "--base",
    type=click.IntRange(0),
    help="Version the change is based on; by default the active one.",
)
@click.pass_obj
def apply(context: Context, file: typing.TextIO, base: int | None) -> None:
    """Applies the contract in FILE."""
    contract_commands.apply(context.env, context.api(), file.read(), base)


@contract.command()
@click.argument("file", type=FILE)
@click.pass_obj
def diff(context: Context, file: typing.TextIO) -> None:
    """Shows how FILE differs from the active contract."""
    contracts.diff(context.env, context.api(), file.read())


@contract.command()
@click.argument("customer")
@click.pass_obj
def history(context: Context, customer: str) -> None:
    """Lists all versions of CUSTOMER's contract."""
    contracts.history(context.env, context.api(), customer)


@contract.command()
@click.argument("customer")
@click.pass_obj
def show(context: Context, customer: str) -> None:
    """Shows CUSTOMER's active contract."""
    contracts.show(context.env, context.api(), customer)


@cli.command()
@click.argument("key")
@click.option("--pool", required=True, help="Pool that is divided by key.")
@click.pass_obj
def explain(context: Context, key: str, pool: str) -> None:
    """Shows the server that owns KEY, its coordinator, and why."""
    system.explain(context.env, context.api(), pool, key)


@cli.command()
@click.pass_obj
def status(context: Context) -> None:
    """Shows the leader, contracts, entries and servers."""
    system.status(context.env, context.api())


@cli.command()
@click.pass_obj
def codes(context: Context) -> None:
    """Lists all result codes."""
    rows = catalogue.code_rows()
    catalogue.write(context.env, catalogue.CODE_COLUMNS, rows)


@cli.command()
@click.pass_obj
def events(context: Context) -> None:
    """Lists all log events."""
    rows = catalogue.event_rows()
    catalogue.write(context.env, catalogue.EVENT_COLUMNS, rows)


@cli.command(name="story")
@click.option("--request", required=True, help="Id of the request.")
@click.argument("logs", nargs=-1, type=FILE)
@click.pass_obj
def story(
    context: Context, request: str, logs: tuple[typing.TextIO, ...]
) -> None:
    """Shows what happened to a request, from log files or standard input."""
    sources = logs or (click.get_text_stream("stdin"),)
    lines = (line for source in sources for line in source)
    trace.write(context.env, lines, request)


def run(arguments: list[str], env: console.Console) -> int:
    """Runs the program; returns its exit code.

    Args:
        arguments: Command-line arguments without the program's name.
        env: Streams and output format.
    """
    try:
        cli.main(arguments, "oleander", standalone_mode=False, obj=env)
    except console.UserError as error:
        output.write_error(env, error)
        return error.status
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.ClickException as error:
        error.show(env.stderr)
        return exits.ExitStatus.USAGE
    except click.Abort:
        return exits.ExitStatus.ERROR
    return exits.ExitStatus.OK


def main() -> None:
    """Runs the program on the process's arguments and streams."""
    sys.exit(run(sys.argv[1:], console.Console()))
