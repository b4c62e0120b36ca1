"""The configuration as the object API keeps it and as nodes use it.

The object HEAD_NAME names every configuration object by the hash of its bytes;
the bytes stand in parts that are written once and never change. A change is
one conditional write of the head, so that all changes have one order.
docs/design/configuration.md has the reasons.
"""

from collections import abc
import dataclasses
import hashlib
import types

import msgspec

# The object whose versions order every change.
HEAD_NAME = 'config/head'

# Parts are objects 'config/part/<sha256>'.
PART_PREFIX = 'config/part/'

# Largest part, bytes; under the value limit of the object API.
MAX_PART_BYTES = 500_000


class Entry(msgspec.Struct, frozen=True):
    """One configuration object in the head.

    :ivar revision: the head revision that changed it last
    :ivar parts: SHA-256 of each part, in order, hexadecimal
    """

    revision: int
    parts: tuple[str, ...]


class Head(msgspec.Struct, frozen=True):
    """The table of configuration objects.

    :ivar revision: grows by one with each change, 0 before the first
    :ivar change: identifier of the change that wrote this head, drawn at
        random, by which a writer whose answer was lost knows its own
    :ivar entries: by name: 'contract/<account>', 'keys/<account>',
        'route/<name>', 'target/<name>'
    :ivar recent: identifiers of the last changes, newest first
    """

    revision: int = 0
    change: str = ''
    entries: dict[str, Entry] = {}
    recent: tuple[str, ...] = ()


def encode_head(head: Head) -> bytes:
    """Serialize a head; the same head always gives the same bytes."""
    return msgspec.json.encode(head, order='sorted')


def decode_head(value: bytes) -> Head:
    """Read a head. Raises ValueError on anything else."""
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error


def split_parts(value: bytes) -> dict[str, bytes]:
    """Cut a value into parts, by hash, in order.

    >>> [len(part) for part in split_parts(b'x' * 600_000).values()]
    [500000, 100000]
    """
    parts = {}
    for start in range(0, max(len(value), 1), MAX_PART_BYTES):
        part = value[start : start + MAX_PART_BYTES]
        parts[hashlib.sha256(part).hexdigest()] = part
    return parts


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidObject:
    """An object that could not be adopted; the last good one is in force.

    :ivar name: the object's name
    :ivar revision: the head revision that named the invalid bytes
    :ivar problem: what is wrong with it
    """

    name: str
    revision: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration in force at a node.

    :ivar revision: revision of the head it was made from
    :ivar values: bytes of each object, by name
    :ivar invalid: objects whose newest bytes were not adopted
    """

    revision: int = 0
    values: abc.Mapping[str, bytes] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    invalid: tuple[InvalidObject, ...] = ()
