"""Client of the engines; sites with another engine API replace this module.

docs/interfaces/engine.md describes requests, responses and errors. A node
forwards completion calls unchanged, so this module only defines their header
names, paths and error codes.
"""

import hashlib
from typing import Any
from typing import Protocol
from urllib import parse

import httpx
import msgspec

from mustardlb import http_transport

# Headers of completion requests.
REQUEST_ID_HEADER = 'X-Request-Id'
PRIORITY_HEADER = 'X-Priority'

# Headers of completion responses.
SERVED_MODEL_HEADER = 'X-Served-Model'
INCARNATION_HEADER = 'X-Engine-Incarnation'

# Paths of completion requests.
CHAT_PATH = '/v1/chat/completions'
COMPLETIONS_PATH = '/v1/completions'

# Engines serve lower numbers first.
HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9

# Error codes in the bodies of error responses.
NOT_LOADED = 'adapter_not_loaded'
QUEUE_FULL = 'queue_full'
SLOTS_FULL = 'slots_full'
LOAD_FAILED = 'load_failed'
FENCED = 'fenced'
IN_USE = 'in_use'
STREAM_LOST = 'stream_lost'

CALL_TIMEOUT_SECONDS = 3.0

# An engine responds to a load command once the weights have arrived.
LOAD_TIMEOUT_SECONDS = 20.0

HASHED_PREFIX_CHARACTERS = 256


class EngineError(Exception):
    """A command or a report request failed."""


class EngineUnavailable(EngineError):
    """The engine sent no valid response.

    A command may have been executed, or may still be.
    """


class EngineRejected(EngineError):
    """The engine rejected a command, which had no effect."""


class StaleFencingToken(EngineRejected):
    """The engine has seen a higher fencing token.

    :ivar highest: highest fencing token the engine has seen
    """

    def __init__(self, highest: int) -> None:
        super().__init__(f'engine has seen fencing token {highest}')
        self.highest = highest


class SlotsFull(EngineRejected):
    """All adapter slots of the engine are occupied."""


class AdapterInUse(EngineRejected):
    """The adapter is serving a request and cannot be evicted."""


class LoadFailed(EngineRejected):
    """The engine received no weights; the adapter is not resident."""


class LoadReport(msgspec.Struct, frozen=True):
    """The most recent load report of an engine, which lags behind its state.

    :ivar incarnation: changes when the engine restarts with empty memory
    :ivar slots: number of adapter slots
    :ivar resident: models in memory
    :ivar running: number of requests in the batch
    :ivar waiting: number of queued requests
    :ivar batch_limit: maximum number of requests in the batch
    :ivar kv_free: free fraction of the KV cache
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

    :ivar id: sequence number; a gap means that events were lost
    :ivar kind: 'stored' or 'evicted'
    :ivar prefix: prefix hash
    """

    id: int
    kind: str
    prefix: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events, and the id of the newest event of the engine."""

    events: tuple[CacheEvent, ...]
    last: int


class Engine(Protocol):
    """Commands and reports of one engine; all methods raise EngineError."""

    async def load(self, model: str, fence: int) -> None:
        """Load a model into memory."""

    async def evict(self, model: str, fence: int) -> None:
        """Evict a model; no effect if it is not resident."""

    async def set_role(self, role: str, fence: int) -> None:
        """Set the role to 'serve' or 'drain'."""

    async def load_report(self) -> LoadReport:
        """Return the most recent load report."""

    async def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after an id.

        They arrive with a delay, and some may be missing.
        """

    async def export_kv(self, prefix: str) -> bytes:
        """Return the serialized KV cache of a prefix."""

    async def import_kv(self, prefix: str, value: bytes) -> None:
        """Add the serialized KV cache of a prefix."""

    async def cancel(self, request_id: str) -> None:
        """Cancel a request; no effect if it is not running."""


def resume_path(request_id: str, after: int) -> str:
    """Return the path that resumes a stream after an event.

    >>> resume_path('a/b', 7)
    '/v1/streams/a%2Fb?after=7'
    """
    return f'{cancel_path(request_id)}?after={after}'


def cancel_path(request_id: str) -> str:
    """Return the path whose DELETE cancels a request."""
    return f'/v1/streams/{parse.quote(request_id, safe="")}'


def prefix_hash(model: str, text: str) -> str:
    """Return the hash of the model and the first characters of a prompt.

    >>> len(prefix_hash('oak@1', 'Survey of the northern wood'))
    16
    """
    data = f'{model}\n{text[:HASHED_PREFIX_CHARACTERS]}'.encode()
    return hashlib.sha256(data).hexdigest()[:16]


class HttpEngine:
    """Engine client over HTTP."""

    def __init__(
        self, url: str, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self._client = httpx.AsyncClient(
            base_url=url,
            transport=http_transport.make_transport(False),
            timeout=timeout,
            trust_env=False,
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
        response = await self._call('GET', '/load')
        return _decode(response, LoadReport)

    async def cache_events(self, after: int) -> CacheEvents:
        """See Engine."""
        response = await self._call('GET', f'/cache-events?after={after}')
        return _decode(response, CacheEvents)

    async def export_kv(self, prefix: str) -> bytes:
        """See Engine."""
        body = {'prefix': prefix}
        response = await self._call('POST', '/kv/export', json=body)
        return response.content

    async def import_kv(self, prefix: str, value: bytes) -> None:
        """See Engine."""
        query = parse.urlencode({'prefix': prefix})
        await self._call('POST', f'/kv/import?{query}', content=value)

    async def cancel(self, request_id: str) -> None:
        """See Engine."""
        await self._call('DELETE', cancel_path(request_id))

    async def _call(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response:
        try:
            response = await self._client.request(method, path, **options)
        except httpx.HTTPError as error:
            raise EngineUnavailable(repr(error)) from error
        if not response.is_success:
            raise _engine_error(response)
        return response


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


def _engine_error(response: httpx.Response) -> EngineError:
    try:
        detail = msgspec.json.decode(response.content, type=_ErrorBody).error
    except msgspec.MsgspecError:
        detail = _ErrorDetail()
    if detail.code == FENCED:
        return StaleFencingToken(detail.highest)
    if detail.code in _ERROR_BY_CODE:
        return _ERROR_BY_CODE[detail.code](detail.message)
    if response.is_client_error:
        return EngineRejected(f'status {response.status_code}')
    return EngineUnavailable(f'status {response.status_code}')


def _decode(response: httpx.Response, type_: type) -> Any:
    try:
        return msgspec.json.decode(response.content, type=type_)
    except msgspec.MsgspecError as error:
        raise EngineUnavailable(str(error)) from error
