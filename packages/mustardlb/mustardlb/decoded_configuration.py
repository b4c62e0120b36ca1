"""Decodes the configuration: contracts, keys, routes and targets."""

from collections import abc
import dataclasses
import types
from typing import Any

from mustardlb import configuration
from mustardlb import contracts
from mustardlb import documents
from mustardlb import keys
from mustardlb import routes

# The field `routes` shadows the module in the class body.
_Routes = tuple[routes.Route, ...]


def _empty() -> abc.Mapping[str, Any]:
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The immutable decoded form of one configuration snapshot.

    :ivar revision: revision of the snapshot
    :ivar routes: the routes, longest prefix first
    :ivar decoded: bytes and decoded form of each object, by name
    """

    revision: int = 0
    contracts_by_account: abc.Mapping[str, contracts.Contract] = (
        dataclasses.field(default_factory=_empty)
    )
    keys_by_id: abc.Mapping[str, keys.KeyRecord] = dataclasses.field(
        default_factory=_empty
    )
    targets_by_name: abc.Mapping[str, routes.Target] = dataclasses.field(
        default_factory=_empty
    )
    decoded: abc.Mapping[str, tuple[bytes, Any]] = dataclasses.field(
        default_factory=_empty, repr=False
    )
    routes: _Routes = ()


def build(
    snapshot: configuration.Snapshot, previous: Configuration | None = None
) -> Configuration:
    """Decode a snapshot, reusing unchanged objects of `previous`.

    Raises ValueError for an invalid object. Ignores objects of kinds that
    this release does not support.
    """
    cached = previous.decoded if previous else {}
    decoded: dict[str, tuple[bytes, Any]] = {}
    for name, value in snapshot.values.items():
        if name.partition('/')[0] not in _DECODERS:
            continue
        entry = cached.get(name)
        if entry is None or entry[0] != value:
            entry = (value, _decode(name, value))
        decoded[name] = entry
    return _index(snapshot.revision, decoded)


def validate(name: str, value: bytes) -> None:
    """Validate a configuration object. Raises ValueError."""
    _decode(name, value)


def route_for(decoded: Configuration, path: str) -> routes.Route | None:
    """Return the route with the longest prefix of a path, or None."""
    for route in decoded.routes:
        if routes.covers(route, path):
            return route
    return None


def _index(
    revision: int, decoded: dict[str, tuple[bytes, Any]]
) -> Configuration:
    by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in _DECODERS}
    for name, (_, item) in decoded.items():
        kind, _, rest = name.partition('/')
        by_kind[kind][rest] = item
    sorted_routes = sorted(
        by_kind[routes.ROUTE_KIND].values(),
        key=lambda route: (-len(route.prefix), route.prefix, route.name),
    )
    keys_by_id = {
        record.key_id: record
        for records in by_kind[keys.KIND].values()
        for record in records
    }
    return Configuration(
        revision,
        types.MappingProxyType(by_kind[contracts.KIND]),
        types.MappingProxyType(keys_by_id),
        types.MappingProxyType(by_kind[routes.TARGET_KIND]),
        types.MappingProxyType(decoded),
        tuple(sorted_routes),
    )


def _decode(name: str, value: bytes) -> Any:
    kind, _, rest = name.partition('/')
    if kind not in _DECODERS:
        raise documents.InvalidDocument(
            [documents.Violation(name, '', '', 'has an unsupported kind')]
        )
    item = _DECODERS[kind](value, name)
    for key, embedded in _embedded_names(item):
        if embedded != rest:
            raise documents.InvalidDocument(
                [
                    documents.Violation(
                        name, key, repr(embedded), f'must be {rest!r}'
                    )
                ]
            )
    return item


def _embedded_names(item: Any) -> abc.Iterator[tuple[str, str]]:
    """Yield key and value of each field that repeats the object name."""
    if isinstance(item, contracts.Contract):
        yield 'account', item.account
    elif isinstance(item, tuple):
        for record in item:
            yield 'account', record.account
    else:
        yield 'name', item.name


_DECODERS: dict[str, abc.Callable[[bytes, str], Any]] = {
    contracts.KIND: contracts.decode,
    keys.KIND: keys.decode,
    routes.ROUTE_KIND: routes.decode_route,
    routes.TARGET_KIND: routes.decode_target,
}
