"""The log lines of one request, collected from the logs of all nodes."""

import datetime
import json
import pathlib
from typing import Any

from mustardlb_cli import _command
from mustardlb_cli import _exit

# Lines about the targets of a request are shown as well if they were logged
# at most this long before or after it.
CONTEXT_SECONDS = 2.0

_HIDDEN_FIELDS = {'event', 'vm', 'timestamp', 'level', 'clock', 'request'}


def explain(paths: tuple[str, ...], request_id: str) -> dict[str, Any]:
    """Return the log lines of a request and their context, by time.

    The context consists of the lines about its targets from the same VMs,
    within CONTEXT_SECONDS of the request. Raises CommandError if a file
    cannot be read or no line has the request id.
    """
    lines = [line for path in paths for line in _read(pathlib.Path(path))]
    request_lines = [
        line for line in lines if line.get('request') == request_id
    ]
    if not request_lines:
        raise _exit.CommandError(
            _exit.ExitCode.NOT_FOUND, f'no log line for request {request_id}'
        )
    targets = {line['target'] for line in request_lines if 'target' in line}
    first = (
        min(map(_timestamp, request_lines))
        - _max_duration(request_lines)
        - CONTEXT_SECONDS
    )
    last = max(map(_timestamp, request_lines)) + CONTEXT_SECONDS
    vms = {line.get('vm') for line in request_lines}
    context = [
        line
        for line in lines
        if 'request' not in line
        and line.get('target') in targets
        and line.get('vm') in vms
        and first <= _timestamp(line) <= last
    ]
    rows = sorted(request_lines + context, key=_timestamp)
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
            # The line is truncated or from another program.
            continue
        if isinstance(fields, dict) and 'event' in fields:
            found.append(fields)
    return found


def _timestamp(line: dict[str, Any]) -> float:
    try:
        parsed = datetime.datetime.fromisoformat(str(line.get('timestamp')))
    except ValueError:
        return 0.0
    return parsed.timestamp()


def _max_duration(lines: list[dict[str, Any]]) -> float:
    return max(float(line.get('seconds', 0.0)) for line in lines)


def _row(line: dict[str, Any], request_id: str) -> dict[str, Any]:
    mark = '*' if line.get('request') == request_id else ''
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _HIDDEN_FIELDS
    )
    return {
        'at': str(line.get('timestamp', ''))[11:23],
        'vm': line.get('vm', ''),
        'event': f'{line["event"]}{mark}',
        'said': fields,
    }


def make_command(paths: tuple[str, ...], request_id: str) -> _command.Command:
    """Return the command that shows the log lines of a request."""

    async def run() -> dict[str, Any]:
        return explain(paths, request_id)

    return _command.Command(run)
