"""What mustardlb needs of the platform's object API.

docs/interfaces/object-api.md describes request, response and errors.
"""

import dataclasses
from typing import Protocol

# Largest value of one object, bytes.
MAX_VALUE_BYTES = 1_000_000

# The version of an object that does not exist.
ABSENT = 0

# A version that no object has: a write that expects it changes nothing, and
# its refusal tells the version of the moment.
UNMATCHABLE_VERSION = 2**53 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One stored object.

    :ivar name: 'kind/rest', unique
    :ivar version: grows with each write, ABSENT where there is none
    :ivar value: the bytes, b'' where there is none
    """

    name: str
    version: int
    value: bytes


class VersionConflict(Exception):
    """A conditional write that named another version; nothing was written.

    This answer is never stale: `current` was the object's version while
    the call ran.
    """

    def __init__(self, name: str, current: int) -> None:
        super().__init__(f'{name} is at version {current}')
        self.name = name
        self.current = current


class ApiUnavailable(Exception):
    """The call got no answer; a write may or may not have landed."""


class ApiRejected(Exception):
    """The call was refused by the API; nothing was written."""


class ObjectApi(Protocol):
    """The object API. Each method raises ApiUnavailable or ApiRejected.

    get, list_versions and watch may show an older state. put and delete
    are conditional and never act on an older state.
    """

    async def get(self, name: str) -> Object:
        """Read one object; version ABSENT where there is none."""

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Read the version of each object whose name has the prefix."""

    async def put(self, name: str, value: bytes, expected: int) -> int:
        """Write if the version is `expected` (ABSENT: create).

        Returns the new version. Raises VersionConflict.
        """

    async def delete(self, name: str, expected: int) -> None:
        """Delete if the version is `expected`. Raises VersionConflict."""

    async def watch(self, name: str, after: int, wait: float) -> Object | None:
        """Wait for a version above `after`; None after `wait` seconds."""
