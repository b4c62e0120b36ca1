"""The engine's interface; a site's own flavour is this file to change.

docs/interfaces/engine.md describes request, response and errors. The
completion calls pass through a node unchanged, so only their header names,
paths and error codes stand here.
"""

import hashlib
from typing import Any
from typing import Protocol
from urllib import parse

import httpx
import msgspec

# Headers of a completion call.
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'

# Headers of its answer.
SERVED_MODEL_HEADER = 'X-Served-Model'
INCARNATION_HEADER = 'X-Engine-Incarnation'

# Paths of completion calls.
CHAT_PATH = '/v1/chat/completions'
COMPLETIONS_PATH = '/v1/completions'

# Most and least urgent priority.
HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9

# Error codes in the body of an engine's answer.
NOT_LOADED = 'adapter_not_loaded'
QUEUE_FULL = 'queue_full'
SLOTS_FULL = 'slots_full'
LOAD_FAILED = 'load_failed'
FENCED = 'fenced'
IN_USE = 'in_use'
STREAM_LOST = 'stream_lost'

# Longest time for the answer of a report or a short order, seconds.
CALL_TIMEOUT_SECONDS = 3.0

# Longest time for the answer of a load order, seconds.
LOAD_TIMEOUT_SECONDS = 20.0

# Leading characters of a prompt that its prefix hash covers.
HASHED_PREFIX_CHARACTERS = 256


class EngineError(Exception):
    """An order or a report failed."""


class EngineUnavailable(EngineError):
    """No answer; an order may have had its effect, or may yet have it."""


class EngineRejected(EngineError):
    """The order was refused; it had no effect."""


class StaleFencingToken(EngineRejected):
    """The engine has seen a higher fencing number."""

    def __init__(self, highest: int) -> None:
        super().__init__(f'fencing number {highest} was seen')
        self.highest = highest


class SlotsFull(EngineRejected):
    """Every adapter slot is taken."""


class AdapterInUse(EngineRejected):
    """A request runs on the adapter."""


class LoadFailed(EngineRejected):
    """The weights did not arrive; the adapter is not resident."""


class LoadReport(msgspec.Struct, frozen=True):
    """What an engine last said of its load; it lags.

    :ivar incarnation: changes when the engine restarts with empty memory
    :ivar slots: adapters that fit
    :ivar resident: models held
    :ivar running: requests in the batch
    :ivar waiting: requests queued
    :ivar batch_limit: requests that fit the batch
    :ivar kv_free: fraction of KV cache memory that is free
    :ivar role: 'serve' or 'drain'
    """

    incarnation: str
    slots: int
    resident: tuple[str, ...]
    running: int = 0
    waiting: int = 0
    batch_limit: int = 1
    kv_free: float = 1.0
    role: str = 'serve'


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    :ivar id: counts up; a gap means that events were lost
    :ivar kind: 'stored' or 'evicted'
    :ivar prefix: prefix hash
    """

    id: int
    kind: str
    prefix: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events and the number of the last."""

    events: tuple[CacheEvent, ...]
    last: int


class Engine(Protocol):
    """Orders and reports of one engine. Each method raises EngineError."""

    async def load(self, model: str, fence: int) -> None:
        """Make a model resident."""

    async def evict(self, model: str, fence: int) -> None:
        """Drop a model; nothing happens where it is not resident."""

    async def set_role(self, role: str, fence: int) -> None:
        """Make the engine 'serve' or 'drain'."""

    async def load_report(self) -> LoadReport:
        """Read what the engine last reported; it lags."""

    async def cache_events(self, after: int) -> CacheEvents:
        """Read cache events after a number; late and with gaps."""

    async def export_kv(self, prefix: str) -> bytes:
        """Read the KV cache of a prefix."""

    async def import_kv(self, prefix: str, value: bytes) -> None:
        """Give the engine the KV cache of a prefix."""

    async def cancel(self, request_id: str) -> None:
        """End a request's work; nothing happens where there is none."""


def resume_path(request_id: str, after: int) -> str:
    """Give the path that resumes a stream after an event.

    >>> resume_path('a/b', 7)
    '/v1/streams/a%2Fb?after=7'
    """
    return f'{cancel_path(request_id)}?after={after}'


def cancel_path(request_id: str) -> str:
    """Give the path to DELETE to cancel a request."""
    return f'/v1/streams/{parse.quote(request_id, safe="")}'


def prefix_hash(model: str, text: str) -> str:
    """Hash the model and the leading characters of a prompt.

    >>> len(prefix_hash('oak@1', 'Survey of the northern wood'))
    16
    """
    data = f'{model}\n{text[:HASHED_PREFIX_CHARACTERS]}'.encode()
    return hashlib.sha256(data).hexdigest()[:16]


class HttpEngine:
    """An Engine that speaks HTTP."""

    def __init__(
        self, url: str, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def load(self, model: str, fence: int) -> None:
        """See Engine."""
        body = {'model': model, 'fence': fence}
        await self._call(
            'POST', '/orders/load', json=body, timeout=LOAD_TIMEOUT_SECONDS
        )

    async def evict(self, model: str, fence: int) -> None:
        """See Engine."""
        body = {'model': model, 'fence': fence}
        await self._call('POST', '/orders/evict', json=body)

    async def set_role(self, role: str, fence: int) -> None:
        """See Engine."""
        body = {'role': role, 'fence': fence}
        await self._call('POST', '/orders/role', json=body)

    async def load_report(self) -> LoadReport:
        """See Engine."""
        answer = await self._call('GET', '/load')
        return _decode(answer, LoadReport)

    async def cache_events(self, after: int) -> CacheEvents:
        """See Engine."""
        answer = await self._call('GET', f'/cache-events?after={after}')
        return _decode(answer, CacheEvents)

    async def export_kv(self, prefix: str) -> bytes:
        """See Engine."""
        body = {'prefix': prefix}
        answer = await self._call('POST', '/kv/export', json=body)
        return answer.content

    async def import_kv(self, prefix: str, value: bytes) -> None:
        """See Engine."""
        query = parse.urlencode({'prefix': prefix})
        await self._call('POST', f'/kv/import?{query}', content=value)

    async def cancel(self, request_id: str) -> None:
        """See Engine."""
        await self._call('DELETE', cancel_path(request_id))

    async def _call(
        self, method: str, path: str, **rest: Any
    ) -> httpx.Response:
        try:
            answer = await self._client.request(method, path, **rest)
        except httpx.HTTPError as error:
            raise EngineUnavailable(repr(error)) from error
        if not answer.is_success:
            raise _error(answer)
        return answer


class _ErrorDetail(msgspec.Struct, frozen=True):
    code: str = ''
    message: str = ''
    highest: int = 0


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


_ERROR_BY_CODE: dict[str, type[EngineRejected]] = {
    SLOTS_FULL: SlotsFull,
    IN_USE: AdapterInUse,
    LOAD_FAILED: LoadFailed,
}


def _error(answer: httpx.Response) -> EngineError:
    try:
        detail = msgspec.json.decode(answer.content, type=_ErrorBody).error
    except msgspec.MsgspecError:
        detail = _ErrorDetail()
    if detail.code == FENCED:
        return StaleFencingToken(detail.highest)
    if detail.code in _ERROR_BY_CODE:
        return _ERROR_BY_CODE[detail.code](detail.message)
    if answer.is_client_error:
        return EngineRejected(f'status {answer.status_code}')
    return EngineUnavailable(f'status {answer.status_code}')


def _decode(answer: httpx.Response, type_: type) -> Any:
    try:
        return msgspec.json.decode(answer.content, type=type_)
    except msgspec.MsgspecError as error:
        raise EngineUnavailable(str(error)) from error
