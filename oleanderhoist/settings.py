"""Validated settings of the programs, from flags, variables or a file."""

import dataclasses

from oleanderhoist.http import client


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """Settings that entries and placers share.

    Attributes:
        id: Name of this process, unique in the system.
        data_center: Data centre of this process.
        listen: Address for callers, or of the administration API.
        peer_listen: Address to bind for the system's own processes.
        peer_advertise: Address that peers use; the bound one if empty.
        health_listen: Address of /livez, /readyz and /metrics.
        table: Address of the platform's table service.
        max_skew: Largest clock difference between two VMs, in seconds.
        log_file: File for log lines; ``-`` is standard output.
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
class EntrySettings(CommonSettings):
    """Settings of ``oleander-entry``.

    Attributes:
        dispatch: Registered name of the dispatch policy.
        choice: Registered name of the choice policy.
        permits: Registered name of the slot access policy.
        stop_seconds: Longest graceful stop, in seconds.
    """

    dispatch: str
    choice: str
    permits: str
    stop_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacerSettings(CommonSettings):
    """Settings of ``oleander-placer``.

    Attributes:
        inventory: Address of the inventory, the platform's list of servers.
        admin_sha256: SHA-256 of the operators' token, in hex.
        partitions: Number of partitions of a new partition map.
        placement: Registered name of the placement policy.
        advertise: Address of the administration API for redirects.
    """

    inventory: client.Address
    admin_sha256: str
    partitions: int
    placement: str
    advertise: str


class SettingsError(Exception):
    """Settings are missing or wrong.

    Attributes:
        problems: One line for each field, naming the field and the fix.
    """

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """Settings of ``oleander-router``.

    Attributes:
        id: Name of this process's VM.
        ip: IP address of the VM.
        data_center: Data centre of the VM.
        listen: Address for callers.
        readiness_listen: Address of the readiness probe.
        peer_port: UDP port for the system's own processes.
        metrics_port: TCP port of /metrics.
        store: Address of the row store.
        cores: Processor cores that the router may use; may be a fraction.
        memory_bytes: Memory of the VM, in bytes.
        max_connections: Largest number of callers' connections.
        link_bytes_per_second: Rate of the VM's network link.
        max_lease_seconds: Longest lease that servers accept, in seconds.
        retry_ratio: Retries allowed for each request to a pool.
        retry_window_seconds: Period over which retries are counted, in seconds.
        retry_extra: Retries allowed in a window beyond the ratio.
        stop_seconds: Time from the stop signal to the kill, in seconds.
        propagation_seconds: Time within which changes of contracts and
            servers must be applied, in seconds.
        bootstrap: Whether the whole system starts for the first time, so
            that there are no callers yet.
        evacuation_seconds: Time within which the evacuation of a data centre
            must be applied, in seconds.
        directory_seconds: Interval at which servers write their entries, in
            seconds.
        cold_factor: Factor on the rate that cold servers stand, up to which
            they get requests in any second.
        cold_slack: Requests that they may get in a second beyond that.
    """

    id: str
    ip: str
    data_center: str
    listen: client.Address
    readiness_listen: client.Address
    peer_port: int
    metrics_port: int
    store: client.Address
    cores: float
    memory_bytes: int
    max_connections: int
    max_lease_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_extra: float
    stop_seconds: float
    propagation_seconds: float
    bootstrap: bool
    evacuation_seconds: float = 5.0
    directory_seconds: float = 1.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    link_bytes_per_second: float = 125_000_000.0
