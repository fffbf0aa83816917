"""Stable hashing: partitions of keys and rendezvous order."""

from collections.abc import Iterable
import hashlib


def digest(text: str) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


def partition_of(key: str, count: int) -> int:
    """Returns the partition of a key, 0 to count - 1."""
    return digest(key) % count


def first(subject: str, names: Iterable[str]) -> str:
    """Returns the name with the highest weight for a subject."""
    return max(names, key=lambda name: digest(f"{subject}|{name}"))
