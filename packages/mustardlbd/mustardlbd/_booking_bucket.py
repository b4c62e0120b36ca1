"""One bucket object of booking records, written by groups."""

import collections
from collections import abc
import dataclasses

import structlog
import trio

from mustardlb import object_api
from mustardlbd import _booking_records as records_module

log = structlog.get_logger()

# Time between two tries while the object API gives no answer, seconds.
RETRY_PAUSE = 0.1

# How long one call of the object API may take, seconds.
CALL_TIMEOUT = 1.0

# Largest value of a bucket, bytes; below the limit of the object API.
BUCKET_LIMIT = 900_000


class Unavailable(Exception):
    """The records could not be written; an operation may yet land."""


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    operation: records_module.Operation
    deadline: float
    done: bool = False
    result: records_module.Record | None = None
    problem: str = ''


class BookingBucket:
    """Applies operations to the records of one object.

    Operations that come while a write is under way go together in the next
    write. There is no cache: each write is made from what was read, and is
    conditional on its version.
    """

    def __init__(
        self,
        name: str,
        api: object_api.ObjectApi,
        wall: abc.Callable[[], float],
    ) -> None:
        self._name = name
        self._api = api
        self._wall = wall
        self._lock = trio.Lock()
        self._queue: collections.deque[_Entry] = collections.deque()
        # A read that shows less than this version is too old.
        self._least = object_api.ABSENT

    async def apply(
        self, operation: records_module.Operation, wait: float
    ) -> records_module.Record | None:
        """Apply one operation durably and return its record.

        Raises Unavailable after `wait` seconds, when it may or may not
        have been written and may yet be.
        """
        entry = _Entry(operation, trio.current_time() + wait)
        self._queue.append(entry)
        # A group must not be left half written by a caller that leaves.
        with trio.CancelScope(shield=True):
            async with self._lock:
                if not entry.done:
                    await self._write_group()
        if entry.problem:
            raise Unavailable(entry.problem)
        return entry.result

    async def _write_group(self) -> None:
        group = list(self._queue)
        self._queue.clear()
        latest = max(entry.deadline for entry in group)
        problem = 'the object API gave no answer'
        while group and trio.current_time() < latest:
            try:
                await self._try_write(group)
            except (trio.TooSlowError, object_api.ApiUnavailable) as error:
                log.debug('MLB-3012', name=self._name, problem=repr(error))
                await trio.sleep(RETRY_PAUSE)
            except (object_api.ApiRejected, ValueError) as error:
                problem = str(error)
                break
            if all(entry.done for entry in group):
                return
            _give_up_late(group, problem)
        for entry in group:
            if not entry.done:
                entry.done = True
                entry.problem = problem

    async def _try_write(self, group: list[_Entry]) -> None:
        """Read, apply and write once."""
        with trio.fail_after(CALL_TIMEOUT):
            stored = await self._api.get(self._name)
        if stored.version < self._least:
            await trio.sleep(RETRY_PAUSE / 10)
            return
        self._least = stored.version
        waiting = [entry for entry in group if not entry.done]
        records = records_module.decode(stored.value, self._wall())
        before = dict(records)
        results = [entry.operation.apply(records) for entry in waiting]
        forced = any(
            records_module.must_write(entry.operation) for entry in waiting
        )
        if records != before or forced:
            written = await self._put(records, stored.version)
            if not written:
                return
        for entry, result in zip(waiting, results, strict=True):
            entry.result = result
            entry.done = True

    async def _put(
        self, records: records_module.Records, expected: int
    ) -> bool:
        """Write the records unless somebody else has written."""
        value = records_module.encode(records)
        if len(value) > BUCKET_LIMIT:
            raise ValueError(f'{self._name} is full')
        try:
            with trio.fail_after(CALL_TIMEOUT):
                version = await self._api.put(self._name, value, expected)
        except object_api.VersionConflict as conflict:
            self._least = max(self._least, conflict.current)
            return False
        self._least = max(self._least, version)
        return True


def _give_up_late(group: list[_Entry], problem: str) -> None:
    now = trio.current_time()
    for entry in group:
        if not entry.done and entry.deadline <= now:
            entry.done = True
            entry.problem = problem
