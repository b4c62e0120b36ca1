"""Reading TOML files and stored objects, with every fault listed at once."""

from collections import abc
import dataclasses
import difflib
import pathlib
import tomllib
import types
import typing

import msgspec

# Longest value that is shown in an error message, characters.
SHOWN_LIMIT = 60

# Names that become part of object names, metric names and log lines.
Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[a-z0-9][a-z0-9_-]{0,62}\Z',
        description='up to 63 lower-case letters, digits, - and _',
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One thing that is wrong with a document.

    :ivar file: path of the file, or name of the stored object
    :ivar key: dotted key, '' for the document as a whole
    :ivar value: the value that was found, shortened
    :ivar problem: what is wrong with it

    >>> str(Violation('a.toml', 'rate', '-1', 'must be at least 1'))
    'a.toml: rate = -1: must be at least 1'
    """

    file: str
    key: str
    value: str
    problem: str

    def __str__(self) -> str:
        """File, key, value and problem on one line."""
        if not self.key:
            return f'{self.file}: {self.problem}'
        if not self.value:
            return f'{self.file}: {self.key}: {self.problem}'
        return f'{self.file}: {self.key} = {self.value}: {self.problem}'


class InvalidDocument(ValueError):
    """A document that was refused, with all of its faults."""

    def __init__(self, violations: abc.Sequence[Violation]) -> None:
        super().__init__('; '.join(str(violation) for violation in violations))
        self.violations = tuple(violations)


# A check over several keys gives (key, value, problem) for each fault.
Finding = tuple[str, object, str]

T = typing.TypeVar('T')


def parse_toml(
    text: str,
    kind: type[T],
    file: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None = None,
) -> T:
    """Read a TOML text as a struct. Raises InvalidDocument."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocument([Violation(file, '', '', str(error))]) from None
    return _convert(raw, kind, file, check)


def parse_json(
    value: bytes,
    kind: type[T],
    name: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None = None,
) -> T:
    """Read a stored object as a struct. Raises InvalidDocument."""
    try:
        raw = msgspec.json.decode(value)
    except msgspec.MsgspecError as error:
        raise InvalidDocument([Violation(name, '', '', str(error))]) from None
    except UnicodeDecodeError as error:
        raise InvalidDocument([Violation(name, '', '', str(error))]) from None
    return _convert(raw, kind, name, check)


def read_file(path: pathlib.Path) -> str:
    """Read a text file. Raises InvalidDocument if it cannot be read."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        problem = error.strerror or str(error)
    except UnicodeDecodeError:
        problem = 'is not UTF-8 text'
    raise InvalidDocument([Violation(str(path), '', '', problem)])


def shorten(value: object) -> str:
    """Shorten a value for a fault.

    >>> shorten('short')
    "'short'"
    """
    text = repr(value)
    if len(text) <= SHOWN_LIMIT:
        return text
    return text[:SHOWN_LIMIT] + '...'


def _convert(
    raw: object,
    kind: type[T],
    file: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None,
) -> T:
    findings = list(_findings(raw, kind, ''))
    if not findings:
        document = msgspec.convert(raw, kind)
        findings = list(check(document)) if check else []
    if findings:
        raise InvalidDocument(
            [
                Violation(
                    file, key, '' if value is _NONE else shorten(value), text
                )
                for key, value, text in findings
            ]
        )
    return document


_NONE = object()


def _findings(raw: object, kind: typing.Any, key: str) -> list[Finding]:
    """List what is wrong with a raw value, key by key."""
    inner = _plain_type(kind, raw)
    findings: list[Finding] = []
    if _is_struct(inner) and isinstance(raw, dict):
        findings = _struct_findings(raw, inner, key)
    elif typing.get_origin(inner) is tuple and isinstance(raw, list):
        element = typing.get_args(inner)[0]
        for index, item in enumerate(raw):
            findings += _findings(item, element, f'{key}[{index}]')
    elif typing.get_origin(inner) is dict and isinstance(raw, dict):
        name_kind, value_kind = typing.get_args(inner)
        for name, item in raw.items():
            findings += _findings(name, name_kind, _join(key, name))
            findings += _findings(item, value_kind, _join(key, name))
    if findings:
        return findings
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return [(key, raw, _problem(kind, str(error)))]
    return []


def _problem(kind: typing.Any, message: str) -> str:
    """Say what is expected; a pattern is told by its description."""
    if 'matching regex' in message:
        for meta in getattr(kind, '__metadata__', ()):
            if meta.description:
                return f'must be {meta.description}'
    return message[:1].lower() + message[1:]


def _struct_findings(raw: dict, kind: typing.Any, key: str) -> list[Finding]:
    fields_by_name = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    findings: list[Finding] = []
    for name, value in raw.items():
        if name in fields_by_name:
            field = fields_by_name[name]
            findings += _findings(value, field.type, _join(key, name))
            continue
        close = difflib.get_close_matches(name, fields_by_name, 1)
        hint = f', did you mean {close[0]}?' if close else ''
        findings.append((_join(key, name), value, f'unknown key{hint}'))
    for name, field in fields_by_name.items():
        if field.required and name not in raw:
            findings.append((_join(key, name), _NONE, 'is missing'))
    return findings


def _plain_type(kind: typing.Any, raw: object) -> typing.Any:
    """Strip constraints, and from a choice take the member for `raw`."""
    while typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        members = typing.get_args(kind)
        if isinstance(raw, dict):
            return next((m for m in members if _is_struct(m)), kind)
    return kind


def _is_struct(kind: typing.Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _join(key: str, name: object) -> str:
    return f'{key}.{name}' if key else str(name)
