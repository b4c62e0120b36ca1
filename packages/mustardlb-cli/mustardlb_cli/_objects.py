"""Operations on stored contracts, routes and targets."""

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
from mustardlb_cli import _commits
from mustardlb_cli import _exit
from mustardlb_cli import _output
from mustardlb_cli import _site

MAX_CONCURRENT_READS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of configuration object.

    :ivar name: the kind, which is the first part of the objects' names
    :ivar identity: field whose value is the rest of the object's name
    """

    name: str
    identity: str
    parse_toml: abc.Callable[[str, str], Any]
    encode: abc.Callable[[Any], bytes]
    decode: abc.Callable[[bytes, str], Any]

    def object_name(self, item: Any) -> str:
        """Return the name under which an item is stored."""
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

    :ivar revision: revision of the last change that wrote it
    """

    name: str
    revision: int
    value: bytes


def read_files(kind: Kind, files: abc.Sequence[str]) -> dict[str, Any]:
    """Return the items of files, by object name.

    Raises InvalidDocument with the violations in all files.
    """
    if not files:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE, 'at least one file is required'
        )
    items_by_name: dict[str, Any] = {}
    violations: list[documents.Violation] = []
    for file in files:
        try:
            item = kind.parse_toml(_site.read_file(file), file)
        except documents.InvalidDocument as error:
            violations += error.violations
            continue
        name = kind.object_name(item)
        if name in items_by_name:
            shown = documents.shorten(getattr(item, kind.identity))
            violations.append(
                documents.Violation(
                    file, kind.identity, shown, 'is also in another file'
                )
            )
        items_by_name[name] = item
    if violations:
        raise documents.InvalidDocument(violations)
    return items_by_name


async def apply(
    open_site: _site.Open,
    kind: Kind,
    files: abc.Sequence[str],
    based_on: int | None,
    wait: float | None,
) -> _output.Result:
    """Store the items of files in one change.

    Without `based_on`, the change conflicts with any object that is already
    stored with different contents.
    """
    items_by_name = read_files(kind, files)
    edits = [
        changes.Edit(name, _write_constant(kind.encode(item)), based_on or 0)
        for name, item in items_by_name.items()
    ]
    async with open_site() as site:
        return await _commits.commit(site, edits, wait)


async def withdraw(
    open_site: _site.Open,
    name: str,
    based_on: int | None,
    wait: float | None,
) -> _output.Result:
    """Remove an object, only if unchanged since `based_on` where given."""

    def make(stored: bytes | None) -> None:
        if stored is None:
            raise not_found(name)

    edit = changes.Edit(name, make, based_on)
    async with open_site() as site:
        return await _commits.commit(site, [edit], wait)


async def read_all(
    site: _site.Site, prefix: str
) -> tuple[int, dict[str, Stored]]:
    """Return the revision of the head and the objects with a name prefix."""
    found: dict[str, Stored] = {}
    failures: list[errors.Error] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_READS)

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

    revision = await _commits.read_with_timeout(site, read_matching)
    if failures:
        raise failures[0]
    return revision, dict(sorted(found.items()))


async def list_items(
    open_site: _site.Open,
    kind: Kind,
    row: abc.Callable[[Any], dict[str, object]],
) -> _output.Result:
    """Return the stored objects of a kind as rows of a table."""
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
    """Return a stored object as the text of a TOML file."""
    shown = await show(open_site, kind, name)
    revision = shown['revision']
    document = tomli_w.dumps(shown[kind.name], multiline_strings=False)
    return f'# {name}; apply with --based-on={revision}\n{document}'


async def show(open_site: _site.Open, kind: Kind, name: str) -> dict[str, Any]:
    """Return a stored object and its revision."""
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
    return _exit.CommandError(_exit.ExitCode.NOT_FOUND, f'{name}: not found')


def _write_constant(value: bytes) -> changes.Transform:
    return lambda stored: value
