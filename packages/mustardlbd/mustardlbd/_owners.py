"""The table of owners: which VM keeps which slice of accounts or targets."""

import dataclasses
import hashlib

import msgspec

# Slices of the table; the number never changes.
SLICES = 256


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """The owner of one slice.

    :ivar vm_id: '' where the slice has no owner yet
    :ivar epoch: grows whenever the owner changes; the fencing number of
        orders to the targets of the slice
    """

    vm_id: str = ''
    epoch: int = 0


def slice_of(key: str) -> int:
    """Return the slice of an account or a target.

    >>> slice_of('account/midland') == slice_of('account/midland')
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % SLICES


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """The table of owners in force.

    :ivar version: version of the object 'fleet/owners', 0 before the first
    :ivar slices: owner of each slice, in order
    :ivar since: for each slice, a version by which it had this owner
    """

    version: int = 0
    slices: tuple[Slice, ...] = (Slice(),) * SLICES
    since: tuple[int, ...] = (0,) * SLICES

    def owner_of(self, key: str) -> Slice:
        """Return the owner of an account or a target."""
        return self.slices[slice_of(key)]


def follow(before: Owners, version: int, value: bytes) -> Owners:
    """Make the next table, noting which slices have another owner."""
    slices = decode(value)
    since = tuple(
        was if old == new else version
        for old, new, was in zip(
            before.slices, slices, before.since, strict=True
        )
    )
    return Owners(version, slices, since)


def encode(slices: tuple[Slice, ...]) -> bytes:
    """Serialize the slices."""
    return msgspec.json.encode(slices)


def decode(value: bytes) -> tuple[Slice, ...]:
    """Read the slices. Raises ValueError on anything else."""
    try:
        slices = msgspec.json.decode(value, type=tuple[Slice, ...])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    if len(slices) != SLICES:
        raise ValueError(f'{len(slices)} slices instead of {SLICES}')
    return slices


def validate(value: bytes) -> None:
    """Raise ValueError unless the bytes are a table of owners."""
    decode(value)
