"""Client connection that runs hypercorn's protocols on a trio stream."""

import dataclasses
import os
import ssl
import struct
from typing import Any

import hypercorn.config
import hypercorn.events
from hypercorn.protocol import h11 as hypercorn_h11
from hypercorn.trio import task_group
from hypercorn.trio import worker_context
import hypercorn.typing
import structlog
import trio

from mustardlbd import _http1
from mustardlbd import _http2

log = structlog.get_logger()

MAX_READ_BYTES = 65_536

# Limits the graceful close of a connection.
CLOSE_TIMEOUT_SECONDS = 2.0

# The value of SO_LINGER with which closing a socket resets its connection.
_RESET_WHEN_CLOSED = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of one port.

    :ivar address: IP address
    :ivar port: TCP port; the operating system chooses one for 0
    :ivar max_header_bytes: size of the headers of a request
    :ivar header_timeout: seconds until the headers of a request are complete,
        also the idle timeout of a connection
    :ivar write_timeout: seconds that a caller may take to read one block
    :ivar max_connections: open connections; further ones are closed
        immediately
    :ivar stop_timeout: seconds for requests in flight at shutdown
    :ivar tls: TLS context, None for plain text
    """

    address: str = '127.0.0.1'
    port: int = 0
    max_header_bytes: int = 32_768
    header_timeout: float = 15.0
    write_timeout: float = 30.0
    max_connections: int = 10_000
    stop_timeout: float = 600.0
    tls: ssl.SSLContext | None = None


class Connection:
    """Client connection that runs hypercorn's protocols on a trio stream."""

    def __init__(
        self,
        app: hypercorn.typing.AppWrapper,
        config: hypercorn.config.Config,
        context: worker_context.WorkerContext,
        settings: ServerSettings,
        stream: trio.SocketStream | trio.SSLStream[trio.SocketStream],
    ) -> None:
        self._app = app
        self._config = config
        self._context = context
        self._settings = settings
        self._stream = stream
        self._send_lock = trio.Lock()
        self._idle = worker_context.TrioSingleTask()
        self._reading = trio.CancelScope()
        self._is_request_unread = False
        self._tasks = task_group.TaskGroup()
        self._protocol: _http1.Http1 | _http2.Http2
        # Direct writes are only possible without TLS, whose records trio's
        # stream creates. The descriptor is reset before the stream is closed
        # because the kernel reuses the numbers of closed descriptors.
        self._fileno = -1
        if isinstance(stream, trio.SocketStream):
            self._fileno = stream.socket.fileno()

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            is_h2 = await self._handshake()
            async with self._tasks:
                self._protocol = self._make_protocol(is_h2)
                await self._protocol.initiate()
                await self._idle.restart(self._tasks, self._idle_timeout)
                with self._reading:
                    await self._read()
                if self._is_request_unread:
                    await self._discard_request()
                # Otherwise a closed connection would stay until its timeout.
                await self._idle.stop()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            log.debug('MLB-4001')
        except Exception as error:
            # An error of one connection must not end the others.
            log.error('MLB-4002', error=type(error).__name__, exc_info=True)
        finally:
            with trio.CancelScope(shield=True):
                await self._close()

    async def _handshake(self) -> bool:
        if not isinstance(self._stream, trio.SSLStream):
            return False
        with trio.fail_after(self._settings.header_timeout):
            await self._stream.do_handshake()
        return self._stream.selected_alpn_protocol() == 'h2'

    def _make_protocol(self, is_h2: bool) -> _http1.Http1 | _http2.Http2:
        is_tls = isinstance(self._stream, trio.SSLStream)
        raw = self._raw_socket()
        protocol_class: Any = _http2.Http2 if is_h2 else _http1.Http1
        return protocol_class(
            self._app,
            self._config,
            self._context,
            self._tasks,
            hypercorn.typing.ConnectionState({}),
            is_tls,
            raw.getpeername()[:2],
            raw.getsockname()[:2],
            self._send,
        )

    async def _handle(self, event: hypercorn.events.Event) -> None:
        try:
            await self._protocol.handle(event)
        except hypercorn_h11.H2ProtocolAssumedError as preface:
            self._protocol = self._make_protocol(is_h2=True)
            await self._protocol.initiate()
            await self._protocol.handle(
                hypercorn.events.RawData(data=preface.data)
            )

    async def _send(self, event: hypercorn.events.Event) -> None:
        if isinstance(event, hypercorn.events.RawData):
            await self._write(event.data)
        elif isinstance(event, hypercorn.events.Closed):
            await self._close()
            await self._handle(hypercorn.events.Closed())
        elif isinstance(event, _http1.Aborted):
            if event.must_reset:
                self._reset()
            else:
                await self._close()
            # The reader may wait for an application that has ended.
            self._reading.cancel()
        elif isinstance(event, _http1.RequestUnread):
            self._is_request_unread = True
            self._reading.cancel()
        elif isinstance(event, hypercorn.events.Updated):
            await self._mark_idle(event.idle)

    async def _mark_idle(self, idle: bool) -> None:
        if idle:
            await self._idle.restart(self._tasks, self._idle_timeout)
        else:
            await self._idle.stop()

    def _write_nonblocking(self, data: bytes) -> bytes:
        """Write what fits into the socket buffer and return the rest.

        This saves two scheduler passes for each block, which are most of the
        cost of a write. The code that produces the blocks has checkpoints
        of its own.
        """
        if self._fileno < 0 or self._send_lock.locked():
            return data
        try:
            written = os.write(self._fileno, data)
        except OSError:
            # The blocking write handles a full buffer and a broken connection.
            return data
        return data[written:]

    async def _write(self, data: bytes) -> None:
        data = self._write_nonblocking(data)
        if not data:
            return
        # The shield prevents a cancellation within a block.
        async with self._send_lock:
            scope = trio.move_on_after(self._settings.write_timeout)
            scope.shield = True
            try:
                with scope:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self._handle(hypercorn.events.Closed())
                return
        if scope.cancelled_caught:
            log.info('MLB-4003', write_timeout=self._settings.write_timeout)
            self._fileno = -1
            await trio.aclose_forcefully(self._stream)
            await self._handle(hypercorn.events.Closed())

    async def _read(self) -> None:
        while True:
            try:
                data = await self._stream.receive_some(MAX_READ_BYTES)
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                break
            if not data:
                break
            await self._handle(hypercorn.events.RawData(bytes(data)))
        await self._handle(hypercorn.events.Closed())

    async def _discard_request(self) -> None:
        """Read the rest of a request that has its response.

        Closing a connection with unread bytes resets it, and a caller that is
        still sending may lose the response.
        """
        self._fileno = -1
        if not isinstance(self._stream, trio.SocketStream):
            return
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await self._stream.send_eof()
            while await self._stream.receive_some(MAX_READ_BYTES):
                pass

    def _reset(self) -> None:
        """Close the connection with a reset; unsent data is dropped."""
        self._fileno = -1
        raw = self._raw_socket()
        if raw.fileno() >= 0:
            raw.setsockopt(
                trio.socket.SOL_SOCKET,
                trio.socket.SO_LINGER,
                _RESET_WHEN_CLOSED,
            )
            raw.close()

    def _raw_socket(self) -> trio.socket.SocketType:
        stream: Any = self._stream
        is_tls = isinstance(stream, trio.SSLStream)
        socket: trio.socket.SocketType = (
            stream.transport_stream if is_tls else stream
        ).socket
        return socket

    async def _close(self) -> None:
        self._fileno = -1
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            try:
                if isinstance(self._stream, trio.SocketStream):
                    await self._stream.send_eof()
            except (
                trio.BrokenResourceError,
                trio.BusyResourceError,
                trio.ClosedResourceError,
            ):
                log.debug('MLB-4001')
            await self._stream.aclose()

    async def _idle_timeout(self) -> None:
        with trio.move_on_after(self._settings.header_timeout):
            await self._context.terminated.wait()
        with trio.CancelScope(shield=True):
            if isinstance(self._protocol, _http1.Http1):
                await self._protocol.reject_incomplete_request()
            await self._protocol.handle(hypercorn.events.Closed())
            await self._close()
