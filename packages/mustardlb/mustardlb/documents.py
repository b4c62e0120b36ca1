"""Parses TOML files and stored objects, reporting all violations at once."""

from collections import abc
import dataclasses
import difflib
import pathlib
import tomllib
import types
import typing

import msgspec

# Longer values are truncated in error messages.
MAX_DISPLAYED_CHARACTERS = 60

# Safe as a part of object names, metric names and log lines.
Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[a-z0-9][a-z0-9_-]{0,62}\Z',
        description='up to 63 lower-case letters, digits, - and _',
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One error in a document.

    :ivar file: path of the file, or name of the stored object
    :ivar key: dotted key, '' for the document as a whole
    :ivar value: the invalid value, shortened, '' if there is none
    :ivar problem: why the value is invalid

    >>> str(Violation('a.toml', 'rate', '-1', 'must be at least 1'))
    'a.toml: rate = -1: must be at least 1'
    """

    file: str
    key: str
    value: str
    problem: str

    def __str__(self) -> str:
        """Return file, key, value and problem on one line."""
        if not self.key:
            return f'{self.file}: {self.problem}'
        if not self.value:
            return f'{self.file}: {self.key}: {self.problem}'
        return f'{self.file}: {self.key} = {self.value}: {self.problem}'


class InvalidDocument(ValueError):
    """A document is invalid.

    :ivar violations: all errors of the document
    """

    def __init__(self, violations: abc.Sequence[Violation]) -> None:
        super().__init__('; '.join(str(violation) for violation in violations))
        self.violations = tuple(violations)


# Key, value and problem of one error, as yielded by the `check` functions.
Finding = tuple[str, object, str]

T = typing.TypeVar('T')


def parse_toml(
    text: str,
    type_: type[T],
    file: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None = None,
) -> T:
    """Parse TOML text into a struct. Raises InvalidDocument."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocument([Violation(file, '', '', str(error))]) from None
    return _convert(raw, type_, file, check)


def parse_json(
    value: bytes,
    type_: type[T],
    name: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None = None,
) -> T:
    """Parse a stored JSON object into a struct. Raises InvalidDocument."""
    try:
        raw = msgspec.json.decode(value)
    except msgspec.MsgspecError as error:
        raise InvalidDocument([Violation(name, '', '', str(error))]) from None
    except UnicodeDecodeError as error:
        raise InvalidDocument([Violation(name, '', '', str(error))]) from None
    return _convert(raw, type_, name, check)


def read_file(path: pathlib.Path) -> str:
    """Read a UTF-8 text file. Raises InvalidDocument."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        problem = error.strerror or str(error)
    except UnicodeDecodeError:
        problem = 'is not UTF-8 text'
    raise InvalidDocument([Violation(str(path), '', '', problem)])


def shorten(value: object) -> str:
    """Return the repr of a value, truncated for an error message.

    >>> shorten('short')
    "'short'"
    """
    text = repr(value)
    if len(text) <= MAX_DISPLAYED_CHARACTERS:
        return text
    return text[:MAX_DISPLAYED_CHARACTERS] + '...'


def _convert(
    raw: object,
    type_: type[T],
    file: str,
    check: abc.Callable[[T], abc.Iterable[Finding]] | None,
) -> T:
    findings = list(_findings(raw, type_, ''))
    if not findings:
        document = msgspec.convert(raw, type_)
        findings = list(check(document)) if check else []
    if findings:
        raise InvalidDocument(
            [
                Violation(
                    file,
                    key,
                    '' if value is _MISSING else shorten(value),
                    text,
                )
                for key, value, text in findings
            ]
        )
    return document


_MISSING = object()


def _findings(raw: object, type_: typing.Any, key: str) -> list[Finding]:
    """Return the errors of a raw value and of the values inside it."""
    base_type = _base_type(type_, raw)
    findings: list[Finding] = []
    if _is_struct(base_type) and isinstance(raw, dict):
        findings = _struct_findings(raw, base_type, key)
    elif typing.get_origin(base_type) is tuple and isinstance(raw, list):
        element = typing.get_args(base_type)[0]
        for index, item in enumerate(raw):
            findings += _findings(item, element, f'{key}[{index}]')
    elif typing.get_origin(base_type) is dict and isinstance(raw, dict):
        key_type, value_type = typing.get_args(base_type)
        for name, item in raw.items():
            findings += _findings(name, key_type, _join(key, name))
            findings += _findings(item, value_type, _join(key, name))
    if findings:
        return findings
    try:
        msgspec.convert(raw, type_)
    except msgspec.ValidationError as error:
        return [(key, raw, _validation_message(type_, str(error)))]
    return []


def _validation_message(type_: typing.Any, message: str) -> str:
    """Return the error text; a pattern is replaced by its description."""
    if 'matching regex' in message:
        for meta in getattr(type_, '__metadata__', ()):
            if meta.description:
                return f'must be {meta.description}'
    return message[:1].lower() + message[1:]


def _struct_findings(raw: dict, type_: typing.Any, key: str) -> list[Finding]:
    fields_by_name = {
        field.encode_name: field for field in msgspec.structs.fields(type_)
    }
    findings: list[Finding] = []
    for name, value in raw.items():
        if name in fields_by_name:
            field = fields_by_name[name]
            findings += _findings(value, field.type, _join(key, name))
            continue
        similar = difflib.get_close_matches(name, fields_by_name, 1)
        hint = f', did you mean {similar[0]}?' if similar else ''
        findings.append((_join(key, name), value, f'unknown key{hint}'))
    for name, field in fields_by_name.items():
        if field.required and name not in raw:
            findings.append((_join(key, name), _MISSING, 'is missing'))
    return findings


def _base_type(type_: typing.Any, raw: object) -> typing.Any:
    """Return a type without constraints, and a union's struct for a dict."""
    while typing.get_origin(type_) is typing.Annotated:
        type_ = typing.get_args(type_)[0]
    if typing.get_origin(type_) in (typing.Union, types.UnionType):
        members = typing.get_args(type_)
        if isinstance(raw, dict):
            return next((m for m in members if _is_struct(m)), type_)
    return type_


def _is_struct(type_: typing.Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


def _join(key: str, name: object) -> str:
    return f'{key}.{name}' if key else str(name)
