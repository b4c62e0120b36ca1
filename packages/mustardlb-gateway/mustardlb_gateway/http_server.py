"""HTTP/1.1 server for clients; each connection has its own task."""

import collections
from collections import abc
import dataclasses
from typing import Any

import h11
import structlog
import trio

from mustardlb_gateway import _buffers
from mustardlb_gateway import _read_turns
from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

log = structlog.get_logger()

MAX_READ_BYTES = 65_536

# Limits the data of later requests that is buffered while the current request
# is served.
MAX_PIPELINED_BYTES = 65_536

# Parts of the buffered output are joined up to this size.
MIN_WRITE_BYTES = 32_768

# Time for which a client may read nothing of a response.
WRITE_TIMEOUT_SECONDS = 10.0

# Time for which a client may send nothing of a body.
BODY_TIMEOUT_SECONDS = 10.0

# Idle connections are closed this long after the configured idle timeout, so
# that a client that keeps to the timeout doesn't send a request while the
# server closes.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0

# A stopping server gives a client this time to send its next request.
IDLE_GRACE_SECONDS = 0.3

_UNIQUE_HEADERS = (b'host', b'content-length')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    :ivar arrived: time at which its last byte was read, trio time
    """

    method: bytes
    path: bytes
    headers: domain.Headers
    body: bytes
    arrived: float


class ClientDisconnected(Exception):
    """The client closed its connection or doesn't read the response."""


class BadRequest(Exception):
    """The request is malformed, too large or too slow.

    :ivar status: HTTP status of the response
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class Reply:
    """The response to one request, sent at once or in parts."""

    def __init__(self, connection: '_ClientConnection') -> None:
        self._connection = connection
        self.has_begun = False
        self.is_complete = False

    async def send_response(
        self, status: int, headers: domain.Headers, body: bytes
    ) -> None:
        """Send a complete response. Raises ClientDisconnected."""
        sized = [*headers, (b'content-length', b'%d' % len(body))]
        await self.begin(status, sized, body, is_last=True)

    async def begin(
        self,
        status: int,
        headers: domain.Headers,
        data: bytes = b'',
        is_last: bool = False,
    ) -> None:
        """Send the head and `data`. Raises ClientDisconnected."""
        self.has_begun = True
        await self._connection.write_head(status, headers, data, is_last)
        self.is_complete = is_last

    async def send(self, data: bytes) -> None:
        """Send a part of the body. Raises ClientDisconnected."""
        await self._connection.write(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the body. Raises ClientDisconnected."""
        await self._connection.write(h11.EndOfMessage())
        self.is_complete = True


Handler = abc.Callable[[Request, Reply], abc.Awaitable[None]]


class Server:
    """Accepts client connections on one address.

    :ivar is_stopping: responses carry `Connection: close`
    """

    def __init__(
        self,
        handler: Handler,
        limits: abc.Callable[[], domain.RequestLimits],
        max_connections: int,
        buffers: _buffers.Buffers | None = None,
        read_turns: _read_turns.ReadTurns | None = None,
    ) -> None:
        self._handler = handler
        self.read_turns = read_turns or _read_turns.ReadTurns()
        self.buffers = buffers or _buffers.Buffers(lambda: 0.0)
        self.limits = limits
        self._max_connections = max_connections
        self._connections: set[_ClientConnection] = set()
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope = trio.CancelScope()
        self._is_empty = trio.Event()
        self.is_stopping = False
        self.requests_in_flight = 0

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept clients until cancelled or `stop_accepting`.

        Reports the bound port through `task_status`.
        """
        self._listeners = await trio.open_tcp_listeners(port, host=host)
        bound_port = self._listeners[0].socket.getsockname()[1]
        task_status.started(bound_port)
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve_client,
                    self._listeners,
                    handler_nursery=nursery,
                )

    async def _serve_client(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._max_connections:
            log.warning('MLB-6002', open=len(self._connections))
            stream.socket.close()
            return
        connection = _ClientConnection(self, stream, self._handler)
        self._connections.add(connection)
        try:
            await connection.run()
        except ClientDisconnected:
            connection.abort()
        finally:
            connection.release_buffers()
            self._connections.discard(connection)
            if not self._connections:
                self._is_empty.set()

    @property
    def has_clients(self) -> bool:
        """Return whether a client is connected."""
        return bool(self._connections)

    @property
    def is_accepting(self) -> bool:
        """Return whether new clients are accepted."""
        return bool(self._listeners)

    def stop_accepting(self) -> None:
        """Close the listening sockets, unless a client waits there.

        A client that the system has accepted and this process has not would
        be disconnected.
        """
        if any(_sockets.is_readable(each.socket) for each in self._listeners):
            return
        self._accept_scope.cancel()
        for listener in self._listeners:
            listener.socket.close()
        self._listeners = []

    def close_idle(self) -> None:
        """Close the connections that have no request and had none lately."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def wait_for_clients(self, seconds: float) -> None:
        """Wait until no client is connected, for some time at most."""
        if not self._connections:
            return
        self._is_empty = trio.Event()
        with trio.move_on_after(seconds):
            await self._is_empty.wait()

    def end_reading(self) -> None:
        """Reject the requests that are incomplete, as not run."""
        for connection in list(self._connections):
            connection.end_reading()


class _ClientConnection:
    """A client connection; serves one request at a time.

    :ivar _pipelined: data received while the current request is served
    :ivar _client_closed: the client closed its side of the connection
    :ivar _output: data that is sent while the request is served, unless it is
        sent directly
    """

    def __init__(
        self, server: Server, stream: trio.SocketStream, handler: Handler
    ) -> None:
        self._server = server
        self._stream = stream
        self._handler = handler
        limits = server.limits()
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._pacer = _read_turns.Pacer(server.read_turns, 'client')
        self._pipelined = bytearray()
        self._client_closed = False
        self._idle_scope: trio.CancelScope | None = None
        self._idle_since = 0.0
        self._reading_scope: trio.CancelScope | None = None
        self._buffers = server.buffers
        self._input_held = self._buffers.open()
        self._output_held = self._buffers.open(self.abort)
        self._output: collections.deque[bytes] = collections.deque()
        self._is_output_buffered = False
        self._output_changed = trio.Event()
        self._output_sent = trio.Event()

    def release_buffers(self) -> None:
        """Record that the connection holds no data any more."""
        self._input_held.close()
        self._output_held.close()

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a next request has arrived."""
        if self._idle_scope is None or self._pipelined:
            return
        if trio.current_time() < self._idle_since + IDLE_GRACE_SECONDS:
            return
        if not _sockets.is_readable(self._stream.socket):
            self._idle_scope.cancel()

    def end_reading(self) -> None:
        """Reject the request if it is incomplete."""
        if self._reading_scope is not None:
            self._reading_scope.cancel()

    def abort(self) -> None:
        """Close the socket without ending the response.

        A truncated response must not look complete to the client. Without
        chunks, its end is that of the connection, which is reset instead.
        """
        if self._h11.their_http_version == b'1.0':
            _sockets.reset(self._stream)
            return
        self._stream.socket.close()

    async def run(self) -> None:
        """Serve requests until the client or the server closes."""
        _sockets.set_tcp_options(self._stream)
        if self._buffers.is_bounded:
            _sockets.limit_unsent(self._stream)
        while True:
            try:
                request = await self._read_request()
            except BadRequest as error:
                await self._reject(error)
                return
            if request is None:
                await self._stream.aclose()
                return
            if not await self._serve_request(request):
                return

    async def _serve_request(self, request: Request) -> bool:
        """Return whether another request may follow on the connection."""
        reply = Reply(self)
        self._server.requests_in_flight += 1
        try:
            await self._run_handler(request, reply)
        except Exception as error:
            # An internal error ends this request only; the server keeps
            # serving other connections.
            log.error('MLB-6001', error=repr(error), exc_info=True)
            if not reply.has_begun:
                await reply.send_response(
                    500, [(b'connection', b'close')], b''
                )
        finally:
            self._server.requests_in_flight -= 1
            self._input_held.set(len(self._pipelined))
        if not reply.is_complete:
            self.abort()
            return False
        if self._h11.our_state is not h11.DONE or self._client_closed:
            await self._lingering_close()
            return False
        self._h11.start_next_cycle()
        return True

    async def _run_handler(self, request: Request, reply: Reply) -> None:
        """Run the handler; cancel it when the client disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._watch_for_disconnect, nursery.cancel_scope
            )
            if self._buffers.is_bounded:
                self._is_output_buffered = True
                nursery.start_soon(self._send_output, nursery.cancel_scope)
            try:
                await self._handler(request, reply)
                if self._output:
                    self._output_sent = trio.Event()
                    await self._output_sent.wait()
            except ClientDisconnected:
                # No further request is read from this connection.
                self._client_closed = True
            nursery.cancel_scope.cancel()
        self._is_output_buffered = False

    async def _send_output(self, scope: trio.CancelScope) -> None:
        """Send the buffered output; cancel the handler if that fails."""
        try:
            while True:
                await self._output_changed.wait()
                await self._send_buffered()
                self._output_changed = trio.Event()
        except trio.TooSlowError:
            self._buffers.evict(self._output_held, 'stalled')
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._client_closed = True
        self._output_held.close()
        self.abort()
        scope.cancel()

    async def _send_buffered(self) -> None:
        progress = _sockets.Progress(WRITE_TIMEOUT_SECONDS)
        while self._output:
            with trio.fail_at(progress.deadline):
                await _sockets.wait_writable(self._stream)
            data = self._output.popleft()
            while self._output and len(data) < MIN_WRITE_BYTES:
                data += self._output.popleft()
            sent = _sockets.write_available(self._stream, data)
            if sent < len(data):
                self._output.appendleft(data[sent:])
            self._output_held.remove(sent)
            progress.record(sent)
        self._output_sent.set()

    def _buffer_output(self, data: bytes, is_whole: bool) -> None:
        """Send what the socket takes and buffer the rest.

        A client that is too far behind a stream is disconnected, so that the
        target's data is always read.
        """
        if not self._output:
            try:
                sent = _sockets.write_available(self._stream, data)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise ClientDisconnected from error
            data = data[sent:]
        if not data:
            return
        self._output.append(bytes(data))
        self._output_held.add(len(data))
        self._output_changed.set()
        if not is_whole and (
            self._output_held.size > self._buffers.client_limit
        ):
            self._buffers.evict(self._output_held, 'behind')
            raise ClientDisconnected

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        while len(self._pipelined) < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(MAX_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                self._client_closed = True
                scope.cancel()
                return
            self._pipelined += data
            self._input_held.add(len(data))

    async def _read_request(self) -> Request | None:
        """Return the next request, or None to close the connection.

        Returns None after the idle timeout or when the client has closed.
        Raises BadRequest.
        """
        self._idle_since = trio.current_time()
        self._idle_scope = trio.CancelScope(
            deadline=self._idle_since
            + self._limits.idle_timeout
            + IDLE_TIMEOUT_MARGIN_SECONDS
        )
        if not self._pipelined and not self._has_buffered_data():
            with self._idle_scope:
                await self._receive()
            if self._idle_scope.cancelled_caught and not _sockets.is_readable(
                self._stream.socket
            ):
                return None
        self._idle_scope = None
        request = None
        with trio.CancelScope() as self._reading_scope:
            request = await self._read_complete_request()
        is_ended = self._reading_scope.cancelled_caught
        self._reading_scope = None
        if is_ended:
            raise BadRequest(503, 'the node is stopping')
        return request

    async def _read_complete_request(self) -> Request | None:
        with trio.move_on_after(self._limits.header_timeout) as scope:
            head = await self._next_event()
        if scope.cancelled_caught:
            raise BadRequest(408, 'timed out reading the headers')
        if head is None:
            return None
        progress = _sockets.Progress(BODY_TIMEOUT_SECONDS)
        with trio.CancelScope(deadline=progress.deadline) as scope:
            return await self._read_body(head, progress, scope)
        raise BadRequest(408, 'timed out reading the body')

    def _has_buffered_data(self) -> bool:
        return bool(self._h11.trailing_data[0])

    async def _receive(self) -> None:
        if self._pipelined:
            data = bytes(self._pipelined)
            self._pipelined.clear()
        else:
            try:
                data = await self._stream.receive_some(MAX_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
        if not data:
            self._client_closed = True
        try:
            self._h11.receive_data(bytes(data))
        except h11.RemoteProtocolError as error:
            raise BadRequest(400, str(error)) from error

    async def _next_event(self) -> Any:
        while True:
            if self._pacer.is_exhausted:
                await self._pacer.renew()
            self._pacer.spend()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequest(error.error_status_hint, str(error)) from (
                    error
                )
            if event is h11.NEED_DATA:
                if self._client_closed:
                    return None
                await self._receive()
                continue
            if isinstance(event, h11.ConnectionClosed):
                return None
            return event

    async def _read_body(
        self,
        head: h11.Event,
        progress: _sockets.Progress,
        scope: trio.CancelScope,
    ) -> Request | None:
        if not isinstance(head, h11.Request):
            raise BadRequest(400, 'expected a request')
        self._check_headers(head)
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._write(self._h11.send(continue_response) or b'')
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            self._input_held.add(len(event.data))
            if self._buffers.is_exceeded:
                raise BadRequest(503, 'no memory is left for the body')
            progress.record(len(event.data))
            scope.deadline = progress.deadline
            if len(body) > self._limits.max_body_bytes:
                raise BadRequest(413, 'the body is too large')
        if not isinstance(event, h11.EndOfMessage):
            return None
        return Request(
            head.method,
            head.target,
            list(head.headers),
            bytes(body),
            trio.current_time(),
        )

    def _check_headers(self, head: h11.Request) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > self._limits.max_header_bytes:
            raise BadRequest(431, 'the headers are too large')
        names = [name for name, _ in head.headers]
        if b'content-length' in names and b'transfer-encoding' in names:
            raise BadRequest(
                400, 'both content-length and transfer-encoding are given'
            )
        for name in _UNIQUE_HEADERS:
            if names.count(name) > 1:
                raise BadRequest(400, f'header {name.decode()} is repeated')
        for name, value in head.headers:
            if name != b'content-length':
                continue
            if int(value) > self._limits.max_body_bytes:
                raise BadRequest(413, 'the body is too large')

    async def _reject(self, error: BadRequest) -> None:
        log.info('MLB-6003', status=error.status, problem=str(error))
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        try:
            await self.write_head(error.status, headers, b'', is_last=True)
        except ClientDisconnected:
            self.abort()
            return
        await self._lingering_close()

    async def _lingering_close(self) -> None:
        """Send EOF, then discard input until the client closes.

        Closing a socket with unread input resets the connection, and the
        client could lose the response.
        """
        with trio.move_on_after(1.0):
            try:
                await self._stream.send_eof()
                while (
                    not self._client_closed
                    and await self._stream.receive_some(MAX_READ_BYTES)
                ):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The client has already closed the connection.
                pass
        await self._stream.aclose()

    async def write_head(
        self,
        status: int,
        headers: domain.Headers,
        data: bytes,
        is_last: bool,
    ) -> None:
        """Send the head of a response and the first part of its body."""
        if self._server.is_stopping and (b'connection', b'close') not in (
            headers
        ):
            headers = [*headers, (b'connection', b'close')]
        out = self._h11.send(h11.Response(status_code=status, headers=headers))
        encoded = out or b''
        if data:
            encoded += self._h11.send(h11.Data(data=data)) or b''
        if is_last:
            encoded += self._h11.send(h11.EndOfMessage()) or b''
        await self._write(encoded, is_last)

    async def write(self, event: h11.Event) -> None:
        """Send a part of the body or the end of the message."""
        await self._write(self._h11.send(event) or b'')

    async def _write(self, data: bytes, is_whole: bool = False) -> None:
        """Send data; a client that keeps up costs no wait for its socket.

        :param is_whole: no further data of the response follows
        """
        if not data:
            return
        if self._is_output_buffered:
            self._buffer_output(data, is_whole)
            return
        try:
            sent = _sockets.write_available(self._stream, data)
            if sent == len(data):
                return
            unsent = memoryview(data)[sent:]
            progress = _sockets.Progress(WRITE_TIMEOUT_SECONDS)
            while unsent:
                with trio.fail_at(progress.deadline):
                    await _sockets.wait_writable(self._stream)
                sent = _sockets.write_available(self._stream, unsent)
                progress.record(sent)
                unsent = unsent[sent:]
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            raise ClientDisconnected from error
