"""The object API over HTTP; a site's own flavour is this file to change.

docs/interfaces/object-api.md describes request, response and errors.
"""

from urllib import parse

import httpx
import msgspec

from mustardlb import endpoint_tls
from mustardlb import object_api

# Longest time for the answer of a call, seconds.
CALL_TIMEOUT_SECONDS = 3.0

# Most connections kept to the API by one process.
MAX_CONNECTIONS = 64


class _Versions(msgspec.Struct, frozen=True):
    versions: dict[str, int]


class HttpObjectApi:
    """An ObjectApi that speaks HTTP."""

    def __init__(
        self,
        url: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        authority: str = '',
    ) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=url,
            verify=endpoint_tls.httpx_verify(url, authority),
            timeout=timeout,
            trust_env=False,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(self, name: str) -> object_api.Object:
        """See ObjectApi."""
        answer = await self._call('GET', _path(name))
        if answer.status_code == httpx.codes.NOT_FOUND:
            return object_api.Object(name, object_api.ABSENT, b'')
        return object_api.Object(name, _version(answer), answer.content)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """See ObjectApi."""
        query = parse.urlencode({'prefix': prefix})
        answer = await self._call('GET', f'/objects?{query}')
        try:
            return msgspec.json.decode(answer.content, type=_Versions).versions
        except msgspec.MsgspecError as error:
            raise object_api.ApiUnavailable(str(error)) from error

    async def put(self, name: str, value: bytes, expected: int) -> int:
        """See ObjectApi."""
        answer = await self._call(
            'PUT', _path(name), content=value, headers=_condition(expected)
        )
        _check_condition(name, answer)
        return _version(answer)

    async def delete(self, name: str, expected: int) -> None:
        """See ObjectApi."""
        answer = await self._call(
            'DELETE', _path(name), headers=_condition(expected)
        )
        _check_condition(name, answer)

    async def watch(
        self, name: str, after: int, wait: float
    ) -> object_api.Object | None:
        """See ObjectApi."""
        path = f'{_path(name)}?after={after}&wait={wait}'
        answer = await self._call('GET', path, timeout=wait + self._timeout)
        if answer.status_code == httpx.codes.NO_CONTENT:
            return None
        return object_api.Object(name, _version(answer), answer.content)

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
    ) -> httpx.Response:
        try:
            answer = await self._client.request(
                method,
                path,
                content=content,
                headers=headers,
                timeout=timeout or self._timeout,
            )
        except httpx.HTTPError as error:
            raise object_api.ApiUnavailable(repr(error)) from error
        _check_status(answer)
        return answer


def _path(name: str) -> str:
    return f'/objects/{parse.quote(name)}'


def _condition(expected: int) -> dict[str, str]:
    if expected == object_api.ABSENT:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected}"'}


def _check_status(answer: httpx.Response) -> None:
    status = answer.status_code
    expected = (httpx.codes.NOT_FOUND, httpx.codes.PRECONDITION_FAILED)
    if answer.is_success or status in expected:
        return
    if answer.is_client_error:
        raise object_api.ApiRejected(f'status {status}')
    raise object_api.ApiUnavailable(f'status {status}')


def _check_condition(name: str, answer: httpx.Response) -> None:
    if answer.status_code == httpx.codes.PRECONDITION_FAILED:
        raise object_api.VersionConflict(name, _version(answer))


def _version(answer: httpx.Response) -> int:
    try:
        return int(answer.headers['ETag'].strip('"'))
    except (KeyError, ValueError) as error:
        raise object_api.ApiUnavailable('no version in answer') from error
