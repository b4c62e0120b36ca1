"""HTTP towards targets: one pool, no cookies, redirects or own headers."""

from collections import abc
import contextlib
import dataclasses
import ssl
from typing import Any

import httpcore
import httpx
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _target_streams

# Idle connections to targets are closed after so long, seconds; below what
# common servers wait, so that a request seldom meets a closing connection.
KEEPALIVE_SECONDS = 4.0

# For telling a target that a request is not wanted any more, seconds.
CANCEL_TIMEOUT_SECONDS = 2.0

Headers = abc.Sequence[tuple[bytes, bytes]]
Content = bytes | abc.AsyncIterable[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Limits of one exchange, seconds.

    :ivar connect: until the connection stands
    :ivar response: until the answer begins
    :ivar between: between two pieces of the answer
    """

    connect: float
    response: float
    read: float


class Client:
    """Connections to all targets."""

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
        """Send a request; gives the answer with its body still to come.

        `target` is path and query, to be sent as they are. `fresh` takes a
        new connection, for what may not be repeated: an idle one may be
        closing, and then nobody knows whether it ran.
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
        limits['read'] = timeouts.read
        try:
            yield response
        finally:
            with trio.CancelScope(shield=True):
                await response.stream.aclose()  # type: ignore[union-attr]

    async def cancel(self, url: str, request_id: str) -> bool:
        """Tell an engine to end a request; whether it said that it did."""
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
    """Make a transport that keeps so many idle connections, None for all."""
    transport = httpx.AsyncHTTPTransport(verify=context, trust_env=False)
    # httpx takes no network backend; its pool is made the same way here.
    transport._pool = httpcore.AsyncConnectionPool(
        ssl_context=context,
        max_connections=None,
        max_keepalive_connections=max_idle,
        keepalive_expiry=KEEPALIVE_SECONDS,
        network_backend=_target_streams.Backend(),
    )
    return transport


@contextlib.contextmanager
def translate_errors(peer: str, step: steps.Step) -> abc.Iterator[None]:
    """Turn the client library's errors into ours.

    Only where no connection came about can nothing have run.
    """
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'the target could not be reached',
            step,
            peer,
            not_run=True,
        ) from None
    except httpx.TimeoutException:
        raise errors.Error(
            errors.Code.TARGET_TIMEOUT,
            'the target did not answer in time',
            step,
            peer,
        ) from None
    except httpx.LocalProtocolError:
        raise errors.Error(
            errors.Code.BAD_REQUEST,
            'the request cannot be passed on over HTTP/1.1',
            step,
            peer,
            not_run=True,
        ) from None
    except httpx.TransportError:
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'the connection to the target broke',
            step,
            peer,
        ) from None


async def read_body(response: httpx.Response, limit: int, peer: str) -> bytes:
    """Read an answer whole. Raises TARGET_FAILED where it is too large."""
    body = bytearray()
    with translate_errors(peer, steps.Step.STREAM):
        async for block in response.stream:  # type: ignore[union-attr]
            body += block
            if len(body) > limit:
                raise errors.Error(
                    errors.Code.TARGET_FAILED,
                    f'the answer is over {limit} bytes',
                    steps.Step.STREAM,
                    peer,
                )
    return bytes(body)
