"""Check that servers of evacuated data centres get no requests."""

from soak import records

APPLY_SECONDS = 5.0  # From the acknowledgement of the operator's write.


def check(record: records.Record) -> list[str]:
    """Checks that routers in touch send nothing to evacuated data centres.

    Returns:
        Violations.
    """
    reached = record.reached()
    return [
        f"evacuation: {arrival.id} reached {arrival.server} of "
        f"{evacuation.data_center} at {arrival.at:.2f}, "
        f"{arrival.at - evacuation.acknowledged_at:.2f} s after its evacuation "
        f"was acknowledged, from {record.requests[arrival.id].router}"
        for evacuation in record.evacuations
        for arrival in reached
        if arrival.server.id in evacuation.servers
        and arrival.at > evacuation.acknowledged_at + APPLY_SECONDS
        and arrival.at < evacuation.ended_at
        and is_bound(record, arrival)
    ]


def is_bound(record: records.Record, arrival: records.Arrival) -> bool:
    """Returns whether a request was sent by a router in touch, and just now."""
    request = record.requests.get(arrival.id)
    return (
        request is not None
        and record.is_in_touch(request.router, arrival.at)
        and not record.was_held_up(arrival.server.id, arrival.at)
    )
