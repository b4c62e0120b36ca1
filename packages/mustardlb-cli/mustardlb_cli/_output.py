"""Rendering of results as JSON or as text with tables."""

from collections import abc
import json

import msgspec

# Result of a command, with values that can be encoded as JSON.
Result = abc.Mapping[str, object]

# Text that is printed unchanged in every format.
Text = str


def render(result: Result | Text, form: str) -> str:
    """Return a result as text in the format 'json' or 'table'.

    >>> print(render({'revision': 3, 'keys': [{'id': 'a', 'n': 1}]}, 'table'))
    revision: 3
    keys:
      id  n
      a   1
    """
    if isinstance(result, Text):
        return result
    plain = msgspec.to_builtins(result)
    if form == 'json':
        return json.dumps(plain, indent=2)
    lines: list[str] = []
    for key, value in plain.items():
        lines += _lines(key, value)
    return '\n'.join(lines)


def _lines(key: str, value: object) -> list[str]:
    title = key.replace('_', ' ')
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [f'{title}:', *_table(value)]
    if isinstance(value, list) and not value:
        return [f'{title}: none']
    if isinstance(value, dict):
        rows = [f'  {name}: {_cell(item)}' for name, item in value.items()]
        return [f'{title}:', *rows]
    return [f'{title}: {_cell(value)}']


def _table(rows: list[dict[str, object]]) -> list[str]:
    columns = list(rows[0])
    cells = [[name.replace('_', ' ') for name in columns]]
    cells += [[_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return [
        ('  ' + '  '.join(map(str.ljust, line, widths))).rstrip()
        for line in cells
    ]


def _cell(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.4g}'
    if isinstance(value, (list, tuple)):
        return ', '.join(map(_cell, value)) or '-'
    return str(value)
