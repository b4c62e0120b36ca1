"""What contracts, routes and targets have in common."""

from collections import abc
import dataclasses
from typing import Any

import msgspec
import tomli_w
import trio

from mustardlb import changes
from mustardlb import configuration
from mustardlb import contracts
from mustardlb import documents
from mustardlb import errors
from mustardlb import routes
from mustardlb import stored_configuration
from mustardlb_cli import _changing
from mustardlb_cli import _exit
from mustardlb_cli import _output
from mustardlb_cli import _site

# Objects read at one time.
CONCURRENT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of configuration object.

    :ivar name: the kind, first part of the objects' names
    :ivar identity: the field that is the rest of the object's name
    """

    name: str
    identity: str
    parse_toml: abc.Callable[[str, str], Any]
    encode: abc.Callable[[Any], bytes]
    decode: abc.Callable[[bytes, str], Any]

    def object_name(self, item: Any) -> str:
        """Return the name of the object that holds an item."""
        return f'{self.name}/{getattr(item, self.identity)}'


CONTRACT = Kind(
    contracts.KIND,
    'account',
    contracts.parse_toml,
    contracts.encode,
    contracts.decode,
)
ROUTE = Kind(
    routes.ROUTE_KIND,
    'name',
    routes.parse_route_toml,
    routes.encode,
    routes.decode_route,
)
TARGET = Kind(
    routes.TARGET_KIND,
    'name',
    routes.parse_target_toml,
    routes.encode,
    routes.decode_target,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A stored object.

    :ivar revision: revision of the change that wrote it last
    """

    name: str
    revision: int
    value: bytes


def read_files(kind: Kind, files: abc.Sequence[str]) -> dict[str, Any]:
    """Read files, by object name. Raises InvalidDocument for all of them."""
    if not files:
        raise _exit.CommandError(_exit.ExitCode.USAGE, 'name a file')
    items_by_name: dict[str, Any] = {}
    faults: list[documents.Violation] = []
    for file in files:
        try:
            item = kind.parse_toml(_site.read_file(file), file)
        except documents.InvalidDocument as error:
            faults += error.violations
            continue
        name = kind.object_name(item)
        if name in items_by_name:
            shown = documents.shorten(getattr(item, kind.identity))
            faults.append(
                documents.Violation(
                    file, kind.identity, shown, 'is in another file too'
                )
            )
        items_by_name[name] = item
    if faults:
        raise documents.InvalidDocument(faults)
    return items_by_name


async def apply(
    open_site: _site.Open,
    kind: Kind,
    files: abc.Sequence[str],
    based_on: int | None,
    wait: float | None,
) -> _output.Result:
    """Store what files say, in one change.

    Without `based_on` only new objects are written, and those that are
    stored just so already.
    """
    items_by_name = read_files(kind, files)
    edits = [
        changes.Edit(name, _constant(kind.encode(item)), based_on or 0)
        for name, item in items_by_name.items()
    ]
    async with open_site() as site:
        return await _changing.commit(site, edits, wait)


async def withdraw(
    open_site: _site.Open,
    name: str,
    based_on: int | None,
    wait: float | None,
) -> _output.Result:
    """Remove an object, whatever it holds unless `based_on` is given."""

    def make(stored: bytes | None) -> None:
        if stored is None:
            raise not_found(name)

    edit = changes.Edit(name, make, based_on)
    async with open_site() as site:
        return await _changing.commit(site, [edit], wait)


async def read_all(
    site: _site.Site, prefix: str
) -> tuple[int, dict[str, Stored]]:
    """Return the head's revision, and the objects with a name prefix."""
    found: dict[str, Stored] = {}
    failures: list[errors.Error] = []
    limiter = trio.CapacityLimiter(CONCURRENT)

    async def read(head: configuration.Head, name: str) -> None:
        async with limiter:
            try:
                value = await stored_configuration.read_object(
                    site.api, head, name
                )
            except errors.Error as error:
                failures.append(error)
                return
        assert value is not None
        found[name] = Stored(name, head.entries[name].revision, value)

    async def read_matching() -> int:
        base = await stored_configuration.read_head(site.api)
        async with trio.open_nursery() as nursery:
            for name in base.head.entries:
                if name.startswith(prefix):
                    nursery.start_soon(read, base.head, name)
        return base.head.revision

    revision = await _changing.bounded(site, read_matching)
    if failures:
        raise failures[0]
    return revision, dict(sorted(found.items()))


async def list_items(
    open_site: _site.Open,
    kind: Kind,
    row: abc.Callable[[Any], dict[str, object]],
) -> _output.Result:
    """Return a row for each stored object of a kind."""
    async with open_site() as site:
        revision, found = await read_all(site, f'{kind.name}/')
    rows = [
        {
            **row(kind.decode(stored.value, name)),
            'revision': stored.revision,
        }
        for name, stored in found.items()
    ]
    return {'revision': revision, f'{kind.name}s': rows}


async def export(open_site: _site.Open, kind: Kind, name: str) -> str:
    """Return one stored object as a TOML file."""
    shown = await show(open_site, kind, name)
    revision = shown['revision']
    document = tomli_w.dumps(shown[kind.name], multiline_strings=False)
    return f'# {name}; apply with --based-on={revision}\n{document}'


async def show(open_site: _site.Open, kind: Kind, name: str) -> dict[str, Any]:
    """Return one stored object, whole."""
    async with open_site() as site:
        revision, found = await read_all(site, name)
    if name not in found:
        raise not_found(name)
    item = kind.decode(found[name].value, name)
    return {
        'revision': revision,
        'changed_at_revision': found[name].revision,
        kind.name: msgspec.to_builtins(item),
    }


def not_found(name: str) -> _exit.CommandError:
    """Return the error for an object that is not stored."""
    return _exit.CommandError(
        _exit.ExitCode.NOT_FOUND, f'{name}: there is none'
    )


def _constant(value: bytes) -> changes.Transform:
    return lambda stored: value
