"""Changes of the configuration: one conditional write of the head each.

docs/design/0002-changes.md has the reasons. Parts that no head names stay
behind when a change is lost; they cost space, never correctness.
"""

from collections import abc
import dataclasses
import random
import re
import secrets
from typing import TypeVar

import msgspec
import structlog
import trio

from mustardlb import configuration
from mustardlb import directory
from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps

log = structlog.get_logger()

# Changes that a head remembers; a lost answer is settled within so many.
RECENT_LIMIT = 200

# Pauses between tries of the object API, seconds.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0

_parse_id = re.compile(r'r([0-9]{1,18})-[0-9a-f]{16}').fullmatch

# A version that no object has: a write that expects it changes nothing.
NEVER = 2**53 - 1

# Errors that tell nothing about an earlier write.
_REFUSED = (errors.Code.API_UNAVAILABLE, errors.Code.INVALID_OBJECT)

T = TypeVar('T')

# Returns the new bytes of an object, None to withdraw it.
Make = abc.Callable[[bytes | None], bytes | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """What a change does to one object.

    :ivar name: the configuration object
    :ivar make: gives the new bytes from the stored ones, None for none
    :ivar based_on: a revision of the configuration since which the object
        must not have changed, 0 if there must be none; None where `make`
        suits whatever is stored
    """

    name: str
    make: Make
    based_on: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Landed:
    """A change that is stored.

    :ivar change: identifier of the change, '' if nothing had to change
    :ivar revision: revision of the head that holds it
    """

    change: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A key of an object on which two operators differ.

    :ivar stored: the stored value, shortened JSON, '' where there is none
    :ivar wanted: the value of the change that was refused
    """

    name: str
    key: str
    stored: str
    wanted: str


@dataclasses.dataclass
class Conflict(errors.Error):
    """An object was changed since the revision the change is based on.

    :ivar name: the object
    :ivar based_on: revision the change is based on, 0 for none
    :ivar revision: revision of the stored object, 0 where there is none
    """

    name: str = ''
    based_on: int = 0
    revision: int = 0
    differences: tuple[Difference, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The head as it was at some moment during the read."""

    version: int
    head: configuration.Head


async def commit(
    api: object_api.ObjectApi,
    edits: abc.Sequence[Edit],
    announce: abc.Callable[[str], None] = lambda change: None,
) -> Landed:
    """Make a change and return once its fate is known.

    `announce` is told the identifier before each write of the head. Goes
    on until the object API answers: bound it with a timeout, and settle
    the last identifier later. Raises Conflict, or Error where the API
    refuses; then the change has not landed and never will.
    """
    mark = secrets.token_hex(8)
    while True:
        base = await read_base(api)
        entries = await _changed_entries(api, base.head, edits)
        if entries == base.head.entries:
            return Landed('', base.head.revision)
        change = f'r{base.head.revision + 1}-{mark}'
        announce(change)
        if await _write_head(api, base, change, entries):
            return Landed(change, base.head.revision + 1)


async def settle(api: object_api.ObjectApi, change: str) -> Landed | None:
    """Find out whether a change landed; None: it did not and never will.

    Where the write may still be on its way, a head write without effect
    goes before it, so that its condition can no longer hold. Raises Error
    with WRITE_UNKNOWN if it is too old to tell, or the API refuses.
    """
    revision = revision_of(change)
    try:
        return await _settle(api, change, revision)
    except errors.Error as error:
        if error.code not in _REFUSED:
            raise
        raise _error(
            errors.Code.WRITE_UNKNOWN,
            f'whether {change} landed is not known: {error.message}',
        ) from error


async def _settle(
    api: object_api.ObjectApi, change: str, revision: int
) -> Landed | None:
    while True:
        base = await read_base(api)
        if base.head.revision >= revision:
            return _find(base.head, change, revision)
        if base.head.revision < revision - 1:
            raise _error(
                errors.Code.BAD_REQUEST,
                f'{change} is of a later revision than {base.head.revision}',
            )
        await _fence(api, base)


async def read_base(api: object_api.ObjectApi) -> Base:
    """Read the head, no older than the begin of this call.

    A read may lag, a refused write never does: it names the version that
    the read must reach.
    """
    version = await _persist(lambda: _put(api, configuration.HEAD, b'', NEVER))
    if version == object_api.ABSENT:
        return Base(version, configuration.Head())
    for pause in _pauses():
        found = await _persist(lambda: api.get(configuration.HEAD))
        if found.version >= version:
            return Base(found.version, _decode_head(found.value))
        await trio.sleep(pause)
    raise AssertionError('unreachable')


async def read_object(
    api: object_api.ObjectApi, head: configuration.Head, name: str
) -> bytes | None:
    """Read the bytes of an object that a head names, None if it does not."""
    entry = head.entries.get(name)
    if entry is None:
        return None
    parts = [await _read_part(api, digest) for digest in entry.parts]
    return b''.join(parts)


def revision_of(change: str) -> int:
    """Return the revision in a change's identifier.

    >>> revision_of('r7-0123456789abcdef')
    7
    """
    match = _parse_id(change)
    if match is None:
        raise _error(
            errors.Code.BAD_REQUEST,
            f'{change[:40]!r} is no change identifier',
        )
    return int(match[1])


def compare(
    name: str, stored: bytes | None, wanted: bytes | None
) -> tuple[Difference, ...]:
    """List the keys in which two versions of an object differ."""
    old, new = _top_level(stored), _top_level(wanted)
    return tuple(
        Difference(name, key, _shorten(old, key), _shorten(new, key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key, msgspec.UNSET) != new.get(key, msgspec.UNSET)
    )


async def _changed_entries(
    api: object_api.ObjectApi,
    head: configuration.Head,
    edits: abc.Sequence[Edit],
) -> dict[str, configuration.Entry]:
    """Store the parts of an edited head and return its entries."""
    entries = dict(head.entries)
    for edit in edits:
        stored = await read_object(api, head, edit.name)
        wanted = edit.make(stored)
        if wanted == stored:
            continue
        _check_base(edit, head, stored, wanted)
        if wanted is None:
            del entries[edit.name]
            continue
        directory.validate(edit.name, wanted)
        parts = configuration.split_parts(wanted)
        for digest, part in parts.items():
            await _write_part(api, digest, part)
        entries[edit.name] = configuration.Entry(
            head.revision + 1, tuple(parts)
        )
    return entries


def _check_base(
    edit: Edit,
    head: configuration.Head,
    stored: bytes | None,
    wanted: bytes | None,
) -> None:
    entry = head.entries.get(edit.name)
    revision = entry.revision if entry else 0
    if edit.based_on is None or edit.based_on == revision:
        return
    if edit.based_on > head.revision:
        raise _error(
            errors.Code.BAD_REQUEST,
            f'{edit.name} cannot be based on revision {edit.based_on}, the '
            f'newest is {head.revision}',
        )
    if 0 < revision < edit.based_on:
        return
    now = f'is at revision {revision}' if revision else 'is not there'
    then = f'revision {edit.based_on}' if edit.based_on else 'its absence'
    raise Conflict(
        errors.Code.CONFLICT,
        f'{edit.name} {now}, the change is based on {then}',
        steps.Step.CONTRACT_CHANGE,
        name=edit.name,
        based_on=edit.based_on,
        revision=revision,
        differences=compare(edit.name, stored, wanted),
    )


async def _write_head(
    api: object_api.ObjectApi,
    base: Base,
    change: str,
    entries: dict[str, configuration.Entry],
) -> bool:
    """Write the next head; return whether it is stored, once that is sure.

    False: it is not and never will be, since another head is.
    """
    revision = base.head.revision + 1
    recent = (change, *base.head.recent)[:RECENT_LIMIT]
    head = configuration.Head(revision, change, entries, recent)
    value = configuration.encode_head(head)
    if len(value) > object_api.VALUE_LIMIT:
        raise _error(
            errors.Code.INVALID_OBJECT,
            f'the configuration has {len(entries)} objects, too many for '
            f'one head of {object_api.VALUE_LIMIT} bytes',
        )
    try:
        await api.put(configuration.HEAD, value, base.version)
    except object_api.VersionConflict:
        log.info('MLB-1002', change=change)
        return False
    except object_api.ApiRejected as error:
        raise _rejected(error) from error
    except object_api.ApiUnavailable as error:
        log.warning('MLB-1003', change=change, problem=str(error))
        return await settle(api, change) is not None
    log.info('MLB-1001', change=change, version=base.version)
    return True


async def _fence(api: object_api.ObjectApi, base: Base) -> None:
    """Write a head that changes nothing but the revision."""
    revision = base.head.revision + 1
    change = f'r{revision}-{secrets.token_hex(8)}'
    recent = (change, *base.head.recent)[:RECENT_LIMIT]
    head = configuration.Head(revision, change, base.head.entries, recent)
    value = configuration.encode_head(head)
    log.warning('MLB-1004', fence=change, version=base.version)
    try:
        await api.put(configuration.HEAD, value, base.version)
    except (object_api.VersionConflict, object_api.ApiUnavailable):
        # The next read of the head tells which write came first.
        await trio.sleep(FIRST_PAUSE * random.random())
    except object_api.ApiRejected as error:
        raise _rejected(error) from error


def _find(
    head: configuration.Head, change: str, revision: int
) -> Landed | None:
    """Look for a change among those that a head remembers."""
    place = head.revision - revision
    if place >= len(head.recent):
        raise _error(
            errors.Code.WRITE_UNKNOWN,
            f'{change} is {place} changes old, past the {RECENT_LIMIT} that '
            f'are remembered; show the object to see whether it landed',
        )
    if head.recent[place] == change:
        return Landed(change, revision)
    return None


async def _put(
    api: object_api.ObjectApi, name: str, value: bytes, expected: int
) -> int:
    """Write if the version is `expected`; return the version there is."""
    try:
        return await api.put(name, value, expected)
    except object_api.VersionConflict as conflict:
        return conflict.current


async def _write_part(
    api: object_api.ObjectApi, digest: str, part: bytes
) -> None:
    """Create a part; one that is there already has the same bytes."""
    name = configuration.PART_PREFIX + digest
    await _persist(lambda: _put(api, name, part, object_api.ABSENT))


async def _read_part(api: object_api.ObjectApi, digest: str) -> bytes:
    name = configuration.PART_PREFIX + digest
    for pause in _pauses():
        found = await _persist(lambda: api.get(name))
        if list(configuration.split_parts(found.value)) == [digest]:
            return found.value
        await trio.sleep(pause)
    raise AssertionError('unreachable')


async def _persist(call: abc.Callable[[], abc.Awaitable[T]]) -> T:
    """Repeat an idempotent call until the object API answers."""
    for pause in _pauses():
        try:
            return await call()
        except object_api.ApiRejected as error:
            raise _rejected(error) from error
        except object_api.ApiUnavailable as error:
            log.warning('MLB-1005', problem=str(error), pause=pause)
            await trio.sleep(pause)
    raise AssertionError('unreachable')


def _pauses() -> abc.Iterator[float]:
    """Yield growing pauses with jitter, without end, seconds."""
    longest = FIRST_PAUSE
    while True:
        yield longest * (0.5 + random.random() / 2)
        longest = min(2 * longest, LONGEST_PAUSE)


def _decode_head(value: bytes) -> configuration.Head:
    try:
        return configuration.decode_head(value)
    except ValueError as error:
        raise _error(
            errors.Code.INVALID_OBJECT,
            f'{configuration.HEAD} cannot be read: {error}',
        ) from error


def _top_level(value: bytes | None) -> dict[str, object]:
    if value is None:
        return {}
    try:
        raw = msgspec.json.decode(value)
    except msgspec.MsgspecError:
        return {'': value.hex()}
    return raw if isinstance(raw, dict) else {'': raw}


def _shorten(values: dict[str, object], key: str) -> str:
    if key not in values:
        return ''
    text = msgspec.json.encode(values[key]).decode()
    return text if len(text) <= 200 else text[:200] + '...'


def _rejected(error: object_api.ApiRejected) -> errors.Error:
    return _error(
        errors.Code.API_UNAVAILABLE,
        f'the object API refused the call: {error}',
    )


def _error(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(code, message, steps.Step.CONTRACT_CHANGE)
