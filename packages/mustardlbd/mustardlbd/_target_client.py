"""HTTP client for targets: no cookies, redirects or added headers."""

from collections import abc
import contextlib
import dataclasses
import ssl
from typing import Any

import httpx
import trio

from mustardlb import errors
from mustardlb import http_transport
from mustardlb import steps
from mustardlbd import _target_streams

# Idle connections close before the idle timeout of common servers, so that
# a request is rarely sent on a connection that the server is closing.
KEEPALIVE_SECONDS = 4.0

CANCEL_TIMEOUT_SECONDS = 2.0

Headers = abc.Sequence[tuple[bytes, bytes]]
Content = bytes | abc.AsyncIterable[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits of one exchange, in seconds.

    :ivar connect: until the connection is established
    :ivar response: until the response starts
    :ivar read: between two blocks of the response body
    """

    connect: float
    response: float
    read: float


class Client:
    """Connections to all targets, pooled or used once."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        context = tls or ssl.create_default_context()
        self._shared = _make_transport(context, None)
        self._unpooled = _make_transport(context, 0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._shared.aclose()
        await self._unpooled.aclose()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        method: str,
        url: str,
        headers: Headers,
        content: Content,
        timeouts: Timeouts,
        peer: str,
        *,
        target: bytes = b'',
        fresh: bool = False,
    ) -> abc.AsyncIterator[httpx.Response]:
        """Send a request and yield the response, its body unread.

        `target` is the path and query to send unchanged. `fresh` opens a
        new connection, for requests that must not run twice: if the server
        closes an idle connection, it is unknown whether the request ran.
        Raises TARGET_FAILED or TARGET_TIMEOUT.
        """
        limits = {
            'connect': timeouts.connect,
            'read': timeouts.response,
            'write': timeouts.response,
            'pool': timeouts.connect,
        }
        extensions: dict[str, Any] = {'timeout': limits}
        if target:
            extensions['target'] = target
        request = httpx.Request(
            method,
            url,
            headers=list(headers),
            content=content,
            extensions=extensions,
        )
        transport = self._unpooled if fresh else self._shared
        with translate_errors(peer, steps.Step.DISPATCH):
            response = await transport.handle_async_request(request)
        # httpcore looks the timeout up again when it reads the body.
        limits['read'] = timeouts.read
        try:
            yield response
        finally:
            with trio.CancelScope(shield=True):
                await response.stream.aclose()  # type: ignore[union-attr]

    async def cancel(self, url: str, request_id: str) -> bool:
        """Cancel a request at an engine; return whether it confirmed."""
        timeouts = Timeouts(
            CANCEL_TIMEOUT_SECONDS,
            CANCEL_TIMEOUT_SECONDS,
            CANCEL_TIMEOUT_SECONDS,
        )
        with trio.move_on_after(CANCEL_TIMEOUT_SECONDS, shield=True):
            with contextlib.suppress(errors.Error):
                async with self.exchange(
                    'DELETE',
                    f'{url}/v1/streams/{request_id}',
                    [],
                    b'',
                    timeouts,
                    '',
                ) as response:
                    return response.status_code == httpx.codes.NO_CONTENT
        return False


def _make_transport(
    context: ssl.SSLContext, max_idle: int | None
) -> httpx.AsyncHTTPTransport:
    """Return a transport; `max_idle` of None keeps all connections."""
    return http_transport.make_transport(
        context,
        max_connections=None,
        max_idle=max_idle,
        keepalive=KEEPALIVE_SECONDS,
        backend=_target_streams.make_backend(),
    )


@contextlib.contextmanager
def translate_errors(peer: str, step: steps.Step) -> abc.Iterator[None]:
    """Translate the HTTP library's errors into errors.Error.

    Without a connection the request cannot have run, so only those errors
    and a request that HTTP/1.1 cannot express are marked `not_run`.
    """
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'could not connect to the target',
            step,
            peer,
            not_run=True,
        ) from None
    except httpx.TimeoutException:
        raise errors.Error(
            errors.Code.TARGET_TIMEOUT,
            'the target did not respond in time',
            step,
            peer,
        ) from None
    except httpx.LocalProtocolError:
        raise errors.Error(
            errors.Code.BAD_REQUEST,
            'the request cannot be forwarded over HTTP/1.1',
            step,
            peer,
            not_run=True,
        ) from None
    except httpx.TransportError:
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'the connection to the target was lost',
            step,
            peer,
        ) from None


async def read_body(response: httpx.Response, limit: int, peer: str) -> bytes:
    """Return a response body. Raises TARGET_FAILED if it is too large."""
    body = bytearray()
    with translate_errors(peer, steps.Step.STREAM):
        async for block in response.stream:  # type: ignore[union-attr]
            body += block
            if len(body) > limit:
                raise errors.Error(
                    errors.Code.TARGET_FAILED,
                    f'the response body exceeds {limit} bytes',
                    steps.Step.STREAM,
                    peer,
                )
    return bytes(body)
