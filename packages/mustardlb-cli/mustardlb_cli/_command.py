"""Commands that fire has parsed and that are yet to run.

Fire calls a function before it has seen that an argument is left over, so
the functions only make a Command; it runs once the whole line is understood.
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
    """A command that is understood; `_run` carries it out."""

    _run: Run


def as_text(argument: str) -> str:
    """Quote an argument that fire would read as a number or a list.

    >>> as_text('12e4'), as_text('--wait=0'), as_text('acme')
    ('"12e4"', '--wait="0"', 'acme')
    """
    name, equals, value = argument.partition('=')
    if not (name.startswith('--') and equals):
        name, equals, value = '', '', argument
    if isinstance(parser.DefaultParseValue(value), str):
        return argument
    return f'{name}{equals}{json.dumps(value)}'


def number(name: str, text: str | bool | None) -> float | None:
    """Read a flag's value that is a number of seconds, None for no flag."""
    if text is None:
        return None
    try:
        # fire reads '--nowait' as False, and a bare '--wait' as True.
        value = 0.0 if text is False else float(str(text))
    except ValueError:
        value = -1.0
    if 0 <= value <= 86_400:
        return value
    raise _usage(f'--{name}={text}: must be seconds, from 0 to 86400')


def integer(name: str, text: str | bool | None) -> int | None:
    """Read a flag's value that is a whole number, None for no flag."""
    if text is None:
        return None
    text = str(text)
    if text.isascii() and text.isdigit() and len(text) < 16:
        return int(text)
    raise _usage(f'--{name}={text}: must be a whole number')


def flag(name: str, text: str | bool) -> bool:
    """Read a flag that is on or off."""
    if str(text) in ('True', 'False'):
        return str(text) == 'True'
    raise _usage(f'--{name}={text}: takes no value')


def _usage(message: str) -> _exit.CommandError:
    return _exit.CommandError(_exit.ExitCode.USAGE, message)
