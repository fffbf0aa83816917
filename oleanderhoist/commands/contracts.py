"""Changes contracts."""

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import output
from oleanderhoist.queries import contracts


def apply(
    env: console.Console,
    api_: adminclient.AdminClient,
    source: str,
    base: int | None,
) -> None:
    """Applies a contract.

    Args:
        env: Streams.
        api_: The administration API.
        source: The contract as TOML.
        base: Version the change starts from; the one in force when None.

    Raises:
        UserError: The contract was refused, or nobody answered.
    """
    wanted = contracts.parse(source)
    if base is None:
        base = contracts.version(api_, wanted.customer)
    path = f"/v1/contracts/{wanted.customer}"
    accepted = api_.call("PUT", path, body=source.encode(), base=base)
    if env.as_json:
        output.write_json(env, accepted)
        return
    env.stdout.write(
        f"accepted: {wanted.customer} version {accepted['version']}, "
        "in force everywhere within 5 s\n"
    )
