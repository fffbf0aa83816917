"""Moves keys between the servers of a keyed pool to balance their load.

A few adjacent keys may get much of a pool's traffic, and change within
seconds. Their owner's queue then fills while other servers idle. Segments are
split off at the ends of an owner's ranges, so that hot adjacent keys are spread
over several servers in a few rounds.
"""

import dataclasses

from oleanderhoist.policy import keys

MIN_UTILISATION = 0.45
MIN_UTILISATION_GAP = 0.2
MAX_MOVES = 4  # Per round.
SUFFICIENT_FRACTION = 0.9  # Of the load to move.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A range of keys that should change its owner.

    Attributes:
        start: First key.
        end: Last key.
        source: Current owner.
        target: New owner.
    """

    start: int
    end: int
    source: str
    target: str


def plan(
    key_map: keys.KeyMap,
    rates: dict[int, float],
    capacities: dict[str, float],
    *,
    busy: frozenset[str] = frozenset(),
) -> list[Move]:
    """Returns the moves that even out utilisation.

    Args:
        key_map: Current owners.
        rates: Requests per second by key.
        capacities: Requests per second that each usable server can complete.
        busy: Servers that already take part in a move.
    """
    known = loads(key_map, rates)
    server_loads = {server: known.get(server, 0.0) for server in capacities}
    owners = {key_range.owner for key_range in key_map.ranges}
    free = [s for s in capacities if s not in busy]
    moves: list[Move] = []
    while len(moves) < MAX_MOVES and len(free) > 1:
        free.sort(key=lambda s: (server_loads[s] / capacities[s], s in owners))
        target, source = free[0], free[-1]
        move = plan_move(
            key_map, rates, capacities, server_loads, source, target
        )
        if move is None:
            break
        moves.append(move)
        free.remove(source)
        free.remove(target)
    return moves


def plan_move(
    key_map: keys.KeyMap,
    rates: dict[int, float],
    capacities: dict[str, float],
    loads: dict[str, float],
    source: str,
    target: str,
) -> Move | None:
    """Returns the move that evens out two servers, or None if not needed."""
    high = loads[source] / capacities[source]
    low = loads[target] / capacities[target]
    if not key_map.owned_by(target):
        return initial_move(key_map, rates, loads[source], source, target)
    if high < MIN_UTILISATION or high - low < MIN_UTILISATION_GAP:
        return None
    load_to_move = (high - low) / (
        1 / capacities[source] + 1 / capacities[target]
    )
    best: tuple[float, int, int] | None = None
    for key_range in key_map.owned_by(source):
        for start, end, load in end_segments(key_range, rates, load_to_move):
            if best is None or load > best[0]:
                best = (load, start, end)
    if best is None or best[0] <= 0:
        return None
    return Move(start=best[1], end=best[2], source=source, target=target)


def initial_move(
    key_map: keys.KeyMap,
    rates: dict[int, float],
    load: float,
    source: str,
    target: str,
) -> Move | None:
    """Returns the move that gives a new server up to half of another's load.

    The keys come from the range with the most load. If no loaded segment of it
    is small enough, half of its keys move.
    """
    owned = key_map.owned_by(source)
    if not owned:
        return None
    key_range = max(owned, key=lambda r: (load_of(r, rates), r.size))
    segments = end_segments(key_range, rates, load / 2)
    if segments:
        start, end, _ = max(segments, key=lambda segment: segment[2])
        return Move(start=start, end=end, source=source, target=target)
    if key_range.size < 2:
        return None
    middle = (key_range.start + key_range.end + 1) // 2
    return Move(start=middle, end=key_range.end, source=source, target=target)


def load_of(key_range: keys.Range, rates: dict[int, float]) -> float:
    """Returns the requests per second of a range of keys."""
    return sum(
        r for k, r in rates.items() if key_range.start <= k <= key_range.end
    )


def loads(key_map: keys.KeyMap, rates: dict[int, float]) -> dict[str, float]:
    """Returns the requests per second of each owner."""
    totals: dict[str, float] = {}
    for key, rate in rates.items():
        owner = key_map.find(key).owner
        totals[owner] = totals.get(owner, 0.0) + rate
    return totals


def end_segments(
    key_range: keys.Range, rates: dict[int, float], load_to_move: float
) -> list[tuple[int, int, float]]:
    """Returns segments at both ends of a range, each within the load to move.

    Returns:
        First key, last key and load of each segment.
    """
    loaded = sorted(
        key for key in rates if key_range.start <= key <= key_range.end
    )
    segments = []
    last, load = take_keys(loaded, rates, load_to_move)
    if load:
        segments.append((key_range.start, last, load))
    first, load = take_keys(loaded[::-1], rates, load_to_move)
    if load:
        segments.append((first, key_range.end, load))
    return segments


def take_keys(
    loaded: list[int], rates: dict[int, float], load_to_move: float
) -> tuple[int, float]:
    """Takes keys in order until they have about the load to move.

    Returns:
        The last key taken and the load up to it; -1 and 0 if no key fits.
    """
    load = 0.0
    last = -1
    for key in loaded:
        if load + rates[key] > load_to_move:
            break
        load += rates[key]
        last = key
        if load >= load_to_move * SUFFICIENT_FRACTION:
            break
    return last, load


def least_utilised(
    loads: dict[str, float], capacities: dict[str, float], load: float
) -> str | None:
    """Returns the server that is least utilised once a load is added to it."""
    if not capacities:
        return None
    return min(
        capacities, key=lambda s: (loads.get(s, 0.0) + load) / capacities[s]
    )
