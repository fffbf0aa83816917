"""Load patterns that lanes and their rivals are replayed over."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load pattern.

    Attributes:
        name: Name of the pattern.
        speeds: Relative speed of each server.
        slots: Slots of each server.
        service: Mean service time in seconds.
        objective: Objective in seconds.
        deadline: Time that callers wait, in seconds.
        rate: Usual requests per second.
        burst: Factor on the rate within the burst.
        begin: Start of the burst, in seconds.
        end: End of the burst, in seconds.
        length: Length of the replay, in seconds.
        returns: Times that a refused caller comes back.
        slow: Part of the servers that are five times slower in the burst.
        sheds: Part of the tries that servers reject at once in the burst.
        crashed: Part of the servers that fail everything in the burst.
        background: Requests per second of the least urgent rank.
        flood: Factor on the background within the burst.
        leavers: Part of the callers that leave after half of the objective.
        centers: Data centers over which servers and callers are spread.
        body_bytes: Size of a request's body.
    """

    name: str
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6) * 3
    slots: int = 3
    service: float = 0.078
    objective: float = 0.25
    deadline: float = 1.0
    rate: float = 240.0
    burst: float = 1.0
    begin: float = 2.0
    end: float = 6.0
    length: float = 10.0
    returns: int = 1
    slow: float = 0.0
    sheds: float = 0.0
    crashed: float = 0.0
    background: float = 0.0
    flood: float = 1.0
    leavers: float = 0.0
    centers: int = 1
    body_bytes: int = 0


PATTERNS = [
    Pattern(name="calm"),
    Pattern(name="burst", burst=2.3),
    Pattern(name="slow-third", slow=0.34),
    Pattern(name="one-owner", speeds=(1.0,), rate=30.0, burst=2.5),
    Pattern(name="repeaters", burst=1.8, returns=4),
    Pattern(name="burst-urgent", rate=160.0, background=40.0, burst=2.3),
    Pattern(name="flood-least-urgent", rate=160.0, background=40.0, flood=8.0),
    Pattern(name="crash-at-peak", burst=1.3, crashed=0.23),
    Pattern(name="leavers", burst=1.8, leavers=0.5),
    Pattern(
        name="rejecting-owner",
        speeds=(1.0,),
        rate=45.0,
        sheds=0.55,
        returns=3,
    ),
    Pattern(
        name="hot-owner-returns",
        speeds=(1.0,),
        slots=4,
        service=0.16,
        objective=0.48,
        deadline=3.0,
        rate=16.0,
        burst=2.5,
        returns=2,
    ),
    Pattern(
        name="large-bodies",
        speeds=(0.5, 1.0, 1.0, 1.5) * 2,
        service=0.19,
        objective=0.6,
        deadline=4.0,
        rate=60.0,
        slow=0.25,
        slots=4,
        centers=4,
        body_bytes=60_000,
    ),
    Pattern(
        name="large-bodies-burst",
        speeds=(0.7, 0.7, 1.6) * 3,
        service=0.15,
        objective=1.0,
        deadline=4.0,
        rate=100.0,
        burst=2.2,
        centers=4,
        body_bytes=60_000,
    ),
]


def named(name: str) -> Pattern:
    """Returns the pattern of a name."""
    return next(pattern for pattern in PATTERNS if pattern.name == name)
