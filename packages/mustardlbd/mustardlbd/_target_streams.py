"""Reads response streams of targets with few scheduler passes.

The next event of a stream is rarely available yet, so a read first waits
until the socket is readable. httpcore's trio stream tries to read first,
then waits and reads again.
"""

from collections import abc
import math
import os
from typing import Any

import httpcore
import httpx
import trio

from mustardlb import http_transport

Flush = abc.Callable[[], abc.Awaitable[None]]
Write = abc.Callable[[bytes], abc.Awaitable[None]]


class _Stream(http_transport.CheckedStream):
    """A TCP connection that waits before it reads.

    :ivar before_wait: called before each wait, once httpcore has consumed
        all data read so far; the code that sets it enforces the read timeout
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        super().__init__(inner)
        self.before_wait: Flush | None = None
        self._socket = inner.get_extra_info('socket')

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Wait until data is available and return it."""
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
                data = os.read(self._socket.fileno(), max_bytes)
            except BlockingIOError:
                # The socket became readable, but no data is left to read.
                continue
            except (OSError, trio.ClosedResourceError) as error:
                raise httpcore.ReadError(str(error)) from error
            return self.check(data)


def make_backend() -> http_transport.Backend:
    """Return a backend for connections to targets."""
    return http_transport.Backend(_Stream)


async def forward_body(
    response: httpx.Response, read_timeout: float, write_block: Write
) -> None:
    """Pass a response body to `write_block`, once per socket read.

    A read may return many chunks, which httpcore yields one by one.
    Raises httpx.ReadTimeout after `read_timeout` seconds without data; the
    time spent in `write_block` does not count.
    """
    stream: Any = response.stream
    network = response.extensions.get('network_stream')
    if not isinstance(network, _Stream):
        # A TLS stream, for which httpcore itself enforces the read timeout.
        async for block in stream:
            await write_block(block)
        return
    pending: list[bytes] = []
    # All reads share one scope, because a scope for each read would cost a
    # large part of the processing time of a block.
    scope = trio.CancelScope()

    async def flush() -> None:
        data = b''.join(pending)
        pending.clear()
        if data:
            scope.deadline = math.inf
            await write_block(data)
        scope.deadline = trio.current_time() + read_timeout

    network.before_wait = flush
    try:
        with scope:
            async for block in stream:
                pending.append(block)
            await flush()
    finally:
        network.before_wait = None
    if scope.cancelled_caught:
        raise httpx.ReadTimeout('the target sent no data in time')
