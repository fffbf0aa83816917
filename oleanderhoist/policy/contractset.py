"""Active contracts, in the form that routing decisions use.

The platform decodes the operators' configuration. Routers send a contract set
to each other with its field names, which are therefore part of the message
format.
"""

import bisect
import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A pool's share of the requests of a kind of work.

    Attributes:
        pool: Name of the pool.
        weight: Weight relative to the other shares.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """One kind of work.

    Attributes:
        name: Name given by operators.
        host: Host header of its requests.
        prefix: Start of the path, with a slash at both ends.
        rank: Urgency; 0 is the most urgent.
        repeatable: Whether a request may run more than once.
        objective: Time within which a response is worth most, in seconds.
        timeout: Longest time that a caller waits, in seconds.
        attempts: Maximum number of times that a request is sent, with hedged
            requests; `retry.MAX_ATTEMPTS` also limits retries.
        shares: Pools that serve it.
    """

    name: str
    host: str
    prefix: str
    rank: int
    repeatable: bool
    objective: float
    timeout: float
    attempts: int
    shares: tuple[Share, ...]

    def pick(self, draw: float) -> str:
        """Returns the pool for a random number between 0 and 1."""
        if len(self.shares) == 1:
            return self.shares[0].pool
        cumulative = list(itertools.accumulate(s.weight for s in self.shares))
        index = bisect.bisect_right(cumulative, draw * cumulative[-1])
        return self.shares[min(index, len(cumulative) - 1)].pool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """A group of servers that are interchangeable or partitioned by key.

    Attributes:
        name: Name of the pool.
        keyed: Whether each key has one owning server.
        connections: Connections that one server accepts from all clients.
        cold_rate: Requests per second that a cold server stands, from all
            routers together; 0 if cold servers are not limited.
        cold_seconds: For how long a server stays cold after its start.
    """

    name: str
    keyed: bool
    connections: int
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessageLimits:
    """Limits on what a caller may send.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_seconds: Maximum time to receive a head.
        idle_seconds: Maximum idle time of a connection.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContractSet:
    """One version of all contracts.

    Attributes:
        version: Increases with every change.
        works: Kinds of work by host, longest prefix first.
        pools: Pools by name.
        limits: Limits on what a caller may send.
    """

    version: int
    works: dict[str, tuple[Work, ...]]
    pools: dict[str, Pool]
    limits: MessageLimits

    def find(self, host: str, path: str) -> Work | None:
        """Returns the kind of work with the longest matching prefix."""
        for work in self.works.get(host, ()):
            if path.startswith(work.prefix):
                return work
        return None


def build(
    *, version: int, works: list[Work], pools: list[Pool], limits: MessageLimits
) -> ContractSet:
    """Returns a contract set with the kinds of work in matching order."""
    by_host: dict[str, list[Work]] = {}
    for work in works:
        by_host.setdefault(work.host, []).append(work)
    return ContractSet(
        version=version,
        works={
            host: tuple(sorted(host_works, key=lambda work: -len(work.prefix)))
            for host, host_works in by_host.items()
        },
        pools={pool.name: pool for pool in pools},
        limits=limits,
    )
