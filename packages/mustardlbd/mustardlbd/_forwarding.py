"""Selects the parts of requests and responses to forward."""

from collections import abc
import urllib.parse

from mustardlbd import _admission
from mustardlbd import _key_scan

Headers = abc.Sequence[tuple[bytes, bytes]]

# Connection-specific headers (RFC 9110, 7.6.1) and headers that the node sets
# itself.
_HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'expect',
        b'host',
        b'http2-settings',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
_DROPPED_FROM_REQUESTS = frozenset(_admission.KEY_HEADERS)
_DROPPED_FROM_RESPONSES = frozenset({b'date'})

_DOT_SEGMENTS = frozenset({'.', '..'})


def request_headers(headers: Headers, secret: bytes) -> Headers:
    """Return the headers for the target without those that contain a key."""
    dropped = (
        _HOP_BY_HOP | _DROPPED_FROM_REQUESTS | _connection_options(headers)
    )
    return [
        (name, value)
        for name, value in headers
        if name not in dropped
        and not _key_scan.contains_key(value, secret)
        and not _key_scan.contains_key(name, secret)
    ]


def response_headers(headers: Headers) -> Headers:
    """Return the headers for the caller."""
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = (
        _HOP_BY_HOP | _DROPPED_FROM_RESPONSES | _connection_options(lowered)
    )
    return [(name, value) for name, value in lowered if name not in dropped]


def request_target(raw_path: bytes, query: bytes, secret: bytes) -> bytes:
    """Return the path and the query for the target.

    Query parameters that contain a key are dropped. Raises BAD_REQUEST for a
    path that contains a key, or dot segments, which the target could resolve
    to the path of another route.
    """
    path = urllib.parse.unquote(raw_path.decode('latin-1'))
    if _DOT_SEGMENTS.intersection(path.split('/')):
        raise _admission.bad_request('the path contains . or .. segments')
    if _key_scan.contains_key(raw_path, secret):
        raise _admission.bad_request('the path contains a key')
    remaining = b'&'.join(
        parameter
        for parameter in query.split(b'&')
        if not _key_scan.contains_key(parameter, secret)
    )
    # A key may extend over two parameters, as in 'a=mlb_...&...'.
    if _key_scan.contains_key(remaining, secret):
        raise _admission.bad_request('the query contains a key')
    return raw_path + b'?' + remaining if remaining else raw_path


def check_content_encoding(headers: Headers) -> None:
    """Raise for a compressed body, in which no key could be found."""
    for name, value in headers:
        if name != b'content-encoding':
            continue
        if value.strip().lower() not in (b'', b'identity'):
            raise _admission.bad_request(
                'a body with a content-encoding is not forwarded'
            )


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the hop-by-hop headers that the Connection header lists."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b'connection'
        for option in value.split(b',')
    )
