"""The tracked objects that this node holds; versions never go back."""

from collections import abc
import dataclasses
import hashlib
import types

import structlog
import trio

from mustardlb import configuration
from mustardlbd import _notifier

log = structlog.get_logger()

# Name of the stored owner table.
OWNERS = 'fleet/owners'

# The tracked objects, in the order in which messages list their versions.
TRACKED = (configuration.HEAD_NAME, OWNERS)
HEAD_INDEX = TRACKED.index(configuration.HEAD_NAME)
OWNERS_INDEX = TRACKED.index(OWNERS)

# Validates the bytes of an object; raises ValueError.
Validate = abc.Callable[[str, bytes], None]

# Returns the bytes of a part, or None if the part is known not to exist.
# Raises FetchError.
FetchPart = abc.Callable[[str], abc.Awaitable[bytes | None]]


class FetchError(Exception):
    """An object or part could not be fetched from any source."""


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedObject:
    """A held version of a tracked object; `value` may be invalid."""

    version: int = 0
    value: bytes = b''


@dataclasses.dataclass(slots=True)
class _ActiveConfig:
    """The active configuration, or the next one while it is built.

    :ivar entries: head entries of the active values, by name
    :ivar values: active values, by name
    :ivar parts: parts of the active values, by hash
    :ivar invalid: objects whose newest value is invalid
    """

    entries: dict[str, configuration.Entry]
    values: dict[str, bytes]
    parts: dict[str, bytes]
    invalid: list[configuration.InvalidObject]


class Documents:
    """The newest version of each tracked object, and the active values."""

    def __init__(
        self,
        validate: Validate,
        validate_owners: abc.Callable[[bytes], None],
        changed: _notifier.Notifier,
    ) -> None:
        self._changed = changed
        self._validate = validate
        self._validate_owners = validate_owners
        self._tracked = [TrackedObject() for _ in TRACKED]
        self._locks = [trio.Lock() for _ in TRACKED]
        self._head = configuration.Head()
        self._active = _ActiveConfig({}, {}, {}, [])
        self._owners = TrackedObject()
        self._snapshot = configuration.Snapshot()

    def versions(self) -> tuple[int, ...]:
        """Return the held version of each tracked object."""
        return tuple(one.version for one in self._tracked)

    def tracked(self, index: int) -> TrackedObject:
        """Return a tracked object as held."""
        return self._tracked[index]

    def snapshot(self) -> configuration.Snapshot:
        """Return the active configuration."""
        return self._snapshot

    def owners(self) -> TrackedObject:
        """Return the last valid owner table."""
        return self._owners

    def part(self, digest: str) -> bytes | None:
        """Return a part of an active object, or None."""
        return self._active.parts.get(digest)

    def last_good_entries(self) -> dict[str, configuration.Entry]:
        """Return the last good entries of invalid objects, by name."""
        entries = self._active.entries
        return {
            one.name: entries[one.name]
            for one in self._active.invalid
            if one.name in entries
        }

    def lacks_last_good(self) -> bool:
        """Return whether an invalid object has no last good value here."""
        return len(self.last_good_entries()) < len(self._active.invalid)

    async def restore_last_good(
        self, entries: dict[str, configuration.Entry], fetch_part: FetchPart
    ) -> None:
        """Restore missing last good values from entries of another node.

        Raises FetchError.
        """
        async with self._locks[HEAD_INDEX]:
            missing = {one.name for one in self._active.invalid}
            missing -= self._active.entries.keys()
            for name in sorted(missing & entries.keys()):
                await self._restore(name, entries[name], fetch_part)
        self._changed.notify()

    async def _restore(
        self, name: str, entry: configuration.Entry, fetch_part: FetchPart
    ) -> None:
        head = configuration.Head(entries={name: entry})
        parts_by_hash = await self._fetch_parts(head, fetch_part)
        try:
            value = self._validated_value(name, entry, parts_by_hash)
        except ValueError as error:
            log.error('MLB-2021', object=name, problem=str(error))
            return
        before = self._active
        parts = {digest: part or b'' for digest, part in parts_by_hash.items()}
        self._active = _ActiveConfig(
            before.entries | {name: entry},
            before.values | {name: value},
            before.parts | parts,
            before.invalid,
        )
        self._snapshot = dataclasses.replace(
            self._snapshot,
            values=types.MappingProxyType(self._active.values),
        )

    async def adopt(
        self, index: int, found: TrackedObject, fetch_part: FetchPart
    ) -> None:
        """Activate a version if it is newer than the held one.

        Raises FetchError, in which case nothing changes.
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
        self._changed.notify()

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
            self._reject_head(str(error))
            return
        # Every part is fetched before the active configuration changes.
        parts_by_hash = await self._fetch_parts(head, fetch_part)
        config = self._build_active(head, parts_by_hash)
        self._head = head
        self._active = config
        self._snapshot = configuration.Snapshot(
            head.revision,
            types.MappingProxyType(config.values),
            tuple(config.invalid),
        )

    def _reject_head(self, problem: str) -> None:
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

    def _build_active(
        self,
        head: configuration.Head,
        parts_by_hash: dict[str, bytes | None],
    ) -> _ActiveConfig:
        config = _ActiveConfig({}, {}, {}, [])
        for name, entry in sorted(head.entries.items()):
            try:
                value = self._validated_value(name, entry, parts_by_hash)
            except ValueError as error:
                self._keep_last_good(config, name, entry, str(error))
                continue
            config.entries[name] = entry
            config.values[name] = value
        for entry in config.entries.values():
            for digest in entry.parts:
                part = parts_by_hash.get(digest) or self.part(digest)
                config.parts[digest] = part or b''
        return config

    def _validated_value(
        self,
        name: str,
        entry: configuration.Entry,
        parts_by_hash: dict[str, bytes | None],
    ) -> bytes:
        """Return the joined parts of an object. Raises ValueError."""
        before = self._active.entries.get(name)
        if before is not None and before.parts == entry.parts:
            return self._active.values[name]
        found = [parts_by_hash[digest] for digest in entry.parts]
        parts = [part for part in found if part is not None]
        if not parts or len(parts) < len(found):
            raise ValueError('a part of the object does not exist')
        value = parts[0] if len(parts) == 1 else b''.join(parts)
        try:
            self._validate(name, value)
        except ValueError:
            raise
        except Exception as error:  # a bad object must not crash nodes
            raise ValueError(repr(error)) from error
        return value

    def _keep_last_good(
        self,
        config: _ActiveConfig,
        name: str,
        entry: configuration.Entry,
        problem: str,
    ) -> None:
        log.error('MLB-2021', object=name, problem=problem)
        config.invalid.append(
            configuration.InvalidObject(name, entry.revision, problem)
        )
        before = self._active.entries.get(name)
        if before is None:
            return
        config.entries[name] = before
        config.values[name] = self._active.values[name]


def matches_hash(digest: str, part: bytes) -> bool:
    """Return whether bytes match the hash of a part."""
    return hashlib.sha256(part).hexdigest() == digest


def part_object_name(digest: str) -> str:
    """Return the name of a part in the object API."""
    return f'{configuration.PART_PREFIX}{digest}'
