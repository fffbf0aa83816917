"""Choice of a server in a pool without keys."""

import dataclasses
import random
from typing import Protocol

from oleanderhoist.policy import registry

REPORT_FADE_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True)
class Load:
    """A server's load as known to an entry.

    Attributes:
        outstanding: Requests that this entry has sent to the server.
        depth: Requests running or waiting, as last reported by the
            coordinator.
        heard_at: When that report arrived, in monotonic seconds.
        slots: Requests that the server runs concurrently.
    """

    outstanding: int = 0
    depth: int = 0
    heard_at: float = 0.0
    slots: int = 1

    def estimate(self, now: float) -> float:
        """Returns the estimated requests per slot.

        The reported depth loses weight with its age, down to the entry's own
        count.
        """
        age = max(0.0, now - self.heard_at)
        freshness = max(0.0, 1.0 - age / REPORT_FADE_SECONDS)
        return max(self.outstanding, self.depth * freshness) / self.slots


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
    """The least estimated load; ties are broken at random."""

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
    """Baseline: the fewest outstanding requests of this entry."""

    def choose(
        self, loads: dict[str, Load], now: float, rng: random.Random
    ) -> str:
        """Returns the id of the chosen server."""
        return min(
            loads, key=lambda name: (loads[name].outstanding, rng.random())
        )
