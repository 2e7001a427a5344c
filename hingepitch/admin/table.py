"""
hingepitch.admin.table
~~~~~~~~~~~~~~~~~~~~~~

Prints rows as tables or as JSON.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json

__all__ = ["print_line", "print_rows"]

MAX_CELL_CHARS = 48


def format_cell(value):
    """Return the text of a cell, escaped to ASCII and cut to `MAX_CELL_CHARS`."""
    if isinstance(value, dict):
        text = ",".join(f"{key}={item}" for key, item in value.items())
    elif isinstance(value, list):
        text = ",".join(str(item) for item in value)
    else:
        text = "" if value is None else str(value)
    text = text.encode("unicode_escape").decode("ascii")
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 1] + "…"


def print_rows(rows, as_json=False, columns=()):
    """Print a list of mappings as a table, or as JSON.

    `columns`
        Keys to print; default: the keys of the first row.
    """
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    if not rows:
        print("(none)")
        return
    columns = columns or list(rows[0])
    cells = [[format_cell(row.get(column)) for column in columns] for row in rows]
    table = [[column.upper() for column in columns], *cells]
    widths = [max(len(line[at]) for line in table) for at in range(len(columns))]
    for line in table:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_line(value):
    """Print a value as one line of JSON and flush the output."""
    print(json.dumps(value), flush=True)
