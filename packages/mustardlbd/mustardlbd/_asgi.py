"""Quart on trio with bounded request bodies and directly written responses.

Quart buffers a request body as fast as it arrives and takes a response from
an iterator. A node must not buffer either as a whole, and its handlers write
their responses block by block, so this module replaces both.
"""

from collections import abc
import functools
import http
import math
from typing import Any

from hypercorn import typing as hypercorn_typing
import msgspec
import quart
import quart_trio
from quart_trio import asgi
from quart_trio.wrappers import request as quart_trio_request
import trio

from mustardlb import clock
from mustardlb import errors
from mustardlb import steps

# Reading from a caller pauses when this much of its body is buffered.
MAX_BUFFERED_BODY_BYTES = 262_144

Headers = abc.Sequence[tuple[bytes, bytes]]


def error_body(error: errors.Error) -> dict[str, Any]:
    """Return the JSON object that describes an error to a caller."""
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
    return {'error': fields}


class ResponseWriter:
    """Writes the response to one request block by block.

    :ivar started: whether status and headers have been sent
    :ivar finishing: whether the end of the response is being sent; from then
        on a disconnect of the caller does not cancel the request
    :ivar on_block: called with the time of each block
    """

    def __init__(self, send: hypercorn_typing.ASGISendCallable) -> None:
        self._send: Any = send
        self._extra_headers: list[tuple[bytes, bytes]] = []
        self.started = False
        self.finishing = False
        self.on_block: abc.Callable[[float], None] | None = None

    def add_connection_close(self, http_version: str) -> None:
        """Add the header Connection: close, which HTTP/2 does not have.

        The caller then uses another connection for its next request.
        """
        if not http_version.startswith('2'):
            self._extra_headers.append((b'connection', b'close'))

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *self._extra_headers],
            }
        )

    async def write(self, block: bytes) -> None:
        """Send a block; blocks while the caller reads slowly."""
        await self._send(
            {'type': 'http.response.body', 'body': block, 'more_body': True}
        )
        if self.on_block is not None:
            self.on_block(clock.boottime())

    async def send_json(
        self, status: int, value: object, headers: Headers = ()
    ) -> None:
        """Send a JSON response without its end."""
        body = msgspec.json.encode(value)
        content_headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        await self.start(status, [*content_headers, *headers])
        await self.write(body)

    async def send_error(self, error: errors.Error) -> None:
        """Send an error response without its end."""
        headers: list[tuple[bytes, bytes]] = []
        if error.retry_after is not None:
            seconds = max(1, math.ceil(error.retry_after))
            headers.append((b'retry-after', b'%d' % seconds))
        if error.status == http.HTTPStatus.UNAUTHORIZED:
            headers.append((b'www-authenticate', b'Bearer'))
        await self.send_json(error.status, error_body(error), headers)

    async def finish(self) -> None:
        """Send the end of the response."""
        self.finishing = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )


WriteResponse = abc.Callable[[ResponseWriter], abc.Awaitable[None]]


class DirectResponse(quart.Response):
    """Response that a function writes after the handler has returned."""

    def __init__(self, write: WriteResponse) -> None:
        super().__init__(b'')
        self.write_to = write


Handler = abc.Callable[[], abc.Awaitable[quart.Response]]


class Body(quart_trio_request.TrioBody):
    """Request body that buffers about MAX_BUFFERED_BODY_BYTES at most."""

    def __init__(
        self, expected_content_length: int | None, limit: int | None
    ) -> None:
        super().__init__(expected_content_length, limit)
        self._block_read = trio.Event()

    async def wait_for_buffer_space(self) -> None:
        """Wait until fewer than MAX_BUFFERED_BODY_BYTES are buffered."""
        while len(self._data) >= MAX_BUFFERED_BODY_BYTES:
            self._block_read = trio.Event()
            await self._block_read.wait()

    async def __anext__(self) -> bytes:
        block = await super().__anext__()
        self._block_read.set()
        return block


class Request(quart_trio_request.TrioRequest):
    """Request with a bounded body."""

    body_class = Body  # type: ignore[assignment]


class HttpConnection(asgi.TrioASGIHTTPConnection):
    """Receives the body of one request and writes its response."""

    _writer: ResponseWriter | None = None

    async def __call__(
        self,
        receive: hypercorn_typing.ASGIReceiveCallable,
        send: hypercorn_typing.ASGISendCallable,
    ) -> None:
        """Handle the request."""
        if not self.scope['path'].startswith('/'):
            await _reject_path(ResponseWriter(send))
            return
        await super().__call__(receive, send)

    async def handle_messages(  # type: ignore[override]
        self,
        nursery: trio.Nursery,
        request: Request,
        receive: hypercorn_typing.ASGIReceiveCallable,
    ) -> None:
        """Receive the body; cancel the request if the caller disconnects."""
        body: Any = request.body
        while True:
            message: Any = await receive()
            if message['type'] == 'http.disconnect':
                break
            body.append(message.get('body', b''))
            if not message.get('more_body', False):
                body.set_complete()
            await body.wait_for_buffer_space()
        if self._writer is None or not self._writer.finishing:
            nursery.cancel_scope.cancel()

    async def handle_request(  # type: ignore[override]
        self,
        nursery: trio.Nursery,
        request: Request,
        send: hypercorn_typing.ASGISendCallable,
    ) -> None:
        """Run the handler and write its response."""
        response = await self.app.handle_request(request)
        if isinstance(response, DirectResponse):
            self._writer = ResponseWriter(send)
            await response.write_to(self._writer)
        else:
            await self._send_response(send, response)
        nursery.cancel_scope.cancel()


async def _reject_path(writer: ResponseWriter) -> None:
    await _reject(
        writer, errors.Code.BAD_REQUEST, 'the path does not start with /'
    )


async def _reject_route(writer: ResponseWriter) -> None:
    await _reject(
        writer,
        errors.Code.ROUTE_NOT_FOUND,
        'no resource has this path and method',
    )


async def _reject(
    writer: ResponseWriter, code: errors.Code, message: str
) -> None:
    await writer.send_error(
        errors.Error(code, message, steps.Step.ADMISSION, not_run=True)
    )
    await writer.finish()


class App(quart_trio.QuartTrio):
    """Application class of the callers' and the operators' port.

    :ivar fallback_handler: handles every request, of any method, whose path
        is not a route of the application
    """

    asgi_http_class = HttpConnection
    request_class = Request

    def __init__(self, name: str) -> None:
        super().__init__(name, static_folder=None)
        # The node enforces its own limits and returns its own errors.
        self.config['MAX_CONTENT_LENGTH'] = None
        self.config['BODY_TIMEOUT'] = None
        self.config['RESPONSE_TIMEOUT'] = None
        self.fallback_handler: Handler | None = None

    async def dispatch_request(
        self, request_context: Any = None
    ) -> quart.typing.ResponseReturnValue:
        """Run the handler of the request's path, or `fallback_handler`."""
        request = (request_context or quart.globals.request_ctx).request
        if (
            self.fallback_handler is not None
            and request.path not in self.own_paths
        ):
            return await self.fallback_handler()
        if request.routing_exception is not None:
            return DirectResponse(_reject_route)
        return await super().dispatch_request(request_context)

    @functools.cached_property
    def own_paths(self) -> frozenset[str]:
        """Paths of the application's routes."""
        return frozenset(rule.rule for rule in self.url_map.iter_rules())
