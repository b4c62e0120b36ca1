"""Interface of the platform's object API.

docs/interfaces/object-api.md describes requests, responses and errors.
"""

import dataclasses
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000

# The version of an object that does not exist.
ABSENT = 0

# A version that no object has. A write that expects it always fails without
# effect, and the resulting VersionConflict contains the current version.
UNMATCHABLE_VERSION = 2**53 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One stored object.

    :ivar name: unique name of the form 'kind/rest'
    :ivar version: increases with each write, ABSENT if the object does not
        exist
    :ivar value: the bytes, b'' if the object does not exist
    """

    name: str
    version: int
    value: bytes


class VersionConflict(Exception):
    """A conditional write expected another version and had no effect.

    :ivar name: name of the object
    :ivar current: version of the object at some time during the call, never
        a stale one
    """

    def __init__(self, name: str, current: int) -> None:
        super().__init__(f'{name} is at version {current}')
        self.name = name
        self.current = current


class ApiUnavailable(Exception):
    """The call got no response; a write may have been executed or not."""


class ApiRejected(Exception):
    """The API rejected the call, which had no effect."""


class ObjectApi(Protocol):
    """The object API. All methods raise ApiUnavailable and ApiRejected.

    get, list_versions and watch may return stale results. The conditions of
    put and delete are always checked against the current state.
    """

    async def get(self, name: str) -> Object:
        """Return one object, with version ABSENT if it does not exist."""

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Return the versions of the objects with a name prefix, by name."""

    async def put(self, name: str, value: bytes, expected: int) -> int:
        """Write an object if its version is `expected`.

        ABSENT creates the object. Returns the new version. Raises
        VersionConflict.
        """

    async def delete(self, name: str, expected: int) -> None:
        """Delete an object if its version is `expected`.

        Raises VersionConflict.
        """

    async def watch(self, name: str, after: int, wait: float) -> Object | None:
        """Return a version above `after`, or None after `wait` seconds."""
