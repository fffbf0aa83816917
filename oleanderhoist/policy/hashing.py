"""Stable hashing: partitions of keys and rendezvous order."""

from collections.abc import Iterable
import hashlib
import math


def digest(text: str) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


def partition_of(key: str, count: int) -> int:
    """Returns the partition of a key, 0 to count - 1."""
    return digest(key) % count


def rendezvous(subject: str, names: Iterable[str]) -> str:
    """Returns the name with the highest weight for a subject."""
    return max(names, key=lambda name: digest(f"{subject}|{name}"))


def weighted_rendezvous(subject: str, weights: dict[str, float]) -> str:
    """Returns the rendezvous winner among names of unequal weight.

    A name wins in proportion to its weight, and only subjects that it won
    change when it goes away.
    """
    return max(
        weights, key=lambda name: score(f"{subject}|{name}", weights[name])
    )


def score(text: str, weight: float) -> float:
    """Returns a stable draw for a text that grows with its weight."""
    part = (digest(text) + 1) / 2.0**64
    return weight / -math.log(min(part, 1.0 - 2.0**-53))
