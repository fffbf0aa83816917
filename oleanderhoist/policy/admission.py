"""Who is served where there is too little room, and when the others return.

Loads answered:

- Urgent work alone exceeds the capacity. It goes first, yet every kind of work
  is served at least a part as often as all work together.
- Kinds of one rank have different objectives. A queue as long as the patient
  kind bears would be too long for the other, so none is queued for longer than
  the one that was refused bears.
- Some callers repeat a refused request at once, and often. Such a request gets
  what the others leave, however often it is repeated.
- Many requests are refused within a moment. If all were told to return at the
  same time, they would be refused again.
"""

import dataclasses

from oleanderhoist.policy import eventrate
from oleanderhoist.policy import slotrequests

WINDOW_SECONDS = 10.0  # In which the parts of kinds are compared.
MIN_ARRIVALS = 8.0  # Of a kind, before it is compared.
LEAST_PART = 1 / 3  # Of how often all are served; callers notice a quarter.
PRESSURE_SECONDS = 1.0  # For which a refusal shows that there is no room.
GOLDEN_RATIO = 0.6180339887  # Spreads any number of values evenly.
FIRST_AGE_SECONDS = 0.001  # A first attempt is not older.
SOONEST_RETURN_SECONDS = 0.05  # No refused caller is told to return sooner.


@dataclasses.dataclass(kw_only=True)
class Kind:
    """One kind of work at a slot queue.

    Attributes:
        rank: Urgency; 0 is the most urgent.
        arrived: First attempts that arrived.
        served: Requests that were granted a slot.
    """

    rank: int
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
        bearable_wait: Least wait, in seconds, that such a request would have
            borne.
    """

    refused_at: float
    bearable_wait: float = float("inf")

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

    def kind_of(self, request: slotrequests.SlotRequest) -> Kind:
        """Returns the kind of a request; by rank if no kind is given."""
        name = request.kind or f"rank {request.rank}"
        kind = self.kinds.get(name)
        if kind is None:
            kind = self.kinds[name] = Kind(rank=request.rank)
        kind.rank = request.rank
        return kind

    def arrive(self, request: slotrequests.SlotRequest, now: float) -> None:
        """Counts a request; a repeated one counts where it first arrived."""
        if request.age <= FIRST_AGE_SECONDS:
            self.kind_of(request).arrived.count(now)

    def serve(self, request: slotrequests.SlotRequest, now: float) -> None:
        """Counts a request that is granted a slot."""
        self.kind_of(request).served.count(now)

    def is_behind(
        self, request: slotrequests.SlotRequest, waiting: int, now: float
    ) -> bool:
        """Returns whether a request's kind is served too seldom.

        A more urgent kind that is served less often goes first.

        Args:
            request: The request.
            waiting: Requests that are queued for this reason already.
            now: Current time, in seconds.
        """
        own = self.kind_of(request)
        if own.arrived.weight_at(now) < MIN_ARRIVALS:
            return False
        kinds = list(self.kinds.values())
        arrived = sum(kind.arrived.weight_at(now) for kind in kinds)
        served = sum(kind.served.weight_at(now) for kind in kinds)
        part = own.part(now) + waiting / own.arrived.weight_at(now)
        return part * arrived < LEAST_PART * served and all(
            kind.part(now) >= part for kind in kinds if kind.rank < own.rank
        )

    def bearable_wait(self, rank: int, now: float) -> float:
        """Returns the longest wait for which a rank is queued, in seconds."""
        pressure = self.pressures.get(rank)
        if pressure is None or pressure.is_over(now):
            return float("inf")
        return pressure.bearable_wait

    def is_early(self, request: slotrequests.SlotRequest, now: float) -> bool:
        """Returns whether a request repeats one sooner than any is told to.

        It matters only while first attempts are refused.
        """
        pressure = self.pressures.get(request.rank)
        if pressure is None or pressure.is_over(now):
            return False
        return FIRST_AGE_SECONDS < request.age < SOONEST_RETURN_SECONDS

    def refuse(
        self,
        request: slotrequests.SlotRequest,
        *,
        bearable_wait: float,
        now: float,
    ) -> None:
        """Records a refusal.

        Args:
            request: The request.
            bearable_wait: Longest wait after which it meets its objective, in
                seconds; not above 0 if there is none.
            now: Current time, in seconds.
        """
        if request.age > FIRST_AGE_SECONDS or not request.kind:
            return
        pressure = self.pressures.get(request.rank)
        if pressure is None or pressure.is_over(now):
            pressure = Pressure(refused_at=now)
            self.pressures[request.rank] = pressure
        pressure.refused_at = now
        if bearable_wait > 0:
            pressure.bearable_wait = min(pressure.bearable_wait, bearable_wait)

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
            self.next_return = now + after + 1 / rate
            return after
        self.refusals += 1
        part = self.refusals * GOLDEN_RATIO % 1.0
        return earliest + part * (latest - earliest)
