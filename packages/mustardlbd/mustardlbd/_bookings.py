"""Bookings at most once, by a durable record before dispatch."""

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

# Objects that hold the records; the number never changes.
BUCKETS = 1024
PREFIX = 'bookings/'

# How long a record may take before the booking is refused, seconds.
BEGIN_TIME = 2.0

# How long a caller waits for its outcome to be recorded, seconds.
FINISH_TIME = 2.0

# How often records that could not be written are tried again, seconds.
FLUSH_INTERVAL = 1.0

# Records kept for another try; past it the oldest stays as it is stored.
MOST_UNWRITTEN = 10_000

# When a caller may ask again for a booking that is in progress, seconds.
RETRY_AFTER = 1.0


def record_key(account: str, key: str) -> str:
    """Name a booking without showing its key.

    >>> record_key('a', 'bc') == record_key('ab', 'c')
    False
    """
    text = f'{len(account)} {account} {key}'
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def bucket_name(key: str) -> str:
    """Name the object that holds a record.

    >>> bucket_name('0' * 32)
    'bookings/000'
    """
    return f'{PREFIX}{int(key[:8], 16) % BUCKETS:03x}'


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The one run of a booking, recorded before it begins."""

    key: str
    nonce: str
    _bookings: 'Bookings'

    async def record_response(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Record the answer; later, where the object API is down."""
        kept = tuple((bytes(name), bytes(value)) for name, value in headers)
        await self._bookings.record(
            records.Finish(self.key, self.nonce, status, kept, body)
        )

    async def record_not_run(self) -> None:
        """Record that nothing ran, so that a repeated call may run."""
        await self._bookings.record(records.NotRun(self.key, self.nonce))


class Bookings:
    """Begins and finishes the bookings of this node."""

    def __init__(
        self, api: object_api.ObjectApi, wall: abc.Callable[[], float]
    ) -> None:
        self._api = api
        self._wall = wall
        self._buckets_by_name: dict[str, _booking_bucket.BookingBucket] = {}
        self._unwritten: dict[
            tuple[str, str], records.Finish | records.NotRun
        ] = {}
        self._kept = trio.Event()

    async def begin(
        self, account: str, key: str, fingerprint: bytes
    ) -> Attempt | _dependencies.RecordedOutcome:
        """Record that a booking starts; nothing may be sent before.

        Raises KEY_REUSED, IN_PROGRESS, OUTCOME_UNKNOWN, and
        RECORD_UNAVAILABLE with not_run true.
        """
        hashed = record_key(account, key)
        nonce = secrets.token_hex(12)
        operation = records.Begin(hashed, nonce, fingerprint, self._wall())
        try:
            found = await self._bucket(hashed).apply(operation, BEGIN_TIME)
        except _booking_bucket.Unavailable as error:
            # The record may land later; this node never sends it, so it
            # can say so as soon as the object API answers.
            self._keep(records.NotRun(hashed, nonce, abandoned=True))
            raise _unavailable(str(error)) from error
        assert found is not None
        if found.nonce == nonce:
            return Attempt(hashed, nonce, self)
        return self._answer_repeated(found, fingerprint)

    async def record(self, operation: records.Finish | records.NotRun) -> None:
        """Record how an attempt went, now or as soon as it is possible."""
        try:
            await self._bucket(operation.key).apply(operation, FINISH_TIME)
        except _booking_bucket.Unavailable as error:
            log.warning('MLB-3010', key=operation.key, problem=str(error))
            self._keep(operation)

    async def run(self) -> None:
        """Write what could not be written, for ever."""
        while True:
            await self._kept.wait()
            await trio.sleep(FLUSH_INTERVAL)
            await self.flush()
            if not self._unwritten:
                self._kept = trio.Event()

    async def flush(self) -> None:
        """Write what could not be written, up to the first failure."""
        for place, operation in list(self._unwritten.items()):
            bucket = self._bucket(operation.key)
            try:
                await bucket.apply(operation, BEGIN_TIME)
            except _booking_bucket.Unavailable:
                return
            if self._unwritten.get(place) is operation:
                del self._unwritten[place]
            log.info('MLB-3011', key=operation.key)

    def _bucket(self, key: str) -> _booking_bucket.BookingBucket:
        name = bucket_name(key)
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            bucket = _booking_bucket.BookingBucket(name, self._api, self._wall)
            self._buckets_by_name[name] = bucket
        return bucket

    def _keep(self, operation: records.Finish | records.NotRun) -> None:
        if len(self._unwritten) >= MOST_UNWRITTEN:
            self._unwritten.pop(next(iter(self._unwritten)))
        self._unwritten[operation.key, operation.nonce] = operation
        self._kept.set()

    def _answer_repeated(
        self, found: records.Record, fingerprint: bytes
    ) -> _dependencies.RecordedOutcome:
        if found.fingerprint != fingerprint:
            raise _refused(
                errors.Code.KEY_REUSED,
                'the idempotency key was used for another call',
            )
        if found.state is records.State.STARTED:
            raise self._refuse_started(found)
        if not found.whole:
            raise _refused(
                errors.Code.OUTCOME_UNKNOWN,
                f'it ran with status {found.status}; the answer was too '
                'large to be kept',
            )
        return _dependencies.RecordedOutcome(
            found.status, found.headers, found.body
        )

    def _refuse_started(self, found: records.Record) -> errors.Error:
        if self._wall() - found.started_at > records.RUN_TIME:
            return _refused(
                errors.Code.OUTCOME_UNKNOWN,
                'an earlier call began and its outcome was not recorded',
            )
        return _refused(
            errors.Code.IN_PROGRESS,
            'an earlier call with this key is in progress',
            RETRY_AFTER,
        )


def _refused(
    code: errors.Code, message: str, retry_after: float | None = None
) -> errors.Error:
    return errors.Error(
        code, message, steps.Step.RECORD, retry_after=retry_after
    )


def _unavailable(problem: str) -> errors.Error:
    return errors.Error(
        errors.Code.RECORD_UNAVAILABLE,
        f'the booking could not be recorded: {problem}',
        steps.Step.RECORD,
        not_run=True,
        retry_after=RETRY_AFTER,
    )
