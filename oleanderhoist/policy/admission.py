"""Who is served where there is too little room, and when the others return.

Loads answered:

- Urgent work alone exceeds the capacity. It goes first, yet every kind of work
  is served at least a part as often as all work together.
- Kinds of one rank have different objectives. A queue as long as the patient
  kind bears would be too long for the other, so none is queued for longer than
  the one that was refused bears.
- Many requests are refused within a moment. If all were told to return at the
  same time, they would be refused again.
"""

import dataclasses

from oleanderhoist.policy import eventrate
from oleanderhoist.policy import slotrequests

WINDOW_SECONDS = 10.0  # In which the parts of kinds are compared.
FORGOTTEN_WEIGHT = 0.01  # Of arrivals, whose weights fade.
MIN_ARRIVALS = 8.0  # Of a kind, before it is compared.
LEAST_PART = 1 / 3  # Of how often all are served; callers notice a quarter.
OBJECTIVE_FADING = 0.95  # With each first attempt; contracts may change.
MAX_STEP_SECONDS = 1.0  # Between two returns; room may come back sooner.
PRESSURE_SECONDS = 1.0  # For which a refusal shows that there is no room.
GOLDEN_FRACTION = 0.6180339887  # Spreads any number of values evenly.
FIRST_AGE_SECONDS = 0.001  # A first attempt is not older.
FRESH_PART = 0.9  # Of the objective; remains to a request that just arrived.


@dataclasses.dataclass(kw_only=True)
class Kind:
    """One kind of work at a slot queue.

    Attributes:
        rank: Urgency; 0 is the most urgent.
        objective: Longest time to the objective of a request, in seconds.
        arrived: First attempts that arrived.
        served: Requests that were granted a slot.
    """

    rank: int
    objective: float = 0.0
    arrived: eventrate.DecayingRate = dataclasses.field(
        default_factory=lambda: eventrate.DecayingRate(window=WINDOW_SECONDS)
    )
    served: eventrate.DecayingRate = dataclasses.field(
        default_factory=lambda: eventrate.DecayingRate(window=WINDOW_SECONDS)
    )

    def part(self, now: float) -> float:
        """Returns how often it is served."""
        arrived = self.arrived.weight_at(now)
        return self.served.weight_at(now) / arrived if arrived else 1.0


@dataclasses.dataclass(kw_only=True)
class Pressure:
    """The latest refusals of one rank.

    Attributes:
        refused_at: When a first attempt was last refused, in seconds.
        kinds: Kinds of work that were refused.
    """

    refused_at: float
    kinds: set[str] = dataclasses.field(default_factory=set)

    def is_over(self, now: float) -> bool:
        """Returns whether nothing has been refused for a while."""
        return now - self.refused_at > PRESSURE_SECONDS


class Admission:
    """Counts what arrives and is served at one slot queue, by kind of work."""

    def __init__(self):
        self.kinds: dict[str, Kind] = {}
        self.pressures: dict[int, Pressure] = {}
        self.next_return = 0.0
        self.refusals = 0

    def kind_of(self, request: slotrequests.SlotRequest, now: float) -> Kind:
        """Returns the kind of a request.

        A new one replaces those that no longer arrive.
        """
        name = name_of(request)
        kind = self.kinds.get(name)
        if kind is None:
            self.kinds = {
                name: kind
                for name, kind in self.kinds.items()
                if kind.arrived.weight_at(now) > FORGOTTEN_WEIGHT
            }
            kind = self.kinds[name] = Kind(rank=request.rank)
        kind.rank = request.rank
        return kind

    def arrive(self, request: slotrequests.SlotRequest, now: float) -> None:
        """Counts a request; a repeated one counts where it first arrived."""
        if request.age <= FIRST_AGE_SECONDS:
            kind = self.kind_of(request, now)
            kind.arrived.count(now)
            kind.objective = max(
                OBJECTIVE_FADING * kind.objective, request.objective - now
            )

    def serve(self, request: slotrequests.SlotRequest, now: float) -> None:
        """Counts a request that is granted a slot."""
        self.kind_of(request, now).served.count(now)

    def is_starved(
        self, request: slotrequests.SlotRequest, waiting: int, now: float
    ) -> bool:
        """Returns whether a request's kind is served too seldom.

        A more urgent kind that is served less often goes first.

        Args:
            request: The request.
            waiting: Requests that are queued for this reason already.
            now: Current time, in seconds.
        """
        own = self.kind_of(request, now)
        if own.arrived.weight_at(now) < MIN_ARRIVALS:
            return False
        kinds = list(self.kinds.values())
        arrived = sum(kind.arrived.weight_at(now) for kind in kinds)
        served = sum(kind.served.weight_at(now) for kind in kinds)
        part = own.part(now) + waiting / own.arrived.weight_at(now)
        return part * arrived < LEAST_PART * served and all(
            kind.part(now) >= part for kind in kinds if kind.rank < own.rank
        )

    def least_objective(
        self, request: slotrequests.SlotRequest, now: float
    ) -> float:
        """Returns the shortest objective among refused kinds of its rank.

        It is infinite if nothing is refused, its own kind aside.
        """
        pressure = self.pressures.get(request.rank)
        if pressure is None or pressure.is_over(now):
            return float("inf")
        others = (pressure.kinds - {name_of(request)}) & self.kinds.keys()
        return min(
            (self.kinds[kind].objective for kind in others),
            default=float("inf"),
        )

    def refuse(self, request: slotrequests.SlotRequest, now: float) -> None:
        """Records a refusal.

        One that was tried at a server before, or that waited, has less time
        left than first attempts have, and says nothing of them.
        """
        kind = self.kinds.get(name_of(request))
        if kind is None or request.age > FIRST_AGE_SECONDS:
            return
        if request.objective - now < FRESH_PART * kind.objective:
            return
        pressure = self.pressures.get(request.rank)
        if pressure is None or pressure.is_over(now):
            pressure = Pressure(refused_at=now)
            self.pressures[request.rank] = pressure
        pressure.refused_at = now
        pressure.kinds.add(name_of(request))

    def return_after(
        self, earliest: float, latest: float, rate: float, now: float
    ) -> float:
        """Returns when a refused caller should return, in seconds.

        Callers return one after the other, as fast as there is room for them.
        Those for whom that is too late are spread evenly.

        Args:
            earliest: When there may be room for the first, in seconds.
            latest: When it must return at the latest, in seconds.
            rate: Requests per second for which there is room.
            now: Current time, in seconds.
        """
        earliest = min(earliest, latest)
        after = max(earliest, self.next_return - now)
        if after <= latest:
            self.next_return = now + after + min(MAX_STEP_SECONDS, 1 / rate)
            return after
        self.refusals += 1
        part = self.refusals * GOLDEN_FRACTION % 1.0
        return earliest + part * (latest - earliest)


def name_of(request: slotrequests.SlotRequest) -> str:
    """Returns the kind of a request; by rank if an earlier build named none."""
    return request.kind or f"rank {request.rank}"
