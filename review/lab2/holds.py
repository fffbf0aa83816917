"""Checks of who held which keys, by what the instances took."""

from collections.abc import Iterable

from review.lab2 import instance

MIN_OVERLAP_SECONDS = 0.5


def intervals(
    one: instance.Instance, key: int
) -> list[tuple[float, float, int]]:
    """Returns from when until when an instance held a key, and the token."""
    found: list[tuple[float, float, int]] = []
    for change in one.changes:
        if not change.start <= key <= change.end:
            continue
        is_grant = change.until > change.at
        if found and found[-1][1] >= change.at:
            begin, _, _ = found.pop()
            end = change.until if is_grant else change.at
            found.append((begin, end, change.fence))
        elif is_grant:
            found.append((change.at, change.until, change.fence))
    return found


def overlaps(
    instances: Iterable[instance.Instance], keys: Iterable[int], now: float
) -> list[str]:
    """Returns where two instances held a key at once, for too long."""
    broken = []
    known = list(instances)
    for key in keys:
        held = [(one, *span) for one in known for span in intervals(one, key)]
        for number, (one, begin, end, fence) in enumerate(held):
            for other, begin2, end2, fence2 in held[number + 1 :]:
                if other is one:
                    continue
                both = min(end, end2, now) - max(begin, begin2)
                if both > MIN_OVERLAP_SECONDS:
                    broken.append(
                        f"key {key}: {one.id} (fence {fence}) and {other.id} "
                        f"(fence {fence2}) both held it for {both:.2f} s"
                    )
    return broken


def low_tokens(
    instances: Iterable[instance.Instance], keys: Iterable[int]
) -> list[str]:
    """Returns where an instance took a key with a token that is too low."""
    broken = []
    known = list(instances)
    for key in keys:
        taken = sorted(
            (change.at, one.id, change.fence)
            for one in known
            for change in one.changes
            if change.start <= key <= change.end and change.until > change.at
        )
        highest: dict[str, int] = {}
        for at, id, fence in taken:
            others = [f for other, f in highest.items() if other != id]
            if others and fence <= max(others):
                broken.append(
                    f"key {key}: {id} took it with fence {fence} at {at:.3f}, "
                    f"another had it with {max(others)}"
                )
            highest[id] = max(fence, highest.get(id, 0))
    return broken
