"""Batched writes to one bucket of booking records."""

import collections
from collections import abc
import dataclasses

import structlog
import trio

from mustardlb import object_api
from mustardlbd import _booking_records as records_module

log = structlog.get_logger()

# Delay between attempts while the object API does not respond.
RETRY_DELAY_SECONDS = 0.1

CALL_TIMEOUT_SECONDS = 1.0

# Must be below the largest value that the object API accepts.
MAX_BUCKET_BYTES = 900_000


class Unavailable(Exception):
    """The write failed or timed out, but may still be committed."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingOperation:
    operation: records_module.Operation
    deadline: float
    done: bool = False
    result: records_module.Record | None = None
    problem: str = ''


class BookingBucket:
    """Applies operations to the records of one object.

    Operations that arrive during a write are combined in the next write.
    Nothing is cached: each write is based on a preceding read and is
    conditional on the version that was read.
    """

    def __init__(
        self,
        name: str,
        api: object_api.ObjectApi,
        wall_clock: abc.Callable[[], float],
    ) -> None:
        self._name = name
        self._api = api
        self._wall_clock = wall_clock
        self._lock = trio.Lock()
        self._pending_operations: collections.deque[_PendingOperation] = (
            collections.deque()
        )
        # Reads that return a lower version than this are stale.
        self._min_version = object_api.ABSENT

    async def apply(
        self, operation: records_module.Operation, wait: float
    ) -> records_module.Record | None:
        """Apply one operation durably and return its record.

        Raises Unavailable after `wait` seconds. The operation may then have
        been written, or may still be written later.
        """
        pending = _PendingOperation(operation, trio.current_time() + wait)
        self._pending_operations.append(pending)
        # A cancelled caller must not interrupt the write of a batch, which
        # may contain operations of other callers.
        with trio.CancelScope(shield=True):
            async with self._lock:
                if not pending.done:
                    await self._write_batch()
        if pending.problem:
            raise Unavailable(pending.problem)
        return pending.result

    async def _write_batch(self) -> None:
        batch = list(self._pending_operations)
        self._pending_operations.clear()
        deadline = max(pending.deadline for pending in batch)
        problem = 'the object API did not respond'
        while batch and trio.current_time() < deadline:
            try:
                await self._try_write(batch)
            except (trio.TooSlowError, object_api.ApiUnavailable) as error:
                log.debug('MLB-3012', name=self._name, problem=repr(error))
                await trio.sleep(RETRY_DELAY_SECONDS)
            except (object_api.ApiRejected, ValueError) as error:
                problem = str(error)
                break
            if all(pending.done for pending in batch):
                return
            _fail_expired(batch, problem)
        for pending in batch:
            if not pending.done:
                pending.done = True
                pending.problem = problem

    async def _try_write(self, batch: list[_PendingOperation]) -> None:
        """Read the records, apply the batch and write them, once."""
        with trio.fail_after(CALL_TIMEOUT_SECONDS):
            stored = await self._api.get(self._name)
        if stored.version < self._min_version:
            await trio.sleep(RETRY_DELAY_SECONDS / 10)
            return
        self._min_version = stored.version
        unfinished = [pending for pending in batch if not pending.done]
        records = records_module.decode(stored.value, self._wall_clock())
        previous = dict(records)
        results = [pending.operation.apply(records) for pending in unfinished]
        must_write = any(
            records_module.forces_write(pending.operation)
            for pending in unfinished
        )
        if records != previous or must_write:
            written = await self._put(records, stored.version)
            if not written:
                return
        for pending, result in zip(unfinished, results, strict=True):
            pending.result = result
            pending.done = True

    async def _put(
        self, records: records_module.Records, expected: int
    ) -> bool:
        """Write the records; return False if the version has changed."""
        value = records_module.encode(records)
        if len(value) > MAX_BUCKET_BYTES:
            raise ValueError(f'{self._name} is full')
        try:
            with trio.fail_after(CALL_TIMEOUT_SECONDS):
                version = await self._api.put(self._name, value, expected)
        except object_api.VersionConflict as conflict:
            self._min_version = max(self._min_version, conflict.current)
            return False
        self._min_version = max(self._min_version, version)
        return True


def _fail_expired(batch: list[_PendingOperation], problem: str) -> None:
    now = trio.current_time()
    for pending in batch:
        if not pending.done and pending.deadline <= now:
            pending.done = True
            pending.problem = problem
