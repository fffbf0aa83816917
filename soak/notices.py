"""Checks of what routers do after a server's notices in its answers."""

import bisect
import collections

from soak import records

LEAVING_GRACE_SECONDS = 2.0  # From a notice that a router has passed on.
RETRY_AFTER_GRACE_SECONDS = 0.5  # From the answer that asks to wait.
MAX_EARLY_ARRIVALS = 2


def check_leaving(record: records.Record) -> list[str]:
    """Checks that leaving servers execute no further requests.

    A router is bound once it has passed on an answer with the notice, unless it
    was restarted or frozen since. Other faults are no excuse.

    Returns:
        Violations.
    """
    passed_on = leaving_notices(record)
    violations = []
    for id, executions in record.executions.items():
        request = record.requests.get(id)
        if request is None:
            continue
        for execution in executions:
            times = passed_on.get((request.router, execution.server), [])
            latest = request.sent_at - LEAVING_GRACE_SECONDS
            index = bisect.bisect_left(times, latest)
            if index and is_bound(
                record, request.router, times[index - 1], execution.at
            ):
                late = request.sent_at - times[0]
                violations.append(
                    f"leaving: {id} was executed on {execution.server} at "
                    f"{execution.at:.2f}, sent {late:.2f} s after "
                    f"{request.router} had passed on its notice"
                )
    return violations


def leaving_notices(
    record: records.Record,
) -> dict[tuple[str, records.Life], list[float]]:
    """Returns when each router had passed on answers of leaving servers."""
    said = {
        (notice.id, str(notice.server)): notice.server
        for notice in record.notices
        if notice.leaving
    }
    times = collections.defaultdict(list)
    for answer in record.answers:
        server = said.get((answer.id, answer.signature))
        if server is not None:
            times[answer.router, server].append(answer.ended_at)
    return {key: sorted(values) for key, values in times.items()}


def is_bound(
    record: records.Record, router: str, begin: float, end: float
) -> bool:
    """Returns whether a router still has to know what it knew at the begin."""
    return not (
        record.was_restarted(router, begin, end)
        or record.was_frozen(router, begin, end)
    )


def check_retry_after(record: records.Record) -> list[str]:
    """Checks that a router leaves a server alone that asked it to wait.

    Returns:
        Violations.
    """
    arrivals = collections.defaultdict(list)
    for arrival in record.arrivals:
        request = record.requests.get(arrival.id)
        if request is not None:
            arrivals[request.router, arrival.server].append(arrival.at)
    violations = []
    for notice in record.notices:
        request = record.requests.get(notice.id)
        begin = notice.at + RETRY_AFTER_GRACE_SECONDS
        end = notice.at + notice.retry_after
        if request is None or end <= begin:
            continue
        times = arrivals[request.router, notice.server]
        count = sum(begin <= at < end for at in times)
        if count > MAX_EARLY_ARRIVALS and is_connected(
            record, request.router, notice.server.id, notice.at, end
        ):
            violations.append(
                f"retry after: {notice.server} got {count} requests from "
                f"{request.router} within {notice.retry_after:.3f} s after it "
                f"had answered {notice.id} at {notice.at:.2f}"
            )
    return violations


def is_connected(
    record: records.Record, router: str, server: str, begin: float, end: float
) -> bool:
    """Returns whether a router ran and reached a server in a time span."""
    return is_bound(record, router, begin, end) and not any(
        fault.target == server and fault.begin <= end and begin <= fault.end
        for fault in record.faults
        if fault.kind in records.LINK_FAULTS
    )
