"""Reads and writes the configuration in the object API.

Reads return a state at least as recent as the call. Calls are retried until
the object API responds, so callers set a timeout.
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

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedHead:
    """A head and its object version.

    :ivar version: version of the object HEAD_NAME, ABSENT if there is none
    :ivar head: the head, at some time during the read
    """

    version: int
    head: configuration.Head


async def read_head(api: object_api.ObjectApi) -> VersionedHead:
    """Return the head, at least as recent as the start of this call.

    A read may be stale, but a rejected conditional write reports the current
    version, which the read then has to reach.
    """
    version = await _call_with_retries(
        lambda: _put(
            api, configuration.HEAD_NAME, b'', object_api.UNMATCHABLE_VERSION
        )
    )
    if version == object_api.ABSENT:
        return VersionedHead(version, configuration.Head())
    for delay in _backoff_delays():
        found = await _call_with_retries(
            lambda: api.get(configuration.HEAD_NAME)
        )
        if found.version >= version:
            return VersionedHead(found.version, _decode_head(found.value))
        await trio.sleep(delay)
    raise AssertionError('unreachable')


async def read_object(
    api: object_api.ObjectApi, head: configuration.Head, name: str
) -> bytes | None:
    """Return the bytes of an object, None if it is not in the head."""
    entry = head.entries.get(name)
    if entry is None:
        return None
    parts = [await _read_part(api, digest) for digest in entry.parts]
    return b''.join(parts)


async def write_part(
    api: object_api.ObjectApi, digest: str, part: bytes
) -> None:
    """Create a part; an existing one already has the same bytes."""
    name = configuration.PART_PREFIX + digest
    await _call_with_retries(lambda: _put(api, name, part, object_api.ABSENT))


def rejection_error(error: object_api.ApiRejected) -> errors.Error:
    """Return the error for a call that the object API rejected."""
    return _error(
        errors.Code.API_UNAVAILABLE,
        f'the object API rejected the call: {error}',
    )


async def _put(
    api: object_api.ObjectApi, name: str, value: bytes, expected: int
) -> int:
    """Write if the version is `expected`; return the current version."""
    try:
        return await api.put(name, value, expected)
    except object_api.VersionConflict as conflict:
        return conflict.current


async def _read_part(api: object_api.ObjectApi, digest: str) -> bytes:
    name = configuration.PART_PREFIX + digest
    for delay in _backoff_delays():
        found = await _call_with_retries(lambda: api.get(name))
        if list(configuration.split_parts(found.value)) == [digest]:
            return found.value
        await trio.sleep(delay)
    raise AssertionError('unreachable')


async def _call_with_retries(call: abc.Callable[[], abc.Awaitable[T]]) -> T:
    """Retry an idempotent call until the object API responds."""
    for delay in _backoff_delays():
        try:
            return await call()
        except object_api.ApiRejected as error:
            raise rejection_error(error) from error
        except object_api.ApiUnavailable as error:
            log.warning('MLB-1005', problem=str(error), pause=delay)
            await trio.sleep(delay)
    raise AssertionError('unreachable')


def _backoff_delays() -> abc.Iterator[float]:
    """Yield exponential backoff delays with jitter, seconds, endlessly."""
    limit = INITIAL_BACKOFF_SECONDS
    while True:
        yield limit * (0.5 + random.random() / 2)
        limit = min(2 * limit, MAX_BACKOFF_SECONDS)


def _decode_head(value: bytes) -> configuration.Head:
    try:
        return configuration.decode_head(value)
    except ValueError as error:
        raise _error(
            errors.Code.INVALID_OBJECT,
            f'{configuration.HEAD_NAME} is malformed: {error}',
        ) from error


def _error(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(code, message, steps.Step.CONTRACT_CHANGE)
