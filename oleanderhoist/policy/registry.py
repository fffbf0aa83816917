"""Registries of interchangeable policies, filled by decorators."""

from collections.abc import Callable
import typing

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """Maps names to interchangeable policies.

    Args:
        kind: Kind of policy, for error messages.
    """

    def __init__(self, *, kind: str):
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds a policy under a name."""

        def add(policy: T) -> T:
            self.entries[name] = policy
            return policy

        return add

    def get(self, name: str) -> T:
        """Returns a policy.

        Raises:
            KeyError: No policy has this name.
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"no {self.kind} is named {name!r}; known: {known}")
        return self.entries[name]

    def names(self) -> list[str]:
        """Returns all names in alphabetical order."""
        return sorted(self.entries)
