"""Commands that fire has parsed, and the parsers of their flags.

Fire calls a function before it detects a superfluous argument. The
functions therefore only return a Command, which runs after the whole command
line has been parsed.
"""

from collections import abc
import dataclasses
import json

from fire import parser

from mustardlb_cli import _exit
from mustardlb_cli import _output

Run = abc.Callable[[], abc.Awaitable[_output.Result | _output.Text]]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A parsed command, executed by `_run`."""

    _run: Run


def quote_argument(argument: str) -> str:
    """Quote an argument that fire would parse as a number or a list.

    >>> quote_argument('12e4'), quote_argument('--wait=0')
    ('"12e4"', '--wait="0"')
    >>> quote_argument('acme')
    'acme'
    """
    name, equals, value = argument.partition('=')
    if not (name.startswith('--') and equals):
        name, equals, value = '', '', argument
    if isinstance(parser.DefaultParseValue(value), str):
        return argument
    return f'{name}{equals}{json.dumps(value)}'


def parse_seconds(name: str, text: str | bool | None) -> float | None:
    """Return the number of seconds of a flag, None if it is not given."""
    if text is None:
        return None
    try:
        # fire parses '--nowait' as False, and '--wait' without a value as
        # True.
        value = 0.0 if text is False else float(str(text))
    except ValueError:
        value = -1.0
    if 0 <= value <= 86_400:
        return value
    raise _usage(
        f'--{name}={text}: must be a number of seconds from 0 to 86400'
    )


def parse_integer(name: str, text: str | bool | None) -> int | None:
    """Return the whole number of a flag, None if it is not given."""
    if text is None:
        return None
    text = str(text)
    if text.isascii() and text.isdigit() and len(text) < 16:
        return int(text)
    raise _usage(f'--{name}={text}: must be a whole number')


def parse_flag(name: str, text: str | bool) -> bool:
    """Return the value of a boolean flag."""
    if str(text) in ('True', 'False'):
        return str(text) == 'True'
    raise _usage(f'--{name}={text}: takes no value')


def _usage(message: str) -> _exit.CommandError:
    return _exit.CommandError(_exit.ExitCode.USAGE, message)
