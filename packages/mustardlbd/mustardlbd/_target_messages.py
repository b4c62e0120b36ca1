"""The messages of `mustardlb/schema/targets.capnp`."""

import enum
from typing import Any
from typing import TypeVar

import msgspec

from mustardlb import schema

T = TypeVar('T', bound=msgspec.Struct)

# Service names.
ASK = 'target-ask'
CLOSE = 'target-close'
HAND_OVER = 'target-hand-over'
REPORT = 'target-report'
PERMIT = 'load-permit'
PERMIT_RELEASE = 'load-permit-release'


class Outcome(enum.StrEnum):
    """An owner's decision on a node's request for a model."""

    GRANTED = 'granted'
    ABSENT = 'absent'
    BUSY = 'busy'
    FAILED = 'failed'
    REFUSED = 'refused'


class Ask(msgspec.Struct, frozen=True):
    """Requests a grant for a model at a target from its owner."""

    target: str
    model: str
    account: str
    load: bool
    missing: bool
    wait: float


class Answer(msgspec.Struct, frozen=True):
    """Reply to an Ask; `number` identifies the grant."""

    outcome: Outcome
    number: int = 0


class Close(msgspec.Struct, frozen=True):
    """Asks a node to end its grant for a model."""

    target: str
    model: str
    number: int


class CloseAnswer(msgspec.Struct, frozen=True):
    """Reply to a Close; `busy` while a request is running."""

    busy: bool


class HandOver(msgspec.Struct, frozen=True):
    """Asks a node for its grants on behalf of a new owner."""

    target: str
    epoch: int


class Grant(msgspec.Struct, frozen=True):
    """A grant that a node holds."""

    model: str
    number: int


class HandOverAnswer(msgspec.Struct, frozen=True):
    """Reply to a HandOver; `ordering` while a command is pending."""

    grants: tuple[Grant, ...]
    ordering: bool


class Use(msgspec.Struct, frozen=True):
    """The use of one grant since the last report."""

    target: str
    model: str
    number: int
    begun: int = 0
    running: int = 0
    released: bool = False


class Report(msgspec.Struct, frozen=True):
    """A node's uses of grants of one owner."""

    uses: tuple[Use, ...]


class Status(msgspec.Struct, frozen=True):
    """State of a target; `spare` is the cost of an eviction."""

    name: str
    running: int
    waiting: int
    batch: int
    resident: tuple[str, ...]
    spare: float


class ReportAnswer(msgspec.Struct, frozen=True):
    """Reply to a Report: status of all targets of the owner."""

    targets: tuple[Status, ...]


class PermitAsk(msgspec.Struct, frozen=True):
    """Requests or renews a permit to load an adapter."""

    target: str
    account: str
    renew: bool


class PermitAnswer(msgspec.Struct, frozen=True):
    """Reply to a PermitAsk."""

    granted: bool


class PermitRelease(msgspec.Struct, frozen=True):
    """Returns a permit."""

    target: str


def encode(message: msgspec.Struct) -> bytes:
    """Serialize a message.

    >>> decode(Close, encode(Close('a', 'oak@1', 7)))
    Close(target='a', model='oak@1', number=7)
    """
    fields = msgspec.to_builtins(message)
    kind = _kind(type(message))
    return bytes(kind.new_message(**fields).to_bytes())


def decode(type_: type[T], payload: bytes) -> T:
    """Decode a message. Raises ValueError if it is malformed."""
    try:
        with _kind(type_).from_bytes(payload) as message:
            return msgspec.convert(message.to_dict(), type_)
    except Exception as error:  # of pycapnp or msgspec
        raise ValueError(f'malformed {type_.__name__}') from error


def _kind(type_: type) -> Any:
    return getattr(schema.load('targets'), type_.__name__)
