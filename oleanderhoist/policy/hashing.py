"""Stable hashing: partitions of keys and rendezvous hashing."""

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
    """Returns the name with the highest hash for a subject."""
    return max(names, key=lambda name: digest(f"{subject}|{name}"))


def weighted_rendezvous(subject: str, weights: dict[str, float]) -> str:
    """Returns the name chosen for a subject by weighted rendezvous hashing.

    A name is chosen in proportion to its weight. When a name is removed, only
    the subjects it was chosen for change.
    """
    return max(
        weights, key=lambda name: score(f"{subject}|{name}", weights[name])
    )


def score(text: str, weight: float) -> float:
    """Returns the weighted rendezvous score of a text."""
    uniform = (digest(text) + 1) / 2.0**64
    return weight / -math.log(min(uniform, 1.0 - 2.0**-53))
