"""The owner table: which VM owns which slice of accounts and targets."""

import dataclasses
import hashlib

import msgspec

# Number of slices. It must not change, because the slice of a key depends on
# it and must be the same on all nodes.
SLICES = 256


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """The owner of one slice.

    :ivar vm_id: '' while the slice has no owner yet
    :ivar epoch: grows with each change of owner; the fencing token of
        commands to the targets of the slice
    """

    vm_id: str = ''
    epoch: int = 0


def slice_of(key: str) -> int:
    """Return the slice of the key of an account or a target.

    >>> slice_of('account/midland') == slice_of('account/midland')
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % SLICES


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """The active owner table.

    :ivar version: version of the object 'fleet/owners', 0 before the first
    :ivar slices: owner of each slice, in order
    :ivar since: for each slice, the table version with which this node
        first received its current owner
    """

    version: int = 0
    slices: tuple[Slice, ...] = (Slice(),) * SLICES
    since: tuple[int, ...] = (0,) * SLICES

    def owner_of(self, key: str) -> Slice:
        """Return the owner of an account or a target by its key."""
        return self.slices[slice_of(key)]


def next_owners(before: Owners, version: int, value: bytes) -> Owners:
    """Return the owners after a table update, with `since` updated."""
    slices = decode(value)
    since = tuple(
        old_since if old == new else version
        for old, new, old_since in zip(
            before.slices, slices, before.since, strict=True
        )
    )
    return Owners(version, slices, since)


def encode(slices: tuple[Slice, ...]) -> bytes:
    """Encode the slices."""
    return msgspec.json.encode(slices)


def decode(value: bytes) -> tuple[Slice, ...]:
    """Decode the slices. Raises ValueError if that is impossible."""
    try:
        slices = msgspec.json.decode(value, type=tuple[Slice, ...])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    if len(slices) != SLICES:
        raise ValueError(f'{len(slices)} slices instead of {SLICES}')
    return slices


def validate(value: bytes) -> None:
    """Raise ValueError unless the bytes are an owner table."""
    decode(value)
