"""How long to wait for a reply before it counts as lost (RFC 6298).

Replies to a router whose own link is busy come late from all peers. A fixed
timeout would take each of them for silent.
"""

import dataclasses

MIN_TIMEOUT_SECONDS = 0.06
MAX_TIMEOUT_SECONDS = 0.5
DEVIATIONS = 4.0
MEAN_SMOOTHING = 1 / 8
DEVIATION_SMOOTHING = 1 / 4
BACKOFF_FACTOR = 2.0
# Of the time to the objective. What a late grant brings is not worth more, as
# the server queues a few requests itself.
PATIENCE_FRACTION = 1 / 8


@dataclasses.dataclass(kw_only=True)
class RoundTrip:
    """Estimate of the time between a request and its reply.

    Attributes:
        mean: Smoothed time, in seconds.
        deviation: Smoothed deviation, in seconds.
        backoff: Factor on the timeout since replies were lost.
    """

    mean: float = 0.0
    deviation: float = 0.0
    backoff: float = 1.0

    def timeout(self) -> float:
        """Returns after which time a reply counts as lost, in seconds."""
        usual = max(
            MIN_TIMEOUT_SECONDS, self.mean + DEVIATIONS * self.deviation
        )
        return min(MAX_TIMEOUT_SECONDS, usual * self.backoff)

    def patience(self, until_objective: float) -> float:
        """Returns how long a request waits for a reply, in seconds.

        Args:
            until_objective: Time to its objective, in seconds.
        """
        limit = max(MIN_TIMEOUT_SECONDS, PATIENCE_FRACTION * until_objective)
        return min(limit, self.timeout())

    def record(self, seconds: float) -> None:
        """Records the time to a reply, in seconds."""
        deviation = abs(seconds - self.mean)
        self.deviation += (deviation - self.deviation) * DEVIATION_SMOOTHING
        self.mean += (seconds - self.mean) * MEAN_SMOOTHING
        self.backoff = 1.0

    def record_loss(self) -> None:
        """Records that no reply came in time; the next one may take longer."""
        if self.timeout() < MAX_TIMEOUT_SECONDS:
            self.backoff *= BACKOFF_FACTOR
