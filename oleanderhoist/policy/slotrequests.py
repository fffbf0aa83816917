"""Requests for slots, and the verdicts on them."""

import dataclasses

# Address of the requester and id of the slot request.
RequestKey = tuple[str, int]


@dataclasses.dataclass(kw_only=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        id: Unique among the requests of `requester`.
        requester: Router that handles the request.
        rank: Urgency; 0 is the most urgent.
        deadline: When the caller times out, in seconds on the slot queue's
            clock.
        objective: Until when a response is worth most, on the same clock.
        data_center: Data centre of the requester.
        body_bytes: Size of the request's body.
        excluded: Servers that the request was already sent to.
        request_id: Id of the caller's request, for the log.
        kind: Kind of work; empty from earlier versions.
        age: Time from the caller's first attempt to this one, in seconds.
    """

    id: int
    requester: str
    rank: int
    deadline: float
    objective: float
    data_center: str = ""
    body_bytes: int = 0
    excluded: frozenset[str] = frozenset()
    request_id: str = ""
    kind: str = ""
    age: float = 0.0

    @property
    def key(self) -> RequestKey:
        """Requester and id, unique among all slot requests."""
        return self.requester, self.id


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A request was granted a slot of a server.

    Attributes:
        request: The request.
        server: Id of the server.
        service_seconds: Its mean service time, in seconds; 0 if it is not
            known.
        silent_after: Time after which an unanswered request counts as silent,
            in seconds.
    """

    request: SlotRequest
    server: str
    service_seconds: float = 0.0
    silent_after: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A request was refused a slot.

    Attributes:
        request: The request.
        retry_after: Delay before the caller should retry, in seconds.
        expected_wait: Expected wait for a free slot, in seconds.
    """

    request: SlotRequest
    retry_after: float
    expected_wait: float = 0.0


Verdict = Granted | Refused
