"""Changes contracts."""

from oleanderhoist import adminclient
from oleanderhoist import console
from oleanderhoist import output
from oleanderhoist.queries import contracts


def apply(
    env: console.Console,
    api: adminclient.AdminClient,
    source: str,
    base_version: int | None,
) -> None:
    """Applies a contract.

    Args:
        env: Streams and output format.
        api: Client of the administration API.
        source: Contract as TOML.
        base_version: Version that the change is based on; None for the
            active one.

    Raises:
        UserError: The contract was rejected, or no placer answered.
    """
    parsed = contracts.parse(source)
    if base_version is None:
        base_version = contracts.version(api, parsed.customer)
    path = f"/v1/contracts/{parsed.customer}"
    response = api.call(
        "PUT", path, body=source.encode(), base_version=base_version
    )
    if env.as_json:
        output.write_json(env, response)
        return
    env.stdout.write(
        f"accepted: {parsed.customer} version {response['version']}, "
        "active everywhere within 5 s\n"
    )
