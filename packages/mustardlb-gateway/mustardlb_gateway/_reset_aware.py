"""A stream on which a reset is never read as an orderly end.

The system reports the reset of a connection to one call only. If that is a
write, reads return what was received before and then an end like that after
an orderly close, which marks the end of a response without a length.
"""

import trio

from mustardlb import resets
from mustardlb_gateway import _sockets


class ResetAwareStream:
    """A TCP stream that remembers a reset, whichever call has met it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._reset: trio.BrokenResourceError | None = None

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket."""
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        """Send bytes; one task may send at a time.

        Raises trio.BrokenResourceError or trio.ClosedResourceError. A trio
        stream passes other tasks the control between a failed write and its
        exception, and these could then take the end for an orderly one.
        """
        await trio.lowlevel.checkpoint()
        unsent = memoryview(data)
        while unsent:
            try:
                written = _sockets.write_available(self._stream, unsent)
            except trio.BrokenResourceError as error:
                if resets.is_reset(error):
                    self._reset = error
                raise
            unsent = unsent[written:]
            if unsent:
                await _sockets.wait_writable(self._stream)

    async def receive_some(self, max_bytes: int) -> bytes | bytearray:
        """Return the next bytes, b'' at an orderly end.

        Raises trio.BrokenResourceError after a reset, once the bytes that were
        received before it are returned, or trio.ClosedResourceError.
        """
        data = await self._stream.receive_some(max_bytes)
        if not data and self._reset is not None:
            raise trio.BrokenResourceError(
                'the connection was reset while data was sent'
            ) from self._reset
        return data


async def connect(host: str, port: int, timeout: float) -> ResetAwareStream:
    """Open a connection; raises OSError, TimeoutError after `timeout` s."""
    return ResetAwareStream(await _sockets.connect(host, port, timeout))
