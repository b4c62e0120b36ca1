"""At-most-once bookings, by a durable record written before dispatch."""

from collections import abc
import dataclasses
import hashlib
import secrets

import structlog
import trio

from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps
from mustardlbd import _booking_bucket
from mustardlbd import _booking_records as records
from mustardlbd import _dependencies

log = structlog.get_logger()

# Number of objects that hold the records. It must not change, because a
# record's object follows from it.
BUCKET_COUNT = 1024
OBJECT_NAME_PREFIX = 'bookings/'

# A booking whose record takes longer to write is rejected.
BEGIN_TIMEOUT_SECONDS = 2.0

# Longest time that recording the outcome delays the response to the caller.
FINISH_TIMEOUT_SECONDS = 2.0

FLUSH_INTERVAL_SECONDS = 1.0

# Operations kept for a retry. Above this number the oldest is dropped, and
# its record stays as it is stored.
MAX_UNWRITTEN_OPERATIONS = 10_000

# The retry-after time for a booking in progress or not recorded.
RETRY_AFTER_SECONDS = 1.0


def record_key(account: str, key: str) -> str:
    """Return the hash that names a booking's record and hides its key.

    >>> record_key('a', 'bc') == record_key('ab', 'c')
    False
    """
    text = f'{len(account)} {account} {key}'
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def bucket_name(key: str) -> str:
    """Return the name of the object that holds a record.

    >>> bucket_name('0' * 32)
    'bookings/000'
    """
    return f'{OBJECT_NAME_PREFIX}{int(key[:8], 16) % BUCKET_COUNT:03x}'


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The recorded attempt to run a booking."""

    key: str
    nonce: str
    _bookings: 'Bookings'

    async def finish(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Record the response, later if the object API is not available."""
        recorded_headers = tuple(
            (bytes(name), bytes(value)) for name, value in headers
        )
        await self._bookings.record(
            records.Finish(
                self.key, self.nonce, status, recorded_headers, body
            )
        )

    async def not_run(self) -> None:
        """Record that the booking did not run, so that a retry may run."""
        await self._bookings.record(records.NotRun(self.key, self.nonce))


class Bookings:
    """Records of the bookings that this node begins and finishes."""

    def __init__(
        self, api: object_api.ObjectApi, wall_clock: abc.Callable[[], float]
    ) -> None:
        self._api = api
        self._wall_clock = wall_clock
        self._buckets_by_name: dict[str, _booking_bucket.BookingBucket] = {}
        self._unwritten: dict[
            tuple[str, str], records.Finish | records.NotRun
        ] = {}
        self._unwritten_added = trio.Event()

    async def begin(
        self, account: str, key: str, fingerprint: bytes
    ) -> Attempt | _dependencies.RecordedOutcome:
        """Record that a booking starts; it may be dispatched only then.

        Returns the recorded outcome if the booking has already run. Raises
        KEY_REUSED, IN_PROGRESS, OUTCOME_UNKNOWN, and RECORD_UNAVAILABLE with
        not_run true.
        """
        hashed_key = record_key(account, key)
        nonce = secrets.token_hex(12)
        operation = records.Begin(
            hashed_key, nonce, fingerprint, self._wall_clock()
        )
        try:
            found = await self._bucket(hashed_key).apply(
                operation, BEGIN_TIMEOUT_SECONDS
            )
        except _booking_bucket.Unavailable as error:
            # The record may still be written. This node does not dispatch the
            # booking, so it records that as soon as the object API responds.
            self._queue_unwritten(
                records.NotRun(hashed_key, nonce, abandoned=True)
            )
            raise _record_unavailable(str(error)) from error
        assert found is not None
        if found.nonce == nonce:
            return Attempt(hashed_key, nonce, self)
        return self._recorded_outcome(found, fingerprint)

    async def record(self, operation: records.Finish | records.NotRun) -> None:
        """Record the outcome of an attempt, or queue it for a retry."""
        try:
            await self._bucket(operation.key).apply(
                operation, FINISH_TIMEOUT_SECONDS
            )
        except _booking_bucket.Unavailable as error:
            log.warning('MLB-3010', key=operation.key, problem=str(error))
            self._queue_unwritten(operation)

    async def run(self) -> None:
        """Retry unwritten operations until cancelled."""
        while True:
            await self._unwritten_added.wait()
            await trio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()
            if not self._unwritten:
                self._unwritten_added = trio.Event()

    async def flush(self) -> None:
        """Write the queued operations, up to the first failure."""
        for attempt_key, operation in list(self._unwritten.items()):
            bucket = self._bucket(operation.key)
            try:
                await bucket.apply(operation, BEGIN_TIMEOUT_SECONDS)
            except _booking_bucket.Unavailable:
                return
            if self._unwritten.get(attempt_key) is operation:
                del self._unwritten[attempt_key]
            log.info('MLB-3011', key=operation.key)

    def _bucket(self, key: str) -> _booking_bucket.BookingBucket:
        name = bucket_name(key)
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            bucket = _booking_bucket.BookingBucket(
                name, self._api, self._wall_clock
            )
            self._buckets_by_name[name] = bucket
        return bucket

    def _queue_unwritten(
        self, operation: records.Finish | records.NotRun
    ) -> None:
        if len(self._unwritten) >= MAX_UNWRITTEN_OPERATIONS:
            self._unwritten.pop(next(iter(self._unwritten)))
        self._unwritten[operation.key, operation.nonce] = operation
        self._unwritten_added.set()

    def _recorded_outcome(
        self, found: records.Record, fingerprint: bytes
    ) -> _dependencies.RecordedOutcome:
        if found.fingerprint != fingerprint:
            raise _rejection(
                errors.Code.KEY_REUSED,
                'the idempotency key was used for a different call',
            )
        if found.state is records.State.STARTED:
            raise self._started_error(found)
        if not found.whole:
            raise _rejection(
                errors.Code.OUTCOME_UNKNOWN,
                f'the booking ran with status {found.status}; its response '
                'was too large to be recorded',
            )
        return _dependencies.RecordedOutcome(
            found.status, found.headers, found.body
        )

    def _started_error(self, found: records.Record) -> errors.Error:
        if self._wall_clock() - found.started_at > records.MAX_RUN_SECONDS:
            return _rejection(
                errors.Code.OUTCOME_UNKNOWN,
                'an earlier call with this key started; its outcome was not '
                'recorded',
            )
        return _rejection(
            errors.Code.IN_PROGRESS,
            'an earlier call with this key is in progress',
            RETRY_AFTER_SECONDS,
        )


def _rejection(
    code: errors.Code, message: str, retry_after: float | None = None
) -> errors.Error:
    return errors.Error(
        code, message, steps.Step.RECORD, retry_after=retry_after
    )


def _record_unavailable(problem: str) -> errors.Error:
    return errors.Error(
        errors.Code.RECORD_UNAVAILABLE,
        f'the booking could not be recorded: {problem}',
        steps.Step.RECORD,
        not_run=True,
        retry_after=RETRY_AFTER_SECONDS,
    )
