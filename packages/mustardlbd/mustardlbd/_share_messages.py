"""Messages of the token share protocol and their encoding."""

import dataclasses
import functools
from typing import Any

from mustardlb import schema

FULL_SHARE_PPM = 1_000_000

# Services of the coordinator.
REPORT_SERVICE = 'limits.report'
HANDOVER_SERVICE = 'limits.handover'

# Service of the deputy.
DEPUTY_SERVICE = 'limits.deputy'


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReport:
    """A holder's report to the coordinator.

    The fields are explained in limits.capnp. The field `keeper` is the VM of
    the coordinator.
    """

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
    """The holder's share, in reply to a report."""

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
    """A new coordinator's request for the previous one's ledger."""

    account: str
    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class BookEntry:
    """An entry of a ledger that is handed over, for one holder."""

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
    """A closed ledger.

    :ivar tokens: level of its pool
    """

    entries: tuple[BookEntry, ...]
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeputyRequest:
    """A request of a holder or a coordinator to a deputy."""

    account: str = ''
    deputy: str = ''
    holder: str = ''
    request: int = 0
    want: str = 'name'
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DeputyReply:
    """A deputy's reply.

    :ivar deputy: the process that replies
    :ivar remaining: seconds that an extension it granted still runs
    """

    deputy: str
    granted: bool
    remaining: float


def process_name(vm_id: str, incarnation: int) -> str:
    """Return the name of one process of a VM.

    >>> process_name('vm1', 7)
    'vm1/7'
    """
    return f'{vm_id}/{incarnation}'


def vm_of(process: str) -> str:
    """Return the VM of a named process.

    >>> vm_of('vm1/7')
    'vm1'
    """
    return process.rpartition('/')[0]


@functools.cache
def _field_names(message_class: type) -> tuple[tuple[str, str], ...]:
    fields = [field.name for field in dataclasses.fields(message_class)]
    return tuple((name, _camel_case(name)) for name in fields)


def _camel_case(name: str) -> str:
    """Return the name of a field in the schema.

    >>> _camel_case('handed_back')
    'handedBack'
    """
    first, *rest = name.split('_')
    return first + ''.join(word.capitalize() for word in rest)


def _field_values(message: Any) -> dict[str, Any]:
    return {
        camel_case: getattr(message, name)
        for name, camel_case in _field_names(message.__class__)
    }


def _from_reader(message_class: type, reader: Any) -> Any:
    return message_class(
        **{
            name: getattr(reader, camel_case)
            for name, camel_case in _field_names(message_class)
        }
    )


def encode(message: Any) -> bytes:
    """Serialize a message that has no list fields."""
    message_class = getattr(schema.load('limits'), type(message).__name__)
    return message_class.new_message(**_field_values(message)).to_bytes()


def decode(message_class: type, payload: bytes) -> Any:
    """Deserialize a message that has no list fields."""
    with getattr(schema.load('limits'), message_class.__name__).from_bytes(
        payload
    ) as reader:
        return _from_reader(message_class, reader)


def encode_handover(handover: Handover) -> bytes:
    """Serialize a ledger."""
    entries = [_field_values(entry) for entry in handover.entries]
    message = schema.load('limits').Handover.new_message(
        entries=entries, tokens=handover.tokens
    )
    return message.to_bytes()


def decode_handover(payload: bytes) -> Handover:
    """Deserialize a ledger."""
    with schema.load('limits').Handover.from_bytes(payload) as reader:
        entries = tuple(
            _from_reader(BookEntry, entry) for entry in reader.entries
        )
        return Handover(entries, reader.tokens)
