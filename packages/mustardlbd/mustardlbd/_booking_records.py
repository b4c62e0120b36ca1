"""Records of bookings and the operations on them.

A bucket object holds the records of many keys. Each operation carries the
nonce of its attempt and can be applied again: whether an earlier write of
it landed is seen from the records alone.
"""

from collections import abc
import dataclasses
import enum

import msgspec

# How long a record is kept, seconds: a key that is used again after this
# time books again.
RECORD_TIME = 24 * 3600.0

# A booking that has run longer than this is of unknown outcome, seconds.
RUN_TIME = 120.0

# Largest answer body that is kept, bytes.
BODY_LIMIT = 32_000


class State(enum.StrEnum):
    """How far a booking has come."""

    STARTED = 'started'
    FINISHED = 'finished'
    NOT_RUN = 'not_run'


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is kept of one booking.

    :ivar nonce: drawn at random for each attempt
    :ivar started_at: wall-clock time of the attempt, seconds
    :ivar whole: whether the body was small enough to be kept
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
    """Record that an attempt starts, unless the key is used."""

    key: str
    nonce: str
    fingerprint: bytes
    now: float

    def apply(self, records: Records) -> Record:
        """Return the record that counts; ours where the nonce is ours."""
        found = records.get(self.key)
        free = found is None or found.state is State.NOT_RUN
        if found is not None and found.fingerprint != self.fingerprint:
            return found
        if found is not None and not free:
            return found
        record = Record(self.nonce, self.fingerprint, self.now)
        records[self.key] = record
        return record


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Record the answer of an attempt."""

    key: str
    nonce: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def apply(self, records: Records) -> Record | None:
        """Change the record if it is still the attempt's."""
        found = records.get(self.key)
        if found is None or found.nonce != self.nonce:
            return found
        whole = len(self.body) <= BODY_LIMIT
        record = msgspec.structs.replace(
            found,
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
    """Record that nothing ran and nothing will.

    :ivar abandoned: the attempt's record may not have landed yet. Then the
        bucket is written even if nothing changes, so that a write of the
        record that is still on its way finds another version and fails.
    """

    key: str
    nonce: str
    abandoned: bool = False

    def apply(self, records: Records) -> Record | None:
        """Change the record if it is still the attempt's, and started."""
        found = records.get(self.key)
        if found is None or found.nonce != self.nonce:
            return found
        if found.state is State.STARTED:
            found = msgspec.structs.replace(found, state=State.NOT_RUN)
            records[self.key] = found
        return found


Operation = Begin | Finish | NotRun


def must_write(operation: Operation) -> bool:
    """Whether the bucket is written even if its records stay the same."""
    return isinstance(operation, NotRun) and operation.abandoned


def decode(value: bytes, now: float) -> Records:
    """Read the records of a bucket that have not expired."""
    if not value:
        return {}
    records = msgspec.msgpack.decode(value, type=dict[str, Record])
    return {
        key: record
        for key, record in records.items()
        if record.started_at > now - RECORD_TIME
    }


def encode(records: abc.Mapping[str, Record]) -> bytes:
    """Serialize the records of a bucket."""
    return msgspec.msgpack.encode(dict(records))
