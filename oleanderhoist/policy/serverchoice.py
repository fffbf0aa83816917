"""Which of the servers with a free slot a request is sent to."""

from collections.abc import Sequence

from oleanderhoist.policy import serverslots
from oleanderhoist.policy import slotrequests

EXPLORE_IDLE_SECONDS = 1.5
MAX_EXPLORE_BYTES = 4_000
REMOTE_PENALTY = 0.3  # Per service time of slack before the objective.
MAX_REMOTE_PENALTY = 2.0
REMOTE_BYTES = 20_000  # Body size that adds 1 to a remote server's cost factor.
LARGE_BODY_BYTES = 20_000
LOCAL_WAIT_RESERVE = 2.2  # Service times that remain when local waiting ends.
MIN_SUCCESS_RATE = 0.1  # Bounds the cost of a failing server.


def choose(
    servers: Sequence[serverslots.ServerSlots],
    request: slotrequests.SlotRequest,
    now: float,
    *,
    local_only: bool,
) -> serverslots.ServerSlots | None:
    """Returns the best server with a free slot, or None if none suits.

    Args:
        servers: All usable servers.
        request: The request.
        now: Current time, in seconds.
        local_only: Whether the request waits for a local server.
    """
    free = [s for s in servers if s.available(now)]
    usable = [s for s in free if s.id not in request.excluded]
    if local_only:
        usable = [s for s in usable if s.data_center == request.data_center]
        if not usable:
            return None
    if not usable:
        only = len(servers) == 1 and free
        return free[0] if only else None
    idle = min(usable, key=lambda s: s.last_used_at)
    if now - idle.last_used_at > EXPLORE_IDLE_SECONDS and may_explore(
        request, idle
    ):
        return idle
    return min(usable, key=lambda s: cost(s, request, now))


def may_wait_for_local(
    servers: Sequence[serverslots.ServerSlots],
    request: slotrequests.SlotRequest,
    now: float,
    service_seconds: float,
) -> bool:
    """Returns whether a request may wait for a local server.

    When local servers are busy only briefly, waiting is cheaper than sending a
    large body to another data centre.

    Args:
        servers: All usable servers.
        request: The request.
        now: Current time, in seconds.
        service_seconds: Mean service time, in seconds.
    """
    if request.body_bytes < LARGE_BODY_BYTES:
        return False
    if now + LOCAL_WAIT_RESERVE * service_seconds > request.objective:
        return False
    return any(
        server.data_center == request.data_center
        and now >= server.blocked_until
        and server.id not in request.excluded
        for server in servers
    )


def may_explore(
    request: slotrequests.SlotRequest, idle: serverslots.ServerSlots
) -> bool:
    """Returns whether a request may probe a server that was idle for long."""
    local = idle.data_center == request.data_center
    return local or request.body_bytes < MAX_EXPLORE_BYTES


def cost(
    server: serverslots.ServerSlots,
    request: slotrequests.SlotRequest,
    now: float,
) -> float:
    """Returns the service time of a server, weighted by failures and distance.

    Distance weighs more the more slack a request has, so that it goes to a
    local server even if a remote one is faster.
    """
    factor = 1.0
    if server.data_center != request.data_center:
        spare = (request.objective - now) / server.service_seconds - 1.0
        penalty = REMOTE_PENALTY * max(0.0, spare)
        factor += (
            min(MAX_REMOTE_PENALTY, penalty) + request.body_bytes / REMOTE_BYTES
        )
    success_rate = max(MIN_SUCCESS_RATE, 1.0 - server.failure_rate)
    return server.service_seconds * factor / success_rate
