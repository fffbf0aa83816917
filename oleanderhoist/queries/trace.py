"""Shows the trace of one request, from log lines."""

from collections.abc import Iterable
import json

from oleanderhoist import codes
from oleanderhoist import console
from oleanderhoist import events
from oleanderhoist import exits

HIDDEN_FIELDS = frozenset(
    ["request", "event", "message_type", "timestamp"]
    + ["task_uuid", "task_level"]
)


def select_records(lines: Iterable[str], request: str) -> list[dict]:
    """Returns the log records of a request, ordered by time.

    Lines without a JSON object are skipped; a prefix before the object, such
    as log collectors add, is ignored.
    """
    records = []
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        if record.get("request") == request:
            records.append(record)
    return sorted(records, key=lambda record: record.get("timestamp", 0.0))


def format_record(record: dict, start: float) -> str:
    """Formats a record as one line.

    Args:
        record: Log record.
        start: Timestamp of the first record, in seconds.
    """
    event = events.REGISTRY.get(record.get("event", 0))
    text = event.text if event else record.get("message_type", "?")
    offset_ms = (record.get("timestamp", start) - start) * 1000
    fields = " ".join(
        f"{name}={field}"
        for name, field in record.items()
        if name not in HIDDEN_FIELDS and field not in ("", None)
    )
    return f"{offset_ms:+8.1f} ms  {text}  {fields}"


def summarize(records: list[dict]) -> str:
    """Returns the meaning of the last result code, with its advice."""
    logged_codes = [record["code"] for record in records if "code" in record]
    if not logged_codes or not str(logged_codes[-1]).isdigit():
        return (
            "no result is logged: the caller disconnected, or the line was "
            "dropped"
        )
    code = codes.REGISTRY.get(int(logged_codes[-1]))
    if code is None:
        return f"unknown code {logged_codes[-1]}"
    return f"{code.number} {code.title}: {code.outcome.value}. {code.advice}"


def write(env: console.Console, lines: Iterable[str], request: str) -> None:
    """Writes the trace of a request.

    Raises:
        console.UserError: There is no log line of the request.
    """
    records = select_records(lines, request)
    if not records:
        raise console.UserError(
            f"no log line of request {request!r}",
            status=exits.ExitStatus.ERROR,
            advice="check the id, or read the logs of all routers; under "
            "load lines are dropped and counted in 'left_out'",
        )
    start = records[0].get("timestamp", 0.0)
    for record in records:
        env.stdout.write(format_record(record, start) + "\n")
    env.stdout.write(summarize(records) + "\n")
