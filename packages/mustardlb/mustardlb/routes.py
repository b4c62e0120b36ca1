"""Routes to plain services, and the targets that serve requests."""

from collections import abc
import enum
import typing
import urllib.parse

import msgspec

from mustardlb import documents

# Configuration objects are named 'route/<name>' and 'target/<name>'.
ROUTE_KIND = 'route'
TARGET_KIND = 'target'

# Paths that the node serves itself.
RESERVED_PATHS = ('/v1', '/healthz', '/readyz')

Method = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Z]{1,20}\Z', description='a method in upper case'
    ),
]
Prefix = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^/([A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*)?\Z',
        description="a path such as '/ledger', without a trailing slash",
    ),
]


class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Maps a path prefix to a group of plain services.

    :ivar prefix: '/ledger' covers '/ledger' and all paths below '/ledger/'
    :ivar group: group of the targets that serve the route
    :ivar open: whether callers need no API key
    :ivar booking_methods: methods whose calls are executed at most once
    :ivar idempotent_methods: methods that may be retried on another target
    :ivar timeout: seconds until the response must have begun
    """

    name: documents.Name
    prefix: Prefix
    group: documents.Name
    open: bool = False
    booking_methods: tuple[Method, ...] = ('POST', 'PATCH')
    idempotent_methods: tuple[Method, ...] = ('GET', 'HEAD', 'OPTIONS')
    timeout: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 60.0


class TargetKind(enum.StrEnum):
    """Kind of a target."""

    ENGINE = 'engine'
    SERVICE = 'service'


class TargetState(enum.StrEnum):
    """Whether a target receives new requests."""

    SERVE = 'serve'
    DRAIN = 'drain'


class Target(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A back end: a model engine or a replica of a plain service.

    :ivar url: base URL, without path
    :ivar group: group of interchangeable targets
    :ivar slots: number of adapter slots of an engine
    :ivar base_model: the base model of an engine
    :ivar checks_fencing: whether the engine rejects commands with a stale
        fencing token
    :ivar refuses_in_use: whether the engine rejects the eviction of an
        adapter that is serving a request
    :ivar state: a draining target receives no new requests
    """

    name: documents.Name
    kind: TargetKind
    url: str
    group: documents.Name
    data_centre: documents.Name
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    base_model: str = ''
    checks_fencing: bool = False
    refuses_in_use: bool = False
    state: TargetState = TargetState.SERVE


def covers(route: Route, path: str) -> bool:
    """Return whether a path belongs to a route.

    >>> route = Route(name='ledger', prefix='/ledger', group='ledger')
    >>> covers(route, '/ledger/7'), covers(route, '/ledgers')
    (True, False)
    """
    if route.prefix == '/':
        return True
    return path == route.prefix or path.startswith(route.prefix + '/')


def parse_route_toml(text: str, file: str) -> Route:
    """Parse a route file. Raises InvalidDocument with all violations."""
    return documents.parse_toml(text, Route, file, _check_route)


def parse_target_toml(text: str, file: str) -> Target:
    """Parse a target file. Raises InvalidDocument with all violations."""
    return documents.parse_toml(text, Target, file, _check_target)


def encode(item: Route | Target) -> bytes:
    """Serialize a route or target for its configuration object."""
    return msgspec.json.encode(item, order='sorted')


def decode_route(value: bytes, name: str = ROUTE_KIND) -> Route:
    """Deserialize 'route/<name>'. Raises InvalidDocument."""
    return documents.parse_json(value, Route, name, _check_route)


def decode_target(value: bytes, name: str = TARGET_KIND) -> Target:
    """Deserialize 'target/<name>'. Raises InvalidDocument."""
    return documents.parse_json(value, Target, name, _check_target)


def _check_route(route: Route) -> abc.Iterator[documents.Finding]:
    for path in RESERVED_PATHS:
        if route.prefix == path or route.prefix.startswith(path + '/'):
            yield 'prefix', route.prefix, f'{path} is reserved for the node'
    ambiguous = set(route.booking_methods) & set(route.idempotent_methods)
    for method in sorted(ambiguous):
        yield 'idempotent_methods', method, 'is also in booking_methods'


def _check_target(target: Target) -> abc.Iterator[documents.Finding]:
    problem = url_problem(target.url)
    if problem:
        yield 'url', target.url, problem
    if target.kind == TargetKind.SERVICE:
        return
    if not target.slots:
        yield 'slots', target.slots, 'must be at least 1 for an engine'
    if not target.base_model:
        yield 'base_model', target.base_model, 'is required for an engine'


def url_problem(url: str) -> str:
    """Return why a base URL is invalid, or '' if it is valid.

    >>> url_problem('http://10.0.0.4:8000'), url_problem('10.0.0.4')
    ('', 'must begin with http:// or https://')
    """
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as error:
        return str(error)
    if parts.scheme not in ('http', 'https'):
        return 'must begin with http:// or https://'
    if not parts.hostname or port == 0:
        return 'has no valid host and port'
    if parts.username is not None or parts.query or parts.fragment:
        return 'must not have a user, query or fragment'
    if parts.path not in ('', '/'):
        return 'must not have a path'
    if any(c.isspace() or not c.isprintable() for c in url):
        return 'contains a space or control character'
    return ''
