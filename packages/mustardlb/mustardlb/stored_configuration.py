"""Reading the stored configuration, no older than the call.

Calls are repeated until the object API answers; bound them with a timeout.
"""

from collections import abc
import dataclasses
import random
from typing import TypeVar

import structlog
import trio

from mustardlb import configuration
from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps

log = structlog.get_logger()

# Pauses between tries of the object API, seconds.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedHead:
    """The head as it was at some moment during the read."""

    version: int
    head: configuration.Head


async def read_head(api: object_api.ObjectApi) -> VersionedHead:
    """Read the head, no older than the begin of this call.

    A read may lag, a refused write never does: it names the version that
    the read must reach.
    """
    version = await _persist(
        lambda: _put(
            api, configuration.HEAD_NAME, b'', object_api.UNMATCHABLE_VERSION
        )
    )
    if version == object_api.ABSENT:
        return VersionedHead(version, configuration.Head())
    for pause in _pauses():
        found = await _persist(lambda: api.get(configuration.HEAD_NAME))
        if found.version >= version:
            return VersionedHead(found.version, _decode_head(found.value))
        await trio.sleep(pause)
    raise AssertionError('unreachable')


async def read_object(
    api: object_api.ObjectApi, head: configuration.Head, name: str
) -> bytes | None:
    """Read the bytes of an object that a head names, None if it does not."""
    entry = head.entries.get(name)
    if entry is None:
        return None
    parts = [await _read_part(api, digest) for digest in entry.parts]
    return b''.join(parts)


async def write_part(
    api: object_api.ObjectApi, digest: str, part: bytes
) -> None:
    """Create a part; one that is there already has the same bytes."""
    name = configuration.PART_PREFIX + digest
    await _persist(lambda: _put(api, name, part, object_api.ABSENT))


def rejection_error(error: object_api.ApiRejected) -> errors.Error:
    """Return the error for a call that the object API refused."""
    return _error(
        errors.Code.API_UNAVAILABLE,
        f'the object API refused the call: {error}',
    )


async def _put(
    api: object_api.ObjectApi, name: str, value: bytes, expected: int
) -> int:
    """Write if the version is `expected`; return the version there is."""
    try:
        return await api.put(name, value, expected)
    except object_api.VersionConflict as conflict:
        return conflict.current


async def _read_part(api: object_api.ObjectApi, digest: str) -> bytes:
    name = configuration.PART_PREFIX + digest
    for pause in _pauses():
        found = await _persist(lambda: api.get(name))
        if list(configuration.split_parts(found.value)) == [digest]:
            return found.value
        await trio.sleep(pause)
    raise AssertionError('unreachable')


async def _persist(call: abc.Callable[[], abc.Awaitable[T]]) -> T:
    """Repeat an idempotent call until the object API answers."""
    for pause in _pauses():
        try:
            return await call()
        except object_api.ApiRejected as error:
            raise rejection_error(error) from error
        except object_api.ApiUnavailable as error:
            log.warning('MLB-1005', problem=str(error), pause=pause)
            await trio.sleep(pause)
    raise AssertionError('unreachable')


def _pauses() -> abc.Iterator[float]:
    """Yield growing pauses with jitter, without end, seconds."""
    longest = INITIAL_BACKOFF_SECONDS
    while True:
        yield longest * (0.5 + random.random() / 2)
        longest = min(2 * longest, MAX_BACKOFF_SECONDS)


def _decode_head(value: bytes) -> configuration.Head:
    try:
        return configuration.decode_head(value)
    except ValueError as error:
        raise _error(
            errors.Code.INVALID_OBJECT,
            f'{configuration.HEAD_NAME} cannot be read: {error}',
        ) from error


def _error(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(code, message, steps.Step.CONTRACT_CHANGE)
