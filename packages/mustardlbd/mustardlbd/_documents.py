"""The tracked objects that this node holds, adopted only forwards."""

from collections import abc
import dataclasses
import hashlib
import types

import structlog
import trio

from mustardlb import configuration
from mustardlbd import _notifier

log = structlog.get_logger()

# Name of the table of owners.
OWNERS = 'fleet/owners'

# The tracked objects, in the order in which messages list their versions.
TRACKED = (configuration.HEAD_NAME, OWNERS)
HEAD_INDEX = TRACKED.index(configuration.HEAD_NAME)
OWNERS_INDEX = TRACKED.index(OWNERS)

# Checks the bytes of an object; raises ValueError.
Validate = abc.Callable[[str, bytes], None]

# Gives the bytes of a part, or None where it certainly does not exist;
# raises FetchError.
FetchPart = abc.Callable[[str], abc.Awaitable[bytes | None]]


class FetchError(Exception):
    """Bytes that are needed could not be had from anyone for now."""


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedObject:
    """One tracked object as held; `value` may be invalid."""

    version: int = 0
    value: bytes = b''


@dataclasses.dataclass(slots=True)
class _InForce:
    """The configuration in force, while the next one is put together."""

    entries: dict[str, configuration.Entry]
    values: dict[str, bytes]
    parts: dict[str, bytes]
    invalid: list[configuration.InvalidObject]


class Documents:
    """The newest version of each tracked object, and what is in force."""

    def __init__(
        self,
        validate: Validate,
        validate_owners: abc.Callable[[bytes], None],
        news: _notifier.Notifier,
    ) -> None:
        self._news = news
        self._validate = validate
        self._validate_owners = validate_owners
        self._tracked = [TrackedObject() for _ in TRACKED]
        self._locks = [trio.Lock() for _ in TRACKED]
        self._head = configuration.Head()
        self._in_force = _InForce({}, {}, {}, [])
        self._owners = TrackedObject()
        self._snapshot = configuration.Snapshot()

    def versions(self) -> tuple[int, ...]:
        """Return the version held of each tracked object."""
        return tuple(one.version for one in self._tracked)

    def tracked(self, index: int) -> TrackedObject:
        """One tracked object as held."""
        return self._tracked[index]

    def snapshot(self) -> configuration.Snapshot:
        """Return the configuration in force."""
        return self._snapshot

    def owners(self) -> TrackedObject:
        """Return the last good table of owners."""
        return self._owners

    def part(self, digest: str) -> bytes | None:
        """Return a part of an object in force."""
        return self._in_force.parts.get(digest)

    def kept(self) -> dict[str, configuration.Entry]:
        """Return the last good entries of objects that are invalid."""
        entries = self._in_force.entries
        return {
            one.name: entries[one.name]
            for one in self._in_force.invalid
            if one.name in entries
        }

    def lacks_last_good(self) -> bool:
        """Whether an invalid object has no good value in force here."""
        return len(self.kept()) < len(self._in_force.invalid)

    async def restore(
        self, kept: dict[str, configuration.Entry], fetch_part: FetchPart
    ) -> None:
        """Take over last good values that only others have held.

        Raises FetchError.
        """
        async with self._locks[HEAD_INDEX]:
            lacking = {one.name for one in self._in_force.invalid}
            lacking -= self._in_force.entries.keys()
            for name in sorted(lacking & kept.keys()):
                await self._restore(name, kept[name], fetch_part)
        self._news.notify()

    async def _restore(
        self, name: str, entry: configuration.Entry, fetch_part: FetchPart
    ) -> None:
        head = configuration.Head(entries={name: entry})
        parts_by_hash = await self._fetch_parts(head, fetch_part)
        try:
            value = self._check(name, entry, parts_by_hash)
        except ValueError as error:
            log.error('MLB-2021', object=name, problem=str(error))
            return
        before = self._in_force
        parts = {digest: part or b'' for digest, part in parts_by_hash.items()}
        self._in_force = _InForce(
            before.entries | {name: entry},
            before.values | {name: value},
            before.parts | parts,
            before.invalid,
        )
        self._snapshot = dataclasses.replace(
            self._snapshot,
            values=types.MappingProxyType(self._in_force.values),
        )

    async def adopt(
        self, index: int, found: TrackedObject, fetch_part: FetchPart
    ) -> None:
        """Take a version into force if it is newer than the one held.

        Raises FetchError; then nothing has changed.
        """
        async with self._locks[index]:
            if found.version <= self._tracked[index].version:
                return
            if index == HEAD_INDEX:
                await self._adopt_head(found, fetch_part)
            else:
                self._adopt_owners(found)
            self._tracked[index] = found
        log.info('MLB-2020', object=TRACKED[index], version=found.version)
        self._news.notify()

    def _adopt_owners(self, found: TrackedObject) -> None:
        try:
            self._validate_owners(found.value)
        except ValueError as error:
            log.error('MLB-2021', object=OWNERS, problem=str(error))
            return
        self._owners = found

    async def _adopt_head(
        self, found: TrackedObject, fetch_part: FetchPart
    ) -> None:
        try:
            head = configuration.decode_head(found.value)
            if head.revision <= self._head.revision:
                raise ValueError(
                    f'revision {head.revision} after {self._head.revision}'
                )
        except ValueError as error:
            self._refuse_head(str(error))
            return
        # Every part is fetched before anything in force changes.
        parts_by_hash = await self._fetch_parts(head, fetch_part)
        built = self._build(head, parts_by_hash)
        self._head = head
        self._in_force = built
        self._snapshot = configuration.Snapshot(
            head.revision,
            types.MappingProxyType(built.values),
            tuple(built.invalid),
        )

    def _refuse_head(self, problem: str) -> None:
        log.error('MLB-2021', object=configuration.HEAD_NAME, problem=problem)
        invalid = configuration.InvalidObject(
            configuration.HEAD_NAME, self._head.revision, problem
        )
        others = [
            one
            for one in self._snapshot.invalid
            if one.name != configuration.HEAD_NAME
        ]
        self._snapshot = dataclasses.replace(
            self._snapshot, invalid=(*others, invalid)
        )

    async def _fetch_parts(
        self, head: configuration.Head, fetch_part: FetchPart
    ) -> dict[str, bytes | None]:
        parts_by_hash: dict[str, bytes | None] = {}
        for entry in head.entries.values():
            for digest in entry.parts:
                if digest in parts_by_hash:
                    continue
                part = self.part(digest)
                if part is None:
                    part = await fetch_part(digest)
                parts_by_hash[digest] = part
        return parts_by_hash

    def _build(
        self,
        head: configuration.Head,
        parts_by_hash: dict[str, bytes | None],
    ) -> _InForce:
        built = _InForce({}, {}, {}, [])
        for name, entry in sorted(head.entries.items()):
            try:
                value = self._check(name, entry, parts_by_hash)
            except ValueError as error:
                self._keep_last_good(built, name, entry, str(error))
                continue
            built.entries[name] = entry
            built.values[name] = value
        for entry in built.entries.values():
            for digest in entry.parts:
                part = parts_by_hash.get(digest) or self.part(digest)
                built.parts[digest] = part or b''
        return built

    def _check(
        self,
        name: str,
        entry: configuration.Entry,
        parts_by_hash: dict[str, bytes | None],
    ) -> bytes:
        before = self._in_force.entries.get(name)
        if before is not None and before.parts == entry.parts:
            return self._in_force.values[name]
        found = [parts_by_hash[digest] for digest in entry.parts]
        parts = [part for part in found if part is not None]
        if not parts or len(parts) < len(found):
            raise ValueError('a part of it does not exist')
        value = parts[0] if len(parts) == 1 else b''.join(parts)
        try:
            self._validate(name, value)
        except ValueError:
            raise
        except Exception as error:  # a bad object must not end every node
            raise ValueError(repr(error)) from error
        return value

    def _keep_last_good(
        self,
        built: _InForce,
        name: str,
        entry: configuration.Entry,
        problem: str,
    ) -> None:
        log.error('MLB-2021', object=name, problem=problem)
        built.invalid.append(
            configuration.InvalidObject(name, entry.revision, problem)
        )
        before = self._in_force.entries.get(name)
        if before is None:
            return
        built.entries[name] = before
        built.values[name] = self._in_force.values[name]


def matches_hash(digest: str, part: bytes) -> bool:
    """Whether bytes are the part of that hash."""
    return hashlib.sha256(part).hexdigest() == digest


def part_object_name(digest: str) -> str:
    """Return the name of a part in the object API."""
    return f'{configuration.PART_PREFIX}{digest}'
