"""Slots that were granted to requests of this router."""

import dataclasses
import math

from oleanderhoist.node import wire
from oleanderhoist.policy import slotrequests


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotGrant:
    """A granted slot: permits sending one request to a server.

    Attributes:
        id: Id of the slot request.
        queue: Slot queue of the slot.
        coordinator: Address of the router that granted it; the own address
            after a bypass.
        server: Id of the server.
        service_seconds: Mean service time of the server, in seconds.
        silent_after: Time after which an unanswered request counts as silent,
            in seconds.
    """

    id: int
    queue: str
    coordinator: str
    server: str
    service_seconds: float = 0.0
    silent_after: float = math.inf


def to_grant(
    queue: str, coordinator_address: str, verdict: slotrequests.Granted
) -> SlotGrant:
    """Returns the grant of a coordinator's verdict."""
    return SlotGrant(
        id=verdict.request.id,
        queue=queue,
        coordinator=coordinator_address,
        server=verdict.server,
        service_seconds=verdict.service_seconds,
        silent_after=verdict.silent_after,
    )


def request_stub(id: int) -> slotrequests.SlotRequest:
    """Returns a placeholder with the id of a slot request of this router."""
    return slotrequests.SlotRequest(
        id=id, requester="", rank=0, deadline=0.0, objective=0.0
    )


def granted(message: wire.SlotGranted) -> slotrequests.Granted:
    """Decodes a coordinator's grant."""
    silent_after = math.inf
    if message.silent_ms:
        silent_after = message.silent_ms / 1000
    return slotrequests.Granted(
        request=request_stub(message.id),
        server=message.server,
        service_seconds=message.service_ms / 1000,
        silent_after=silent_after,
    )


def refused(message: wire.SlotRefused) -> slotrequests.Refused:
    """Decodes a coordinator's refusal."""
    return slotrequests.Refused(
        request=request_stub(message.id),
        retry_after=message.retry_ms / 1000,
        expected_wait=message.wait_ms / 1000,
    )
