"""Writes results as tables for people or as JSON for programs."""

import json
import typing

from oleanderhoist import console


def write_json(env: console.Console, value: typing.Any) -> None:
    """Writes a value as JSON."""
    env.stdout.write(json.dumps(value, indent=2, sort_keys=True) + "\n")


def write_table(
    env: console.Console, columns: list[str], rows: list[list]
) -> None:
    """Writes rows as an aligned table with column names."""
    cells = [columns] + [[format_cell(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        env.stdout.write(line.rstrip() + "\n")


def write_fields(env: console.Console, fields: dict[str, typing.Any]) -> None:
    """Writes one aligned line for each field."""
    width = max(len(name) for name in fields)
    for name, value in fields.items():
        env.stdout.write(f"{name.ljust(width)}  {format_cell(value)}\n")


def write_error(env: console.Console, error: console.UserError) -> None:
    """Writes an error, its details and the advice."""
    env.stderr.write(f"oleander: {error}\n")
    for detail in error.details:
        env.stderr.write(f"  {detail}\n")
    if error.advice:
        env.stderr.write(f"  -> {error.advice}\n")


def format_cell(value: typing.Any) -> str:
    """Formats a value for a table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
