"""Check that cold servers get no more requests than they stand."""

import collections

from soak import records

COLD_SECONDS = 4.0
PER_SECOND = 5.0
OVERAGE = 1.5
SLACK = 6.0
TERMS = {"cold_start_s": COLD_SECONDS, "cold_per_s": PER_SECOND}
MOST = int(PER_SECOND * OVERAGE + SLACK)  # In any second.
WINDOW_SECONDS = 1.0


def check(record: records.Record) -> list[str]:
    """Checks that cold servers get few requests from all routers together.

    Those of routers out of touch count as well.

    Returns:
        Violations, at most one for each cold time.
    """
    times = collections.defaultdict(list)
    for arrival in record.reached():
        times[arrival.server.id].append(arrival.at)
    violations = []
    for cold in record.colds:
        end = cold.at + COLD_SECONDS
        inside = sorted(at for at in times[cold.server] if cold.at <= at < end)
        for first, last in zip(inside, inside[MOST:], strict=False):
            if last - first < WINDOW_SECONDS and not record.was_held_up(
                cold.server, last
            ):
                violations.append(
                    f"cold: {cold.server} got over {MOST} requests from "
                    f"{first - cold.at:.2f} s to {last - cold.at:.2f} s after "
                    f"it turned cold at {cold.at:.2f}"
                )
                break
    return violations
