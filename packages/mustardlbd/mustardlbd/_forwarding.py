"""What of a request to a plain service, and of its answer, is passed on."""

from collections import abc
import urllib.parse

from mustardlbd import _admission
from mustardlbd import _key_scan

Headers = abc.Sequence[tuple[bytes, bytes]]

# Headers of one connection only (RFC 9110, 7.6.1), and those that the node
# sets itself.
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
_REQUEST_ONLY = frozenset(_admission.KEY_HEADERS)
_RESPONSE_ONLY = frozenset({b'date'})

_DOTS = frozenset({'.', '..'})


def request_headers(headers: Headers, secret: bytes) -> Headers:
    """Return the headers for the target, without any that hold a key."""
    dropped = _HOP_BY_HOP | _REQUEST_ONLY | _connection_options(headers)
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
    dropped = _HOP_BY_HOP | _RESPONSE_ONLY | _connection_options(lowered)
    return [(name, value) for name, value in lowered if name not in dropped]


def request_target(raw_path: bytes, query: bytes, secret: bytes) -> bytes:
    """Return path and query for the target.

    Query parameters that hold a key are dropped. Raises BAD_REQUEST for a
    path that holds one, or that has dot segments, which the target could
    read as another route's path.
    """
    path = urllib.parse.unquote(raw_path.decode('latin-1'))
    if _DOTS.intersection(path.split('/')):
        raise _admission.bad_request('the path has . or .. segments')
    if _key_scan.contains_key(raw_path, secret):
        raise _admission.bad_request('the path contains a key')
    kept = b'&'.join(
        parameter
        for parameter in query.split(b'&')
        if not _key_scan.contains_key(parameter, secret)
    )
    # Two parameters may hold a key between them, as in 'a=mlb_...&...'.
    if _key_scan.contains_key(kept, secret):
        raise _admission.bad_request('the query contains a key')
    return raw_path + b'?' + kept if kept else raw_path


def check_coding(headers: Headers) -> None:
    """Refuse a compressed body: a key in it could not be found."""
    for name, value in headers:
        if name != b'content-encoding':
            continue
        if value.strip().lower() not in (b'', b'identity'):
            raise _admission.bad_request(
                'a body with a content-encoding is not passed on'
            )


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the headers that Connection names as of one hop."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b'connection'
        for option in value.split(b',')
    )
