"""The messages of `mustardlb/schema/targets.capnp`."""

import enum
from typing import Any
from typing import TypeVar

import msgspec

from mustardlb import schema

T = TypeVar('T', bound=msgspec.Struct)

# Names of the services that carry them.
ASK = 'target-ask'
CLOSE = 'target-close'
HAND_OVER = 'target-hand-over'
REPORT = 'target-report'
PERMIT = 'load-permit'
PERMIT_RELEASE = 'load-permit-release'


class Outcome(enum.StrEnum):
    """What an owner answers to a node that asks for a model."""

    GRANTED = 'granted'
    ABSENT = 'absent'
    BUSY = 'busy'
    FAILED = 'failed'
    REFUSED = 'refused'


class Ask(msgspec.Struct, frozen=True):
    """See the schema."""

    target: str
    model: str
    account: str
    load: bool
    missing: bool
    wait: float


class Answer(msgspec.Struct, frozen=True):
    """See the schema."""

    outcome: Outcome
    number: int = 0


class Close(msgspec.Struct, frozen=True):
    """See the schema."""

    target: str
    model: str
    number: int


class CloseAnswer(msgspec.Struct, frozen=True):
    """See the schema."""

    busy: bool


class HandOver(msgspec.Struct, frozen=True):
    """See the schema."""

    target: str
    epoch: int


class Grant(msgspec.Struct, frozen=True):
    """See the schema."""

    model: str
    number: int


class HandOverAnswer(msgspec.Struct, frozen=True):
    """See the schema."""

    grants: tuple[Grant, ...]
    ordering: bool


class Use(msgspec.Struct, frozen=True):
    """See the schema."""

    target: str
    model: str
    number: int
    begun: int = 0
    running: int = 0
    released: bool = False


class Report(msgspec.Struct, frozen=True):
    """See the schema."""

    uses: tuple[Use, ...]


class Status(msgspec.Struct, frozen=True):
    """See the schema."""

    name: str
    running: int
    waiting: int
    batch: int
    resident: tuple[str, ...]
    spare: float


class ReportAnswer(msgspec.Struct, frozen=True):
    """See the schema."""

    targets: tuple[Status, ...]


class PermitAsk(msgspec.Struct, frozen=True):
    """See the schema."""

    target: str
    account: str
    renew: bool


class PermitAnswer(msgspec.Struct, frozen=True):
    """See the schema."""

    granted: bool


class PermitRelease(msgspec.Struct, frozen=True):
    """See the schema."""

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
    """Read a message. Raises ValueError on anything else."""
    try:
        with _kind(type_).from_bytes(payload) as message:
            return msgspec.convert(message.to_dict(), type_)
    except Exception as error:  # the library's own exceptions
        raise ValueError(f'not a {type_.__name__}') from error


def _kind(type_: type) -> Any:
    return getattr(schema.load('targets'), type_.__name__)
