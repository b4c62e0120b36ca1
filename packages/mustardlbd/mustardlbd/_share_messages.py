"""The messages of shares, typed, and their bytes."""

import dataclasses
import functools
from typing import Any

from mustardlb import schema

# Fractions are counted in parts per million of the contract.
WHOLE = 1_000_000

# Services of the keeper.
REPORT_SERVICE = 'limits.report'
HANDOVER_SERVICE = 'limits.handover'

# Service of the deputy.
DEPUTY_SERVICE = 'limits.deputy'


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReport:
    """What a holder tells the keeper; limits.capnp explains the fields."""

    account: str
    request: int
    adopted: int
    epoch: int
    version: int
    keeper: str
    fraction: int
    standing: int
    handed_back: float
    demand: float
    waiting: float
    largest: float
    waited: float
    deputy: str
    recent: float
    fullness: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShareStatement:
    """The share that a keeper states in answer to a report."""

    request: int
    epoch: int
    version: int
    fraction: int
    standing: int
    lease: float
    tokens: float
    renewed: bool
    restart: bool
    deputy: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A new keeper asks the one before for its book."""

    account: str
    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookEntry:
    """What a keeper knows of one holder, on its way to the next keeper."""

    vm_id: str
    incarnation: int
    request: int
    fraction: int
    standing: int
    sent_request: int
    sent_fraction: int
    sent_standing: int
    sent_tokens: float
    handed_back: float
    version: int
    silence: float
    deputy: str
    sent_deputy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """The book of a keeper that has stopped."""

    entries: tuple[BookEntry, ...]
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeputyRequest:
    """What a holder or a keeper wants of a deputy."""

    account: str = ''
    deputy: str = ''
    holder: str = ''
    request: int = 0
    want: str = 'name'
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DeputyReply:
    """What the deputy did."""

    deputy: str
    granted: bool
    remaining: float


def process_name(vm_id: str, incarnation: int) -> str:
    """Name one process of a VM.

    >>> process_name('vm1', 7)
    'vm1/7'
    """
    return f'{vm_id}/{incarnation}'


def vm_of(process: str) -> str:
    """Return the VM of a process.

    >>> vm_of('vm1/7')
    'vm1'
    """
    return process.rpartition('/')[0]


@functools.cache
def _names(kind: type) -> tuple[tuple[str, str], ...]:
    fields = [field.name for field in dataclasses.fields(kind)]
    return tuple((name, _camel(name)) for name in fields)


def _camel(name: str) -> str:
    """Turn a field name into the one in the schema.

    >>> _camel('handed_back')
    'handedBack'
    """
    first, *rest = name.split('_')
    return first + ''.join(word.capitalize() for word in rest)


def _values(message: Any) -> dict[str, Any]:
    return {
        camel: getattr(message, name)
        for name, camel in _names(message.__class__)
    }


def _read(kind: type, reader: Any) -> Any:
    return kind(
        **{name: getattr(reader, camel) for name, camel in _names(kind)}
    )


def encode(message: Any) -> bytes:
    """Serialize a message without lists."""
    kind = getattr(schema.load('limits'), type(message).__name__)
    return kind.new_message(**_values(message)).to_bytes()


def decode(kind: type, payload: bytes) -> Any:
    """Read a message without lists."""
    with getattr(schema.load('limits'), kind.__name__).from_bytes(
        payload
    ) as reader:
        return _read(kind, reader)


def encode_handover(handover: Handover) -> bytes:
    """Serialize a book."""
    entries = [_values(entry) for entry in handover.entries]
    message = schema.load('limits').Handover.new_message(
        entries=entries, tokens=handover.tokens
    )
    return message.to_bytes()


def decode_handover(payload: bytes) -> Handover:
    """Read a book."""
    with schema.load('limits').Handover.from_bytes(payload) as reader:
        entries = tuple(_read(BookEntry, entry) for entry in reader.entries)
        return Handover(entries, reader.tokens)
