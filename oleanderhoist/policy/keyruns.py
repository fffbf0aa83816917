"""Searches among requested keys for ranges with a wanted load."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

SUFFICIENT_FRACTION = 0.9  # Of the wanted requests.


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Run:
    """Adjacent requested keys; a better one compares greater.

    Attributes:
        requests: Their requests, as far as they count.
        negative_span: Number of keys from the first to the last, negated.
        start: First key.
        end: Last key.
    """

    requests: float
    negative_span: int
    start: int
    end: int


def densest(
    ordered: Sequence[int], weights: Mapping[int, int], wanted: float
) -> Run | None:
    """Returns the shortest run of keys with about the wanted requests.

    Args:
        ordered: Requested keys in order; a run contains all between its ends.
        weights: Requests by key.
        wanted: Wanted requests, which are not exceeded.

    Returns:
        The run; that with most requests if none has enough, or None if each
        key exceeds the wanted requests.
    """
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
        run = Run(
            requests=min(requests, enough),
            negative_span=ordered[first] - key - 1,
            start=ordered[first],
            end=key,
        )
        if best is None or run > best:
            best = run
    return best


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
