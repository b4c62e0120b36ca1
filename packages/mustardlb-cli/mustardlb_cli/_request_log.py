"""What the logs of all nodes say of one request."""

import datetime
import json
import pathlib
from typing import Any

from mustardlb_cli import _command
from mustardlb_cli import _exit

# Seconds before and after a request in which what a node learnt of its
# targets is shown as well.
CONTEXT = 2.0

_OWN_COLUMNS = {'event', 'vm', 'timestamp', 'level', 'clock', 'request'}


def explain(paths: tuple[str, ...], request_id: str) -> dict[str, Any]:
    """Return the lines of one request in order, with what led to them.

    Lines of the same node that name one of the request's targets are shown
    where they lie close to it. Raises CommandError where a file cannot be
    read or no line names the request.
    """
    lines = [line for path in paths for line in _read(pathlib.Path(path))]
    own = [line for line in lines if line.get('request') == request_id]
    if not own:
        raise _exit.CommandError(
            _exit.ExitCode.NOT_FOUND, f'no line names request {request_id}'
        )
    targets = {line['target'] for line in own if 'target' in line}
    first = min(map(_when, own)) - _longest(own) - CONTEXT
    last = max(map(_when, own)) + CONTEXT
    vms = {line.get('vm') for line in own}
    context = [
        line
        for line in lines
        if 'request' not in line
        and line.get('target') in targets
        and line.get('vm') in vms
        and first <= _when(line) <= last
    ]
    rows = sorted(own + context, key=_when)
    return {
        'request': request_id,
        'lines': [_row(line, request_id) for line in rows],
    }


def _read(path: pathlib.Path) -> list[dict[str, Any]]:
    try:
        text = path.read_text(errors='replace')
    except OSError as error:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, f'{path}: {error.strerror}'
        ) from error
    found = []
    for line in text.splitlines():
        start = line.find('{"')
        try:
            fields = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # A line of another program, or one that was cut.
            continue
        if isinstance(fields, dict) and 'event' in fields:
            found.append(fields)
    return found


def _when(line: dict[str, Any]) -> float:
    try:
        stamp = datetime.datetime.fromisoformat(str(line.get('timestamp')))
    except ValueError:
        return 0.0
    return stamp.timestamp()


def _longest(lines: list[dict[str, Any]]) -> float:
    return max(float(line.get('seconds', 0.0)) for line in lines)


def _row(line: dict[str, Any], request_id: str) -> dict[str, Any]:
    mark = '*' if line.get('request') == request_id else ''
    said = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _OWN_COLUMNS
    )
    return {
        'at': str(line.get('timestamp', ''))[11:23],
        'vm': line.get('vm', ''),
        'event': f'{line["event"]}{mark}',
        'said': said,
    }


def make_command(paths: tuple[str, ...], request_id: str) -> _command.Command:
    """Return the command that explains a request."""

    async def run() -> dict[str, Any]:
        return explain(paths, request_id)

    return _command.Command(run)
