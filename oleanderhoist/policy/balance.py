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

from collections.abc import Iterator
import dataclasses
import heapq
import math

from oleanderhoist.policy import assignment
from oleanderhoist.policy import eventrate
from oleanderhoist.policy import keyload
from oleanderhoist.policy import keyruns
from oleanderhoist.policy import keys

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
    """Plans moves, each in view of those before it.

    Args:
        key_map: The owners; keys that are being moved count as their target's.
        counts: Requests by key.
        capacities: Requests per second that each usable server can complete.
        held: Ranges that may not move now, without overlaps.
        measured: Servers whose capacity was measured; keys move for load to
            no other ones, which may be slower than they seem.
        cold: Servers that stand no more than their capacity.
    """

    def __init__(
        self,
        *,
        key_map: keys.KeyMap,
        counts: keyload.KeyCounts,
        capacities: dict[str, float],
        held: list[keys.Range],
        measured: frozenset[str],
        cold: frozenset[str] = frozenset(),
    ):
        self.assignment = assignment.Assignment(
            key_map=key_map, counts=counts, capacities=capacities, held=held
        )
        self.measured = measured
        self.cold = cold

    def plan(self) -> list[assignment.Move]:
        """Returns the moves that are worth their cost, at most some."""
        moves = [*self.first_moves(), *self.joins()]
        most = max(
            MIN_MOVES, len(self.assignment.capacities) // SERVERS_PER_MOVE
        )
        sources = [
            (-self.assignment.low_strain(s), s)
            for s in self.assignment.capacities
        ]
        heapq.heapify(sources)
        while sources and len(moves) < most and not self.is_full():
            queued_strain, source = heapq.heappop(sources)
            strain = self.assignment.low_strain(source)
            if strain < -queued_strain:
                heapq.heappush(sources, (-strain, source))
                continue
            # No move saves more than the whole strain.
            if strain * self.assignment.rate(source).seconds <= MOVE_REQUESTS:
                continue
            move = self.hot_key_move(source) or self.best_move(source)
            if move is not None:
                self.assignment.apply(move)
                moves.append(move)
                for server in (move.source, move.target):
                    heapq.heappush(
                        sources, (-self.assignment.low_strain(server), server)
                    )
        return moves

    def is_full(self) -> bool:
        """Returns whether there are as many ranges as may be."""
        most = max(MIN_MAX_RANGES, MAX_RANGES * len(self.assignment.capacities))
        return len(self.assignment.key_map.ranges) >= most

    def joins(self) -> list[assignment.Move]:
        """Returns moves of ranges with little load to their neighbours' owner.

        They undo what former load patterns have divided.
        """
        moves: list[assignment.Move] = []
        ranges = self.assignment.key_map.ranges
        if len(ranges) <= JOIN_RANGES * len(self.assignment.capacities):
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
            move = assignment.Move(
                start=key_range.start,
                end=key_range.end,
                source=key_range.owner,
                target=before.owner,
            )
            self.assignment.apply(move)
            moves.append(move)
        return moves

    def may_join(self, key_range: keys.Range, target: str) -> bool:
        """Returns whether a range may join those of its neighbours' owner."""
        if (
            target not in self.assignment.capacities
            or key_range.owner not in self.assignment.capacities
            or self.assignment.is_held(key_range.start, key_range.end)
        ):
            return False
        rate = self.assignment.counts.load_of([key_range]).estimate().rate
        loss = (
            -self.assignment.gain(rate.high, key_range.owner, target)
            * rate.seconds
        )
        return loss < MOVE_REQUESTS

    def best_move(self, source: str) -> assignment.Move | None:
        """Returns the move from a server that helps most, or None."""
        best: tuple[float, assignment.Move] | None = None
        seconds = self.assignment.rate(source).seconds
        for candidate in self.candidates(source):
            cost = MOVE_REQUESTS + MOVE_SECONDS * candidate.rate
            for target in candidate.targets:
                gain = (
                    self.assignment.gain(candidate.rate, source, target)
                    * seconds
                )
                if gain > cost and (best is None or gain - cost > best[0]):
                    best = (gain - cost, to_move(candidate, source, target))
        return best[1] if best else None

    def hot_key_move(self, source: str) -> assignment.Move | None:
        """Returns the move of a key that its owner is too slow for, or None.

        It goes to the fastest server, which other plans relieve of its other
        keys. No order of moves that each help by themselves leads there.
        """
        weights = self.assignment.weights(source)
        requested = requested_keys(self.assignment.stretches(source))
        key = max(requested, key=lambda k: weights.get(k, 0), default=None)
        target = max(
            (
                server
                for server in self.assignment.capacities
                if server in self.measured
                and self.assignment.low_utilisation(server) < 1
            ),
            key=lambda server: self.assignment.capacities[server],
            default=None,
        )
        if key is None or target is None:
            return None
        seconds = self.assignment.rate(source).seconds
        rate = eventrate.Rate(events=weights.get(key, 0), seconds=seconds)
        served = min(rate.low, self.assignment.capacities[target])
        gain = served - self.assignment.capacities[source]
        disturbed = rate.value + self.assignment.rate(target).value
        if gain * seconds <= MOVE_REQUESTS + MOVE_SECONDS * disturbed:
            return None
        return assignment.Move(start=key, end=key, source=source, target=target)

    def candidates(self, source: str) -> Iterator[Candidate]:
        """Yields the ranges that may leave a server."""
        others = [
            server
            for server in self.assignment.capacities
            if server != source and server in self.measured
        ]
        if not others:
            return
        target = min(others, key=self.assignment.high_utilisation)
        weights = self.assignment.weights(source)
        seconds = self.assignment.rate(source).seconds
        wanted = self.wanted(source, target) * seconds
        stretches = self.assignment.stretches(source)
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
                rate=self.assignment.requests(key_range, weights) / seconds,
                targets=[target],
            )

    def wanted(self, source: str, target: str) -> float:
        """Returns the load that should move, in requests per second.

        It evens out the two servers, or fills the target.
        """
        own, other = (
            self.assignment.capacities[source],
            self.assignment.capacities[target],
        )
        low = self.assignment.rate(source).low / own
        high = self.assignment.high_utilisation(target)
        even = (low - high) / (1 / own + 1 / other)
        return max(
            0.0, min(even, (self.assignment.target_utilisation - high) * other)
        )

    def first_moves(self) -> list[assignment.Move]:
        """Returns moves that give keys to servers without any."""
        moves = []
        for target in [
            s
            for s in self.assignment.capacities
            if not self.assignment.owned[s]
        ]:
            move = self.first_move(target)
            if move is not None:
                self.assignment.apply(move)
                moves.append(move)
        return moves

    def first_move(self, target: str) -> assignment.Move | None:
        """Returns a move of up to half of the busiest server's load.

        A cold target gets no more than it has room for.
        """
        sources = [
            s for s in self.assignment.capacities if self.assignment.owned[s]
        ]
        source = max(sources, key=self.assignment.low_utilisation, default=None)
        if source is None:
            return None
        weights = self.assignment.weights(source)
        stretches = self.assignment.stretches(source)
        wanted = sum(weights.get(k, 0) for k in requested_keys(stretches)) / 2
        room = self.first_room(source, target)
        is_bounded = room < wanted
        wanted = min(wanted, room)
        found = [keyruns.densest(one, weights, wanted) for one in stretches]
        best = max((run for run in found if run is not None), default=None)
        if best is not None:
            return assignment.Move(
                start=best.start, end=best.end, source=source, target=target
            )
        if is_bounded:
            return None  # It may get some once it is warm.
        widest = max(
            self.assignment.owned[source], key=lambda key_range: key_range.size
        )
        if widest.size < 2 or self.assignment.is_held(widest.start, widest.end):
            return None
        middle = (widest.start + widest.end + 1) // 2
        return assignment.Move(
            start=middle, end=widest.end, source=source, target=target
        )

    def first_room(self, source: str, target: str) -> float:
        """Returns the requests of a source that a target has room for.

        They are those of the time over which the source's are counted.
        """
        if target not in self.cold:
            return math.inf
        return self.assignment.target_utilisation * (
            self.assignment.capacities[target]
            * self.assignment.rate(source).seconds
        )

    def place(self, key_range: keys.Range) -> list[assignment.Move]:
        """Returns moves that divide a lost owner's range among servers."""
        weights = self.assignment.counts.weights(
            len(self.assignment.counts.batches)
        )
        moves: list[assignment.Move] = []
        start = key_range.start
        while start <= key_range.end and self.assignment.capacities:
            rest = keys.Range(start=start, end=key_range.end)
            target = min(
                self.assignment.capacities, key=self.assignment.idle_utilisation
            )
            end = key_range.end
            if len(moves) < MAX_PIECES - 1:
                end = self.end_of_piece(rest, target, weights)
            move = assignment.Move(
                start=start, end=end, source=key_range.owner, target=target
            )
            self.assignment.apply(move)
            moves.append(move)
            start = end + 1
        return moves

    def end_of_piece(
        self, rest: keys.Range, target: str, weights: dict[int, int]
    ) -> int:
        """Returns the last key that a target has room for."""
        room = (
            self.assignment.target_utilisation
            * self.assignment.capacities[target]
            - self.assignment.rate(target).value
        )
        seconds = self.assignment.counts.seconds(
            len(self.assignment.counts.batches)
        )
        wanted = max(
            room * seconds, self.assignment.requests(rest, weights) / MAX_PIECES
        )
        first, end = self.assignment.counts.indices(rest)
        ordered = self.assignment.counts.keys[first:end]
        last = keyruns.last_within(ordered, weights, wanted)
        if not ordered or last == ordered[-1]:
            return rest.end
        return ordered[0] if last is None else last


def requested_keys(stretches: list[keyruns.Stretch]) -> Iterator[int]:
    """Yields the requested keys of some stretches."""
    for stretch in stretches:
        yield from stretch.requested


def to_move(candidate: Candidate, source: str, target: str) -> assignment.Move:
    """Returns the move of a candidate to one of its targets."""
    return assignment.Move(
        start=candidate.key_range.start,
        end=candidate.key_range.end,
        source=source,
        target=target,
    )
