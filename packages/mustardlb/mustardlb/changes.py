"""Commits configuration changes, each by one conditional write of the head.

docs/design/0002-changes.md gives the reasons. Parts written for a change that
is not committed stay in the object API: no head refers to them, so they only
take up space.
"""

from collections import abc
import dataclasses
import random
import re
import secrets

import structlog
import trio

from mustardlb import configuration
from mustardlb import decoded_configuration
from mustardlb import differences
from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps
from mustardlb import stored_configuration

log = structlog.get_logger()

# The outcome of a write without a response can be resolved until this many
# later changes have been committed.
MAX_RECENT_CHANGES = 200

_parse_id = re.compile(r'r([0-9]{1,18})-[0-9a-f]{16}').fullmatch

# Errors that leave the outcome of an earlier write unknown.
_INCONCLUSIVE = (errors.Code.API_UNAVAILABLE, errors.Code.INVALID_OBJECT)

# The field `differences` shadows the module in the class body.
_Differences = tuple[differences.Difference, ...]

# Returns the new bytes of an object, None to delete it.
Transform = abc.Callable[[bytes | None], bytes | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """The part of a change that applies to one object.

    :ivar name: name of the configuration object
    :ivar transform: returns the new bytes for the stored ones; None stands
        for an object that does not exist
    :ivar based_on: configuration revision since which the object must not
        have changed; 0 if it must not exist; None if `transform` can be
        applied to any stored value
    """

    name: str
    transform: Transform
    based_on: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedChange:
    """A change that is stored.

    :ivar change: identifier of the change, '' if the stored objects already
        had the new values
    :ivar revision: revision of the head that contains the change
    """

    change: str
    revision: int


@dataclasses.dataclass
class Conflict(errors.Error):
    """An object was changed since the revision the change is based on.

    :ivar name: name of the object
    :ivar based_on: revision the change is based on, 0 for none
    :ivar revision: revision of the stored object, 0 if it does not exist
    :ivar differences: keys in which the stored and the new object differ
    """

    name: str = ''
    based_on: int = 0
    revision: int = 0
    differences: _Differences = ()


async def commit(
    api: object_api.ObjectApi,
    edits: abc.Sequence[Edit],
    before_write: abc.Callable[[str], None] = lambda change: None,
) -> CommittedChange:
    """Commit a change.

    Calls `before_write` with the change identifier before each write of the
    head. Retries until the object API responds, so callers set a timeout and
    pass the last identifier to resolve_outcome afterwards. Raises Conflict or
    Error; the change is then never committed, except for WRITE_UNKNOWN.
    """
    nonce = secrets.token_hex(8)
    while True:
        base = await stored_configuration.read_head(api)
        entries = await _changed_entries(api, base.head, edits)
        if entries == base.head.entries:
            return CommittedChange('', base.head.revision)
        change = f'r{base.head.revision + 1}-{nonce}'
        before_write(change)
        if await _write_head(api, base, change, entries):
            return CommittedChange(change, base.head.revision + 1)


async def resolve_outcome(
    api: object_api.ObjectApi, change: str
) -> CommittedChange | None:
    """Return a change if it was committed, None if it never will be.

    If the write may still be in flight, first writes a head with unchanged
    entries, so that the condition of the pending write fails. Raises Error
    with WRITE_UNKNOWN if the change is older than the recent changes of the
    head or the API rejects a call.
    """
    revision = revision_of(change)
    try:
        return await _resolve(api, change, revision)
    except errors.Error as error:
        if error.code not in _INCONCLUSIVE:
            raise
        raise _error(
            errors.Code.WRITE_UNKNOWN,
            f'the outcome of {change} is unknown: {error.message}',
        ) from error


async def _resolve(
    api: object_api.ObjectApi, change: str, revision: int
) -> CommittedChange | None:
    while True:
        base = await stored_configuration.read_head(api)
        if base.head.revision >= revision:
            return _find_recent(base.head, change, revision)
        if base.head.revision < revision - 1:
            raise _error(
                errors.Code.BAD_REQUEST,
                f'{change} is newer than revision {base.head.revision}',
            )
        await _fence(api, base)


def revision_of(change: str) -> int:
    """Return the revision in a change identifier.

    Raises Error with BAD_REQUEST if it is malformed.

    >>> revision_of('r7-0123456789abcdef')
    7
    """
    match = _parse_id(change)
    if match is None:
        raise _error(
            errors.Code.BAD_REQUEST,
            f'{change[:40]!r} is not a change identifier',
        )
    return int(match[1])


async def _changed_entries(
    api: object_api.ObjectApi,
    head: configuration.Head,
    edits: abc.Sequence[Edit],
) -> dict[str, configuration.Entry]:
    """Store the parts of the edited objects and return the new entries."""
    entries = dict(head.entries)
    for edit in edits:
        stored = await stored_configuration.read_object(api, head, edit.name)
        new = edit.transform(stored)
        if new == stored:
            continue
        _check_base(edit, head, stored, new)
        if new is None:
            del entries[edit.name]
            continue
        decoded_configuration.validate(edit.name, new)
        parts = configuration.split_parts(new)
        for digest, part in parts.items():
            await stored_configuration.write_part(api, digest, part)
        entries[edit.name] = configuration.Entry(
            head.revision + 1, tuple(parts)
        )
    return entries


def _check_base(
    edit: Edit,
    head: configuration.Head,
    stored: bytes | None,
    new: bytes | None,
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
    now = f'is at revision {revision}' if revision else 'does not exist'
    then = f'revision {edit.based_on}' if edit.based_on else 'its absence'
    raise Conflict(
        errors.Code.CONFLICT,
        f'{edit.name} {now}, the change is based on {then}',
        steps.Step.CONTRACT_CHANGE,
        name=edit.name,
        based_on=edit.based_on,
        revision=revision,
        differences=differences.compare(edit.name, stored, new),
    )


async def _write_head(
    api: object_api.ObjectApi,
    base: stored_configuration.VersionedHead,
    change: str,
    entries: dict[str, configuration.Entry],
) -> bool:
    """Write the next head; return whether it was committed.

    False means that another head was written first, so that this one can
    never be stored.
    """
    revision = base.head.revision + 1
    recent = (change, *base.head.recent)[:MAX_RECENT_CHANGES]
    head = configuration.Head(revision, change, entries, recent)
    value = configuration.encode_head(head)
    if len(value) > object_api.MAX_VALUE_BYTES:
        raise _error(
            errors.Code.INVALID_OBJECT,
            f'the configuration has {len(entries)} objects, too many for '
            f'one head of {object_api.MAX_VALUE_BYTES} bytes',
        )
    try:
        await api.put(configuration.HEAD_NAME, value, base.version)
    except object_api.VersionConflict:
        log.info('MLB-1002', change=change)
        return False
    except object_api.ApiRejected as error:
        raise stored_configuration.rejection_error(error) from error
    except object_api.ApiUnavailable as error:
        log.warning('MLB-1003', change=change, problem=str(error))
        return await resolve_outcome(api, change) is not None
    log.info('MLB-1001', change=change, version=base.version)
    return True


async def _fence(
    api: object_api.ObjectApi, base: stored_configuration.VersionedHead
) -> None:
    """Write a head that changes only the revision."""
    revision = base.head.revision + 1
    change = f'r{revision}-{secrets.token_hex(8)}'
    recent = (change, *base.head.recent)[:MAX_RECENT_CHANGES]
    head = configuration.Head(revision, change, base.head.entries, recent)
    value = configuration.encode_head(head)
    log.warning('MLB-1004', fence=change, version=base.version)
    try:
        await api.put(configuration.HEAD_NAME, value, base.version)
    except (object_api.VersionConflict, object_api.ApiUnavailable):
        # The caller reads the head again, which shows what was stored.
        await trio.sleep(
            stored_configuration.INITIAL_BACKOFF_SECONDS * random.random()
        )
    except object_api.ApiRejected as error:
        raise stored_configuration.rejection_error(error) from error


def _find_recent(
    head: configuration.Head, change: str, revision: int
) -> CommittedChange | None:
    """Return a change if it is among the recent ones of a head."""
    age = head.revision - revision
    if age >= len(head.recent):
        raise _error(
            errors.Code.WRITE_UNKNOWN,
            f'{change} is {age} changes old, older than the '
            f'{MAX_RECENT_CHANGES} recorded changes; show the object to see '
            f'whether it was committed',
        )
    if head.recent[age] == change:
        return CommittedChange(change, revision)
    return None


def _error(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(code, message, steps.Step.CONTRACT_CHANGE)
