"""Results of commands as text: a table for people, or JSON."""

from collections.abc import Iterator
from collections.abc import Sequence
from enum import Enum
from typing import Any

from msgspec import json

Row = dict[str, Any]


class Output(Enum):
    """How results are printed."""

    TABLE = 'table'
    JSON = 'json'


def render_row(row: Row, output: Output) -> str:
    """Return one result; a list takes one line for each item.

    A table shows the fields of a nested value by their paths.
    """
    if output is Output.JSON:
        return json.encode(row).decode()
    row = dict(flatten_row(row))
    width = max(len(name) for name in row)
    lines = []
    for name, value in row.items():
        label = f'{name}:'
        for item in value if isinstance(value, list) else [value]:
            lines.append(f'{label:<{width + 1}} {render_cell(item)}'.rstrip())
            label = ''
    return '\n'.join(lines)


def flatten_row(row: Row) -> Iterator[tuple[str, Any]]:
    """Yield fields, those of nested values by their paths."""
    for name, value in row.items():
        if isinstance(value, dict):
            for inner, item in flatten_row(value):
                yield f'{name}.{inner}', item
        else:
            yield name, value


def render_table(
    rows: Sequence[Row], columns: Sequence[str], output: Output
) -> str:
    """Return rows under the given columns; JSON has all fields."""
    if output is Output.JSON:
        return json.encode(rows).decode()
    table = [[name.replace('_', ' ').upper() for name in columns]]
    table += [[render_cell(row.get(name)) for name in columns] for row in rows]
    widths = [
        max(len(text) for text in column)
        for column in zip(*table, strict=True)
    ]
    return '\n'.join(
        '  '.join(
            f'{text:<{width}}'
            for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    )


def render_cell(value: Any) -> str:
    """Return a value as a person reads it."""
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(render_cell(item) for item in value) or '-'
    return str(value)
