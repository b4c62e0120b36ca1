"""Saves in the store where the streams of this node began.

If all nodes that know of a stream have ended, others find it there. Each node
has one object with its own streams that have not ended, so that no two nodes
write the same one. A record says what has happened and never changes, so that
an old copy of it may lack streams but is not wrong about one.
"""

from collections import abc
import time
from typing import Any

import structlog
import trio

from mustardlb_gateway import _amounts
from mustardlb_gateway import _messages
from mustardlb_gateway import _software_history
from mustardlb_gateway import ports

log = structlog.get_logger()

KIND = 'gateway-origins'

# Streams of the last interval are lost if all nodes end.
SAVE_INTERVAL_SECONDS = 0.5

# What the store has lost, as it continued from a copy, is written again.
REPEAT_INTERVAL_SECONDS = 10.0

# All nodes together write this often at most, a tenth of what the store
# accepts.
SAVES_PER_SECOND = 40.0

# What was read this recently is not read again.
LOAD_INTERVAL_SECONDS = 1.0

# A node that asks the store for a stream waits for it this long.
LOAD_TIMEOUT_SECONDS = 0.3

RETRY_SECONDS = 0.5

# Streams of one version in an object, the last ones: some 100 KB.
MAX_SAVED_STREAMS = 6000

_HASH_DIGITS = 16

# Streams by where they began.
StreamsByOrigin = dict[_messages.Origin, list[int]]


class OriginRecords:
    """The saved origins of all nodes, of which this one writes its own.

    `unfinished` returns the streams to save, and `keep` adds one that another
    process began, which this node saves too if the record is its own.
    """

    def __init__(
        self,
        store: ports.Store,
        vm: str,
        unfinished: abc.Callable[[], StreamsByOrigin],
        keep: abc.Callable[[int, _messages.Origin, bool], None],
        live: abc.Callable[[], abc.Collection[str]],
        clock: abc.Callable[[], float],
        wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._vm = vm
        self._unfinished = unfinished
        self._keep = keep
        self._live = live
        self._clock = clock
        self._wall_clock = wall_clock
        self._loaded_at = float('-inf')
        self._lock = trio.Lock()
        self._saved: dict[str, Any] = {}
        self._repeat_at = float('-inf')
        self._revision: int | None = None

    async def load(self) -> None:
        """Read the records, unless that was done lately.

        Returns without them if the store does not answer in time.
        """
        with trio.move_on_after(LOAD_TIMEOUT_SECONDS):
            async with self._lock:
                if self._clock() < self._loaded_at + LOAD_INTERVAL_SECONDS:
                    return
                await self._try_load()

    async def _try_load(self) -> bool:
        """Return whether the store answered."""
        try:
            listing = await self._store.list_objects(KIND)
        except ports.StoreUnavailable as error:
            log.info('MLB-6209', kind=KIND, call='list', problem=str(error))
            return False
        count = 0
        for stored in listing.objects:
            # All records of a large fleet take some tenths of a second.
            await trio.lowlevel.checkpoint()
            is_own = stored.name == self._vm
            if is_own:
                self._revision = stored.revision
            for origin, streams in self._decode(stored).items():
                for stream in streams:
                    self._keep(stream, origin, is_own)
                    count += 1
        self._loaded_at = self._clock()
        log.info('MLB-6223', nodes=len(listing.objects), streams=count)
        return True

    def _decode(self, stored: ports.StoredObject) -> StreamsByOrigin:
        """Return the streams of a record, {} if it is too old or unreadable.

        A stream of it may have begun up to its lifetime before it was saved.
        """
        try:
            saved_at, streams_by_origin = _decode(stored.spec)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning('MLB-6224', name=stored.name, problem=repr(error))
            return {}
        oldest = (
            self._wall_clock()
            - _software_history.STREAM_LIFETIME_SECONDS
            - _software_history.CLOCK_DIFFERENCE_SECONDS
        )
        return streams_by_origin if saved_at >= oldest else {}

    async def run(self) -> None:
        """Read all records, then save this node's until cancelled."""
        while True:
            async with self._lock:
                if await self._try_load():
                    break
            await trio.sleep(RETRY_SECONDS)
        while True:
            await trio.sleep(self._interval)
            streams = _encode_streams(self._unfinished())
            is_due = streams and self._clock() >= self._repeat_at
            if streams == self._saved and not is_due:
                continue
            if await self._save({'at': self._wall_clock(), 'begun': streams}):
                self._saved = streams
                self._repeat_at = self._clock() + REPEAT_INTERVAL_SECONDS

    @property
    def _interval(self) -> float:
        node_count = len(self._live()) + 1
        return max(SAVE_INTERVAL_SECONDS, node_count / SAVES_PER_SECOND)

    async def _save(self, fields: dict[str, Any]) -> bool:
        """Write this node's record; return whether that is known."""
        try:
            if self._revision is None:
                stored = await self._store.create(KIND, self._vm, fields)
            else:
                stored = await self._store.replace(
                    KIND, self._vm, fields, self._revision
                )
        except ports.Conflict as conflict:
            # An earlier write had no response, or the store is a copy.
            current = conflict.current
            self._revision = current.revision if current else None
            return False
        except ports.StoreUnavailable as error:
            log.info('MLB-6209', kind=KIND, call='replace', problem=str(error))
            return False
        self._revision = stored.revision
        return True


def _encode_streams(
    streams_by_origin: StreamsByOrigin,
) -> dict[str, dict[str, str]]:
    """Return the last streams by service and software, as joined digits."""
    encoded: dict[str, dict[str, str]] = {}
    for origin, streams in streams_by_origin.items():
        encoded.setdefault(origin.service, {})[origin.software] = ''.join(
            f'{stream:0{_HASH_DIGITS}x}'
            for stream in streams[-MAX_SAVED_STREAMS:]
        )
    return encoded


def _decode(spec: Any) -> tuple[float, StreamsByOrigin]:
    """Return the time of a record and its streams.

    Raises AttributeError, KeyError, TypeError or ValueError.
    """
    streams_by_origin: StreamsByOrigin = {}
    for service, digits_by_software in spec['begun'].items():
        for software, digits in digits_by_software.items():
            if len(digits) % _HASH_DIGITS:
                raise ValueError('a hash is incomplete')
            origin = _messages.Origin(str(service), str(software))
            streams_by_origin[origin] = [
                int(digits[start : start + _HASH_DIGITS], 16)
                for start in range(0, len(digits), _HASH_DIGITS)
            ]
    return _amounts.finite(spec['at']), streams_by_origin
