"""How long grants and releases of slots are on their way.

Load answered: some routers sit behind narrow, busy links. A slot that such a
router holds is idle while the grant, the request, the answer and the release
wait for the link. If it counted as taken all the while, requests would wait at
the coordinator for a server that has room.
"""

SMOOTHING = 0.1
MIN_SHARE = 0.5  # At most twice the slots are granted.
TRIPS = 2.0  # Request and answer pass the link as grant and release do.


class Transits:
    """Estimates by requester, from all slots that this router grants.

    Attributes:
        seconds: Smoothed time by which a slot is held longer than the request
            takes as its requester sees it, by address of the requester.
    """

    def __init__(self):
        self.seconds: dict[str, float] = {}

    def record(self, requester: str, held: float, taken: float) -> None:
        """Records a slot that was released after an answer.

        Args:
            requester: Address of the requester.
            held: Time between grant and release here, in seconds.
            taken: Time between request and answer there, in seconds.
        """
        transit = max(0.0, held - taken)
        known = self.seconds.get(requester, 0.0)
        self.seconds[requester] = known + (transit - known) * SMOOTHING

    def share(self, requester: str, service_seconds: float) -> float:
        """Returns the part of a grant's time that is spent at the server.

        Args:
            requester: Address of the requester.
            service_seconds: Time that the server needs, in seconds.
        """
        underway = TRIPS * self.seconds.get(requester, 0.0)
        if not underway:
            return 1.0
        return max(MIN_SHARE, service_seconds / (service_seconds + underway))

    def time_at_server(self, requester: str, held: float) -> float:
        """Returns the part of a held time that is spent at the server."""
        underway = TRIPS * self.seconds.get(requester, 0.0)
        return max(MIN_SHARE * held, held - underway)
