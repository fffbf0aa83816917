"""What a server tells of its load, requests of other routers included."""

import dataclasses

USUAL_SLOWDOWN = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """The load that a server names in an answer.

    Attributes:
        running: Requests that it runs, of all callers.
        waiting: Requests that wait there for a slot.
        slots: Requests that it runs concurrently.
        slowdown: Factor on how long work takes there now; 1 is as usual. None
            if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
