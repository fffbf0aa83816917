"""Which keys move to which server so that none is overloaded.

Load pattern: a few neighbouring keys get much of the traffic of a pool that
is divided by key, and change within seconds. Their owner's queue fills while
other servers idle. Ranges are cut at the edge of the owner's keys, so that a
hot neighbourhood is spread over several servers in a few steps.
"""

import dataclasses

from oleanderhoist.policy import keys

MIN_UTILISATION = 0.45
MIN_GAP = 0.2
MAX_MOVES = 4
AIM_FRACTION = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """Keys that should change their owner.

    Attributes:
        start: First key.
        end: Last key.
        source: Present owner.
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
        key_map: Present owners.
        rates: Requests per second by key.
        capacities: Requests per second that each usable server can run.
        busy: Servers that take part in a move already.
    """
    known = loads(key_map, rates)
    present = {server: known.get(server, 0.0) for server in capacities}
    owners = {one.owner for one in key_map.ranges}
    free = [s for s in capacities if s not in busy]
    moves: list[Move] = []
    while len(moves) < MAX_MOVES and len(free) > 1:
        free.sort(key=lambda s: (present[s] / capacities[s], s in owners))
        target, source = free[0], free[-1]
        move = between(key_map, rates, capacities, present, source, target)
        if move is None:
            break
        moves.append(move)
        free.remove(source)
        free.remove(target)
    return moves


def between(
    key_map: keys.KeyMap,
    rates: dict[int, float],
    capacities: dict[str, float],
    loads: dict[str, float],
    source: str,
    target: str,
) -> Move | None:
    """Returns the move that evens out two servers, or None without need."""
    high = loads[source] / capacities[source]
    low = loads[target] / capacities[target]
    if not key_map.owned_by(target):
        return first_share(key_map, rates, loads[source], source, target)
    if high < MIN_UTILISATION or high - low < MIN_GAP:
        return None
    wanted = (high - low) / (1 / capacities[source] + 1 / capacities[target])
    best: tuple[float, int, int] | None = None
    for one in key_map.owned_by(source):
        for start, end, load in edges(one, rates, wanted):
            if best is None or load > best[0]:
                best = (load, start, end)
    if best is None or best[0] <= 0:
        return None
    return Move(start=best[1], end=best[2], source=source, target=target)


def first_share(
    key_map: keys.KeyMap,
    rates: dict[int, float],
    load: float,
    source: str,
    target: str,
) -> Move | None:
    """Returns the move that gives a new server half of another's keys."""
    owned = key_map.owned_by(source)
    if not owned:
        return None
    one = max(owned, key=lambda r: (load_of(r, rates), r.size))
    pieces = edges(one, rates, load / 2)
    if pieces:
        start, end, _ = max(pieces, key=lambda piece: piece[2])
        return Move(start=start, end=end, source=source, target=target)
    if one.size < 2:
        return None
    middle = (one.start + one.end + 1) // 2
    return Move(start=middle, end=one.end, source=source, target=target)


def load_of(one: keys.Range, rates: dict[int, float]) -> float:
    """Returns the requests per second of a range."""
    return sum(r for k, r in rates.items() if one.start <= k <= one.end)


def loads(key_map: keys.KeyMap, rates: dict[int, float]) -> dict[str, float]:
    """Returns the requests per second of each owner."""
    found: dict[str, float] = {}
    for key, rate in rates.items():
        owner = key_map.find(key).owner
        found[owner] = found.get(owner, 0.0) + rate
    return found


def edges(
    one: keys.Range, rates: dict[int, float], wanted: float
) -> list[tuple[int, int, float]]:
    """Returns pieces at both ends of a range with at most the wanted load.

    Returns:
        First key, last key and load of each piece.
    """
    hot = sorted(key for key in rates if one.start <= key <= one.end)
    pieces = []
    last, load = reach(hot, rates, wanted)
    if load:
        pieces.append((one.start, last, load))
    first, load = reach(hot[::-1], rates, wanted)
    if load:
        pieces.append((first, one.end, load))
    return pieces


def reach(
    hot: list[int], rates: dict[int, float], wanted: float
) -> tuple[int, float]:
    """Walks along keys until they have the wanted load.

    Returns:
        The last key that still fits, and the load up to it.
    """
    load = 0.0
    reached = -1
    for key in hot:
        if load + rates[key] > wanted:
            break
        load += rates[key]
        reached = key
        if load >= wanted * AIM_FRACTION:
            break
    return reached, load


def least_utilised(
    loads: dict[str, float], capacities: dict[str, float], load: float
) -> str | None:
    """Returns the server that is least utilised once it takes a load."""
    if not capacities:
        return None
    return min(
        capacities, key=lambda s: (loads.get(s, 0.0) + load) / capacities[s]
    )
