"""Records of bookings and the operations on them.

A bucket is an object that holds the records of many keys. Each operation
carries the nonce of its attempt and is idempotent: the records themselves
show whether an earlier write of it was committed.
"""

from collections import abc
import dataclasses
import enum

import msgspec

# After this time a record is removed and its key can be used for a new
# booking.
RECORD_TTL_SECONDS = 24 * 3600.0

# Above this time the outcome of a started booking is reported as unknown.
MAX_RUN_SECONDS = 120.0

# Larger response bodies are not recorded.
MAX_BODY_BYTES = 32_000


class State(enum.StrEnum):
    """State of a booking."""

    STARTED = 'started'
    FINISHED = 'finished'
    NOT_RUN = 'not_run'


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The stored record of one booking.

    :ivar nonce: random identifier of the attempt
    :ivar fingerprint: hash of the request
    :ivar started_at: wall-clock time of the attempt, seconds
    :ivar whole: whether the body was small enough to be recorded
    """

    nonce: str
    fingerprint: bytes
    started_at: float
    state: State = State.STARTED
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    whole: bool = True


Records = dict[str, Record]


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Records that an attempt starts, unless the key is in use."""

    key: str
    nonce: str
    fingerprint: bytes
    now: float

    def apply(self, records: Records) -> Record:
        """Return the valid record; it has this nonce if this attempt runs."""
        existing = records.get(self.key)
        unused = existing is None or existing.state is State.NOT_RUN
        if existing is not None and existing.fingerprint != self.fingerprint:
            return existing
        if existing is not None and not unused:
            return existing
        record = Record(self.nonce, self.fingerprint, self.now)
        records[self.key] = record
        return record


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Records the response to an attempt."""

    key: str
    nonce: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def apply(self, records: Records) -> Record | None:
        """Change the record if it belongs to this attempt."""
        existing = records.get(self.key)
        if existing is None or existing.nonce != self.nonce:
            return existing
        whole = len(self.body) <= MAX_BODY_BYTES
        record = msgspec.structs.replace(
            existing,
            state=State.FINISHED,
            status=self.status,
            headers=self.headers,
            body=self.body if whole else b'',
            whole=whole,
        )
        records[self.key] = record
        return record


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Records that an attempt did not run and will not run.

    :ivar abandoned: whether the attempt's record may still be written by a
        delayed request. If so, the bucket is written even if no record
        changes, so that the delayed write finds a newer version and fails.
    """

    key: str
    nonce: str
    abandoned: bool = False

    def apply(self, records: Records) -> Record | None:
        """Change the record if it belongs to this attempt and is started."""
        existing = records.get(self.key)
        if existing is None or existing.nonce != self.nonce:
            return existing
        if existing.state is State.STARTED:
            existing = msgspec.structs.replace(existing, state=State.NOT_RUN)
            records[self.key] = existing
        return existing


Operation = Begin | Finish | NotRun


def forces_write(operation: Operation) -> bool:
    """Whether the bucket is written even if no record changes."""
    return isinstance(operation, NotRun) and operation.abandoned


def decode(value: bytes, now: float) -> Records:
    """Deserialize a bucket and drop its expired records."""
    if not value:
        return {}
    records = msgspec.msgpack.decode(value, type=dict[str, Record])
    return {
        key: record
        for key, record in records.items()
        if record.started_at > now - RECORD_TTL_SECONDS
    }


def encode(records: abc.Mapping[str, Record]) -> bytes:
    """Serialize the records of a bucket."""
    return msgspec.msgpack.encode(dict(records))
