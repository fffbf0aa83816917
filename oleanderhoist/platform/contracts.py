"""Decodes the operator's configuration into the product's contracts."""

from typing import Annotated

import msgspec

from oleanderhoist import ports
from oleanderhoist.platform import documents
from oleanderhoist.policy import contractset

TABLE = "op"
KEY = "config"

# Only requests of these types may run more than once.
REPEATABLE_TYPES = frozenset(["safe", "download"])
KNOWN_TYPES = REPEATABLE_TYPES | {"unsafe", "upload"}
MAX_LOGGED_ROUTES = 8
MAX_LOGGED_CHARACTERS = 40  # Of a name or value that is not known.

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]


class Split(msgspec.Struct, kw_only=True):
    """The share of a route's requests that goes to one service."""

    service: NonEmptyText
    weight: Annotated[float, msgspec.Meta(ge=0)]


class Match(msgspec.Struct, kw_only=True):
    """The path prefix that a rule matches."""

    prefix: Annotated[str, msgspec.Meta(pattern=r"^/(?:.*/)?\Z")]


class Action(msgspec.Struct, kw_only=True):
    """Destination, timeout and attempts of a route's requests."""

    service: NonEmptyText | None = None
    traffic_split: list[Split] | None = None
    timeout_ms: Milliseconds
    max_attempts: Annotated[int, msgspec.Meta(ge=1)]

    def __post_init__(self):
        """Checks that there is a destination, with a weight above 0.

        Raises:
            ValueError: There is none.
        """
        if self.service is None and not self.traffic_split:
            raise ValueError("give service or traffic_split")
        if self.traffic_split and not sum(s.weight for s in self.traffic_split):
            raise ValueError("traffic_split needs a weight above 0")


class Rule(msgspec.Struct, kw_only=True):
    """A route."""

    name: NonEmptyText
    # A type that is not known is taken as one that may not be repeated, so
    # that a new type takes down no route.
    route_type: NonEmptyText
    target_latency_ms: Milliseconds
    priority: Annotated[int, msgspec.Meta(ge=0)]
    match: Match
    action: Action


class Listener(msgspec.Struct, kw_only=True):
    """Routes of one host."""

    host: NonEmptyText
    rules: list[Rule]


class Cluster(msgspec.Struct, kw_only=True):
    """A service."""

    name: NonEmptyText
    max_conns: Annotated[int, msgspec.Meta(ge=1)] = 1000
    sharded: bool = False
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0  # 0 if cold servers are not limited.


class CallerLimits(msgspec.Struct, kw_only=True):
    """Limits on what a caller may send."""

    max_header_bytes: Annotated[int, msgspec.Meta(gt=0)] = 16_384
    max_body_bytes: Annotated[int, msgspec.Meta(gt=0)] = 67_108_864
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class Configuration(msgspec.Struct, kw_only=True):
    """The whole document; unknown fields are ignored."""

    version: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{8}\Z")]
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
    listeners: list[Listener]
    clusters: list[Cluster]

    def __post_init__(self):
        """Checks that every service of a route is among the clusters.

        Raises:
            ValueError: One is not.
        """
        known = {cluster.name for cluster in self.clusters}
        for listener in self.listeners:
            for rule in listener.rules:
                for share in to_shares(rule.action):
                    if share.pool not in known:
                        raise ValueError(
                            f"rule {rule.name}: service {share.pool!r} is "
                            "not among clusters"
                        )


def decode(row: ports.Row) -> ports.VersionedContracts:
    """Decodes the configuration row.

    Raises:
        ports.TermsError: The document is truncated or not valid.
    """
    try:
        document = documents.decode(row.value, Configuration, strict=False)
    except documents.DocumentError as error:
        raise ports.TermsError(
            str(error), revision=row.revision.number
        ) from error
    return ports.VersionedContracts(
        contracts=convert(document),
        revision=row.revision.number,
        unknown=unknown_types(document),
    )


def unknown_types(document: Configuration) -> tuple[str, ...]:
    """Returns the routes whose type is not known, for the log; at most some."""
    texts = [
        f"{rule.name[:MAX_LOGGED_CHARACTERS]}: "
        f"route_type {rule.route_type[:MAX_LOGGED_CHARACTERS]!r}"
        for listener in document.listeners
        for rule in listener.rules
        if rule.route_type not in KNOWN_TYPES
    ]
    return tuple(texts[:MAX_LOGGED_ROUTES])


def convert(document: Configuration) -> contractset.ContractSet:
    """Converts a valid configuration."""
    works = [
        to_work(listener.host, rule)
        for listener in document.listeners
        for rule in listener.rules
    ]
    pools = [
        contractset.Pool(
            name=cluster.name,
            keyed=cluster.sharded,
            connections=cluster.max_conns,
            cold_rate=max(0.0, cluster.cold_per_s),
            cold_seconds=max(0.0, cluster.cold_start_s),
        )
        for cluster in document.clusters
    ]
    limits = contractset.MessageLimits(
        head_bytes=document.limits.max_header_bytes,
        body_bytes=document.limits.max_body_bytes,
        head_seconds=document.limits.header_timeout_ms / 1000,
        idle_seconds=document.limits.idle_timeout_ms / 1000,
    )
    return contractset.build(
        version=int(document.version, 16),
        works=works,
        pools=pools,
        limits=limits,
    )


def to_work(host: str, rule: Rule) -> contractset.Work:
    """Converts a route."""
    return contractset.Work(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        rank=rule.priority,
        repeatable=rule.route_type in REPEATABLE_TYPES,
        # A target latency above the timeout is valid; the timeout caps it.
        objective=min(rule.target_latency_ms, rule.action.timeout_ms) / 1000,
        timeout=rule.action.timeout_ms / 1000,
        attempts=rule.action.max_attempts,
        shares=to_shares(rule.action),
    )


def to_shares(action: Action) -> tuple[contractset.Share, ...]:
    """Returns the pools of an action with their weights."""
    if action.traffic_split:
        return tuple(
            contractset.Share(pool=split.service, weight=split.weight)
            for split in action.traffic_split
        )
    return (contractset.Share(pool=action.service or "", weight=1.0),)
