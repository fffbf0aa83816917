"""Searches among requested keys for ranges with a wanted load."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

SUFFICIENT_FRACTION = 0.9  # Of the wanted requests.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stretch:
    """Keys of one owner that a move may cover.

    Attributes:
        start: First key.
        end: Last key.
        requested: The keys with requests, in order; not empty.
    """

    start: int
    end: int
    requested: Sequence[int]


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Run:
    """Adjacent keys; a better one compares greater.

    Attributes:
        requests: Their requests, as far as they count.
        negative_span: Number of keys between its first and its last request,
            negated.
        start: First key.
        end: Last key.
    """

    requests: float
    negative_span: int
    start: int
    end: int


def densest(
    stretch: Stretch, weights: Mapping[int, int], wanted: float
) -> Run | None:
    """Returns the shortest run of keys with about the wanted requests.

    Args:
        stretch: Where to search.
        weights: Requests by key.
        wanted: Wanted requests, which are not exceeded.

    Returns:
        The run; that with most requests if none has enough, or None if each
        key exceeds the wanted requests.
    """
    ordered = stretch.requested
    enough = SUFFICIENT_FRACTION * wanted
    best: Run | None = None
    first = 0
    requests = 0
    for last, key in enumerate(ordered):
        requests += weights.get(key, 0)
        while first <= last and (
            requests > wanted
            or requests - weights.get(ordered[first], 0) >= enough
        ):
            requests -= weights.get(ordered[first], 0)
            first += 1
        if first > last or not requests:
            continue
        run = to_run(stretch, ordered[first], key, min(requests, enough))
        if best is None or run > best:
            best = run
    return best


def to_run(stretch: Stretch, start: int, end: int, requests: float) -> Run:
    """Returns a run from one key to another.

    It includes the keys without requests up to an end of its stretch if they
    are few, since each range is renewed and recorded by itself.
    """
    span = end - start + 1
    if start == stretch.requested[0] and start - stretch.start <= span:
        start = stretch.start
    if end == stretch.requested[-1] and stretch.end - end <= span:
        end = stretch.end
    return Run(requests=requests, negative_span=-span, start=start, end=end)


def last_within(
    ordered: Sequence[int], weights: Mapping[int, int], wanted: float
) -> int | None:
    """Returns the last of the first keys that have at most some requests.

    Args:
        ordered: Requested keys in order.
        weights: Requests by key.
        wanted: Requests that are not exceeded.

    Returns:
        The last key, or None if the first key alone exceeds them.
    """
    last = None
    requests = 0
    for key in ordered:
        requests += weights.get(key, 0)
        if requests > wanted:
            break
        last = key
    return last
