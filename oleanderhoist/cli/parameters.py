"""Types of command line parameters."""

import click

from oleanderhoist.http import client


class AddressType(click.ParamType):
    """A ``host:port`` whose host is an IP address."""

    name = "host:port"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> client.Address:
        """Parses the address; fails with a text that names the value."""
        if isinstance(value, client.Address):
            return value
        try:
            address = client.Address.parse(str(value))
        except ValueError:
            self.fail(
                f"{value!r} is not an address; write IP:PORT, for example "
                "127.0.0.1:8080, with a port from 0 to 65535",
                param,
                ctx,
            )
        if not all(c.isdigit() or c in ".:[]abcdef" for c in address.host):
            self.fail(f"{value!r} has no IP address; write IP:PORT", param, ctx)
        return address


ADDRESS = AddressType()
