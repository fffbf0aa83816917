"""Tells the story of one request from log lines."""

from collections.abc import Iterable
import json

from oleanderhoist import codes
from oleanderhoist import console
from oleanderhoist import events
from oleanderhoist import exits

HIDDEN = frozenset(
    ["request", "event", "message_type", "timestamp"]
    + ["task_uuid", "task_level"]
)


def lines_of(lines: Iterable[str], request: str) -> list[dict]:
    """Returns the log lines of a request, in the order of their times.

    Lines that are no JSON object are passed over; a prefix before the object,
    as collectors add it, is ignored.
    """
    found = []
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            value = json.loads(brace + rest)
        except ValueError:
            continue
        if value.get("request") == request:
            found.append(value)
    return sorted(found, key=lambda value: value.get("timestamp", 0.0))


def describe(value: dict, start: float) -> str:
    """Returns one line of the story."""
    event = events.REGISTRY.get(value.get("event", 0))
    text = event.text if event else value.get("message_type", "?")
    offset = (value.get("timestamp", start) - start) * 1000
    fields = " ".join(
        f"{name}={field}"
        for name, field in value.items()
        if name not in HIDDEN and field not in ("", None)
    )
    return f"{offset:+8.1f} ms  {text}  {fields}"


def verdict(found: list[dict]) -> str:
    """Returns what the last result code means, and what to do."""
    ended = [v["code"] for v in found if "code" in v]
    if not ended or not str(ended[-1]).isdigit():
        return "no final answer is logged: the caller left, or its line is lost"
    code = codes.REGISTRY.get(int(ended[-1]))
    if code is None:
        return f"unknown code {ended[-1]}"
    return f"{code.number} {code.title}: {code.outcome.value}. {code.advice}"


def write(env: console.Console, lines: Iterable[str], request: str) -> None:
    """Writes a request's story.

    Raises:
        environment.UserError: No line is about the request.
    """
    found = lines_of(lines, request)
    if not found:
        raise console.UserError(
            f"no log line is about request {request!r}",
            status=exits.ExitStatus.ERROR,
            advice="check the id, or read the logs of all routers; under "
            "load lines are left out and counted in 'left_out'",
        )
    start = found[0].get("timestamp", 0.0)
    for value in found:
        env.stdout.write(describe(value, start) + "\n")
    env.stdout.write(verdict(found) + "\n")
