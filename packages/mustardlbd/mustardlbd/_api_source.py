"""Objects and confirmations that a node gets from the object API."""

import math
import random

import structlog
import trio

from mustardlb import clock
from mustardlb import object_api
from mustardlbd import _documents
from mustardlbd import _freshness

log = structlog.get_logger()

PROBE_INTERVAL_SECONDS = 1.0

PROBE_TIMEOUT_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 3.0

# Longest time that the API holds one watch request.
WATCH_SECONDS = 20.0

# Delay after a failed call or an outdated response.
RETRY_DELAY_SECONDS = 0.2

_FAILURES = (
    object_api.ApiUnavailable,
    object_api.ApiRejected,
    trio.TooSlowError,
)


class ApiSource:
    """Keeps tracked objects current from the object API."""

    def __init__(
        self,
        api: object_api.ObjectApi,
        documents: _documents.Documents,
        freshness: _freshness.Freshness,
        now: clock.Clock,
        fetch_part: _documents.FetchPart,
    ) -> None:
        self._api = api
        self._documents = documents
        self._freshness = freshness
        self._now = now
        self._fetch_part = fetch_part
        self._confirmed_at = [-math.inf] * len(_documents.TRACKED)

    def staleness(self) -> float:
        """Return the seconds since the API last confirmed every object."""
        return self._now() - min(self._confirmed_at)

    async def probe(self, index: int) -> None:
        """Confirm the newest version; fetch it first if it is newer.

        Reads and watches may return an older state. Only a rejected
        conditional write shows the current version, as of the time at
        which the write was sent.
        """
        name = _documents.TRACKED[index]
        sent_at = self._now()
        try:
            with trio.fail_after(PROBE_TIMEOUT_SECONDS):
                current = await _current_version(self._api, name)
            while self._documents.versions()[index] < current:
                with trio.fail_after(READ_TIMEOUT_SECONDS):
                    await self._read(index)
        except (*_FAILURES, _documents.FetchError) as error:
            log.info('MLB-2030', object=name, problem=repr(error))
            return
        self._confirmed_at[index] = sent_at
        self._freshness.confirm(index, sent_at, _freshness.Evidence.API)

    async def watch(self, index: int) -> None:
        """Wait for one change and adopt it."""
        name = _documents.TRACKED[index]
        held = self._documents.versions()[index]
        try:
            with trio.fail_after(WATCH_SECONDS + READ_TIMEOUT_SECONDS):
                found = await self._api.watch(name, held, WATCH_SECONDS)
            if found is None:
                return
            if found.version <= held:
                # A restarted watch may return old versions; the delay keeps
                # that from becoming a busy loop.
                await trio.sleep(RETRY_DELAY_SECONDS)
                return
            await self._adopt(index, found)
        except (*_FAILURES, _documents.FetchError) as error:
            log.info('MLB-2031', object=name, problem=repr(error))
            await trio.sleep(RETRY_DELAY_SECONDS * (1 + random.random()))

    async def _read(self, index: int) -> None:
        found = await self._api.get(_documents.TRACKED[index])
        if found.version <= self._documents.versions()[index]:
            await trio.sleep(RETRY_DELAY_SECONDS)
            return
        await self._adopt(index, found)

    async def _adopt(self, index: int, found: object_api.Object) -> None:
        tracked = _documents.TrackedObject(found.version, found.value)
        await self._documents.adopt(index, tracked, self._fetch_part)


async def _current_version(api: object_api.ObjectApi, name: str) -> int:
    """Return the version that a rejected conditional write reports."""
    try:
        await api.put(name, b'', object_api.UNMATCHABLE_VERSION)
    except object_api.VersionConflict as conflict:
        return conflict.current
    raise object_api.ApiRejected(
        f'{name}: a write that has to conflict was committed'
    )


def api_fetcher(api: object_api.ObjectApi) -> _documents.FetchPart:
    """Return a fetcher that reads parts from the object API."""

    async def read(digest: str) -> bytes | None:
        name = _documents.part_object_name(digest)
        try:
            with trio.fail_after(READ_TIMEOUT_SECONDS):
                found = await api.get(name)
                if found.version != object_api.ABSENT:
                    return found.value
                # A lagging read may miss the part; the version that a
                # rejected conditional write returns never lags.
                current = await _current_version(api, name)
        except _FAILURES as error:
            raise _documents.FetchError(name) from error
        if current == object_api.ABSENT:
            return None
        raise _documents.FetchError(name)

    return read
