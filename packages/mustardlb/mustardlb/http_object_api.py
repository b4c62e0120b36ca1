"""HTTP client of the object API; sites with another API replace this module.

docs/interfaces/object-api.md describes requests, responses and errors.
"""

from urllib import parse

import httpx
import msgspec

from mustardlb import endpoint_tls
from mustardlb import http_transport
from mustardlb import object_api

CALL_TIMEOUT_SECONDS = 3.0

MAX_CONNECTIONS = 64


class _Versions(msgspec.Struct, frozen=True):
    versions: dict[str, int]


class HttpObjectApi:
    """ObjectApi client over HTTP."""

    def __init__(
        self,
        url: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        authority: str = '',
    ) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=url,
            transport=http_transport.make_transport(
                endpoint_tls.httpx_verify(url, authority),
                MAX_CONNECTIONS,
                max_idle=None,
            ),
            timeout=timeout,
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(self, name: str) -> object_api.Object:
        """See ObjectApi."""
        response = await self._call('GET', _path(name))
        if response.status_code == httpx.codes.NOT_FOUND:
            return object_api.Object(name, object_api.ABSENT, b'')
        return object_api.Object(name, _version(response), response.content)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """See ObjectApi."""
        query = parse.urlencode({'prefix': prefix})
        response = await self._call('GET', f'/objects?{query}')
        try:
            return msgspec.json.decode(
                response.content, type=_Versions
            ).versions
        except msgspec.MsgspecError as error:
            raise object_api.ApiUnavailable(str(error)) from error

    async def put(self, name: str, value: bytes, expected: int) -> int:
        """See ObjectApi."""
        response = await self._call(
            'PUT', _path(name), content=value, headers=_condition(expected)
        )
        _check_condition(name, response)
        return _version(response)

    async def delete(self, name: str, expected: int) -> None:
        """See ObjectApi."""
        response = await self._call(
            'DELETE', _path(name), headers=_condition(expected)
        )
        _check_condition(name, response)

    async def watch(
        self, name: str, after: int, wait: float
    ) -> object_api.Object | None:
        """See ObjectApi."""
        path = f'{_path(name)}?after={after}&wait={wait}'
        response = await self._call('GET', path, timeout=wait + self._timeout)
        if response.status_code == httpx.codes.NO_CONTENT:
            return None
        return object_api.Object(name, _version(response), response.content)

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
    ) -> httpx.Response:
        try:
            response = await self._client.request(
                method,
                path,
                content=content,
                headers=headers,
                timeout=timeout or self._timeout,
            )
        except httpx.HTTPError as error:
            raise object_api.ApiUnavailable(repr(error)) from error
        _check_status(response)
        return response


def _path(name: str) -> str:
    return f'/objects/{parse.quote(name)}'


def _condition(expected: int) -> dict[str, str]:
    if expected == object_api.ABSENT:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected}"'}


def _check_status(response: httpx.Response) -> None:
    status = response.status_code
    expected = (httpx.codes.NOT_FOUND, httpx.codes.PRECONDITION_FAILED)
    if response.is_success or status in expected:
        return
    if response.is_client_error:
        raise object_api.ApiRejected(f'status {status}')
    raise object_api.ApiUnavailable(f'status {status}')


def _check_condition(name: str, response: httpx.Response) -> None:
    if response.status_code == httpx.codes.PRECONDITION_FAILED:
        raise object_api.VersionConflict(name, _version(response))


def _version(response: httpx.Response) -> int:
    try:
        return int(response.headers['ETag'].strip('"'))
    except (KeyError, ValueError) as error:
        raise object_api.ApiUnavailable('response has no version') from error
