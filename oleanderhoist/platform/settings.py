"""Reads the platform's settings file into the product's settings."""

import os
from typing import Annotated

import msgspec

from oleanderhoist import settings
from oleanderhoist.http import client
from oleanderhoist.platform import documents

PATH_VARIABLE = "OLEANDERHOIST_SETTINGS"
FILE_DESCRIPTORS = 200  # Of `max_fds`, for files.
# Of the others, for callers; servers, the store and peers need some, too.
CALLER_DESCRIPTOR_FRACTION = 0.5
MIN_CALLER_CONNECTIONS = 16
LINK_MBPS_PER_CORE = 50.0  # A slower link lowers the core count.
DEFAULT_MAX_LEASE_MS = 10_000.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_SECONDS = 10.0
DEFAULT_EXTRA_RETRIES = 100.0
DEFAULT_STOP_SECONDS = 6.0
DEFAULT_DRAIN_MS = 2000.0
DEFAULT_CONFIG_APPLY_MS = 2000.0
DEFAULT_EVACUATE_MS = 5000.0
DEFAULT_COLD_OVERAGE = 1.0
DEFAULT_COLD_SLACK = 0.0
BYTES_PER_MEGABIT = 125_000
METRICS_PORT = 9464  # Also set in deploy/system.toml.
DEFAULT_PATH = "/etc/oleanderhoist/node.json"

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]


class Listen(msgspec.Struct, kw_only=True):
    """Addresses to bind."""

    front: str
    ready: str


class MachineLimits(msgspec.Struct, kw_only=True):
    """Resources of the VM."""

    cpu_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cpu_cores: Annotated[int, msgspec.Meta(ge=1)] = 1
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    memory_mb: Annotated[int, msgspec.Meta(ge=16)] = 256
    max_fds: Annotated[int, msgspec.Meta(ge=1)] = 4096


class Provider(msgspec.Struct, kw_only=True):
    """The platform's row store; the file calls the platform `provider`."""

    address: str
    row_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 65_536


class SettingsFile(msgspec.Struct, kw_only=True):
    """The settings file; unknown fields are ignored."""

    node: Annotated[str, msgspec.Meta(min_length=1)]
    ip: str
    zone: str
    listen: Listen
    # Only the first is used, over UDP.
    internal_ports: tuple[Port, Port]
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    # True only while the whole system starts for the first time.
    bootstrap: bool = False
    heartbeat_ms: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    # The platform's time limits and retry budget, as a list of `name=value`
    # strings and not a table.
    bounds: list[str] = []
    provider: Provider


def settings_path() -> str:
    """Returns the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read(path: str) -> settings.RouterSettings:
    """Reads and checks the settings file.

    Raises:
        settings.SettingsError: A field is missing or wrong.
    """
    try:
        with open(path, "rb") as stream:
            data = stream.read()
        decoded = documents.decode(data, SettingsFile, strict=False)
    except OSError as error:
        raise settings.SettingsError(
            [f"{path}: {error.strerror}; set {PATH_VARIABLE} to the file"]
        ) from error
    except documents.DocumentError as error:
        raise settings.SettingsError([f"{path}: {error}"]) from error
    return convert(decoded)


def convert(file: SettingsFile) -> settings.RouterSettings:
    """Converts the decoded file.

    Raises:
        settings.SettingsError: An address or a bound is malformed.
    """
    bounds = parse_bounds(file.bounds)
    return settings.RouterSettings(
        id=file.node,
        ip=file.ip,
        data_center=file.zone,
        listen=parse_address("listen.front", file.listen.front),
        readiness_listen=parse_address("listen.ready", file.listen.ready),
        peer_port=file.internal_ports[0],
        metrics_port=METRICS_PORT,
        store=parse_address("provider.address", file.provider.address),
        cores=min(
            file.limits.cpu_share * file.limits.cpu_cores,
            file.limits.link_mbps / LINK_MBPS_PER_CORE,
        ),
        memory_bytes=file.limits.memory_mb * 1_000_000,
        max_connections=caller_connections(file.limits.max_fds),
        max_lease_seconds=bounds.get("hold_max_ms", DEFAULT_MAX_LEASE_MS)
        / 1000,
        retry_ratio=bounds.get("retry_budget_ratio", DEFAULT_RETRY_RATIO),
        retry_window_seconds=bounds.get(
            "budget_window_s", DEFAULT_RETRY_WINDOW_SECONDS
        ),
        retry_extra=bounds.get("budget_extra_retries", DEFAULT_EXTRA_RETRIES),
        stop_seconds=bounds.get("grace_s", DEFAULT_STOP_SECONDS),
        propagation_seconds=min(
            bounds.get("drain_ms", DEFAULT_DRAIN_MS),
            bounds.get("config_apply_ms", DEFAULT_CONFIG_APPLY_MS),
        )
        / 1000,
        bootstrap=file.bootstrap,
        evacuation_seconds=bounds.get("evacuate_ms", DEFAULT_EVACUATE_MS)
        / 1000,
        directory_seconds=file.heartbeat_ms / 1000,
        cold_factor=bounds.get("cold_overage", DEFAULT_COLD_OVERAGE),
        cold_slack=bounds.get("cold_slack", DEFAULT_COLD_SLACK),
        link_bytes_per_second=file.limits.link_mbps * BYTES_PER_MEGABIT,
    )


def caller_connections(max_fds: int) -> int:
    """Returns how many connections of callers the descriptors allow."""
    others = max_fds - FILE_DESCRIPTORS
    return max(MIN_CALLER_CONNECTIONS, int(others * CALLER_DESCRIPTOR_FRACTION))


def parse_address(field: str, text: str) -> client.Address:
    """Parses an address field.

    Raises:
        settings.SettingsError: It is not ``IP:PORT``.
    """
    try:
        return client.Address.parse(text)
    except ValueError as error:
        raise settings.SettingsError(
            [f"{field}: {error}; write IP:PORT"]
        ) from error


def parse_bounds(texts: list[str]) -> dict[str, float]:
    """Parses `name=value` strings; true and false count as 1 and 0.

    Raises:
        settings.SettingsError: A string has no valid number.
    """
    booleans = {"true": 1.0, "false": 0.0}
    bounds = {}
    for text in texts:
        name, _, value = text.partition("=")
        try:
            bounds[name] = (
                booleans[value] if value in booleans else float(value)
            )
        except ValueError as error:
            raise settings.SettingsError(
                [f"bounds: {text!r} is not valid; write name=number"]
            ) from error
    return bounds
