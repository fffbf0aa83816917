"""Lists result codes and log events."""

from oleanderhoist import codes
from oleanderhoist import console
from oleanderhoist import events
from oleanderhoist import output

CODE_COLUMNS = ["code", "status", "outcome", "title", "advice"]
EVENT_COLUMNS = ["event", "name", "text", "source"]


def code_rows() -> list[list]:
    """Returns one row for each result code."""
    return [
        [c.number, c.status, c.outcome.value, c.title, c.advice]
        for _, c in sorted(codes.REGISTRY.items())
    ]


def event_rows() -> list[list]:
    """Returns one row for each log event."""
    return [
        [e.number, e.name, e.text, e.source]
        for _, e in sorted(events.REGISTRY.items())
    ]


def write(env: console.Console, columns: list[str], rows: list[list]) -> None:
    """Writes a catalogue as a table or as JSON."""
    if env.as_json:
        records = [dict(zip(columns, row, strict=True)) for row in rows]
        output.write_json(env, records)
        return
    output.write_table(env, columns, rows)


def markdown(columns: list[str], rows: list[list]) -> str:
    """Returns a catalogue as a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |"]
    lines.append("| " + " | ".join("---" for _ in columns) + " |")
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines) + "\n"
