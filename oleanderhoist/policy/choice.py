"""Which server of a pool without keys a request goes to."""

import dataclasses
import random
from typing import Protocol

from oleanderhoist.policy import registry

HINT_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True)
class Load:
    """What an entry knows of a server's load.

    Attributes:
        outstanding: Requests this entry has at the server.
        depth: Requests at the server by its coordinator's last word.
        heard_at: When that word came, monotonic seconds.
        slots: Requests the server works on at once.
    """

    outstanding: int = 0
    depth: int = 0
    heard_at: float = 0.0
    slots: int = 1

    def estimate(self, now: float) -> float:
        """Returns requests per slot, an old word fading to the own count."""
        age = max(0.0, now - self.heard_at)
        fresh = max(0.0, 1.0 - age / HINT_SECONDS)
        return max(self.outstanding, self.depth * fresh) / self.slots


class Policy(Protocol):
    """Chooses one of several servers."""

    def choose(
        self, loads: dict[str, Load], now: float, rng: random.Random
    ) -> str:
        """Returns the id of the chosen server."""


CHOICES: registry.Registry[type[Policy]] = registry.Registry(
    kind="choice policy"
)


@CHOICES.register("least-estimate")
class LeastEstimate:
    """The least estimated load; ties fall at random."""

    def choose(
        self, loads: dict[str, Load], now: float, rng: random.Random
    ) -> str:
        """Returns the id of the chosen server."""
        return min(
            loads, key=lambda name: (loads[name].estimate(now), rng.random())
        )


@CHOICES.register("two-choices")
class TwoChoices:
    """The less loaded of two servers picked at random."""

    def choose(
        self, loads: dict[str, Load], now: float, rng: random.Random
    ) -> str:
        """Returns the id of the chosen server."""
        names = list(loads)
        pair = rng.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: loads[name].estimate(now))


@CHOICES.register("least-outstanding")
class LeastOutstanding:
    """Baseline: the fewest requests of this entry alone."""

    def choose(
        self, loads: dict[str, Load], now: float, rng: random.Random
    ) -> str:
        """Returns the id of the chosen server."""
        return min(
            loads, key=lambda name: (loads[name].outstanding, rng.random())
        )
