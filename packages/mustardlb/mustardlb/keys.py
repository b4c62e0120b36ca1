"""Keys of client accounts: text, stored hash, check."""

from collections import abc
import dataclasses
import datetime
import hashlib
import hmac
import re
import secrets

import msgspec

from mustardlb import documents
from mustardlb import errors
from mustardlb import steps

# Configuration objects 'keys/<account>'.
KIND = 'keys'

KEY_ID_BYTES = 8
SECRET_BYTES = 32

_parse = re.compile(r'mlb_([0-9a-f]{16})_([A-Za-z0-9_-]{43})').fullmatch


class KeyRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is stored of one key; the key itself is not.

    :ivar key_id: identifier that may be logged
    :ivar account: the client account it belongs to
    :ivar digest: SHA-256 of the key text, hexadecimal
    :ivar issued_at: time of issue, UTC
    :ivar withdrawn_at: time of withdrawal, None while the key is valid
    """

    key_id: str
    account: documents.Name
    digest: str
    issued_at: datetime.datetime
    withdrawn_at: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A key just made; its text is shown once and kept nowhere."""

    text: str = dataclasses.field(repr=False)
    record: KeyRecord


def issue(account: str, now: datetime.datetime) -> NewKey:
    """Make a key from the system's random source.

    The secret has 256 random bits, so a fast hash is enough.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    text = f'mlb_{key_id}_{secrets.token_urlsafe(SECRET_BYTES)}'
    record = KeyRecord(key_id, account, _digest(text), now)
    return NewKey(text, record)


def key_id_of(text: str) -> str:
    """Return the id in a presented key. Raises Error(UNAUTHENTICATED)."""
    match = _parse(text) if isinstance(text, str) else None
    if match is None:
        raise _unauthenticated()
    return match[1]


def verify(text: str, record: KeyRecord) -> bool:
    """Return whether the text is the key of the record; constant time.

    Whether the key was withdrawn is not looked at.
    """
    return hmac.compare_digest(_digest(text), record.digest)


def authenticate(
    text: str, keys_by_id: abc.Mapping[str, KeyRecord]
) -> KeyRecord:
    """Return the record of a presented key.

    Raises Error with UNAUTHENTICATED or, told only to one who holds the
    whole key, KEY_WITHDRAWN.
    """
    record = keys_by_id.get(key_id_of(text), _NOBODY)
    matches = verify(text, record)
    if not matches or record is _NOBODY:
        raise _unauthenticated()
    if record.withdrawn_at is not None:
        raise errors.Error(
            errors.Code.KEY_WITHDRAWN,
            f'the key {record.key_id} was withdrawn',
            steps.Step.ADMISSION,
            not_run=True,
        )
    return record


def encode(records: abc.Sequence[KeyRecord]) -> bytes:
    """Serialize the records of one account for 'keys/<account>'."""
    return msgspec.json.encode(tuple(records), order='sorted')


def decode(value: bytes, name: str = KIND) -> tuple[KeyRecord, ...]:
    """Read the object 'keys/<account>'. Raises InvalidDocument."""
    return documents.parse_json(value, tuple[KeyRecord, ...], name, _check)


def object_name(account: str) -> str:
    """Return the name of the configuration object of an account."""
    return f'{KIND}/{account}'


def _check(records: tuple[KeyRecord, ...]) -> abc.Iterator[documents.Finding]:
    seen = set()
    for index, record in enumerate(records):
        if record.key_id in seen:
            yield f'[{index}].key_id', record.key_id, 'is there twice'
        seen.add(record.key_id)
        if record.account != records[0].account:
            yield f'[{index}].account', record.account, 'is another account'


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode('utf-8', 'replace')).hexdigest()


def _unauthenticated() -> errors.Error:
    return errors.Error(
        errors.Code.UNAUTHENTICATED,
        'the request carries no valid key',
        steps.Step.ADMISSION,
        not_run=True,
    )


# Compared with when the id is unknown, so that both take the same time.
_NOBODY = KeyRecord(
    '0' * 16,
    'nobody',
    _digest(''),
    datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC),
)
