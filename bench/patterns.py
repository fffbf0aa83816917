"""Load patterns for simulations of slot queues and baseline policies.

The names of the patterns are printed by bench.lanes.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load pattern.

    Attributes:
        name: Name of the pattern.
        server_speeds: Relative speed of each server.
        slots: Slots of each server.
        service_seconds: Mean service time at a relative speed of 1.
        assumed_seconds: Service time that the slot queue begins with, in
            seconds; the true one by default.
        objective_seconds: Objective of the urgent rank.
        deadline_seconds: Time after which callers of the urgent rank give up.
        rate_per_second: Requests of the urgent rank outside of the burst.
        burst_factor: Factor on this rate within the burst.
        burst_start_seconds: Start of the burst.
        burst_end_seconds: End of the burst.
        duration_seconds: Time after which no request arrives.
        max_retries: Retries of a refused or failed request.
        slow_fraction: Fraction of servers that are five times slower in the
            burst.
        rejected_fraction: Fraction of attempts that servers reject at once in
            the burst.
        failing_fraction: Fraction of servers that fail every request in the
            burst.
        background_rate: Requests per second of the least urgent rank.
        background_factor: Factor on the background rate within the burst.
        background_rank: Rank with which background requests are queued.
        background_time_factor: Factor on their objective and deadline.
        repeating_fraction: Fraction of callers that repeat refused attempts at
            once.
        repeats: How often these repeat.
        leaving_fraction: Fraction of callers in the burst that leave after
            half of the objective.
        data_centers: Data centres over which servers and callers are spread.
        body_bytes: Size of a request's body.
    """

    name: str
    server_speeds: tuple[float, ...] = (0.7, 0.7, 1.6) * 3
    slots: int = 3
    service_seconds: float = 0.078
    assumed_seconds: float | None = None
    objective_seconds: float = 0.25
    deadline_seconds: float = 1.0
    rate_per_second: float = 240.0
    burst_factor: float = 1.0
    burst_start_seconds: float = 2.0
    burst_end_seconds: float = 6.0
    duration_seconds: float = 10.0
    max_retries: int = 1
    slow_fraction: float = 0.0
    rejected_fraction: float = 0.0
    failing_fraction: float = 0.0
    background_rate: float = 0.0
    background_factor: float = 1.0
    background_rank: int = 2
    background_time_factor: float = 4.0
    repeating_fraction: float = 0.0
    repeats: int = 5
    leaving_fraction: float = 0.0
    data_centers: int = 1
    body_bytes: int = 0


PATTERNS = [
    Pattern(name="calm"),
    Pattern(name="burst", burst_factor=2.3),
    Pattern(name="slow-third", slow_fraction=0.34),
    Pattern(
        name="one-owner",
        server_speeds=(1.0,),
        rate_per_second=30.0,
        burst_factor=2.5,
    ),
    Pattern(name="repeaters", burst_factor=1.8, max_retries=4),
    Pattern(
        name="burst-urgent",
        rate_per_second=160.0,
        background_rate=40.0,
        burst_factor=2.3,
    ),
    Pattern(
        name="flood-least-urgent",
        rate_per_second=160.0,
        background_rate=40.0,
        background_factor=8.0,
    ),
    Pattern(name="crash-at-peak", burst_factor=1.3, failing_fraction=0.23),
    Pattern(name="leavers", burst_factor=1.8, leaving_fraction=0.5),
    Pattern(
        name="rejecting-owner",
        server_speeds=(1.0,),
        rate_per_second=45.0,
        rejected_fraction=0.55,
        max_retries=3,
    ),
    Pattern(
        name="hot-owner-returns",
        server_speeds=(1.0,),
        slots=4,
        service_seconds=0.16,
        objective_seconds=0.48,
        deadline_seconds=3.0,
        rate_per_second=16.0,
        burst_factor=2.5,
        max_retries=2,
    ),
    Pattern(
        name="large-bodies",
        server_speeds=(0.5, 1.0, 1.0, 1.5) * 2,
        service_seconds=0.19,
        objective_seconds=0.6,
        deadline_seconds=4.0,
        rate_per_second=60.0,
        slow_fraction=0.25,
        slots=4,
        data_centers=4,
        body_bytes=60_000,
    ),
    Pattern(
        name="large-bodies-burst",
        server_speeds=(0.7, 0.7, 1.6) * 3,
        service_seconds=0.15,
        objective_seconds=1.0,
        deadline_seconds=4.0,
        rate_per_second=100.0,
        burst_factor=2.2,
        data_centers=4,
        body_bytes=60_000,
    ),
    Pattern(
        name="new-coordinator",
        server_speeds=(1.0,),
        service_seconds=0.31,
        assumed_seconds=0.1,
        objective_seconds=1.0,
        deadline_seconds=5.0,
        rate_per_second=20.0,
        duration_seconds=3.0,
    ),
]


def named(name: str) -> Pattern:
    """Returns the pattern with the given name."""
    return next(pattern for pattern in PATTERNS if pattern.name == name)
