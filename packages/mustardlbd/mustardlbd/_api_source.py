"""What a node learns from the object API: data, and evidence of age."""

import math
import random

import structlog
import trio

from mustardlb import clock
from mustardlb import object_api
from mustardlbd import _documents
from mustardlbd import _freshness

log = structlog.get_logger()

# How often evidence is asked for, seconds.
PROBE_INTERVAL_SECONDS = 1.0

# How long an answer is waited for, seconds.
PROBE_TIMEOUT = 1.5
READ_TIMEOUT = 3.0

# How long one watch waits for a change, seconds.
WATCH_TIME = 20.0

# Wait after a failed call, seconds.
RETRY_PAUSE = 0.2

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
        self._asked = [-math.inf] * len(_documents.TRACKED)

    def staleness(self) -> float:
        """Return the seconds since the API last gave evidence here."""
        return self._now() - min(self._asked)

    async def probe(self, index: int) -> None:
        """Ask for evidence of the newest version; fetch it if it is newer.

        Reads and watches may show an older state, so only a refused
        conditional write is evidence, and only as of its sending.
        """
        name = _documents.TRACKED[index]
        asked = self._now()
        try:
            with trio.fail_after(PROBE_TIMEOUT):
                current = await _current_version(self._api, name)
            while self._documents.versions()[index] < current:
                with trio.fail_after(READ_TIMEOUT):
                    await self._read(index)
        except (*_FAILURES, _documents.FetchError) as error:
            log.info('MLB-2030', object=name, problem=repr(error))
            return
        self._asked[index] = asked
        self._freshness.confirm(index, asked, _freshness.Evidence.API)

    async def watch(self, index: int) -> None:
        """Wait for a change once and adopt it."""
        name = _documents.TRACKED[index]
        held = self._documents.versions()[index]
        try:
            with trio.fail_after(WATCH_TIME + READ_TIMEOUT):
                found = await self._api.watch(name, held, WATCH_TIME)
            if found is None:
                return
            if found.version <= held:
                # A watch that restarted; it must not keep us busy.
                await trio.sleep(RETRY_PAUSE)
                return
            await self._adopt(index, found)
        except (*_FAILURES, _documents.FetchError) as error:
            log.info('MLB-2031', object=name, problem=repr(error))
            await trio.sleep(RETRY_PAUSE * (1 + random.random()))

    async def _read(self, index: int) -> None:
        found = await self._api.get(_documents.TRACKED[index])
        if found.version <= self._documents.versions()[index]:
            await trio.sleep(RETRY_PAUSE)
            return
        await self._adopt(index, found)

    async def _adopt(self, index: int, found: object_api.Object) -> None:
        tracked = _documents.TrackedObject(found.version, found.value)
        await self._documents.adopt(index, tracked, self._fetch_part)


async def _current_version(api: object_api.ObjectApi, name: str) -> int:
    try:
        await api.put(name, b'', object_api.UNMATCHABLE_VERSION)
    except object_api.VersionConflict as conflict:
        return conflict.current
    raise object_api.ApiRejected(f'{name}: a write that must fail landed')


def api_fetcher(api: object_api.ObjectApi) -> _documents.FetchPart:
    """Read parts from the API; None for one that certainly is absent."""

    async def read(digest: str) -> bytes | None:
        name = _documents.part_object_name(digest)
        try:
            with trio.fail_after(READ_TIMEOUT):
                found = await api.get(name)
                if found.version != object_api.ABSENT:
                    return found.value
                # A lagging read may miss it; this answer never lags.
                current = await _current_version(api, name)
        except _FAILURES as error:
            raise _documents.FetchError(name) from error
        if current == object_api.ABSENT:
            return None
        raise _documents.FetchError(name)

    return read
