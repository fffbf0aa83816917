"""Servers that never respond to requests that they cannot queue.

When more routers than know of each other send to a server, its queue fills, and
it may drop a request without any response. The request then looks like slow
work. It counts as silent once it takes longer than the server's work usually
does, by the rule that TCP uses for lost segments (RFC 6298). One silent request
may be slow work all the same; several without an answer in between show that
the server is full: its slots and its queue are taken, though it is not down. It
then gets one request at a time, as a probe, until it answers.
"""

import dataclasses

DEVIATIONS = 4.0
MIN_FACTOR = 2.0  # On the mean; few measurements may deviate little.
MIN_SILENT_REQUESTS = 2  # That show that a server is full.
MAX_PROBE_SECONDS = 2.0


def response_timeout(mean: float, deviation: float) -> float:
    """Returns after which time a request counts as silent, in seconds.

    Args:
        mean: Mean service time, in seconds.
        deviation: Mean deviation of the service time, in seconds.
    """
    return max(MIN_FACTOR * mean, mean + DEVIATIONS * deviation)


def is_repeat_useful(
    *, mean: float, objective: float, remaining: float
) -> bool:
    """Returns whether to repeat a silent request that may run twice.

    Its second run should meet the objective, or, once that has passed, the
    deadline.

    Args:
        mean: Mean service time, in seconds.
        objective: Time until the objective, in seconds.
        remaining: Time until the deadline, in seconds.
    """
    if objective > 0:
        return mean <= objective
    return mean <= remaining


@dataclasses.dataclass(kw_only=True)
class Silence:
    """Requests of one server that were silent since its last answer.

    Attributes:
        requests: Number of silent requests.
        next_probe_at: From when a full server may get another request, in
            seconds.
    """

    requests: int = 0
    next_probe_at: float = 0.0

    @property
    def is_full(self) -> bool:
        """Whether the server counts as full."""
        return self.requests >= MIN_SILENT_REQUESTS

    def record(self, now: float, service_seconds: float) -> None:
        """Counts a request that is silent.

        Args:
            now: Current time, in seconds.
            service_seconds: Service time of the server, in seconds.
        """
        self.requests += 1
        if self.is_full:
            self.next_probe_at = now + self.probe_delay(service_seconds)

    def probe_delay(self, service_seconds: float) -> float:
        """Returns the time between probes; it doubles with each silent one."""
        doublings = max(0, self.requests - MIN_SILENT_REQUESTS)
        return min(MAX_PROBE_SECONDS, service_seconds * 2.0**doublings)

    def allows(self, now: float) -> bool:
        """Returns whether the server may get a request."""
        return not self.is_full or now >= self.next_probe_at

    def grant(self, now: float, service_seconds: float) -> None:
        """Counts a request that is sent; a full server gets no second one."""
        if self.is_full:
            self.next_probe_at = now + self.probe_delay(service_seconds)

    def end(self) -> None:
        """Ends the silence after an answer."""
        self.requests = 0
