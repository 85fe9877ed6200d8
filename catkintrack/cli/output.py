"""Print results and errors as text or JSON, and exit with a status."""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from typing import Any, NoReturn


class ExitStatus(IntEnum):
    """Enumerate the exit statuses of the command line."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


def print_result(value: Any, as_json: bool, text: str) -> None:
    """Print `value` as JSON, or else `text`."""
    print(json.dumps(value, indent=2, sort_keys=True) if as_json else text)


def fail(status: ExitStatus, messages: list[str], as_json: bool = False) -> NoReturn:
    """Print error messages on standard error and exit with `status`."""
    if as_json:
        print(json.dumps({"errors": messages}), file=sys.stderr)
    else:
        for message in messages:
            print(message, file=sys.stderr)
    raise SystemExit(int(status))


def format_rows(rows: list[dict[str, Any]]) -> str:
    """Return the rows as an aligned table with the columns of the first row."""
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[i]) for line in cells))
        for i, column in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
