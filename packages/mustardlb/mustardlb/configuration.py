"""Format of the configuration in the object API and on the nodes.

The head, stored as object HEAD_NAME, refers to every configuration object by
the hashes of its parts, which are immutable. Every change is one conditional
write of the head, which gives all changes a total order.
docs/design/0002-changes.md gives the reasons.
"""

from collections import abc
import dataclasses
import hashlib
import types

import msgspec

HEAD_NAME = 'config/head'

# Parts are stored as objects 'config/part/<sha256>'.
PART_PREFIX = 'config/part/'

# Less than MAX_VALUE_BYTES of the object API.
MAX_PART_BYTES = 500_000


class Entry(msgspec.Struct, frozen=True):
    """One configuration object in the head.

    :ivar revision: head revision that last changed the object
    :ivar parts: hexadecimal SHA-256 of each part, in order
    """

    revision: int
    parts: tuple[str, ...]


class Head(msgspec.Struct, frozen=True):
    """The table of configuration objects.

    :ivar revision: increases by one with each change, 0 before the first
    :ivar change: identifier of the change that wrote this head; its random
        part lets a writer that got no response recognise its own write
    :ivar entries: entries by object name: 'contract/<account>',
        'keys/<account>', 'route/<name>', 'target/<name>'
    :ivar recent: identifiers of the most recent changes, newest first
    """

    revision: int = 0
    change: str = ''
    entries: dict[str, Entry] = {}
    recent: tuple[str, ...] = ()


def encode_head(head: Head) -> bytes:
    """Serialize a head; equal heads give equal bytes."""
    return msgspec.json.encode(head, order='sorted')


def decode_head(value: bytes) -> Head:
    """Deserialize a head. Raises ValueError."""
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error


def split_parts(value: bytes) -> dict[str, bytes]:
    """Split a value into parts and return them by hash, in order.

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
    """An object that is invalid; its last valid value stays in force.

    :ivar name: name of the object
    :ivar revision: head revision that introduced the invalid value
    :ivar problem: why the value is invalid
    """

    name: str
    revision: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration in force on a node.

    :ivar revision: revision of the head that it reflects
    :ivar values: bytes of each object, by name
    :ivar invalid: objects whose newest value is invalid
    """

    revision: int = 0
    values: abc.Mapping[str, bytes] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    invalid: tuple[InvalidObject, ...] = ()
