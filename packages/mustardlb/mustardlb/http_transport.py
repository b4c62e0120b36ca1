"""HTTP transport that notices broken responses, for clients of httpx.

httpcore reads on after a failed write of the request, and h11 decodes heads
leniently; see `resets` and `response_heads`.
"""

from collections import abc
import ssl
from typing import Any

import httpcore
import httpx

from mustardlb import resets
from mustardlb import response_heads

# The limits of httpx.
MAX_CONNECTIONS = 100
MAX_IDLE_CONNECTIONS = 20
KEEPALIVE_SECONDS = 5.0


class CheckedStream(httpcore.AsyncNetworkStream):
    """A connection of HTTP/1.1 whose reads fail for a broken response."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._heads = response_heads.HeadScanner()
        self._is_reset = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes, b'' at an orderly end."""
        return self.check(await self._inner.read(max_bytes, timeout))

    def check(self, data: bytes) -> bytes:
        """Return received bytes; raises an error of httpcore."""
        if not data and self._is_reset:
            raise httpcore.ReadError(
                'the connection was reset while data was sent'
            )
        try:
            self._heads.feed(data)
        except ValueError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request, all of which precedes its response."""
        self._heads.begin()
        try:
            await self._inner.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._is_reset = self._is_reset or resets.is_reset(error)
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a checked TLS stream over this connection."""
        return CheckedStream(
            await self._inner.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Return information about the connection to httpcore."""
        return self._inner.get_extra_info(info)


class Backend(httpcore.TrioBackend):
    """httpcore's trio backend with checked connections."""

    def __init__(
        self,
        make_stream: abc.Callable[
            [httpcore.AsyncNetworkStream], CheckedStream
        ] = CheckedStream,
    ) -> None:
        self._make_stream = make_stream

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: abc.Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        inner = await super().connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return self._make_stream(inner)


def make_transport(
    verify: ssl.SSLContext | bool,
    max_connections: int | None = MAX_CONNECTIONS,
    max_idle: int | None = MAX_IDLE_CONNECTIONS,
    keepalive: float = KEEPALIVE_SECONDS,
    backend: Backend | None = None,
) -> httpx.AsyncHTTPTransport:
    """Return a transport; without a maximum, all connections are kept.

    :param verify: as for an httpx client, see `endpoint_tls.httpx_verify`
    :param keepalive: seconds after which an idle connection is closed
    """
    context = httpx.create_ssl_context(verify=verify, trust_env=False)
    transport = httpx.AsyncHTTPTransport(verify=context, trust_env=False)
    # httpx accepts no network backend, so its pool is replaced by one.
    transport._pool = httpcore.AsyncConnectionPool(
        ssl_context=context,
        max_connections=max_connections,
        max_keepalive_connections=max_idle,
        keepalive_expiry=keepalive,
        network_backend=backend or Backend(),
    )
    return transport
