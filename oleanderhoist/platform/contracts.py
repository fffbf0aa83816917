"""Decodes the operator's configuration into the product's contracts."""

from typing import Annotated
from typing import Literal

import pydantic

from oleanderhoist import ports
from oleanderhoist.policy import contractset

TABLE = "op"
KEY = "config"
MAX_REPORTED_PROBLEMS = 5

NonEmptyText = Annotated[str, pydantic.Field(min_length=1)]
Milliseconds = Annotated[float, pydantic.Field(gt=0)]


class Split(pydantic.BaseModel):
    """The share of a route's requests that goes to one service."""

    service: NonEmptyText
    weight: Annotated[float, pydantic.Field(ge=0)]


class Match(pydantic.BaseModel):
    """The path prefix that a rule matches."""

    prefix: Annotated[str, pydantic.StringConstraints(pattern=r"^/(?:.*/)?$")]


class Action(pydantic.BaseModel):
    """Destination, timeout and attempts of a route's requests."""

    service: NonEmptyText | None = None
    traffic_split: list[Split] | None = None
    timeout_ms: Milliseconds
    max_attempts: Annotated[int, pydantic.Field(ge=1)]

    @pydantic.model_validator(mode="after")
    def has_destination(self) -> "Action":
        """Checks that there is a destination, with a weight above 0."""
        if self.service is None and not self.traffic_split:
            raise ValueError("give service or traffic_split")
        if self.traffic_split and not sum(s.weight for s in self.traffic_split):
            raise ValueError("traffic_split needs a weight above 0")
        return self


class Rule(pydantic.BaseModel):
    """A route."""

    name: NonEmptyText
    # Only `safe` requests may be repeated; `upload` has a large body.
    route_type: Literal["safe", "unsafe", "upload"]
    target_latency_ms: Milliseconds
    priority: Annotated[int, pydantic.Field(ge=0)]
    match: Match
    action: Action


class Listener(pydantic.BaseModel):
    """Routes of one host."""

    host: NonEmptyText
    rules: list[Rule]


class Cluster(pydantic.BaseModel):
    """A service."""

    name: NonEmptyText
    max_conns: Annotated[int, pydantic.Field(ge=1)] = 1000
    sharded: bool = False


class CallerLimits(pydantic.BaseModel):
    """Limits on what a caller may send."""

    max_header_bytes: Annotated[int, pydantic.Field(gt=0)] = 16_384
    max_body_bytes: Annotated[int, pydantic.Field(gt=0)] = 67_108_864
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class Configuration(pydantic.BaseModel):
    """The whole document; unknown fields are ignored."""

    version: Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9a-fA-F]{8}$")
    ]
    limits: CallerLimits = CallerLimits()
    listeners: list[Listener]
    clusters: list[Cluster]

    @pydantic.model_validator(mode="after")
    def services_are_known(self) -> "Configuration":
        """Checks that every service of a route is among the clusters."""
        known = {cluster.name for cluster in self.clusters}
        for listener in self.listeners:
            for rule in listener.rules:
                for share in to_shares(rule.action):
                    if share.pool not in known:
                        raise ValueError(
                            f"rule {rule.name}: service {share.pool!r} is "
                            "not among clusters"
                        )
        return self


def decode(row: ports.Row) -> ports.VersionedContracts:
    """Decodes the configuration row.

    Raises:
        ports.TermsError: The document is truncated or not valid.
    """
    try:
        document = Configuration.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        problems = [
            f"{'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()[:MAX_REPORTED_PROBLEMS]
        ]
        raise ports.TermsError(
            "; ".join(problems), revision=row.revision
        ) from error
    return ports.VersionedContracts(
        contracts=convert(document), revision=row.revision
    )


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
        repeatable=rule.route_type == "safe",
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
