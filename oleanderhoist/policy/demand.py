"""Arrivals of requests that could still meet their objective, by rank."""

from oleanderhoist.policy import eventrate

WINDOW_SERVICES = 4.0  # Service times over which arrivals are counted.
MIN_WINDOW_SECONDS = 0.5
LONG_WINDOW_FACTOR = 4.0  # For a rate that has not surely changed.


class Demand:
    """Rates of arrivals.

    Slow servers complete few requests in a second, so their arrivals are
    counted over a longer time.
    """

    def __init__(self):
        self.arrivals: dict[int, eventrate.ChangingRate] = {}

    def count(self, rank: int, now: float, service_seconds: float) -> None:
        """Counts an arrival.

        Args:
            rank: Rank of the request.
            now: Current time, in seconds.
            service_seconds: Mean service time, in seconds.
        """
        arrivals = self.arrivals.get(rank)
        if arrivals is None:
            arrivals = self.arrivals[rank] = eventrate.ChangingRate(
                window=MIN_WINDOW_SECONDS, factor=LONG_WINDOW_FACTOR
            )
        arrivals.count(now)
        arrivals.set_window(
            max(MIN_WINDOW_SECONDS, WINDOW_SERVICES * service_seconds)
        )

    def rate(self, now: float, below: int | None = None) -> float:
        """Returns the arrivals per second, at least.

        It is the lower bound: a request that is queued in vain waits, but one
        that is refused in vain is lost.

        Args:
            now: Current time, in seconds.
            below: Counts only ranks that are more urgent than this one.
        """
        return sum(
            arrivals.rate(now).low
            for rank, arrivals in self.arrivals.items()
            if below is None or rank < below
        )

    def surely_exceeds(self, rate: float, now: float) -> bool:
        """Returns whether more than a rate arrives, chance aside."""
        rates = [arrivals.rate(now) for arrivals in self.arrivals.values()]
        if not rates:
            return False
        total = eventrate.Rate(
            events=sum(rate.events for rate in rates),
            seconds=max(rate.seconds for rate in rates),
        )
        return total.low > rate
