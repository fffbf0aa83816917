"""Moves keys between the servers of a keyed pool to balance their load.

A few adjacent keys, or a single one, may get much of a pool's traffic, and
change within seconds. Their owner then turns requests away while other servers
idle. A plan looks at all servers at once: hot keys are cut out of the ranges
around them and spread over several servers, and a key that is too hot for its
owner goes to the fastest server, whose other keys then leave it.

Loads are counts of few events. A move is therefore planned only if it helps
even where the source's load is at its lower bound and the target's at its upper
one, and if it is expected to help more requests than it disturbs.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import heapq

from oleanderhoist.policy import eventrate
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keyruns
from oleanderhoist.policy import keys

EASY_UTILISATION = 0.5  # Up to here requests hardly wait for each other.
MIN_TARGET_UTILISATION = 0.75  # Targets may be filled up to here.
MIN_MOVES = 4  # Per plan.
SERVERS_PER_MOVE = 4  # Larger pools may have more moves per plan.
MOVE_SECONDS = 0.1  # For which keys that move have no owner.
MOVE_REQUESTS = 1.5  # Fixed cost of a move, in requests.
HOT_KEYS = 3  # Single keys of a server that are considered.
MAX_PIECES = 8  # Into which the range of a lost owner is divided.
# Ranges of a server, on average. Each is renewed and recorded by itself.
JOIN_RANGES = 2
MAX_RANGES = 4
MIN_MAX_RANGES = 200  # Of a pool; so many cost little.
MAX_JOINS = 8  # Per plan.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A range that may leave its owner.

    Attributes:
        key_range: The keys.
        rate: Their requests per second.
        targets: Servers that may take them.
    """

    key_range: keys.Range
    rate: float
    targets: list[str]


class Planner:
    """Plans moves on a picture in which those under way are already made.

    Args:
        key_map: The owners; keys that are being moved count as their target's.
        counts: Requests by key.
        capacities: Requests per second that each usable server can complete.
        held: Ranges that may not move now, without overlaps.
        measured: Servers whose capacity was measured; keys move for load to
            no other ones, which may be slower than they seem.
    """

    def __init__(
        self,
        *,
        key_map: keys.KeyMap,
        counts: keyload.KeyCounts,
        capacities: dict[str, float],
        held: list[keys.Range],
        measured: frozenset[str],
    ):
        self.key_map = key_map
        self.counts = counts
        self.capacities = {
            server: max(MIN_CAPACITY, capacity)
            for server, capacity in capacities.items()
        }
        self.measured = measured
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

    def find_target_utilisation(self) -> float:
        """Returns the utilisation up to which targets are filled."""
        total_rate = sum(e.rate.value for e in self.estimates.values())
        total_capacity = sum(self.capacities.values())
        return max(
            MIN_TARGET_UTILISATION,
            total_rate / max(MIN_CAPACITY, total_capacity),
        )

    def plan(self) -> list[Move]:
        """Returns the moves that are worth their cost, at most some."""
        moves = [*self.first_moves(), *self.joins()]
        most = max(MIN_MOVES, len(self.capacities) // SERVERS_PER_MOVE)
        sources = [(-self.low_strain(s), s) for s in self.capacities]
        heapq.heapify(sources)
        while sources and len(moves) < most and not self.is_full():
            queued_strain, source = heapq.heappop(sources)
            strain = self.low_strain(source)
            if strain < -queued_strain:
                heapq.heappush(sources, (-strain, source))
                continue
            # No move saves more than the whole strain.
            if strain * self.rate(source).seconds <= MOVE_REQUESTS:
                continue
            move = self.hot_key_move(source) or self.best_move(source)
            if move is not None:
                self.apply(move)
                moves.append(move)
                for server in (move.source, move.target):
                    heapq.heappush(sources, (-self.low_strain(server), server))
        return moves

    def rate(self, server: str) -> eventrate.Rate:
        """Returns the rate of requests for a server's keys."""
        return self.estimates[server].rate

    def is_full(self) -> bool:
        """Returns whether there are as many ranges as may be."""
        most = max(MIN_MAX_RANGES, MAX_RANGES * len(self.capacities))
        return len(self.key_map.ranges) >= most

    def joins(self) -> list[Move]:
        """Returns moves of ranges with little load to their neighbours' owner.

        They undo what former load patterns have divided.
        """
        moves: list[Move] = []
        ranges = self.key_map.ranges
        if len(ranges) <= JOIN_RANGES * len(self.capacities):
            return moves
        joined = 0  # The last range that joins others, or is joined.
        for number in range(1, len(ranges) - 1):
            before, key_range, after = ranges[number - 1 : number + 2]
            if (
                len(moves) == MAX_JOINS
                or number - 1 < joined
                or before.owner != after.owner
                or key_range.size > min(before.size, after.size)
                or not self.may_join(key_range, before.owner)
            ):
                continue
            joined = number + 1
            move = Move(
                start=key_range.start,
                end=key_range.end,
                source=key_range.owner,
                target=before.owner,
            )
            self.apply(move)
            moves.append(move)
        return moves

    def may_join(self, key_range: keys.Range, target: str) -> bool:
        """Returns whether a range may join those of its neighbours' owner."""
        if (
            target not in self.capacities
            or key_range.owner not in self.capacities
            or self.is_held(key_range.start, key_range.end)
        ):
            return False
        rate = self.counts.load_of([key_range]).estimate().rate
        loss = -self.gain(rate.high, key_range.owner, target) * rate.seconds
        return loss < MOVE_REQUESTS

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

    def best_move(self, source: str) -> Move | None:
        """Returns the move from a server that helps most, or None."""
        best: tuple[float, Move] | None = None
        seconds = self.rate(source).seconds
        for candidate in self.candidates(source):
            cost = MOVE_REQUESTS + MOVE_SECONDS * candidate.rate
            for target in candidate.targets:
                gain = self.gain(candidate.rate, source, target) * seconds
                if gain > cost and (best is None or gain - cost > best[0]):
                    best = (gain - cost, to_move(candidate, source, target))
        return best[1] if best else None

    def hot_key_move(self, source: str) -> Move | None:
        """Returns the move of a key that its owner is too slow for, or None.

        It goes to the fastest server, which other plans relieve of its other
        keys. No order of moves that each help by themselves leads there.
        """
        weights = self.weights(source)
        requested = requested_keys(self.stretches(source))
        key = max(requested, key=lambda k: weights.get(k, 0), default=None)
        target = max(
            (
                server
                for server in self.capacities
                if server in self.measured and self.low_utilisation(server) < 1
            ),
            key=lambda server: self.capacities[server],
            default=None,
        )
        if key is None or target is None:
            return None
        seconds = self.rate(source).seconds
        rate = eventrate.Rate(events=weights.get(key, 0), seconds=seconds)
        served = min(rate.low, self.capacities[target])
        gain = served - self.capacities[source]
        disturbed = rate.value + self.rate(target).value
        if gain * seconds <= MOVE_REQUESTS + MOVE_SECONDS * disturbed:
            return None
        return Move(start=key, end=key, source=source, target=target)

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

    def candidates(self, source: str) -> Iterator[Candidate]:
        """Yields the ranges that may leave a server."""
        others = [
            server
            for server in self.capacities
            if server != source and server in self.measured
        ]
        if not others:
            return
        target = min(others, key=self.high_utilisation)
        weights = self.weights(source)
        seconds = self.rate(source).seconds
        wanted = self.wanted(source, target) * seconds
        stretches = self.stretches(source)
        for key in heapq.nlargest(
            HOT_KEYS,
            requested_keys(stretches),
            key=lambda key: weights.get(key, 0),
        ):
            if weights.get(key, 0) > wanted:
                yield Candidate(
                    key_range=keys.Range(start=key, end=key),
                    rate=weights[key] / seconds,
                    targets=others,
                )
        found = [keyruns.densest(one, weights, wanted) for one in stretches]
        best = max((run for run in found if run is not None), default=None)
        if best is not None:
            key_range = keys.Range(start=best.start, end=best.end)
            yield Candidate(
                key_range=key_range,
                rate=self.requests(key_range, weights) / seconds,
                targets=[target],
            )

    def high_utilisation(self, server: str) -> float:
        """Returns a server's utilisation at the upper bound of its load."""
        return self.rate(server).high / self.capacities[server]

    def wanted(self, source: str, target: str) -> float:
        """Returns the load that should move, in requests per second.

        It evens out the two servers, or fills the target.
        """
        own, other = self.capacities[source], self.capacities[target]
        low = self.rate(source).low / own
        high = self.high_utilisation(target)
        even = (low - high) / (1 / own + 1 / other)
        return max(0.0, min(even, (self.target_utilisation - high) * other))

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

    def first_moves(self) -> list[Move]:
        """Returns moves that give keys to servers without any."""
        moves = []
        for target in [s for s in self.capacities if not self.owned[s]]:
            move = self.first_move(target)
            if move is not None:
                self.apply(move)
                moves.append(move)
        return moves

    def first_move(self, target: str) -> Move | None:
        """Returns a move of up to half of the busiest server's load."""
        sources = [s for s in self.capacities if self.owned[s]]
        source = max(sources, key=self.low_utilisation, default=None)
        if source is None:
            return None
        weights = self.weights(source)
        stretches = self.stretches(source)
        wanted = sum(weights.get(k, 0) for k in requested_keys(stretches)) / 2
        found = [keyruns.densest(one, weights, wanted) for one in stretches]
        best = max((run for run in found if run is not None), default=None)
        if best is not None:
            return Move(
                start=best.start, end=best.end, source=source, target=target
            )
        widest = max(self.owned[source], key=lambda key_range: key_range.size)
        if widest.size < 2 or self.is_held(widest.start, widest.end):
            return None
        middle = (widest.start + widest.end + 1) // 2
        return Move(start=middle, end=widest.end, source=source, target=target)

    def low_utilisation(self, server: str) -> float:
        """Returns a server's utilisation at the lower bound of its load."""
        return self.rate(server).low / self.capacities[server]

    def place(self, key_range: keys.Range) -> list[Move]:
        """Returns moves that divide a lost owner's range among servers."""
        weights = self.counts.weights(len(self.counts.batches))
        moves: list[Move] = []
        start = key_range.start
        while start <= key_range.end and self.capacities:
            rest = keys.Range(start=start, end=key_range.end)
            target = min(self.capacities, key=self.idle_utilisation)
            end = key_range.end
            if len(moves) < MAX_PIECES - 1:
                end = self.end_of_piece(rest, target, weights)
            move = Move(
                start=start, end=end, source=key_range.owner, target=target
            )
            self.apply(move)
            moves.append(move)
            start = end + 1
        return moves

    def end_of_piece(
        self, rest: keys.Range, target: str, weights: dict[int, int]
    ) -> int:
        """Returns the last key that a target has room for."""
        room = (
            self.target_utilisation * self.capacities[target]
            - self.rate(target).value
        )
        seconds = self.counts.seconds(len(self.counts.batches))
        wanted = max(room * seconds, self.requests(rest, weights) / MAX_PIECES)
        first, end = self.counts.indices(rest)
        ordered = self.counts.keys[first:end]
        last = keyruns.last_within(ordered, weights, wanted)
        if not ordered or last == ordered[-1]:
            return rest.end
        return ordered[0] if last is None else last

    def idle_utilisation(self, server: str) -> float:
        """Returns a utilisation in which keys without requests count, too."""
        owned_keys = sum(key_range.size for key_range in self.owned[server])
        rate = self.rate(server).value + owned_keys * IDLE_KEY_RATE
        return rate / self.capacities[server]


def requested_keys(stretches: list[keyruns.Stretch]) -> Iterator[int]:
    """Yields the requested keys of some stretches."""
    for stretch in stretches:
        yield from stretch.requested


def to_move(candidate: Candidate, source: str, target: str) -> Move:
    """Returns the move of a candidate to one of its targets."""
    return Move(
        start=candidate.key_range.start,
        end=candidate.key_range.end,
        source=source,
        target=target,
    )
