"""Detection of API keys in data that is forwarded to a target.

A key may be plain, percent-encoded or written in JSON escapes, and escapes
may be nested. docs/design/0003-callers.md describes where each check applies.
"""

from collections import abc
import re
import string

# Levels of nested escapes that are decoded.
MAX_ESCAPE_DEPTH = 4

# A key is 'mlb_<id>_<secret>', see mustardlb.keys.
_HEX_DIGITS = b'0123456789abcdef'
_SECRET_CHARACTERS = (string.ascii_letters + string.digits + '_-').encode()
_ID_LENGTH = 16
_SECRET_LENGTH = 43
_KEY_PATTERN = re.compile(
    rb'mlb_[0-9a-f]{%d}_[A-Za-z0-9_-]{%d}' % (_ID_LENGTH, _SECRET_LENGTH)
)

# In a streamed body, nested escapes of one character are recognized up to
# this number of backslashes in a JSON escape and of '25' in a percent escape.
_MAX_BACKSLASHES = 8
_MAX_PERCENTS = 3

_MAX_ESCAPED_CHARACTER_BYTES = _MAX_BACKSLASHES + len('u0041')

_ESCAPE = re.compile(rb'\\+u00([0-7][0-9a-fA-F])|%(?:25)*([0-7][0-9a-fA-F])')
_ESCAPE_START = re.compile(
    rb'\\{1,%d}(?:u(?:0(?:0(?:[0-7])?)?)?)?|%%(?:25){0,%d}(?:[0-7])?'
    % (_MAX_BACKSLASHES, _MAX_PERCENTS)
)


class KeyFound(Exception):
    """Data for a target contains an API key."""


def secret_of(key: str) -> bytes:
    """Return the secret part of an API key, b'' if the text is not a key."""
    text = key.encode('latin-1', 'replace')
    return text[-_SECRET_LENGTH:] if _KEY_PATTERN.fullmatch(text) else b''


def unescape(data: bytes) -> bytes:
    r"""Decode percent escapes and JSON escapes of ASCII, also nested ones.

    >>> unescape(b'%6Dlb and \\u006dlb and %256Dlb')
    b'mlb and mlb and mlb'
    """
    for _ in range(MAX_ESCAPE_DEPTH):
        if b'%' not in data and b'\\u' not in data:
            return data
        unescaped = _ESCAPE.sub(_decode_escape, data)
        if unescaped == data:
            return data
        data = unescaped
    return data


def contains_key(data: bytes, secret: bytes = b'') -> bool:
    """Return whether the data contains any API key or this secret."""
    return _contains_plain(data, secret) or _contains_plain(
        unescape(data), secret
    )


class Scanner:
    """Filters a streamed body so that no byte of an API key is forwarded.

    Data that may be the start of a key is buffered until more data arrives.
    """

    def __init__(self, secret: bytes = b'') -> None:
        self._secret = secret
        self._patterns = [_ESCAPED_KEY_PATTERN]
        if secret:
            self._patterns.append(
                _EscapedPattern([bytes([o]) for o in secret])
            )
        self._pending = b''

    def feed(self, block: bytes) -> bytes:
        """Return the data that may be forwarded now. Raises KeyFound."""
        data = self._pending + block
        if self._contains_key(data):
            raise KeyFound
        end = min(pattern.possible_start(data) for pattern in self._patterns)
        self._pending = data[end:]
        return data[:end]

    def finish(self) -> bytes:
        """Return the buffered data at the end of the body."""
        pending, self._pending = self._pending, b''
        return pending

    def _contains_key(self, data: bytes) -> bool:
        if _contains_plain(data, self._secret):
            return True
        if _ESCAPE.search(data) is None:
            return False
        return any(pattern.matches(data) for pattern in self._patterns)


class _EscapedPattern:
    """Pattern of a text in which each character may be escaped.

    It is given by the set of allowed characters at each position.
    """

    def __init__(self, character_sets: abc.Sequence[bytes]) -> None:
        patterns = [
            _escaped_character_pattern(characters)
            for characters in character_sets
        ]
        self._full_pattern = re.compile(b''.join(patterns))
        self._character_patterns = [
            re.compile(pattern) for pattern in patterns
        ]
        self._first_bytes = frozenset(character_sets[0] + b'%\\')
        self._max_bytes = _MAX_ESCAPED_CHARACTER_BYTES * len(character_sets)

    def matches(self, data: bytes) -> bool:
        """Return whether the data contains the text, escaped or plain."""
        return self._full_pattern.search(data) is not None

    def possible_start(self, data: bytes) -> int:
        """Return the first position at which an incomplete text may start."""
        for start in range(max(len(data) - self._max_bytes, 0), len(data)):
            if data[start] in self._first_bytes and self._may_start(
                data, start
            ):
                return start
        return len(data)

    def _may_start(self, data: bytes, start: int) -> bool:
        position = start
        for character_pattern in self._character_patterns:
            if position == len(data):
                return True
            match = character_pattern.match(data, position)
            if match is None:
                return _ESCAPE_START.fullmatch(data, position) is not None
            position = match.end()
        return True


def _contains_plain(data: bytes, secret: bytes) -> bool:
    if secret and secret in data:
        return True
    return _KEY_PATTERN.search(data) is not None


def _decode_escape(match: re.Match[bytes]) -> bytes:
    return bytes([int(match[1] or match[2], 16)])


def _escaped_character_pattern(characters: bytes) -> bytes:
    """Return a pattern of every form of any of these characters."""
    plain = b'[' + re.escape(characters) + b']'
    codes = b'|'.join(b'%02x' % character for character in characters)
    return b'(?:%b|%%(?:25){0,%d}(?i:%b)|\\\\{1,%d}u00(?i:%b))' % (
        plain,
        _MAX_PERCENTS,
        codes,
        _MAX_BACKSLASHES,
        codes,
    )


_ESCAPED_KEY_PATTERN = _EscapedPattern(
    [
        *(b'm', b'l', b'b', b'_'),
        *[_HEX_DIGITS] * _ID_LENGTH,
        b'_',
        *[_SECRET_CHARACTERS] * _SECRET_LENGTH,
    ]
)
