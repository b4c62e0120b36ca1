"""Finding a caller's key in what would be sent to a target.

A key may stand as it is, percent-escaped, or in JSON escapes, and escapes
may be nested. docs/design/0003-callers.md says what is done where.
"""

from collections import abc
import re
import string

# Nested escapes that are undone, levels.
MAX_DEPTH = 4

# A key is 'mlb_<id>_<secret>', see mustardlb.keys.
_HEX = b'0123456789abcdef'
_SECRET = (string.ascii_letters + string.digits + '_-').encode()
_ID_LENGTH = 16
_SECRET_LENGTH = 43
_SHAPE = re.compile(
    rb'mlb_[0-9a-f]{%d}_[A-Za-z0-9_-]{%d}' % (_ID_LENGTH, _SECRET_LENGTH)
)

# Backslashes before a JSON escape and '25' within a percent escape that one
# escaped character of a streamed key may have.
_MAX_BACKSLASHES = 8
_MAX_PERCENTS = 3

# Longest escaped form of one character, bytes.
_MAX_FORM = _MAX_BACKSLASHES + len('u0041')

_ESCAPE = re.compile(rb'\\+u00([0-7][0-9a-fA-F])|%(?:25)*([0-7][0-9a-fA-F])')
_ESCAPE_START = re.compile(
    rb'\\{1,%d}(?:u(?:0(?:0(?:[0-7])?)?)?)?|%%(?:25){0,%d}(?:[0-7])?'
    % (_MAX_BACKSLASHES, _MAX_PERCENTS)
)


class KeyFound(Exception):
    """What would be sent to a target contains a key."""


def secret_of(key: str) -> bytes:
    """Return the secret part of a key's text, b'' for what is no key."""
    text = key.encode('latin-1', 'replace')
    return text[-_SECRET_LENGTH:] if _SHAPE.fullmatch(text) else b''


def unescape(data: bytes) -> bytes:
    r"""Undo percent escapes and JSON escapes of ASCII, also nested ones.

    >>> unescape(b'%6Dlb and \\u006dlb and %256Dlb')
    b'mlb and mlb and mlb'
    """
    for _ in range(MAX_DEPTH):
        if b'%' not in data and b'\\u' not in data:
            return data
        unescaped = _ESCAPE.sub(_character, data)
        if unescaped == data:
            return data
        data = unescaped
    return data


def contains_key(data: bytes, secret: bytes = b'') -> bool:
    """Return whether any key, or this secret, stands in the data."""
    return _contains_plain(data, secret) or _contains_plain(
        unescape(data), secret
    )


class Scanner:
    """Passes a streamed body on and stops before any byte of a key.

    What may be the beginning of a key is held back until more arrives.
    """

    def __init__(self, secret: bytes = b'') -> None:
        self._secret = secret
        self._needles = [_SHAPE_NEEDLE]
        if secret:
            self._needles.append(_Needle([bytes([o]) for o in secret]))
        self._held = b''

    def feed(self, block: bytes) -> bytes:
        """Return what may be sent on now. Raises KeyFound."""
        data = self._held + block
        if self._found(data):
            raise KeyFound
        cut = min(needle.possible_start(data) for needle in self._needles)
        self._held = data[cut:]
        return data[:cut]

    def finish(self) -> bytes:
        """Return what was held back, at the end of the body."""
        held, self._held = self._held, b''
        return held

    def _found(self, data: bytes) -> bool:
        if _contains_plain(data, self._secret):
            return True
        if _ESCAPE.search(data) is None:
            return False
        return any(needle.found(data) for needle in self._needles)


class _Needle:
    """A text given by the characters that each place may hold."""

    def __init__(self, places: abc.Sequence[bytes]) -> None:
        patterns = [_pattern(characters) for characters in places]
        self._whole = re.compile(b''.join(patterns))
        self._places = [re.compile(pattern) for pattern in patterns]
        self._starts = frozenset(places[0] + b'%\\')
        self._window = _MAX_FORM * len(places)

    def found(self, data: bytes) -> bool:
        """Return whether the text stands in the data, escaped or not."""
        return self._whole.search(data) is not None

    def possible_start(self, data: bytes) -> int:
        """Return where the text may begin that has not arrived whole."""
        for start in range(max(len(data) - self._window, 0), len(data)):
            if data[start] in self._starts and self._may_begin(data, start):
                return start
        return len(data)

    def _may_begin(self, data: bytes, start: int) -> bool:
        position = start
        for place in self._places:
            if position == len(data):
                return True
            match = place.match(data, position)
            if match is None:
                return _ESCAPE_START.fullmatch(data, position) is not None
            position = match.end()
        return True


def _contains_plain(data: bytes, secret: bytes) -> bool:
    if secret and secret in data:
        return True
    return _SHAPE.search(data) is not None


def _character(match: re.Match[bytes]) -> bytes:
    return bytes([int(match[1] or match[2], 16)])


def _pattern(characters: bytes) -> bytes:
    """Build the pattern of every form of any of these characters."""
    plain = b'[' + re.escape(characters) + b']'
    codes = b'|'.join(b'%02x' % character for character in characters)
    return b'(?:%b|%%(?:25){0,%d}(?i:%b)|\\\\{1,%d}u00(?i:%b))' % (
        plain,
        _MAX_PERCENTS,
        codes,
        _MAX_BACKSLASHES,
        codes,
    )


_SHAPE_NEEDLE = _Needle(
    [
        *(b'm', b'l', b'b', b'_'),
        *[_HEX] * _ID_LENGTH,
        b'_',
        *[_SECRET] * _SECRET_LENGTH,
    ]
)
