"""The owners of a pool's keys with their loads, as they will be after moves."""

import bisect
from collections.abc import Iterator
import dataclasses

from oleanderhoist.policy import eventrate
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keyruns
from oleanderhoist.policy import keys

EASY_UTILISATION = 0.5  # Up to here requests hardly wait for each other.
MIN_TARGET_UTILISATION = 0.75  # Targets may be filled up to here.
MIN_CAPACITY = 1e-3  # Requests per second.
IDLE_KEY_RATE = 1e-6  # Requests per second; added for each key of a range.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A range of keys that should change its owner.

    Attributes:
        start: First key.
        end: Last key.
        source: Current owner; empty without one.
        target: New owner.
    """

    start: int
    end: int
    source: str
    target: str

    @property
    def key_range(self) -> keys.Range:
        """The keys that move."""
        return keys.Range(start=self.start, end=self.end)


class Assignment:
    """Owners and loads, changed by `apply`.

    Args:
        key_map: The owners; keys that are being moved count as their target's.
        counts: Requests by key.
        capacities: Requests per second that each usable server can complete.
        held: Ranges that may not move now, without overlaps.
    """

    def __init__(
        self,
        *,
        key_map: keys.KeyMap,
        counts: keyload.KeyCounts,
        capacities: dict[str, float],
        held: list[keys.Range],
    ):
        self.key_map = key_map
        self.counts = counts
        self.capacities = {
            server: max(MIN_CAPACITY, capacity)
            for server, capacity in capacities.items()
        }
        self.held = sorted(held, key=lambda key_range: key_range.start)
        self.owned: dict[str, list[keys.Range]] = {s: [] for s in capacities}
        for key_range in key_map.ranges:
            self.owned.setdefault(key_range.owner, []).append(key_range)
        self.loads = {
            server: counts.load_of(key_ranges)
            for server, key_ranges in self.owned.items()
        }
        self.estimates = {s: load.estimate() for s, load in self.loads.items()}
        self.target_utilisation = self.find_target_utilisation()

    def rate(self, server: str) -> eventrate.Rate:
        """Returns the rate of requests for a server's keys."""
        return self.estimates[server].rate

    def find_target_utilisation(self) -> float:
        """Returns the utilisation up to which targets are filled."""
        total_rate = sum(e.rate.value for e in self.estimates.values())
        total_capacity = sum(self.capacities.values())
        return max(
            MIN_TARGET_UTILISATION,
            total_rate / max(MIN_CAPACITY, total_capacity),
        )

    def low_strain(self, server: str) -> float:
        """Returns the strain of a server at the lower bound of its load."""
        return self.strain(server, self.rate(server).low)

    def strain(self, server: str, rate: float) -> float:
        """Returns the requests per second that a server is expected to fail.

        The fraction of additional requests that suffer grows from none at
        EASY_UTILISATION to all at full utilisation.
        """
        capacity = self.capacities[server]
        excess = rate / capacity - EASY_UTILISATION
        room = 1.0 - EASY_UTILISATION
        if excess <= 0:
            return 0.0
        if excess <= room:
            return capacity * excess**2 / (2 * room)
        return capacity * (excess - room / 2)

    def gain(self, moved: float, source: str, target: str) -> float:
        """Returns the requests per second that a move saves, at least.

        Args:
            moved: Requests per second of the keys that move.
            source: Their owner.
            target: The new owner.
        """
        low = self.rate(source).low
        high = self.rate(target).high
        saved = self.strain(source, low) - self.strain(
            source, max(0.0, low - moved)
        )
        added = self.strain(target, high + moved) - self.strain(target, high)
        return saved - added

    def low_utilisation(self, server: str) -> float:
        """Returns a server's utilisation at the lower bound of its load."""
        return self.rate(server).low / self.capacities[server]

    def high_utilisation(self, server: str) -> float:
        """Returns a server's utilisation at the upper bound of its load."""
        return self.rate(server).high / self.capacities[server]

    def idle_utilisation(self, server: str) -> float:
        """Returns a utilisation in which keys without requests count, too."""
        owned_keys = sum(key_range.size for key_range in self.owned[server])
        rate = self.rate(server).value + owned_keys * IDLE_KEY_RATE
        return rate / self.capacities[server]

    def weights(self, server: str) -> dict[int, int]:
        """Returns requests by key, in the batches that count for a server."""
        return self.counts.weights(self.estimates[server].batches)

    def requests(self, key_range: keys.Range, weights: dict[int, int]) -> int:
        """Returns the requests for a range of keys."""
        first, end = self.counts.indices(key_range)
        return sum(weights.get(key, 0) for key in self.counts.keys[first:end])

    def stretches(self, server: str) -> list[keyruns.Stretch]:
        """Returns the requested keys of a server that may move."""
        found = []
        for key_range in self.owned[server]:
            for start, end in self.movable_parts(key_range):
                part = keys.Range(start=start, end=end)
                first, last = self.counts.indices(part)
                if first < last:
                    found.append(
                        keyruns.Stretch(
                            start=start,
                            end=end,
                            requested=self.counts.keys[first:last],
                        )
                    )
        return found

    def movable_parts(self, key_range: keys.Range) -> Iterator[tuple[int, int]]:
        """Yields first and last key of the parts of a range that may move."""
        start = key_range.start
        index = bisect.bisect_left(
            self.held, start, key=lambda held_range: held_range.end
        )
        for held in self.held[index:]:
            if held.start > key_range.end:
                break
            if start < held.start:
                yield start, held.start - 1
            start = max(start, held.end + 1)
        if start <= key_range.end:
            yield start, key_range.end

    def is_held(self, start: int, end: int) -> bool:
        """Returns whether a range has keys that may not move."""
        index = bisect.bisect_right(
            self.held, end, key=lambda key_range: key_range.start
        )
        return index > 0 and self.held[index - 1].end >= start

    def apply(self, move: Move) -> None:
        """Makes a move in this picture; its keys may not move again."""
        load = self.counts.load_of([move.key_range])
        for server, sign in ((move.source, -1), (move.target, 1)):
            if server in self.loads:
                self.loads[server] = self.loads[server].plus(load, sign)
                self.estimates[server] = self.loads[server].estimate()
        self.key_map = self.key_map.assign(move.start, move.end, move.target)
        for server in (move.source, move.target):
            self.owned[server] = self.key_map.owned_by(server)
        bisect.insort(
            self.held, move.key_range, key=lambda key_range: key_range.start
        )
