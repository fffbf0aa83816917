"""Checked settings of the programs, from flags and OLEANDER_* variables."""

import dataclasses

import click

from oleanderhoist.http import client


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """Settings that entries and placers share.

    Attributes:
        id: Name of this process, unique in the system.
        data_center: Where this process runs.
        listen: Address of the caller or administration interface.
        peer_listen: Address to bind for the system's own processes.
        peer_advertise: Address peers use; the bound one when empty.
        health_listen: Address of /livez, /readyz and /metrics.
        table: Address of the platform's table service.
        max_skew: Greatest difference of two VMs' clocks, in seconds.
        log_file: Where log lines go; standard output when ``-``.
    """

    id: str
    data_center: str
    listen: client.Address
    peer_listen: client.Address
    peer_advertise: str
    health_listen: client.Address
    table: client.Address
    max_skew: float
    log_file: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(Node):
    """Settings of ``oleander-entry``.

    Attributes:
        dispatch: Registered name of the dispatch policy.
        choice: Registered name of the choice policy.
        permits: Registered name of the permit policy.
        stop_seconds: Longest graceful stop, in seconds.
    """

    dispatch: str
    choice: str
    permits: str
    stop_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacerSettings(Node):
    """Settings of ``oleander-placer``.

    Attributes:
        inventory: Address of the platform's configuration.
        admin_sha256: SHA-256 of the operators' token, in hex.
        partitions: Partitions of each key space.
        placement: Registered name of the placement policy.
        advertise: Address of the administration API for redirects.
    """

    inventory: client.Address
    admin_sha256: str
    partitions: int
    placement: str
    advertise: str


class AddressType(click.ParamType):
    """A ``host:port`` with an IP number."""

    name = "host:port"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> client.Address:
        """Parses the address or fails naming the value."""
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
            self.fail(f"{value!r} names no IP number", param, ctx)
        return address


ADDRESS = AddressType()
