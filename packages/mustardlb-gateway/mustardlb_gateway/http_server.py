"""HTTP/1.1 from clients: one task for each connection."""

from collections import abc
import dataclasses
from typing import Any

import h11
import structlog
import trio

from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

log = structlog.get_logger()

# Largest read, bytes.
MAX_READ = 65_536

# Bytes that a client may send ahead of its next request while one is served.
MAX_AHEAD = 65_536

# Seconds a client may take to read one piece of an answer.
WRITE_TIMEOUT = 10.0

# Seconds a body may take beyond the time of the headers.
BODY_TIMEOUT = 10.0

# Seconds that the idle timeout told to clients falls short of the real one.
IDLE_MARGIN = 1.0

_SINGLE = (b'host', b'content-length')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that was read whole.

    :ivar arrived: trio time of its last byte
    """

    method: bytes
    path: bytes
    headers: domain.Headers
    body: bytes
    arrived: float


class ClientDisconnected(Exception):
    """The client no longer reads its answer."""


class BadRequest(Exception):
    """What the client sent is not a request that is served."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class Reply:
    """The answer to one request, whole or in pieces."""

    def __init__(self, connection: '_ClientConnection') -> None:
        self._connection = connection
        self.has_begun = False
        self.is_complete = False

    async def send_response(
        self, status: int, headers: domain.Headers, body: bytes
    ) -> None:
        """Send an answer at once. Raises ClientDisconnected."""
        sized = [*headers, (b'content-length', b'%d' % len(body))]
        await self.begin(status, sized, body, is_last=True)

    async def begin(
        self,
        status: int,
        headers: domain.Headers,
        data: bytes = b'',
        is_last: bool = False,
    ) -> None:
        """Send the head and a first piece. Raises ClientDisconnected."""
        self.has_begun = True
        await self._connection.write_head(status, headers, data, is_last)
        self.is_complete = is_last

    async def send(self, data: bytes) -> None:
        """Send a piece. Raises ClientDisconnected."""
        await self._connection.write(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer as complete. Raises ClientDisconnected."""
        await self._connection.write(h11.EndOfMessage())
        self.is_complete = True


Handler = abc.Callable[[Request, Reply], abc.Awaitable[None]]


class Server:
    """Accepts clients on one address.

    :ivar is_stopping: answers end their connections
    """

    def __init__(
        self,
        handler: Handler,
        limits: abc.Callable[[], domain.RequestLimits],
        max_connections: int,
    ) -> None:
        self._handler = handler
        self.limits = limits
        self._max_connections = max_connections
        self._connections: set[_ClientConnection] = set()
        self.is_stopping = False
        self.requests_in_flight = 0

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept clients until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        number = listeners[0].socket.getsockname()[1]
        task_status.started(number)
        await trio.serve_listeners(self._serve_client, listeners)

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
            self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self._connections):
            connection.close_if_idle()


class _ClientConnection:
    """One client: requests one after the other."""

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
        self._ahead = bytearray()
        self._ended = False
        self._idle_scope: trio.CancelScope | None = None

    def close_if_idle(self) -> None:
        """Close where no byte of a next request has come."""
        if self._idle_scope is not None and not self._ahead:
            self._idle_scope.cancel()

    def abort(self) -> None:
        """Close so that an unfinished answer cannot look complete."""
        self._stream.socket.close()

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        _sockets.set_tcp_options(self._stream)
        while True:
            try:
                request = await self._read_request()
            except BadRequest as bad:
                await self._refuse(bad)
                return
            if request is None:
                await self._stream.aclose()
                return
            if not await self._serve(request):
                return

    async def _serve(self, request: Request) -> bool:
        reply = Reply(self)
        self._server.requests_in_flight += 1
        try:
            await self._handle(request, reply)
        except Exception as error:
            # A fault of the gateway: its client is told, the others go on.
            log.error('MLB-6001', error=repr(error), exc_info=True)
            if not reply.has_begun:
                await reply.send_response(
                    500, [(b'connection', b'close')], b''
                )
        finally:
            self._server.requests_in_flight -= 1
        if not reply.is_complete:
            self.abort()
            return False
        if self._h11.our_state is not h11.DONE or self._ended:
            await self._close_gently()
            return False
        self._h11.start_next_cycle()
        return True

    async def _handle(self, request: Request, reply: Reply) -> None:
        """Run the handler; cancelled once the client has gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client, nursery.cancel_scope)
            try:
                await self._handler(request, reply)
            except ClientDisconnected:
                # Whoever serves the next request finds the end.
                self._ended = True
            nursery.cancel_scope.cancel()

    async def _watch_client(self, scope: trio.CancelScope) -> None:
        while len(self._ahead) < MAX_AHEAD:
            try:
                data = await self._stream.receive_some(MAX_READ)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                self._ended = True
                scope.cancel()
                return
            self._ahead += data

    async def _read_request(self) -> Request | None:
        """Return the next request, None where the client has ended."""
        self._idle_scope = trio.CancelScope(
            deadline=trio.current_time()
            + self._limits.idle_timeout
            + IDLE_MARGIN
        )
        if not self._ahead and not self._has_begun():
            with self._idle_scope:
                await self._receive()
            if self._idle_scope.cancelled_caught:
                return None
        self._idle_scope = None
        with trio.move_on_after(self._limits.header_timeout) as scope:
            head = await self._next_event()
        if scope.cancelled_caught:
            raise BadRequest(408, 'the headers took too long')
        if head is None:
            return None
        with trio.move_on_after(BODY_TIMEOUT):
            return await self._read_body(head)
        raise BadRequest(408, 'the body took too long')

    def _has_begun(self) -> bool:
        return bool(self._h11.trailing_data[0])

    async def _receive(self) -> None:
        if self._ahead:
            data = bytes(self._ahead)
            self._ahead.clear()
        else:
            try:
                data = await self._stream.receive_some(MAX_READ)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
        if not data:
            self._ended = True
        try:
            self._h11.receive_data(bytes(data))
        except h11.RemoteProtocolError as error:
            raise BadRequest(400, str(error)) from error

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequest(error.error_status_hint, str(error)) from (
                    error
                )
            if event is h11.NEED_DATA:
                if self._ended:
                    return None
                await self._receive()
                continue
            if isinstance(event, h11.ConnectionClosed):
                return None
            return event

    async def _read_body(self, head: h11.Event) -> Request | None:
        if not isinstance(head, h11.Request):
            raise BadRequest(400, 'no request')
        self._check(head)
        if self._h11.they_are_waiting_for_100_continue:
            going_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(going_on) or b'')
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
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

    def _check(self, head: h11.Request) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size + len(head.target) > self._limits.max_header_bytes:
            raise BadRequest(431, 'the headers are too large')
        names = [name for name, _ in head.headers]
        if b'content-length' in names and b'transfer-encoding' in names:
            raise BadRequest(400, 'the body has two lengths')
        for name in _SINGLE:
            if names.count(name) > 1:
                raise BadRequest(400, f'{name.decode()} stands twice')
        for name, value in head.headers:
            if name != b'content-length':
                continue
            if int(value) > self._limits.max_body_bytes:
                raise BadRequest(413, 'the body is too large')

    async def _refuse(self, bad: BadRequest) -> None:
        log.info('MLB-6003', status=bad.status, problem=str(bad))
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        try:
            await self.write_head(bad.status, headers, b'', is_last=True)
        except ClientDisconnected:
            self.abort()
            return
        await self._close_gently()

    async def _close_gently(self) -> None:
        """Close so that the client can read what was sent last."""
        with trio.move_on_after(1.0):
            try:
                await self._stream.send_eof()
                while not self._ended and await self._stream.receive_some(
                    MAX_READ
                ):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The client was faster.
                pass
        await self._stream.aclose()

    async def write_head(
        self,
        status: int,
        headers: domain.Headers,
        data: bytes,
        is_last: bool,
    ) -> None:
        """Send the head of an answer with a first piece of the body."""
        if self._server.is_stopping and (b'connection', b'close') not in (
            headers
        ):
            headers = [*headers, (b'connection', b'close')]
        out = self._h11.send(h11.Response(status_code=status, headers=headers))
        block = out or b''
        if data:
            block += self._h11.send(h11.Data(data=data)) or b''
        if is_last:
            block += self._h11.send(h11.EndOfMessage()) or b''
        await self._write(block)

    async def write(self, event: h11.Event) -> None:
        """Send a piece of the body or its end."""
        await self._write(self._h11.send(event) or b'')

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        try:
            with trio.fail_after(WRITE_TIMEOUT):
                await self._stream.send_all(data)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            raise ClientDisconnected from error
