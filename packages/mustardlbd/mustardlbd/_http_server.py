"""Hypercorn on trio, with what an entry node needs besides.

JSON errors for what never reaches the application, a limit on the time a
caller may leave a block unread, a connection's failure that stays its own,
truncated HTTP/2 answers that the caller sees as truncated, and a stop that
cuts no request in flight.
"""

from collections import abc
import dataclasses
import functools
import json
import socket
import ssl
from typing import Any

import h11
import h2.errors
import h2.events
import h2.exceptions
from hypercorn import config as hypercorn_config
from hypercorn import events
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h11 as hypercorn_h11
from hypercorn.protocol import h2 as hypercorn_h2
from hypercorn.protocol import http_stream
from hypercorn.trio import task_group
from hypercorn.trio import worker_context
import quart_trio
import structlog
import trio

from mustardlb import errors
from mustardlb import steps

log = structlog.get_logger()

# Largest read from a connection, bytes.
MAX_READ = 65_536

# Longest wait for a connection's orderly close, seconds.
CLOSE_TIMEOUT = 2.0

# Connections that wait to be accepted.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """How one port is served.

    :ivar address: IP number
    :ivar port: TCP port, 0 for one chosen by the operating system
    :ivar max_headers: bytes of a request's headers
    :ivar header_timeout: seconds for a request's headers, also the time a
        connection may stay idle
    :ivar write_timeout: seconds a caller may take to read one block
    :ivar stop_timeout: seconds that requests in flight get when stopping
    :ivar tls: the TLS context, None for plain text
    """

    address: str = '127.0.0.1'
    port: int = 0
    max_headers: int = 32_768
    header_timeout: float = 15.0
    write_timeout: float = 30.0
    stop_timeout: float = 600.0
    tls: ssl.SSLContext | None = None


def error_body(error: errors.Error) -> bytes:
    """Serialize an error as callers see it."""
    fields: dict[str, Any] = {
        'code': str(error.code),
        'message': error.message,
        'step': str(error.step),
        'not_run': error.not_run,
    }
    if error.peer:
        fields['peer'] = error.peer
    if error.retry_after is not None:
        fields['retry_after'] = round(error.retry_after, 3)
    return json.dumps({'error': fields}).encode()


def _protocol_error(status: int, begun: bool) -> errors.Error:
    """Build the error of a request that could not be read."""
    code = errors.Code.BAD_REQUEST
    message = 'the request is not valid HTTP'
    if status == 431:
        code = errors.Code.HEADERS_TOO_LARGE
        message = 'the headers are too large'
    if status == 408:
        code = errors.Code.REQUEST_TIMEOUT
        message = 'the request took too long to arrive'
    return errors.Error(
        code, message, steps.Step.ADMISSION, not_run=not begun
    )


class _H11Protocol(hypercorn_h11.H11Protocol):
    """HTTP/1.1 with JSON errors, without WebSocket and h2c upgrades."""

    async def refuse_unread(self) -> None:
        """Tell a caller whose request headers did not arrive in time."""
        if self.stream is not None or not self.connection.trailing_data[0]:
            return
        await self._send_error_response(408)

    async def _send_error_response(self, status_code: int) -> None:
        begun = self.connection.our_state is not h11.IDLE
        error = _protocol_error(status_code, begun)
        body = error_body(error)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'connection', b'close'),
        ]
        await self._send_h11_event(
            h11.Response(status_code=error.status, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())

    async def _check_protocol(self, event: h11.Request) -> None:
        if event.method == b'PRI':
            await super()._check_protocol(event)

    async def _create_stream(self, request: h11.Request) -> None:
        stream = http_stream.HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            hypercorn_h11.STREAM_ID,
        )
        self.stream = stream
        await stream.handle(
            stream_events.Request(
                stream_id=hypercorn_h11.STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1


class _H2Protocol(hypercorn_h2.H2Protocol):
    """HTTP/2 that resets a stream whose answer ended too early."""

    async def stream_send(self, event: stream_events.Event) -> None:
        if isinstance(event, stream_events.StreamClosed):
            await self._reset_unfinished(event.stream_id)
        await super().stream_send(event)

    async def _reset_unfinished(self, stream_id: int) -> None:
        buffer = self.stream_buffers.get(stream_id)
        if self.closed or buffer is None or buffer.complete:
            return
        try:
            self.connection.reset_stream(
                stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR
            )
        except h2.exceptions.ProtocolError:
            return
        await buffer.close()
        await self._flush()

    async def _handle_events(
        self, received: list[h2.events.Event]
    ) -> None:
        for event in received:
            late = isinstance(event, h2.events.DataReceived)
            if late and event.stream_id not in self.streams:
                # The answer went out before the whole body had come in.
                self.connection.acknowledge_received_data(
                    event.flow_controlled_length, event.stream_id
                )
                await self._flush()
                continue
            await super()._handle_events([event])


class _Connection:
    """One connection of a caller: hypercorn's protocols on a trio stream."""

    def __init__(
        self,
        app: hypercorn_typing.AppWrapper,
        config: hypercorn_config.Config,
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
        self._tasks = task_group.TaskGroup()
        self._protocol: _H11Protocol | _H2Protocol

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            is_h2 = await self._handshake()
            async with self._tasks:
                self._protocol = self._make_protocol(is_h2)
                await self._protocol.initiate()
                await self._idle.restart(self._tasks, self._idle_timeout)
                await self._read()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            log.debug('MLB-4001')
        except Exception as error:
            # One caller's connection must not end the others'.
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

    def _make_protocol(self, is_h2: bool) -> _H11Protocol | _H2Protocol:
        stream: Any = self._stream
        is_tls = isinstance(stream, trio.SSLStream)
        raw = (stream.transport_stream if is_tls else stream).socket
        make: Any = _H2Protocol if is_h2 else _H11Protocol
        return make(
            self._app,
            self._config,
            self._context,
            self._tasks,
            hypercorn_typing.ConnectionState({}),
            is_tls,
            utils.parse_socket_addr(raw.family, raw.getpeername()),
            utils.parse_socket_addr(raw.family, raw.getsockname()),
            self._send,
        )

    async def _handle(self, event: events.Event) -> None:
        try:
            await self._protocol.handle(event)
        except hypercorn_h11.H2ProtocolAssumedError as preface:
            self._protocol = self._make_protocol(is_h2=True)
            await self._protocol.initiate()
            await self._protocol.handle(events.RawData(data=preface.data))

    async def _send(self, event: events.Event) -> None:
        if isinstance(event, events.RawData):
            await self._write(event.data)
        elif isinstance(event, events.Closed):
            await self._close()
            await self._handle(events.Closed())
        elif isinstance(event, events.Updated):
            await self._mark_idle(event.idle)

    async def _mark_idle(self, idle: bool) -> None:
        if idle:
            await self._idle.restart(self._tasks, self._idle_timeout)
        else:
            await self._idle.stop()

    async def _write(self, data: bytes) -> None:
        # Shielded, so that no answer is cut within a block.
        async with self._send_lock:
            scope = trio.move_on_after(self._settings.write_timeout)
            scope.shield = True
            try:
                with scope:
                    await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self._handle(events.Closed())
                return
        if scope.cancelled_caught:
            log.info('MLB-4003', write_timeout=self._settings.write_timeout)
            await trio.aclose_forcefully(self._stream)
            await self._handle(events.Closed())

    async def _read(self) -> None:
        while True:
            try:
                data = await self._stream.receive_some(MAX_READ)
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                break
            if not data:
                break
            await self._handle(events.RawData(bytes(data)))
        await self._handle(events.Closed())

    async def _close(self) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT):
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
            if isinstance(self._protocol, _H11Protocol):
                await self._protocol.refuse_unread()
            await self._protocol.handle(events.Closed())
            await self._close()


def open_socket(address: str, port: int) -> socket.socket:
    """Listen on a TCP port; port 0 lets the operating system choose."""
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)
    listener.bind((address, port))
    listener.listen(BACKLOG)
    return listener


def _make_config(settings: ServerSettings) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    # The application refuses what is over the limit; this is the backstop.
    config.h11_max_incomplete_size = 2 * settings.max_headers
    config.h2_max_header_list_size = 2 * settings.max_headers
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_max_requests = 1_000_000
    return config


async def serve(
    app: quart_trio.QuartTrio,
    settings: ServerSettings,
    *,
    stop: abc.Callable[[], abc.Awaitable[None]],
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until `stop` returns, then finish what runs.

    `task_status` is given the port. After `stop` no connection is accepted,
    idle ones are closed, and requests in flight have `stop_timeout` left.
    """
    config = _make_config(settings)
    context = worker_context.WorkerContext(None)
    wrapped = utils.wrap_app(app, 0, 'asgi')
    raw = open_socket(settings.address, settings.port)
    port = raw.getsockname()[1]
    listener: Any = trio.SocketListener(trio.socket.from_stdlib_socket(raw))
    if settings.tls is not None:
        listener = trio.SSLListener(
            listener, settings.tls, https_compatible=True
        )

    async def handle(stream: Any) -> None:
        await _Connection(wrapped, config, context, settings, stream).run()

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handle,
                    [listener],
                    handler_nursery=connections,
                )
            )
            task_status.started(port)
            await stop()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        deadline = trio.current_time() + settings.stop_timeout
        connections.cancel_scope.deadline = deadline
    if connections.cancel_scope.cancelled_caught:
        log.warning('MLB-4004', stop_timeout=settings.stop_timeout)
