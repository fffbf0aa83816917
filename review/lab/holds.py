"""Which instances held which keys, from the record of a run."""

import dataclasses
import itertools

from review.lab import deployment


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
    """A time in which an instance held a key, in seconds of the record."""

    begin: float
    end: float


def spans(calls: list[dict], key: int) -> list[Span]:
    """Returns when an instance held a key; its newest call counts.

    Args:
        calls: The grants and releases that the instance carried out.
        key: The key.
    """
    about = [call for call in calls if call["first"] <= key <= call["last"]]
    found = []
    for number, call in enumerate(about):
        end = call["at"] + max(0, call["hold_ms"]) / 1000
        if number + 1 < len(about):
            end = min(end, about[number + 1]["at"])
        if found and found[-1].end >= call["at"]:
            found[-1] = Span(begin=found[-1].begin, end=end)
        elif end > call["at"]:
            found.append(Span(begin=call["at"], end=end))
    return found


def double_holds(
    record: deployment.Record, keys: list[int], seconds: float
) -> list[str]:
    """Returns the keys that two instances held for longer than a time."""
    calls: dict[str, list[dict]] = {}
    for event in record.find("hold"):
        calls.setdefault(event["instance"], []).append(event)
    breaches = []
    for key in keys:
        held = {one: spans(made, key) for one, made in calls.items()}
        for one, other in itertools.combinations(sorted(held), 2):
            for first, second in itertools.product(held[one], held[other]):
                begin = max(first.begin, second.begin)
                end = min(first.end, second.end)
                if end - begin > seconds:
                    breaches.append(
                        f"OWNER: {one} and {other} both held key {key} from "
                        f"{begin:.2f} to {end:.2f} s"
                    )
    return breaches
