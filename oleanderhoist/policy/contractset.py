"""Contracts in force, in the form that routing decisions read.

Operators' documents are decoded elsewhere; this module holds what they mean.
"""

import bisect
import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A pool's part of a kind of work.

    Attributes:
        pool: Name of the pool.
        weight: Part of the requests, relative to the other parts.
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """One kind of work.

    Attributes:
        name: Name that operators gave it.
        host: Host that requests name.
        prefix: Start of the path, with a slash at both ends.
        rank: Urgency; 0 is the most urgent.
        repeatable: Whether a request may run more than once.
        objective: Time within which an answer is worth most, in seconds.
        timeout: Longest time that a caller waits, in seconds.
        attempts: Servers that one request may be sent to.
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
        """Returns the pool for a number drawn from 0 to 1."""
        if len(self.shares) == 1:
            return self.shares[0].pool
        sums = list(itertools.accumulate(s.weight for s in self.shares))
        index = bisect.bisect_right(sums, draw * sums[-1])
        return self.shares[min(index, len(sums) - 1)].pool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """Servers that are interchangeable, or divided by key.

    Attributes:
        name: Name of the pool.
        keyed: Whether each key has one owning server.
        connections: Connections that one server accepts from all callers.
    """

    name: str
    keyed: bool
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessageLimits:
    """Bounds on what a caller may send.

    Attributes:
        head_bytes: Largest request head.
        body_bytes: Largest request body.
        head_seconds: Longest time that a head may take.
        idle_seconds: Longest idle time of a connection.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ContractSet:
    """One version of all contracts.

    Attributes:
        version: Rises with every change.
        works: Kinds of work by host, longest prefix first.
        pools: Pools by name.
        limits: Bounds on what a caller may send.
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
    """Returns terms with the kinds of work in matching order."""
    by_host: dict[str, list[Work]] = {}
    for work in works:
        by_host.setdefault(work.host, []).append(work)
    return ContractSet(
        version=version,
        works={
            host: tuple(sorted(found, key=lambda work: -len(work.prefix)))
            for host, found in by_host.items()
        },
        pools={pool.name: pool for pool in pools},
        limits=limits,
    )
