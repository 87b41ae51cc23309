"""Output of the command line."""

import json
import sys
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any


class OutputFormat(StrEnum):
    """``text`` for interactive use, ``json`` for scripts."""

    text = 'text'
    json = 'json'


def print_json(value: Any) -> None:
    """Print JSON-compatible data as indented JSON."""
    sys.stdout.write(json.dumps(value, indent=1, default=str) + '\n')


def print_fields(fields: Mapping[str, Any]) -> None:
    """Print one ``name  value`` line for each field, aligned."""
    width = max((len(name) for name in fields), default=0)
    for name, value in fields.items():
        sys.stdout.write(f'{name.ljust(width)}  {_format_cell(value)}\n')


def print_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Print rows with the same fields as aligned columns with a header."""
    if not rows:
        return
    names = list(rows[0])
    lines = [names, *([_format_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        sys.stdout.write('  '.join(cells).rstrip() + '\n')


def print_error(text: str) -> None:
    """Print to standard error."""
    sys.stderr.write(f'{text}\n')


def _format_cell(value: Any) -> str:
    match value:
        case None:
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case list():
            return ', '.join(str(entry) for entry in value) or '-'
    return str(value)
