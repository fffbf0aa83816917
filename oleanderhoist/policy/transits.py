"""How long grants and releases of slots are on their way.

Load answered: some routers sit behind narrow, busy links. A slot that such a
router holds is idle while the grant, the request, the answer and the release
wait for the link. If it counted as taken all the while, requests would wait at
the coordinator for a server that has room.
"""

import dataclasses

SMOOTHING = 0.1
MIN_SAMPLES = 4  # That an estimate rests on before it is used.
MIN_SHARE = 0.4  # Bounds the requests that are under way at once.
TRIPS = 2.0  # Request and answer pass the link as grant and release do.


@dataclasses.dataclass(kw_only=True)
class Transit:
    """How long grant and release are on their way for one requester.

    Attributes:
        seconds: Smoothed time of both, in seconds.
        samples: Number of slots that it rests on.
    """

    seconds: float = 0.0
    samples: int = 0

    def record(self, seconds: float) -> None:
        """Records the time of one slot, in seconds."""
        self.samples += 1
        step = max(1 / self.samples, SMOOTHING)
        self.seconds += (seconds - self.seconds) * step


class Transits:
    """Estimates by requester, from all slots that this router grants."""

    def __init__(self):
        self.by_requester: dict[str, Transit] = {}

    def record(self, requester: str, held: float, taken: float) -> None:
        """Records a slot that was granted, and released after an answer.

        Args:
            requester: Address of the requester.
            held: Time between grant and release here, in seconds.
            taken: Time between request and answer there, in seconds.
        """
        transit = self.by_requester.setdefault(requester, Transit())
        transit.record(max(0.0, held - taken))

    def seconds(self, requester: str) -> float:
        """Returns how much of a slot's time is not spent at the server."""
        known = self.by_requester.get(requester)
        if known is None or known.samples < MIN_SAMPLES:
            return 0.0
        return known.seconds * TRIPS

    def share(self, requester: str, service_seconds: float) -> float:
        """Returns the part of a slot's time that is spent at the server.

        Args:
            requester: Address of the requester.
            service_seconds: Time that the server needs, in seconds.
        """
        underway = self.seconds(requester)
        if not underway:
            return 1.0
        return max(MIN_SHARE, service_seconds / (service_seconds + underway))

    def time_at_server(self, requester: str, held: float) -> float:
        """Returns how much of a held time is spent at the server."""
        underway = self.seconds(requester)
        return max(MIN_SHARE * held, held - underway)
