"""Reading from targets with few passes of the scheduler.

A stream's next event is nearly never there yet, so waiting comes first and
one read follows; httpcore's own trio stream tries, waits and tries again.
"""

from collections import abc
import math
import os
import ssl
from typing import Any

import httpcore
import httpx
import trio

Flush = abc.Callable[[], abc.Awaitable[None]]
Write = abc.Callable[[bytes], abc.Awaitable[None]]


class _Stream(httpcore.AsyncNetworkStream):
    """A plain TCP connection; all but reading is httpcore's own.

    :ivar before_wait: run before each wait, when all that was read is
        used; who sets it sees to the time limit too
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self.before_wait: Flush | None = None
        self._inner = inner
        self._socket = inner.get_extra_info('socket')

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read what is there, waiting for it first."""
        if self.before_wait is not None:
            await self.before_wait()
            return await self._read(max_bytes)
        limit = math.inf if timeout is None else timeout
        scope = trio.CancelScope(deadline=trio.current_time() + limit)
        with scope:
            return await self._read(max_bytes)
        raise httpcore.ReadTimeout

    async def _read(self, max_bytes: int) -> bytes:
        while True:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                return os.read(self._socket.fileno(), max_bytes)
            except BlockingIOError:
                # Readable a moment ago, and empty now.
                continue
            except (OSError, trio.ClosedResourceError) as error:
                raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of it."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Go on with TLS, by httpcore's own stream."""
        return await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> Any:
        """Return what httpcore asks about the connection."""
        return self._inner.get_extra_info(info)


class Backend(httpcore.TrioBackend):
    """httpcore's trio backend with streams that read as above."""

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
        return _Stream(inner)


async def forward_body(
    response: httpx.Response, read_timeout: float, write_block: Write
) -> None:
    """Give a body's blocks to `take`, what one read brought at a time.

    A read may bring many chunks, each a block of its own to httpcore.
    Raises httpx.ReadTimeout where `between` seconds bring nothing; time
    spent in `take` does not count.
    """
    stream: Any = response.stream
    network = response.extensions.get('network_stream')
    if not isinstance(network, _Stream):
        async for block in stream:
            await write_block(block)
        return
    gathered: list[bytes] = []
    # One scope for the whole body: one for each read costs a good part of
    # the time that a block takes.
    scope = trio.CancelScope()

    async def flush() -> None:
        blocks = b''.join(gathered)
        gathered.clear()
        if blocks:
            scope.deadline = math.inf
            await write_block(blocks)
        scope.deadline = trio.current_time() + read_timeout

    network.before_wait = flush
    try:
        with scope:
            async for block in stream:
                gathered.append(block)
            await flush()
    finally:
        network.before_wait = None
    if scope.cancelled_caught:
        raise httpx.ReadTimeout('the target sent nothing')
